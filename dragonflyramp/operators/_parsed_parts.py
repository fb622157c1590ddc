"""Parse one part of the operators' text; each part is a TOML document."""

import re
import tomllib
from collections.abc import Mapping
from typing import Any, TypeVar

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.models import FailureDomain, Hold, Service
from dragonflyramp.operators._problems import Problem
from dragonflyramp.operators._tables import structure_string, structure_table
from dragonflyramp.results import ResultCode

_Table = TypeVar('_Table')

#: Position that tomllib appends to the message of a syntax error.
_SYNTAX_ERROR_POSITION_PATTERN = re.compile(
    r' \(at (?:line (\d+)|end of document).*\)$'
)
_FORMAT_VERSION = 1
_FORMAT_KEY = 'format'
_USER_KEY = 'user'
_TOP_LEVEL_KEYS = frozenset(
    (_FORMAT_KEY, _USER_KEY, 'failure_domains', 'services', 'holds')
)


@attrs.frozen(kw_only=True)
class ParsedPart:
    """Keys and tables that one part of the text defines."""

    has_format: bool = False
    user: str = ''
    failure_domains: Mapping[str, FailureDomain] = attrs.field(factory=dict)
    services: Mapping[str, Service] = attrs.field(factory=dict)
    holds: Mapping[str, Hold] = attrs.field(factory=dict)


def parse_part(part: bytes) -> Result[ParsedPart, tuple[Problem, ...]]:
    """Parse a part; fail with its problems.

    Syntax problems have line numbers relative to the start of the part; other
    problems have none.
    """
    try:
        raw = tomllib.loads(part.decode())
    except UnicodeDecodeError as error:
        line = part.count(b'\n', 0, error.start) + 1
        return Failure((_syntax_problem(line, 'the text is not UTF-8'),))
    except tomllib.TOMLDecodeError as error:
        return Failure((_locate_syntax_error(part, str(error)),))
    except RecursionError:
        return Failure((_syntax_problem(1, 'a value is nested too deeply'),))
    return _PartParser(raw).parse()


class _PartParser:
    """Convert the keys and tables of one part, and collect problems."""

    def __init__(self, raw: Mapping[str, Any]) -> None:
        self._raw = raw
        self._problems: list[Problem] = []

    def parse(self) -> Result[ParsedPart, tuple[Problem, ...]]:
        parsed = ParsedPart(
            has_format=_FORMAT_KEY in self._raw,
            user=self._parse_user(),
            failure_domains=self._parse_section(
                'failure_domains', FailureDomain
            ),
            services=self._parse_section('services', Service),
            holds=self._parse_section('holds', Hold),
        )
        self._check_top_level_keys()
        if self._problems:
            return Failure(tuple(self._problems))
        return Success(parsed)

    def _check_top_level_keys(self) -> None:
        for key in self._raw.keys() - _TOP_LEVEL_KEYS:
            self._add_problem(ResultCode.unknown_key, key, 'is not a known key')
        version = self._raw.get(_FORMAT_KEY, _FORMAT_VERSION)
        if version != _FORMAT_VERSION or isinstance(version, bool):
            sentence = f'must be {_FORMAT_VERSION}'
            self._add_problem(ResultCode.bad_value, _FORMAT_KEY, sentence)

    def _parse_user(self) -> str:
        if _USER_KEY not in self._raw:
            return ''
        user_result = structure_string(_USER_KEY, self._raw[_USER_KEY])
        if isinstance(user_result, Failure):
            self._problems.append(user_result.failure())
        return user_result.value_or('')

    def _parse_section(
        self, section: str, target: type[_Table]
    ) -> Mapping[str, _Table]:
        tables = self._raw.get(section, {})
        if not isinstance(tables, dict):
            self._add_problem(ResultCode.bad_value, section, 'must be a table')
            return {}
        structured: dict[str, _Table] = {}
        for name, table in tables.items():
            table_result = structure_table(section, name, table, target)
            if isinstance(table_result, Failure):
                self._problems.extend(table_result.failure())
            else:
                structured[name] = table_result.unwrap()
        return structured

    def _add_problem(self, code: ResultCode, key: str, sentence: str) -> None:
        self._problems.append(Problem(code=code, key=key, sentence=sentence))


def _locate_syntax_error(part: bytes, message: str) -> Problem:
    position = _SYNTAX_ERROR_POSITION_PATTERN.search(message)
    line = position and position.group(1)
    last_line = max(1, len(part.splitlines()))
    return _syntax_problem(
        int(line) if line else last_line,
        _SYNTAX_ERROR_POSITION_PATTERN.sub('', message),
    )


def _syntax_problem(line: int, sentence: str) -> Problem:
    return Problem(code=ResultCode.text_syntax, line=line, sentence=sentence)
