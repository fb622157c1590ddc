"""Test the days of spoiled replies that are drawn for the users' bench."""

import collections
import itertools
import os
import pathlib
import random
import subprocess
import sys
import tomllib
import types
from typing import Any

import pytest

from benchmarks.reply_days import draw_day, format_day
from tests.programs import ROOT

_DAY_COUNT = 400
#: Words of `how` by kind, from `fleetbench kinds`; kinds with no words have no
#: `how` in drawn days. The bench ignores words that it doesn't know.
_KNOWN_WORDS = types.MappingProxyType(
    {
        'add_nodes': '',
        'after_ack_kill': 'kill timed',
        'answer_lost': 'reset across all',
        'big_config': '',
        'burst': '',
        'clock_step': 'back ahead',
        'cold_return': 'dark',
        'config_change': 'route weights timeout idle',
        'config_storm': '',
        'core_cut': 'leader race all',
        'evacuate': 'warm',
        'garble': 'extra late unframed early across all',
        'give_up': 'once',
        'herd_kill': 'power',
        'hup': '',
        'kill_all': '',
        'node_cut': 'all meet servers reset',
        'node_freeze': '',
        'node_kill': 'power leader race meet drain',
        'node_slow': '',
        'platform_compact': 'stale drain',
        'platform_down': 'nodes silent busy reset revoke meet lapse',
        'platform_lost': 'late',
        'platform_slow': '',
        'power_off_all': 'all taken',
        'release': 'across',
        'replace_with_reuse': 'drain dark across',
        'reset_conns': '',
        'reshard': '',
        'retry_abuse': '',
        'roll_term': 'busy',
        'scale_in': 'across',
        'scale_out': '',
        'shift': '',
        'srv_crash': 'dark gone across',
        'srv_grey': 'errors shed busy hang reset mute across',
        'srv_slow': 'across',
        'zone_cut': '',
        'zone_loss': '',
    }
)
_FIELDS = frozenset(
    'kind at how service zone on share count x for_s gap_s down_s'.split()
)
_PLACEHOLDERS = frozenset('@s0 @s1 @s2 @s3 @z0 @z1 @z2'.split())


def _draw_text(number: int) -> str:
    return format_day(draw_day(number, random.Random(number)))


@pytest.fixture(name='days', scope='module')
def _days() -> list[dict[str, Any]]:
    return [tomllib.loads(_draw_text(number)) for number in range(_DAY_COUNT)]


@pytest.mark.parametrize('hash_seed', ['0', '1'])
def test_number_gives_same_day(hash_seed: str, tmp_path: pathlib.Path) -> None:
    """A day must depend neither on the process nor on the days before it."""
    subprocess.run(
        [sys.executable, '-m', 'benchmarks.reply_days', tmp_path, '5', '2'],
        cwd=ROOT,
        env={**os.environ, 'PYTHONHASHSEED': hash_seed},
        check=True,
    )
    texts = {path.name: path.read_text() for path in tmp_path.iterdir()}
    assert texts == {'r5.toml': _draw_text(5), 'r6.toml': _draw_text(6)}
    assert texts['r5.toml'] != texts['r6.toml']


def test_days_have_only_known_entries(days: list[dict[str, Any]]) -> None:
    """The bench must neither reject an entry nor ignore a part of it."""
    for entry in _all_entries(days):
        words = entry.get('how', '').split()
        assert set(words) <= set(_KNOWN_WORDS[entry['kind']].split()), entry
        assert len(words) == len(set(words)), entry
        assert set(entry) <= _FIELDS, entry
        names = {entry[key] for key in ('service', 'zone') if key in entry}
        assert names <= _PLACEHOLDERS, entry


def test_each_kind_is_drawn(days: list[dict[str, Any]]) -> None:
    """No kind or word of the table may be left out by the draw."""
    drawn_words = collections.defaultdict(set)
    for entry in _all_entries(days):
        drawn_words[entry['kind']].update(entry.get('how', '').split())
    assert drawn_words == {
        kind: set(words.split()) for kind, words in _KNOWN_WORDS.items()
    }


def test_each_way_of_spoiling_is_drawn(days: list[dict[str, Any]]) -> None:
    """All ways must be combined, on plain services and on shards."""
    drawn = {
        frozenset((garble.get('service'), *garble['how'].split()))
        for garble in _spoiled_replies(days)
    }
    ways = itertools.product(
        ('unframed', ''),
        ('extra late', 'extra', ''),
        ('early', ''),
        ('all', ''),
        ('@s0 across', '@s2'),
    )
    assert drawn >= {frozenset(' '.join(way).split()) for way in ways}


def test_days_have_shape(days: list[dict[str, Any]]) -> None:
    """A day must neither lack spoiled replies nor drown in other trouble."""
    for day in days:
        spoiled_count = len(list(_spoiled_replies([day])))
        assert 3 <= spoiled_count <= 5
        assert 3 <= len(day['faults']) - spoiled_count <= 6
        assert 1 <= len(day['plan']) <= 4
    assert {'closing' in day for day in days} == {True, False}
    assert {'classes' in day for day in days} == {True, False}


@pytest.mark.parametrize('kind', ['config_change', 'config_storm', 'reshard'])
def test_plans_meet_spoiled_replies(
    kind: str, days: list[dict[str, Any]]
) -> None:
    """Half of the changes or more must start while replies are spoiled."""
    meetings = [
        any(
            garble['at'] <= entry['at'] <= garble['at'] + garble['for_s']
            for garble in _spoiled_replies([day])
        )
        for day in days
        for entry in day['plan']
        if entry['kind'] == kind
    ]
    assert meetings
    assert sum(meetings) * 2 >= len(meetings)


def _spoiled_replies(days: list[dict[str, Any]]) -> list[dict[str, Any]]:
    return [
        entry
        for day in days
        for entry in day['faults']
        if entry['kind'] == 'garble'
    ]


def _all_entries(days: list[dict[str, Any]]) -> list[dict[str, Any]]:
    closings = [day['closing'] for day in days if 'closing' in day]
    return [
        *closings,
        *(entry for day in days for entry in (*day['plan'], *day['faults'])),
    ]
