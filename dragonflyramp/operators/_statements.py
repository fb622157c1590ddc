"""Find the statements of a TOML text, with line numbers and offsets.

tomllib returns values without their positions. The positions are needed to
report the lines of problems and to edit the tables of holds.
"""

import re
import tomllib
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping

import attrs

from dragonflyramp.operators._problems import Problem, parent_key

_PATTERNS_BY_KIND = (
    ('string', r'"{3}(?:[^\\]|\\.)*?"{3,5}(?!")'),
    ('literal', r"'{3}.*?'{3,5}(?!')"),
    ('line_string', r'"(?:[^"\\\n]|\\.)*"'),
    ('line_literal', r"'[^'\n]*'"),
    ('comment', r'\#[^\n]*'),
    ('newline', r'\n'),
    ('opening', r'[\[{]'),
    ('closing', r'[\]}]'),
    ('other', r'[^\s\x22\x27\#\[\]{}]+|[\x22\x27]'),
)
_TOKEN_PATTERN = re.compile(
    '|'.join(f'(?P<{kind}>{pattern})' for kind, pattern in _PATTERNS_BY_KIND),
    re.DOTALL,
)
_KEY_PATTERN = re.compile(
    r'(?:"(?:\\.|[^"\\])*"|\x27[^\x27]*\x27|[^=\x22\x27])+'
)


@attrs.frozen(kw_only=True)
class Statement:
    """Table header, or key with its value.

    The key of a header is the table's name; `is_array` is true for the header
    of an array of tables. `start` and `end` are character offsets; `end` is the
    position of the newline or the end of the text.
    """

    key: str
    is_header: bool
    is_array: bool
    line: int
    start: int
    end: int


def scan_statements(text: str) -> Iterator[Statement]:
    """Yield the statements of a valid TOML text in order."""
    line = 1
    counted_end = 0
    for start, end in _statement_spans(text):
        line += text.count('\n', counted_end, start)
        counted_end = start
        yield _parse_statement(text[start:end].strip(), line, start, end)


def add_line_numbers(
    text: str, problems: Iterable[Problem]
) -> tuple[Problem, ...]:
    """Add the line of their key to problems without a line number.

    A key that the text lacks has the line of its closest parent, or line 1.
    """
    index = _index_lines(text)
    return tuple(
        problem
        if problem.line
        else attrs.evolve(problem, line=_find_line(index, problem.key))
        for problem in problems
    )


def _statement_spans(text: str) -> Iterator[tuple[int, int]]:
    start = -1
    depth = 0
    for token in _TOKEN_PATTERN.finditer(text):
        kind = token.lastgroup
        if kind == 'newline' and start >= 0 and not depth:
            yield start, token.start()
            start = -1
        if kind in {'newline', 'comment'}:
            continue
        start = token.start() if start < 0 else start
        depth = max(0, depth + _depth_change(kind))
    if start >= 0:
        yield start, len(text)


def _depth_change(kind: str | None) -> int:
    return (kind == 'opening') - (kind == 'closing')


def _parse_statement(source: str, line: int, start: int, end: int) -> Statement:
    is_header = source.startswith('[')
    is_array = source.startswith('[[')
    inner = source.lstrip('[').partition(']')[0] if is_header else source
    key_match = _KEY_PATTERN.match(inner)
    return Statement(
        key=_normalize_key(key_match.group() if key_match else inner),
        is_header=is_header,
        is_array=is_array,
        line=line,
        start=start,
        end=end,
    )


def _normalize_key(source: str) -> str:
    """Return a dotted key as tomllib reads it, without quotes and spaces."""
    try:
        nested = tomllib.loads(f'{source.strip()} = 0')
    except tomllib.TOMLDecodeError:
        return source.strip()
    names = []
    while isinstance(nested, dict):
        name, nested = next(iter(nested.items()))
        names.append(name)
    return '.'.join(names)


def _index_lines(text: str) -> Mapping[str, int]:
    index: dict[str, int] = {}
    header_counts: Counter[str] = Counter()
    prefix = ''
    for statement in scan_statements(text):
        key = statement.key
        if statement.is_header:
            prefix = (
                f'{key}[{header_counts[key]}]' if statement.is_array else key
            )
            header_counts[key] += 1
            _index_key(index, prefix, statement.line)
        else:
            full_key = f'{prefix}.{key}' if prefix else key
            _index_key(index, full_key, statement.line)
    return index


def _index_key(index: dict[str, int], key: str, line: int) -> None:
    """Add a key and its parent tables unless they are indexed already."""
    while key and key not in index:
        index[key] = line
        key = parent_key(key)


def _find_line(index: Mapping[str, int], key: str) -> int:
    while key and key not in index:
        key = parent_key(key)
    return index.get(key, 1)
