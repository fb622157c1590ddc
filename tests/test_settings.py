"""Test the settings, their flags and their page."""

import pathlib
import subprocess
import sys

import pytest

from dragonflyramp.platform import read_settings
from dragonflyramp.setting_flags import load_settings
from dragonflyramp.setting_pages import render
from dragonflyramp.settings import ConfigurationSource, Settings

_PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'settings.md'
_SCRIPT = """
import os, sys
from dragonflyramp.setting_flags import load_or_exit
load_or_exit(sys.argv, os.environ)
"""


def _load(*arguments: str, **environment: str) -> Settings | str:
    """Return the settings, or the error message if a setting is bad."""
    loaded = load_settings(('front', *arguments), environment)
    return loaded.value_or('') or str(loaded.failure())


def test_flags_are_parsed_to_field_types() -> None:
    """Flags must be parsed to their field's type, and defaults kept."""
    settings = _load('--own_address=10.0.0.3:0', '--configuration=text')
    assert settings == Settings(
        own_address='10.0.0.3:0', configuration=ConfigurationSource.text
    )


def test_flag_overrides_environment() -> None:
    """A variable set on the VM must not override an operator's flag."""
    environment = {'DRAGONFLYRAMP_METRICS_PORT': '1', 'OTHER': '1'}
    settings = _load(**environment)
    assert isinstance(settings, Settings)
    assert settings.metrics_port == 1
    settings = _load('--metrics_port=2', **environment)
    assert isinstance(settings, Settings)
    assert settings.metrics_port == 2


@pytest.mark.parametrize(
    ('argument', 'rejected', 'allowed'),
    [
        ('--own_address=localhost:80', "='localhost:80'", 'IP address'),
        ('--own_address=10.0.0.1', "='10.0.0.1'", 'port from 0 to 65535'),
        ('--own_address=::1:80', "='::1:80'", 'IP address'),
        ('--own_address=[10.0.0.1]:80', '[10.0.0.1]', 'IP address'),
        ('--own_address=10.0.0.1:65536', '65536', 'from 0 to 65535'),
        ('--own_address=a\nb:1', r"='a\nb:1'", 'IP address'),
        ('--configuration=best', "='best'", 'one of platform, text'),
        ('--log_level=all', "='all'", 'one of debug'),
        ('--metrics_port=2000.5', "='2000.5'", 'whole number from 0 to'),
        ('--log_lines_per_second=0', "='0'", 'from 1 to 10000'),
        ('--stop_notice_seconds=nan', "='nan'", 'from 0 to 60'),
        ('--stop_notice_seconds=-1', "='-1'", 'from 0 to 60'),
        ('--store_timeout_seconds=0', "='0'", 'from 0.1 to 60'),
        ('--regio=x', '--regio', 'docs/settings.md'),
        ('--log_level', '--log_level', 'docs/settings.md'),
        ('stray', 'stray', 'docs/settings.md'),
    ],
)
def test_bad_setting_is_rejected(
    argument: str, rejected: str, allowed: str
) -> None:
    """A daemon must not start with a value that is not allowed."""
    message = _load(argument)
    assert isinstance(message, str)
    reason, _, hint = message.partition(': use ')
    assert rejected in reason
    assert allowed in hint
    assert message.isprintable()


def test_bad_variable_is_named() -> None:
    """The message must name the variable when no flag was given."""
    message = _load(DRAGONFLYRAMP_METRICS_PORT='many')
    assert "--metrics_port='many' (from DRAGONFLYRAMP_METRICS_PORT)" in str(
        message
    )


def test_bad_setting_ends_program() -> None:
    """A bad setting must print one line, not a traceback, and exit."""
    completed = subprocess.run(
        [sys.executable, '-c', _SCRIPT, '--metrics_port=-1'],
        capture_output=True,
        check=False,
        text=True,
        timeout=60,
    )
    assert completed.returncode == 2
    assert completed.stderr.count('\n') == 1
    assert "--metrics_port='-1'" in completed.stderr


def test_page_is_up_to_date() -> None:
    """The page must show the defaults that are in force."""
    assert _PAGE.read_text('utf-8') == render()


def test_settings_file_must_be_utf8(tmp_path: pathlib.Path) -> None:
    """A damaged settings file must not end a front at a reload."""
    path = tmp_path / 'settings.yaml'
    path.write_bytes(b'node: \xff\xfe')
    assert 'not UTF-8' in read_settings(str(path)).failure()
