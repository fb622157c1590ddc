"""Read the configuration from the objects that store the text."""

from collections.abc import Callable

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.models import Configuration
from dragonflyramp.operators._parts import join_parts
from dragonflyramp.operators._roots import ROOT_NAME, decode_root
from dragonflyramp.operators._text_parsing import parse_text
from dragonflyramp.operators._text_stores import part_object_name
from dragonflyramp.results import ResultCode

#: Returns the body of an object by name; None if the daemon has no copy.
ReadBody = Callable[[str], bytes | None]


@attrs.frozen
class ConfigurationReader:
    """Read the configuration from the daemon's copies of the objects."""

    _read_body: ReadBody

    def read(self) -> Result[Configuration, ResultCode]:
        """Return the configuration.

        Fail with object_missing until the root and all parts are available,
        with bad_message if the root is malformed, or with the code of the
        first problem of the text.
        """
        body = self._read_body(ROOT_NAME)
        if body is None:
            return Failure(ResultCode.object_missing)
        decode_result = decode_root(body)
        if isinstance(decode_result, Failure):
            return decode_result
        root = decode_result.unwrap()
        parts = [
            self._read_body(part_object_name(ref.sha256)) for ref in root.parts
        ]
        available_parts = [part for part in parts if part is not None]
        if len(available_parts) < len(parts):
            return Failure(ResultCode.object_missing)
        parse_result = parse_text(join_parts(available_parts), root.number)
        if isinstance(parse_result, Failure):
            return Failure(parse_result.failure()[0].code)
        return Success(parse_result.unwrap())
