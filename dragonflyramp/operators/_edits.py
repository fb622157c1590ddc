"""Add and remove the table of a hold, and keep the rest byte for byte."""

import json
import re
from collections.abc import Iterator

from dragonflyramp.models import Hold
from dragonflyramp.operators._parts import MAX_PART_BYTES, head_of
from dragonflyramp.operators._statements import Statement, scan

_BARE_KEY = re.compile('[A-Za-z0-9_-]+')
_DELETE = '\x7f'


def add_hold(text: str, hold: Hold) -> str:
    """Add the table of a hold before the services and their comments.

    When the first part has no space left, the table goes to the end.
    """
    table = _hold_table(hold)
    place = _end_of_head(text)
    before = text[:place]
    if len(before.encode()) + len(table.encode()) > MAX_PART_BYTES:
        before = text
        place = len(text)
    blank = '\n' if before.endswith('\n') else '\n\n'
    return ''.join((before, blank, table, text[place:]))


def remove_hold(text: str, name: str) -> str | None:
    """Remove the table of a hold; None when it has no table of its own."""
    span = _table_of(text, f'holds.{name}')
    if not span:
        return None
    start = text.rfind('\n', 0, span[0].start) + 1
    end = span[-1].end + 1
    if text[:start].endswith('\n\n'):
        start -= 1
    return text[:start] + text[end:]


def _end_of_head(text: str) -> int:
    head = head_of(text.encode()).decode()
    end = 0
    for statement in scan(head):
        end = statement.end + 1
    return min(end, len(head))


def _table_of(text: str, key: str) -> list[Statement]:
    return list(_statements_of(scan(text), key))


def _statements_of(
    statements: Iterator[Statement], key: str
) -> Iterator[Statement]:
    is_inside = False
    for statement in statements:
        if statement.is_header:
            is_inside = statement.key == key and not statement.is_array
        if is_inside:
            yield statement


def _hold_table(hold: Hold) -> str:
    is_bare = _BARE_KEY.fullmatch(hold.name)
    name = hold.name if is_bare else _quoted(hold.name)
    lines = [
        f'[holds.{name}]',
        f'kind = {_quoted(hold.kind.value)}',
        f'by = {_quoted(hold.by)}',
        f'at = {_quoted(hold.at)}',
        f'reason = {_quoted(hold.reason)}',
    ]
    if hold.confirm_dark:
        lines.append('confirm_dark = true')
    return ''.join(f'{line}\n' for line in lines)


def _quoted(text: str) -> str:
    # Of the characters that TOML wants escaped, JSON leaves only this one.
    return json.dumps(text, ensure_ascii=False).replace(_DELETE, r'\u007f')
