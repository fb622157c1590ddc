"""Test that one request cannot crash backend server after server."""

import asyncio
import random
from collections.abc import Callable

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from dragonflyramp.callers import (
    Quarantine,
    QuarantineEntry,
    QuarantineSettings,
)
from dragonflyramp.callers._quarantine import fingerprint_of
from dragonflyramp.callers._suspects import Suspects
from dragonflyramp.callers._suspicions import Exposure
from dragonflyramp.models import Service
from dragonflyramp.results import ResultCode, RunState
from tests.standins.front_cases import ALL, CANARY, Case, codes
from tests.standins.front_fakes import DESK, Asked, Reply
from tests.standins.virtual_time import run_virtual

QUARANTINED = ResultCode.quarantined


@attrs.define
class Killer:
    """Crash every backend server that runs the body, and count them."""

    delays_ms: Callable[[], float] = lambda: 5
    body: bytes = b'{}'
    is_refused: Callable[[], bool] = bool
    crashes: int = 0

    def __call__(self, asked: Asked) -> Reply:
        """Crash after a delay, or refuse after it without running.

        Both happen in time: a relay answers within its deadline.
        """
        if asked.query.body != self.body:
            return Reply()
        delay_ms = min(self.delays_ms(), asked.query.remaining_ms)
        if self.is_refused():
            return Reply(code=ResultCode.replica_cold, delay_ms=delay_ms)
        self.crashes += 1
        return Reply(code=ResultCode.connection_reset, delay_ms=delay_ms)


async def resend(case: Case, gaps_ms: list[float]) -> set[ResultCode]:
    """Search again and again, partly at the same time."""
    tasks = []
    for gap_ms in gaps_ms:
        tasks.append(asyncio.create_task(case.search()))
        await asyncio.sleep(gap_ms / 1000)
    found = await asyncio.gather(*tasks)
    return {
        ResultCode.ok if is_successful(one) else one.failure().code
        for one in found
    }


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    gaps_ms=st.lists(st.sampled_from([0, 1, 7, 40, 300]), min_size=2),
    seed=st.integers(0, 1000),
    refused=st.sampled_from([0, 0.5]),
)
def test_canary_bounds_crashes_to_two(
    gaps_ms: list[float], seed: int, refused: float
) -> None:
    """A caller that resends a fatal request could take every server down.

    Refused canaries are replaced at once, which must not add crashes.
    """
    rng = random.Random(seed)
    killer = Killer(
        lambda: rng.uniform(1, 150),
        is_refused=lambda: rng.random() < refused,
    )
    case = Case(killer, desk=CANARY)
    run_virtual(resend(case, gaps_ms))
    assert killer.crashes <= 2


def test_without_canary_one_more_per_shard() -> None:
    """The wave that is running cannot be stopped, a second one can."""
    killer = Killer()
    case = Case(killer)
    found = run_virtual(resend(case, [20, 20, 20]))
    assert 2 < killer.crashes <= len(ALL) + 1
    assert found == {QUARANTINED}


@pytest.mark.parametrize('desk', [DESK, CANARY])
def test_refusal_tells_whether_parts_ran(desk: Service) -> None:
    """A caller told "not run" could take a request that ran elsewhere."""
    case = Case(Killer(), desk=desk)

    async def twice() -> list[RunState]:  # noqa: WPS430 - one use
        found = [await case.search(), await case.search()]
        return [one.failure().run for one in found]

    assert run_virtual(twice()) == [RunState.unknown, RunState.not_run]
    assert (
        not run_virtual(Case(Killer()).search(b'[]')).unwrap().coverage.missing
    )


@pytest.mark.parametrize('desk', [DESK, CANARY])
@pytest.mark.parametrize('victims', [ALL[:1], ALL[1:], ALL[-1:]])
def test_crash_by_chance_is_not_held_against(
    desk: Service, victims: tuple[str, ...]
) -> None:
    """A failure domain that dies would quarantine what ran there."""
    pending = set(victims)

    def behaviour(asked: Asked) -> Reply:  # noqa: WPS430 - holds state
        if asked.shard in pending:
            pending.remove(asked.shard)
            return Reply(code=ResultCode.connection_reset)
        return Reply()

    case = Case(behaviour, desk=desk)
    assert run_virtual(resend(case, [0, 50])) == {ResultCode.ok}
    assert case.answer().coverage.fraction == 1


def test_second_crash_of_a_shard_quarantines() -> None:
    """A request fatal to one shard could crash all its replicas in turn."""
    killer = Killer()
    case = Case(lambda one: killer(one) if one.shard == 's2' else Reply())
    assert run_virtual(resend(case, [20, 20, 20])) == {QUARANTINED}
    assert killer.crashes == 2


def test_quarantine_of_other_front_is_kept() -> None:
    """Each front would let the request crash servers anew."""
    case = Case(Killer())
    fingerprint = fingerprint_of('desk', b'{}')
    case.front.quarantine.add(fingerprint, 5000, 1000)
    assert run_virtual(resend(case, [0])) == {QUARANTINED}
    assert not case.links.queries


def test_quarantine_is_bounded_in_time_and_space() -> None:
    """Members that pass entries on could keep them for ever."""
    quarantine = Quarantine(QuarantineSettings(max_quarantined=2))
    quarantine.add('a', 999_000, 10)
    quarantine.add('a', 60_000, 30)
    assert quarantine.entries(30) == (QuarantineEntry('a', 40_000),)
    assert not quarantine.entries(69.5)
    assert not quarantine.contains('a', 70)
    for number in range(5):
        quarantine.add(f'{number}', 30_000 + number, 71)
    assert [one.fingerprint for one in quarantine.entries(71)] == ['3', '4']


def test_suspects_are_bounded() -> None:
    """Ever new requests that crash servers could fill the memory."""
    suspects = Suspects(Quarantine(QuarantineSettings(max_suspects=3)))
    for number in range(9):
        exposure = Exposure(
            fingerprint=f'{number}',
            shard='s0',
            attempt_id='a',
            sent_seconds=1,
            until_seconds=9,
        )
        suspects.crash(exposure, 2)
    is_limited = [
        suspects.is_limited(f'{suspect}', 3, has_canary=False)
        for suspect in range(9)
    ]
    assert is_limited == [suspect >= 6 for suspect in range(9)]


NO_REPLICA = ResultCode.no_replica
LATE = ResultCode.deadline_exceeded
HELD = ResultCode.canary_incomplete


@pytest.mark.parametrize(
    ('first', 'second', 'asked', 'missing'),
    [
        # The rest follows the first completion.
        (Reply(), None, 'r1:s0 r1:s1,s2,s3', ()),
        # A silent relay holds the first canary; another relay runs the second.
        (None, Reply(), 'r1:s0 r2:s1 r1:s2,s3 r2:s0 r2:s2,s3', ()),
        # A replica that is missing is no reason to hold the rest.
        (
            Reply(code=NO_REPLICA),
            None,
            'r1:s0 r1:s1 r1:s2 r1:s3',
            (NO_REPLICA,) * 4,
        ),
        # No canary completes: the rest is never sent.
        (None, None, 'r1:s0 r2:s1', (LATE, LATE, HELD, HELD)),
    ],
)
def test_canaries_go_first(
    first: Reply | None,
    second: Reply | None,
    asked: str,
    missing: tuple[ResultCode, ...],
) -> None:
    """The rest could be sent too early, or never."""
    replies = {'r1': first, 'r2': second}
    case = Case(lambda one: replies[one.relay_id], desk=CANARY)
    assert tuple(codes(case.answer()).values()) == missing
    assert case.links.asked() == asked.split()


@pytest.mark.parametrize(
    'code', [ResultCode.replica_cold, ResultCode.no_lease, NO_REPLICA]
)
def test_refused_canary_costs_no_wait(code: ResultCode) -> None:
    """While one canary waits, each refused one cost a whole wait.

    The deadline then passed before a shard was asked that could run.
    """
    replies = {'s0': None, 's3': Reply()}
    refused = Reply(code=code)
    case = Case(lambda one: replies.get(one.shard, refused), desk=CANARY)
    assert case.answer().coverage.merged == 10
    left_ms = {
        query.attempts[0].shard: query.remaining_ms
        for _, query in reversed(case.links.queries)
    }
    assert left_ms['s1'] - left_ms['s3'] <= 3
