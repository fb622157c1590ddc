"""Test the form of log lines."""

import json
import sys
from collections.abc import Callable, Iterator

import pytest
from loguru import logger

from dragonflyramp import logs
from dragonflyramp.setting_flags import load_settings

_REQUIRED = (
    '--platform_address=127.0.0.1:1',
    '--member_address=127.0.0.1:0',
    '--status_address=127.0.0.1:0',
    '--failure_domain=recife',
    '--region=nordeste',
)


@pytest.fixture(name='set_up')
def _set_up() -> Iterator[Callable[[str], None]]:
    def set_up(flag: str) -> None:  # noqa: WPS430 - the fixture's value
        logs.set_up(load_settings(('front', *_REQUIRED, flag), {}).unwrap())

    yield set_up
    logger.remove()
    logger.add(sys.stderr)


def test_json_lines_carry_fields_and_failures(
    set_up: Callable[[str], None], capsys: pytest.CaptureFixture[str]
) -> None:
    """A log collector must get one object a line, also for a failure."""
    set_up('--log_format=json')
    logger.bind(member_id='m1').info('front started\nhere')
    logger.opt(exception=ValueError('broken')).error('task failed')
    started, failed = map(json.loads, capsys.readouterr().err.splitlines())
    assert started['member_id'] == 'm1'
    assert started['message'] == 'front started\nhere'
    assert failed['level'] == 'ERROR'
    assert 'broken' in failed['exception']


def test_lines_below_the_level_are_dropped(
    set_up: Callable[[str], None], capsys: pytest.CaptureFixture[str]
) -> None:
    """An operator who asks for warnings must not get a flood."""
    set_up('--log_level=warning')
    logger.info('hidden')
    logger.warning('shown')
    assert capsys.readouterr().err.count('\n') == 1
