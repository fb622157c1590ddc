"""Test the suspicions of requests that end the replicas that run them."""

import math
from typing import Any

import pytest

from dragonflyramp.backends import ProbeOutcome
from dragonflyramp.backends._probes import ConnectProbe
from dragonflyramp.members import decode_record
from dragonflyramp.members._suspect_objects import encode_record
from dragonflyramp.suspects import (
    CrashSuspects,
    SuspectRecord,
    Suspicion,
    count_suspicions,
    expire_suspicions,
    has_changes_after,
    report_after,
)
from tests.standins.replicas import ReplicaServer
from tests.suspect_models import World

_TRIAL_INTERVAL_MS = 900_000


def _record(**changes: Any) -> SuspectRecord:
    suspicion = Suspicion(service='a', crash_rounds=3)
    return SuspectRecord(
        **{
            'suspicion': suspicion,
            'software_version': 'v1',
            'changed_ms': 1000,
            **changes,
        }
    )


@pytest.mark.parametrize(
    ('record', 'versions', 'expected_ms'),
    [
        (_record(), {'v1'}, _TRIAL_INTERVAL_MS),
        (_record(), {'v1', 'v2'}, _TRIAL_INTERVAL_MS),
        (_record(), {'v2'}, 0),
        (_record(), set(), _TRIAL_INTERVAL_MS),
        (_record(late_trial_count=2), {'v2'}, math.inf),
        (_record(suspicion=Suspicion(crash_rounds=2)), {'v1'}, 0),
        (
            _record(suspicion=Suspicion(crash_rounds=2), claimed_by='front-1'),
            {'v1'},
            _TRIAL_INTERVAL_MS,
        ),
    ],
)
def test_blocked_request_is_tried_again_rarely(
    record: SuspectRecord, versions: set[str], expected_ms: float
) -> None:
    """A blocked request must not be tried again by time or release forever.

    Nor may it be refused for ever while new software could run it.
    """
    assert record.trial_delay_ms(versions, 1000) == expected_ms


async def test_probe_tells_ended_process_from_live_one() -> None:
    """Only a process that is gone may make a request suspect."""
    server = ReplicaServer('r')
    address = await server.start()
    probe = ConnectProbe()
    assert await probe(address) is ProbeOutcome.listening
    await server.stop()
    assert await probe(address) is ProbeOutcome.refused
    assert await probe('127.0.0.1:99999') is ProbeOutcome.unknown


async def test_other_trial_delays_callers_briefly() -> None:
    """Callers must come back soon when another front tries their request."""
    world = World()
    trying, other = world.fronts[:2]
    suspicion = Suspicion(crash_rounds=2)
    other.suspects.record_crash('f', suspicion, 0)
    assert await trying.claims.claim('f', suspicion)
    world.read_store(other)
    assert 0 < other.claims.delay_seconds('f', suspicion) <= 1
    world.now_ms += 60_000
    assert other.claims.delay_seconds('f', suspicion) > 100


def test_many_crashing_requests_are_bounded() -> None:
    """Thousands of such requests must fill neither memory nor messages."""
    suspects = CrashSuspects()
    blocked = Suspicion(crash_rounds=3)
    suspects.record_crash('kept', blocked, 0)
    for number in range(5000):
        suspects.record_crash(f'f{number}', Suspicion(crash_rounds=1), number)
        suspects.share(f'f{number}')
    assert len(suspects.table) <= 1025
    assert suspects.table.find('kept') == blocked
    report = report_after(suspects.table, 0)
    assert len(report.suspicions) <= 64
    known = CrashSuspects()
    while has_changes_after(suspects.table, report.version):
        known.apply_report(report, 0)
        report = report_after(suspects.table, report.version)
    known.apply_report(report, 0)
    assert len(known.table) == len(suspects.table)
    expire_suspicions(suspects.table, 10000)
    assert not count_suspicions(suspects.table, 1)


@pytest.mark.parametrize(
    'change',
    [
        {'crash_rounds': 'x'},
        {'crash_rounds': -1},
        {'request_id': 'a\nb'},
        {'service': 'x' * 300},
        {'claimed_by': None},
    ],
)
def test_odd_record_is_ignored(change: dict[str, Any]) -> None:
    """A record of another writer must not stop a front or a request."""
    stored = {'meta': {'name': 'f', 'rev': 7}, 'spec': encode_record(_record())}
    decoded = decode_record(stored)
    assert decoded is not None
    assert decoded.record == _record()
    stored['spec'].update(change)
    assert decode_record(stored) is None
