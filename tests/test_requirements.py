"""Test that the platform's machines get the libraries that tests run with."""

import re

from packaging.requirements import Requirement

from tests.programs import ROOT


def _pins(name: str) -> set[str]:
    lines = (ROOT / name).read_text().splitlines()
    return {line for line in lines if line and not line.startswith('#')}


def test_requirements_are_pinned_as_tested() -> None:
    """A library of another version must not reach the machines."""
    assert _pins('requirements.txt') <= _pins('constraints.txt')


def test_every_declared_library_is_installed() -> None:
    """A library that the program imports must be on the machines."""
    text = (ROOT / 'pyproject.toml').read_text()
    declared = re.search(r'^dependencies = \[(.*?)\]', text, re.M | re.S)
    assert declared is not None
    names = re.findall('"([^"]+)"', declared.group(1))
    wanted = {_normal(Requirement(name).name) for name in names}
    pinned = {
        _normal(pin.partition('==')[0]) for pin in _pins('requirements.txt')
    }
    assert wanted <= pinned


def _normal(name: str) -> str:
    return re.sub('[-_.]+', '-', name).lower()
