"""Test the settings, their flags and their page."""

import pathlib
import subprocess
import sys

import pytest
from returns.result import Success

from dragonflyramp.backends._choice import LeastLoadedChoice, RandomChoice
from dragonflyramp.backends._ramp import SlowStartRamp, StaticSplitRamp
from dragonflyramp.callers._canary import FirstShardsCanary, NoCanary
from dragonflyramp.setting_flags import load_settings
from dragonflyramp.setting_pages import render
from dragonflyramp.settings import Policy, PolicySet, Settings
from dragonflyramp.tools._policies import front_policies, relay_policies

_PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'settings.md'
_PROGRAM = """
import os, sys
from dragonflyramp.setting_flags import load_or_exit
load_or_exit(sys.argv, os.environ)
"""
_REQUIRED = (
    '--platform_address=10.0.0.1:80',
    '--member_address=10.0.0.2:0',
    '--status_address=[::1]:81',
    '--failure_domain=recife',
    '--region=nordeste',
)


def load_with(*arguments: str, **environment: str) -> Settings | str:
    """Load the required settings and more; the line when one is bad."""
    loaded = load_settings(('front', *_REQUIRED, *arguments), environment)
    return loaded.value_or('') or str(loaded.failure())


def test_defaults_and_types() -> None:
    """Guards against a default that is not of its field's type."""
    settings = load_with('--peers=10.0.0.3:1,10.0.0.4:2', '--policy=naive')
    assert settings == Settings(
        platform_address='10.0.0.1:80',
        member_address='10.0.0.2:0',
        status_address='[::1]:81',
        failure_domain='recife',
        region='nordeste',
        peers=('10.0.0.3:1', '10.0.0.4:2'),
        policy=PolicySet.naive,
    )


@pytest.mark.parametrize(
    ('argument', 'naive'),
    [
        ('--policy=ours', set()),
        ('--naive_policies=ramp,canary', {Policy.ramp, Policy.canary}),
        ('--policy=naive', set(Policy)),
    ],
)
def test_policies_are_exchanged(argument: str, naive: set[Policy]) -> None:
    """Guards against a measurement that runs other policies than it says."""
    settings = load_with(argument, '--naive_relays=2')
    assert isinstance(settings, Settings)
    assert {one for one in Policy if settings.is_naive(one)} == naive
    relay = relay_policies(settings)
    ramps = {False: SlowStartRamp(), True: StaticSplitRamp(relays=2)}
    choices = {False: LeastLoadedChoice(), True: RandomChoice()}
    canaries = {False: FirstShardsCanary(), True: NoCanary()}
    assert relay.ramp == ramps[Policy.ramp in naive]
    assert relay.choice == choices[Policy.choice in naive]
    front = front_policies(settings)
    assert front.canary == canaries[Policy.canary in naive]


def test_flag_wins_over_environment() -> None:
    """Guards against a variable of the VM that overrides an operator."""
    environment = {'DRAGONFLYRAMP_GROUP': 'other', 'OTHER': '1'}
    settings = load_with(**environment)
    assert isinstance(settings, Settings)
    assert settings.group == 'other'
    settings = load_with('--group=mine', **environment)
    assert isinstance(settings, Settings)
    assert settings.group == 'mine'


@pytest.mark.parametrize(
    ('argument', 'named', 'allowed'),
    [
        ('--member_address=localhost:80', "='localhost:80'", 'IP address'),
        ('--member_address=0.0.0.0:80', "='0.0.0.0:80'", 'one IP address'),
        ('--member_address=10.0.0.1', "='10.0.0.1'", 'port from 0 to 65535'),
        ('--member_address=::1:80', "='::1:80'", 'IP address'),
        ('--member_address=[10.0.0.1]:80', '[10.0.0.1]', 'IP address'),
        ('--platform_address=10.0.0.1:0', "='10.0.0.1:0'", 'from 1 to 65535'),
        ('--platform_address=10.0.0.1:65536', '65536', 'from 1 to 65535'),
        ('--peers=10.0.0.1:1,', "='10.0.0.1:1,'", 'separated by commas'),
        ('--region=', "--region=''", '1 to 63'),
        ('--region=São', "--region='São'", '1 to 63'),
        ('--group=a\nb', r"--group='a\nb'", '1 to 63'),
        ('--policy=best', "='best'", 'one of ours, naive'),
        ('--naive_policies=ramp,all', "='ramp,all'", 'any of choice, ramp'),
        ('--log_level=all', "='all'", 'one of debug'),
        ('--max_body_bytes=2000.5', "='2000.5'", 'whole number from 1024 to'),
        ('--max_body_bytes=1023', "='1023'", 'from 1024 to 3145728'),
        ('--drain_seconds=nan', "='nan'", 'from 0 to 600'),
        ('--drain_seconds=-1', "='-1'", 'from 0 to 600'),
        ('--lease_term_seconds=1.5', 'seconds=1.5', 'at least 2'),
        ('--isolation_seconds=4', 'seconds=4', 'at most 3'),
        ('--regio=x', '--regio', 'docs/settings.md'),
        ('--group', '--group', 'docs/settings.md'),
        ('stray', 'stray', 'docs/settings.md'),
    ],
)
def test_bad_setting(argument: str, named: str, allowed: str) -> None:
    """Guards against a daemon that starts with a setting that harms it."""
    line = load_with(argument)
    assert isinstance(line, str)
    reason, _, hint = line.partition(': use ')
    assert named in reason
    assert allowed in hint
    assert line.isprintable()


def test_bad_variable_is_named() -> None:
    """Guards against a search for a flag that was never given."""
    line = load_with(DRAGONFLYRAMP_MAX_BODY_BYTES='many')
    assert "--max_body_bytes='many' (from DRAGONFLYRAMP_MAX_BODY_BYTES)" in str(
        line
    )


def test_missing_setting_is_named() -> None:
    """Guards against a default for what only the operator can know."""
    assert '--platform_address' in str(load_settings(('front',), {}).failure())
    assert isinstance(load_settings(('front', *_REQUIRED), {}), Success)


def test_bad_setting_ends_the_program() -> None:
    """Guards against a traceback, or a start, instead of one line."""
    ended = subprocess.run(
        [sys.executable, '-c', _PROGRAM, *_REQUIRED, '--max_body_bytes=0'],
        capture_output=True,
        check=False,
        text=True,
        timeout=60,
    )
    assert ended.returncode == 2
    assert ended.stderr.count('\n') == 1
    assert "--max_body_bytes='0'" in ended.stderr


def test_page_shows_the_settings() -> None:
    """Guards against a page that shows old defaults."""
    assert _PAGE.read_text('utf-8') == render()
