"""Turn the operators' text into a configuration, or list its problems."""

import re
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.models import Configuration
from dragonflyramp.operators._checks import check_configuration
from dragonflyramp.operators._fragments import Fragment, parse_fragment
from dragonflyramp.operators._parts import split_text
from dragonflyramp.operators._problems import Problem
from dragonflyramp.operators._statements import with_lines
from dragonflyramp.results import ResultCode

#: 22,000 services of about 150 bytes each are 3.3 MB.
MAX_TEXT_BYTES = 8 * 1024 * 1024

_BASE_LINE = re.compile(rb'# base = (\d{1,15})\r?\n')


@attrs.frozen
class BasedText:
    """Hold a text without its base line; `base` is None without one."""

    text: bytes
    base: int | None


def take_base(text: bytes) -> BasedText:
    r"""Take off the first line that `show` prints.

    >>> take_base(b'# base = 7\nformat = 1\n')
    BasedText(text=b'format = 1\n', base=7)
    """
    found = _BASE_LINE.match(text)
    if found is None:
        return BasedText(text, None)
    rest = text[found.end() :]
    return BasedText(rest, int(found.group(1)))


def put_base(text: bytes, number: int) -> bytes:
    """Put the line in front that tells `push` which number was read."""
    base_line = f'# base = {number}\n'
    return base_line.encode() + text


def check_text(text: bytes) -> Result[Configuration, tuple[Problem, ...]]:
    """Check a text as an operator wrote it, with or without a base line."""
    based = take_base(text)
    skipped = 0 if based.base is None else 1
    parsed = parse_text(based.text)
    return parsed.alt(lambda problems: shift_lines(problems, skipped))


def parse_text(
    text: bytes, number: int = 0
) -> Result[Configuration, tuple[Problem, ...]]:
    """Parse a text; fail with every problem, in order of its lines."""
    if len(text) > MAX_TEXT_BYTES:
        sentence = f'has more than {MAX_TEXT_BYTES} bytes'
        code = ResultCode.text_too_large
        return Failure((Problem(code=code, sentence=sentence),))
    fragments: list[Fragment] = []
    problems: list[Problem] = []
    for first_line, part in _numbered(split_text(text)):
        outcome = parse_fragment(part)
        if isinstance(outcome, Failure):
            problems.extend(shift_lines(outcome.failure(), first_line))
        else:
            fragments.append(outcome.unwrap())
    if problems:
        return Failure(_in_order(text, problems))
    merged = merge_fragments(fragments, number)
    return merged.alt(lambda found: _in_order(text, found))


def merge_fragments(
    fragments: Sequence[Fragment], number: int
) -> Result[Configuration, tuple[Problem, ...]]:
    """Merge and check what the parts define; problems have no lines."""
    problems: list[Problem] = []
    configuration = Configuration(
        number=number,
        user=next((one.user for one in fragments if one.user), ''),
        failure_domains=_merge('failure_domains', fragments, problems),
        services=_merge('services', fragments, problems),
        holds=_merge('holds', fragments, problems),
    )
    if not any(fragment.has_format for fragment in fragments):
        problems.append(
            Problem(
                code=ResultCode.missing_key,
                key='format',
                sentence='is required',
            )
        )
    problems.extend(check_configuration(configuration))
    return Failure(tuple(problems)) if problems else Success(configuration)


def shift_lines(problems: Iterable[Problem], lines: int) -> tuple[Problem, ...]:
    """Add to the lines of the problems that have one."""
    return tuple(
        attrs.evolve(problem, line=problem.line + lines)
        if problem.line
        else problem
        for problem in problems
    )


def _merge(
    section: str, fragments: Iterable[Fragment], problems: list[Problem]
) -> Mapping[str, Any]:
    merged: dict[str, Any] = {}
    for fragment in fragments:
        tables: Mapping[str, Any] = getattr(fragment, section)
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


def _numbered(parts: Iterable[bytes]) -> Iterator[tuple[int, bytes]]:
    first_line = 0
    for part in parts:
        yield first_line, part
        first_line += part.count(b'\n')


def _in_order(text: bytes, problems: Iterable[Problem]) -> tuple[Problem, ...]:
    located = with_lines(text.decode(errors='replace'), problems)
    return tuple(sorted(located, key=lambda problem: problem.line))
