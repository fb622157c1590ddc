"""Render docs/settings.md from the table of settings."""

import enum
import sys
from typing import Any

from dragonflyramp.settings import SettingDefinition, setting_definitions

_PAGE_HEADER = """# Settings

A front takes these settings as flags (`--flag=value`) or as environment
variables. A flag given on the command line wins. All settings are checked at
start; the first bad one ends the program with exit code 2 and one line.

This page is written by `python -m dragonflyramp.setting_pages`.

| flag | environment variable | default | unit | allowed | meaning |
|---|---|---|---|---|---|
"""


def render() -> str:
    """Render the whole page."""
    rows = ''.join(map(_render_definition, setting_definitions()))
    return f'{_PAGE_HEADER}{rows}'


def _render_definition(definition: SettingDefinition) -> str:
    cells = ' | '.join(
        (
            f'`{definition.flag}`',
            f'`{definition.environment_name}`',
            _render_default(definition.default),
            definition.kind.unit,
            definition.kind.allowed,
            definition.meaning,
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
