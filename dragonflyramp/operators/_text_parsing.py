"""Parse the operators' text into a configuration, or list its problems."""

import re
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.models import Configuration
from dragonflyramp.operators._configuration_checks import check_configuration
from dragonflyramp.operators._parsed_parts import ParsedPart, parse_part
from dragonflyramp.operators._parts import split_text
from dragonflyramp.operators._problems import Problem
from dragonflyramp.operators._statements import add_line_numbers
from dragonflyramp.results import ResultCode

#: Maximum size of a text; a text of 22,000 services of about 150 bytes each
#: has 3.3 MB.
MAX_TEXT_BYTES = 8 * 1024 * 1024

_BASE_LINE_PATTERN = re.compile(rb'# base = (\d{1,15})\r?\n')


@attrs.frozen
class TextAndBase:
    """Text without its base line, and the number that the line states.

    `base` is the number of the stored text that was edited; None without a
    base line.
    """

    text: bytes
    base: int | None


def split_base_line(text: bytes) -> TextAndBase:
    r"""Split off the base line, which `show` prepends to the text.

    >>> split_base_line(b'# base = 7\nformat = 1\n')
    TextAndBase(text=b'format = 1\n', base=7)
    """
    base_line = _BASE_LINE_PATTERN.match(text)
    if base_line is None:
        return TextAndBase(text, None)
    remainder = text[base_line.end() :]
    return TextAndBase(remainder, int(base_line.group(1)))


def add_base_line(text: bytes, number: int) -> bytes:
    """Prepend the base line, from which `push` reads the number of the text."""
    base_line = f'# base = {number}\n'
    return base_line.encode() + text


def parse_text_with_base(
    text: bytes,
) -> Result[Configuration, tuple[Problem, ...]]:
    """Parse a text with or without a base line; fail as `parse_text` does."""
    text_and_base = split_base_line(text)
    base_lines = 0 if text_and_base.base is None else 1
    parse_result = parse_text(text_and_base.text)
    return parse_result.alt(
        lambda problems: shift_line_numbers(problems, base_lines)
    )


def parse_text(
    text: bytes, number: int = 0
) -> Result[Configuration, tuple[Problem, ...]]:
    """Parse a text without a base line; fail with problems sorted by line.

    `number` is that of the push that stored the text; 0 if it is not known.
    """
    if len(text) > MAX_TEXT_BYTES:
        sentence = f'the text has more than {MAX_TEXT_BYTES} bytes'
        code = ResultCode.text_too_large
        return Failure((Problem(code=code, sentence=sentence),))
    parsed_parts: list[ParsedPart] = []
    problems: list[Problem] = []
    for line_offset, part in _with_line_offsets(split_text(text)):
        part_result = parse_part(part)
        if isinstance(part_result, Failure):
            problems.extend(
                shift_line_numbers(part_result.failure(), line_offset)
            )
        else:
            parsed_parts.append(part_result.unwrap())
    if problems:
        return Failure(_locate_problems(text, problems))
    merge_result = merge_parts(parsed_parts, number)
    return merge_result.alt(
        lambda merge_problems: _locate_problems(text, merge_problems)
    )


def merge_parts(
    parsed_parts: Sequence[ParsedPart], number: int
) -> Result[Configuration, tuple[Problem, ...]]:
    """Merge the parsed parts and check the configuration.

    Fail with problems, which have no line numbers.
    """
    problems: list[Problem] = []
    configuration = Configuration(
        number=number,
        user=next((part.user for part in parsed_parts if part.user), ''),
        failure_domains=_merge_section(
            'failure_domains', parsed_parts, problems
        ),
        services=_merge_section('services', parsed_parts, problems),
        holds=_merge_section('holds', parsed_parts, problems),
    )
    if not any(parsed_part.has_format for parsed_part in parsed_parts):
        problems.append(
            Problem(
                code=ResultCode.missing_key,
                key='format',
                sentence='is required',
            )
        )
    problems.extend(check_configuration(configuration))
    return Failure(tuple(problems)) if problems else Success(configuration)


def shift_line_numbers(
    problems: Iterable[Problem], line_offset: int
) -> tuple[Problem, ...]:
    """Add a number of lines to the line numbers of problems."""
    return tuple(
        attrs.evolve(problem, line=problem.line + line_offset)
        if problem.line
        else problem
        for problem in problems
    )


def _merge_section(
    section: str, parsed_parts: Iterable[ParsedPart], problems: list[Problem]
) -> Mapping[str, Any]:
    merged: dict[str, Any] = {}
    for parsed_part in parsed_parts:
        tables: Mapping[str, Any] = getattr(parsed_part, section)
        problems.extend(
            Problem(
                code=ResultCode.text_syntax,
                key=f'{section}.{name}',
                sentence='is defined in two places; keep its tables together',
            )
            for name in tables.keys() & merged.keys()
        )
        merged.update(tables)
    return merged


def _with_line_offsets(parts: Iterable[bytes]) -> Iterator[tuple[int, bytes]]:
    line_offset = 0
    for part in parts:
        yield line_offset, part
        line_offset += part.count(b'\n')


def _locate_problems(
    text: bytes, problems: Iterable[Problem]
) -> tuple[Problem, ...]:
    located = add_line_numbers(text.decode(errors='replace'), problems)
    return tuple(sorted(located, key=lambda problem: problem.line))
