"""Render docs/settings.md from the table of settings."""

import enum
import sys
from typing import Any

from dragonflyramp.settings import SettingRow, table

_HEAD = """# Settings

A front takes these settings as flags (`--flag=value`) or as environment
variables. A flag given on the command line wins. All settings are checked at
start; the first bad one ends the program with exit code 2 and one line.

This page is written by `python -m dragonflyramp.setting_pages`.

| flag | environment variable | default | unit | allowed | meaning |
|---|---|---|---|---|---|
"""


def render() -> str:
    """Render the whole page."""
    rows = ''.join(map(_render_row, table()))
    return f'{_HEAD}{rows}'


def _render_row(row: SettingRow) -> str:
    cells = ' | '.join(
        (
            f'`{row.flag}`',
            f'`{row.environment_name}`',
            _render_default(row.default),
            row.kind.unit,
            row.kind.allowed,
            row.meaning,
        )
    )
    return f'| {cells} |\n'


def _render_default(default: Any) -> str:
    match default:
        case enum.Enum():
            return f'`{default.name}`'
        case tuple():
            return ','.join(default) or 'none'
        case str():
            return f'`{default}`'
        case float():
            return format(default, 'g')
    return str(default)


if __name__ == '__main__':
    sys.stdout.write(render())
