"""Convert JSON and TOML to attrs classes without type coercion.

The number of a failure is that of its result code, here bad_message.

>>> decode_json(b'"text"', str)
<Success: text>
>>> decode_json(b'5', str)
<Failure: 503>
"""

import functools
import json
from typing import TypeVar

import cattrs
from returns.result import Failure, Result, Success

from dragonflyramp.results import ResultCode

_Target = TypeVar('_Target')


def strict_converter(*, forbid_extra_keys: bool = False) -> cattrs.Converter:
    """Create a converter that rejects values of a type other than declared.

    By default, cattrs converts any value to a string and a string to a
    number, which hides malformed messages. An integer is accepted as a float.
    """
    converter = cattrs.Converter(forbid_extra_keys=forbid_extra_keys)
    for primitive in (str, int, float, bool):
        converter.register_structure_hook(
            primitive, functools.partial(_structure_exactly, primitive)
        )
    return converter


def decode_json(
    body: bytes, target: type[_Target]
) -> Result[_Target, ResultCode]:
    """Decode JSON to `target`; fail with bad_message instead of raising."""
    try:
        return Success(_CONVERTER.structure(json.loads(body), target))
    except Exception:
        # json and cattrs raise a dozen types of exceptions on malformed input.
        return Failure(ResultCode.bad_message)


def encode_json(message: object) -> bytes:
    """Encode an attrs instance as JSON; equal instances give equal bytes."""
    return json.dumps(
        _CONVERTER.unstructure(message),
        ensure_ascii=False,
        separators=(',', ':'),
        sort_keys=True,
    ).encode()


def _structure_exactly(primitive: type, raw: object, _: object) -> object:
    # bool is a subclass of int, so isinstance would accept it as a number.
    if raw.__class__ is primitive:
        return raw
    if primitive is float and raw.__class__ is int:
        return raw
    expected = primitive.__name__
    actual = raw.__class__.__name__
    raise TypeError(f'must be {expected}, not {actual}')


_CONVERTER = strict_converter()
