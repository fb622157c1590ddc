"""Insert and delete the TOML tables of holds; keep the rest of the text."""

import json
import re
from collections.abc import Iterator

from dragonflyramp.models import Hold
from dragonflyramp.operators._parts import MAX_PART_BYTES, preamble_of
from dragonflyramp.operators._statements import Statement, scan_statements

_BARE_KEY_PATTERN = re.compile('[A-Za-z0-9_-]+')
_DELETE_CHARACTER = '\x7f'


def insert_hold_table(text: str, hold: Hold) -> str:
    """Insert the table of a hold before the first service and its comments.

    If the first part of the text is full, append the table to the text.
    """
    table = _render_hold_table(hold)
    offset = _hold_insertion_offset(text)
    before = text[:offset]
    if len(before.encode()) + len(table.encode()) > MAX_PART_BYTES:
        before = text
        offset = len(text)
    separator = '\n' if before.endswith('\n') else '\n\n'
    return ''.join((before, separator, table, text[offset:]))


def delete_hold_table(text: str, name: str) -> str | None:
    """Delete the table of a hold; return None if the hold has none."""
    statements = _find_table(text, f'holds.{name}')
    if not statements:
        return None
    start = text.rfind('\n', 0, statements[0].start) + 1
    end = statements[-1].end + 1
    if text[:start].endswith('\n\n'):
        start -= 1
    return text[:start] + text[end:]


def _hold_insertion_offset(text: str) -> int:
    preamble = preamble_of(text.encode()).decode()
    end = 0
    for statement in scan_statements(preamble):
        end = statement.end + 1
    return min(end, len(preamble))


def _find_table(text: str, key: str) -> list[Statement]:
    return list(_table_statements(scan_statements(text), key))


def _table_statements(
    statements: Iterator[Statement], key: str
) -> Iterator[Statement]:
    is_inside = False
    for statement in statements:
        if statement.is_header:
            is_inside = statement.key == key and not statement.is_array
        if is_inside:
            yield statement


def _render_hold_table(hold: Hold) -> str:
    is_bare = _BARE_KEY_PATTERN.fullmatch(hold.name)
    name = hold.name if is_bare else _quote(hold.name)
    lines = [
        f'[holds.{name}]',
        f'kind = {_quote(hold.kind.value)}',
        f'by = {_quote(hold.by)}',
        f'at = {_quote(hold.at)}',
        f'reason = {_quote(hold.reason)}',
    ]
    if hold.confirm_dark:
        lines.append('confirm_dark = true')
    return ''.join(f'{line}\n' for line in lines)


def _quote(text: str) -> str:
    # DEL is the only character that TOML requires to be escaped and JSON does
    # not.
    return json.dumps(text, ensure_ascii=False).replace(
        _DELETE_CHARACTER, r'\u007f'
    )
