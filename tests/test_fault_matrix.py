"""Test that the fault matrix names tests that exist."""

import ast
import pathlib
import re

from tests.programs import ROOT

TEXT = (ROOT / 'docs' / 'fault-matrix.md').read_text()
ENTRY = re.compile(r'^(\d+)\. `(tests/\w+\.py)::(\w+)`$', re.MULTILINE)
LETTER = re.compile(r'^- `(\w)`: ', re.MULTILINE)
COLUMNS = 13


def names_in(path: pathlib.Path) -> set[str]:
    """Name the test functions of a file."""
    return {
        node.name
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
    }


def cells() -> list[list[str]]:
    """Split the rows of all tables, without their heads."""
    rows = [line for line in TEXT.splitlines() if line.startswith('| ')]
    return [
        [cell.strip() for cell in row.strip('|').split('|')]
        for row in rows
        if not row.startswith('| step')
    ]


def test_named_tests_exist() -> None:
    """A cell that names a test that was renamed would prove nothing."""
    found = ENTRY.findall(TEXT)
    assert [int(number) for number, _, _ in found] == list(
        range(1, len(found) + 1)
    )
    missing = [
        f'{path}::{name}'
        for _, path, name in found
        if name not in names_in(ROOT / path)
    ]
    assert not missing


def test_cells_name_tests_or_reasons() -> None:
    """An empty cell would hide a fault that nobody thought of."""
    known = {number for number, _, _ in ENTRY.findall(TEXT)}
    known.update(LETTER.findall(TEXT))
    rows = cells()
    assert rows
    for row in rows:
        assert len(row) == COLUMNS
        for cell in row[1:]:
            assert set(cell.split(', ')) <= known, row[0]
