"""Test that replicas that leave or want a pause get no further requests."""

import asyncio
import contextlib
import math
import pathlib
import time

import aiohttp
import attrs
import pytest

from dragonflyramp.backends import (
    Fleet,
    HedgingPolicy,
    NoHedging,
    Policies,
    Preconnector,
    RouteLatencies,
    expire_notices,
    hold_domains,
    resume_delay_seconds,
)
from dragonflyramp.callers import MergedAnswer, Refusal
from dragonflyramp.callers._retry_delays import retry_after_seconds
from dragonflyramp.metrics import counters
from dragonflyramp.platform import ReplicaCodec
from dragonflyramp.replica_notices import ReplicaNotices
from dragonflyramp.replicas import ReplicaEntry, ReplicaState
from dragonflyramp.routes import GatherSettings
from dragonflyramp.runtime import TaskSet
from tests.deployments import run_deployment, send_request
from tests.front_harnesses import (
    FrontHarness,
    make_route,
    make_table,
    run_harness,
)
from tests.standins.stores import StoreFaults
from tests.standins.waits import eventually

_NO_HEDGING = Policies(hedging=NoHedging())
_TABLE = make_table(make_route())


class _EarlyHedging(HedgingPolicy):
    def delay_ms(self, latencies: RouteLatencies) -> float:
        """Return a delay after which a connection is open."""
        return 50


_SEARCH_TABLE = make_table(
    make_route(
        gather=GatherSettings(('a', 'b', 'c', 'd'), top_count=3, min_share=0.75)
    )
)


def _entry(
    replica_id: str = 'r', *, service: str = 'a', start_time_ms: int = 7
) -> ReplicaEntry:
    return ReplicaEntry(
        replica_id=replica_id,
        service=service,
        address='127.0.0.1:1',
        failure_domain='recife',
        state=ReplicaState.ready,
        start_time_ms=start_time_ms,
    )


def _fleet(*entries: ReplicaEntry) -> Fleet:
    fleet = Fleet(
        create_connection=lambda address, hooks: pytest.fail('connected'),
        tasks=TaskSet(),
    )
    for entry in entries:
        fleet.update(entry.replica_id, entry, 1)
    return fleet


def _usable_ids(fleet: Fleet, now_seconds: float) -> set[str]:
    usable = fleet.usable_replicas('a', now_seconds)
    return {replica.entry.replica_id for replica in usable}


def test_leaving_outlives_its_entry() -> None:
    """A replica whose entry returns after an outage must stay unused."""
    fleet = _fleet(_entry('r'), _entry('s'))
    fleet.reply_notices.notices.record_leaving('r', 7, 10)
    assert _usable_ids(fleet, 10) == {'s'}
    fleet.update('r', None, 11)
    expire_notices(fleet, 60)
    fleet.update('r', _entry('r'), 61)
    assert _usable_ids(fleet, 62) == {'s'}


def test_restarted_replica_is_used_again() -> None:
    """A notice concerns one process, not the next one with the same id."""
    fleet = _fleet(_entry())
    notices = fleet.reply_notices.notices
    notices.record_leaving('r', 7, 10)
    fleet.update('r', _entry(start_time_ms=8), 11)
    assert _usable_ids(fleet, 11) == {'r'}
    expire_notices(fleet, 12)
    assert not notices.leaving_since(-math.inf)
    # A late report of the earlier process changes nothing.
    notices.record_leaving('r', 8, 12)
    notices.record_leaving('r', 7, 13)
    assert notices.leaving_since(-math.inf) == {'r': 8}


def test_gone_replica_leaves_no_notice() -> None:
    """Notices must not pile up while replicas come and go."""
    fleet = _fleet(_entry())
    notices = fleet.reply_notices.notices
    notices.record_leaving('r', 7, 10)
    expire_notices(fleet, 500)
    assert notices.leaving_since(-math.inf) == {'r': 7}
    fleet.update('r', None, 501)
    expire_notices(fleet, 900)
    assert not notices.leaving_since(-math.inf)


def test_notices_are_bounded() -> None:
    """A daemon that reports many unknown replicas must not fill the memory."""
    notices = ReplicaNotices()
    notices.record_reported({f'r{number}': 1 for number in range(20000)}, 1)
    assert len(notices.leaving_since(0)) <= 16384


def test_pause_ends_at_its_time() -> None:
    """A pause must last as long as the replica asked, and not for ever."""
    fleet = _fleet(_entry())
    fleet.reply_notices.notices.record_pause('r', 7, 2.5, 10)
    assert not _usable_ids(fleet, 12.4)
    assert resume_delay_seconds(fleet, 'a', 12) == pytest.approx(0.5)
    assert _usable_ids(fleet, 12.5) == {'r'}
    fleet.reply_notices.notices.record_pause('r', 7, 1e11, 20)
    assert _usable_ids(fleet, 321) == {'r'}


def test_callers_return_when_services_resume() -> None:
    """A refused caller must hear when the first replica is back.

    Sooner, it would be refused again; later, it would lose time.
    """
    entries = [_entry(name, service=name) for name in ('a', 'b', 'c')]
    fleet = _fleet(*entries, _entry('a2'))
    notices = fleet.reply_notices.notices
    notices.record_pause('a', 7, 9, 10)
    notices.record_pause('a2', 7, 3, 10)
    notices.record_pause('b', 7, 5, 10)
    services = ('a', 'b', 'c')
    assert [
        retry_after_seconds(fleet, services, required_count, 0.25, 10)
        for required_count in (1, 2, 3)
    ] == [0.25, 3, 5]
    notices.record_leaving('b', 7, 11)
    assert retry_after_seconds(fleet, services, 3, 0.25, 11) == pytest.approx(
        0.25
    )


@pytest.mark.parametrize(
    ('text', 'pause_seconds'),
    [
        ('1.5', 1.5),
        ('0', 0),
        ('-3', None),
        ('nan', None),
        ('inf', None),
        ('soon', None),
        ('9' * 5000, None),
    ],
)
def test_malformed_retry_after_is_counted(
    text: str, pause_seconds: float | None
) -> None:
    """An absurd value must neither raise nor take the replica out for good."""
    before = counters.get('backend_faults', 'bad_retry_after')
    reply = ReplicaCodec().decode(503, (('Retry-After', text),), b'')
    assert reply.pause_seconds == pause_seconds
    counted = counters.get('backend_faults', 'bad_retry_after') - before
    assert counted == (pause_seconds is None)


def test_retry_after_of_a_failure_is_no_pause() -> None:
    """Only a replica that turned a request away asks for a pause."""
    reply = ReplicaCodec().decode(500, (('Retry-After', '9'),), b'')
    assert reply.pause_seconds is None


async def _send_until_leaving(harness: FrontHarness, index: int) -> int:
    """Send requests until a replica has answered; return its request count."""
    server = harness.server('a', index)
    for number in range(20):
        await harness.send(request_id=f'first{number}')
        if server.heads:
            return len(server.heads)
    pytest.fail('the replica received no request')


@pytest.mark.parametrize('fault', ['', 'failed', 'shed'])
async def test_leaving_replica_gets_no_more_requests(fault: str) -> None:
    """A reply of any status must stop the requests, hedges and connections."""
    async with run_harness(_TABLE, policies=_NO_HEDGING) as harness:
        leaving = harness.server('a', 0)
        leaving.faults.leaving = True
        if fault:
            leaving.faults.plan(fault)
        request_count = await _send_until_leaving(harness, 0)
        connection_count = leaving.connection_count
        for number in range(10):
            await harness.send(request_id=f'q{number}')
        fleet = harness.front.backend_client.fleet
        Preconnector(fleet, lambda: ('a',), harness.front.clock).open_missing(
            harness.front.clock()
        )
        assert len(leaving.heads) == request_count
        assert leaving.connection_count == connection_count


async def test_misdirected_reply_of_leaving_counts() -> None:
    """A replica that took over the address of another one may leave too."""
    async with run_harness(_TABLE, 1, policies=_NO_HEDGING) as harness:
        server = harness.server('a', 0)
        fleet = harness.front.backend_client.fleet
        successor = attrs.evolve(
            _entry('successor'), service='b', address=server.address
        )
        fleet.update('successor', successor, time.monotonic())
        server.replica_id = 'successor'
        server.faults.leaving = True
        await harness.send()
        assert not fleet.usable_replicas('b', time.monotonic())


async def test_late_reply_of_leaving_replica_counts() -> None:
    """A reply that arrives after its hedge answered must count as well."""
    policies = Policies(hedging=_EarlyHedging())
    async with run_harness(_TABLE, policies=policies) as harness:
        fleet = harness.front.backend_client.fleet
        request = asyncio.create_task(_send(harness))
        first = harness.server_by_id(await _first_waiting_id(fleet))
        first.faults.work_seconds = 0.15
        first.faults.leaving = True
        await request
        await eventually(lambda: len(_usable_ids(fleet, time.monotonic())) == 1)


async def test_waiting_request_is_withdrawn() -> None:
    """A request that waits for a connection must not reach a leaving replica.

    The connection opens only after another reply said that the replica leaves.
    """
    async with run_harness(_TABLE, policies=_NO_HEDGING) as harness:
        fleet = harness.front.backend_client.fleet
        request = asyncio.create_task(_send(harness))
        replica_id = await _first_waiting_id(fleet)
        fleet.reply_notices.notices.record_leaving(
            replica_id, 0, time.monotonic()
        )
        await request
        assert not harness.server_by_id(replica_id).heads
        assert harness.run_count('a') == 1


async def _send(harness: FrontHarness) -> object:
    return await harness.send()


async def _first_waiting_id(fleet: Fleet) -> str:
    """Return the id of the replica to which a connection is being opened."""
    while True:
        for replica in fleet.all_replicas().values():
            if any(not exchange.is_written for exchange in replica.in_flight):
                return replica.entry.replica_id
        await asyncio.sleep(0)


async def test_held_domain_gets_no_waiting_request() -> None:
    """A hold must reach requests that wait for a connection."""
    async with run_harness(_TABLE, 1, policies=_NO_HEDGING) as harness:
        fleet = harness.front.backend_client.fleet
        request = asyncio.create_task(_send(harness))
        await _first_waiting_id(fleet)
        hold_domains(fleet, frozenset(('recife',)))
        answer = await request
        assert isinstance(answer, Refusal)
        assert not answer.may_have_run
        assert not harness.server('a', 0).heads


async def test_all_paused_is_refused_at_once() -> None:
    """Without a replica that takes requests, a caller must not wait.

    It is told the time at which the first replica is back.
    """
    async with run_harness(_TABLE, policies=_NO_HEDGING) as harness:
        for index, pause_seconds in enumerate(('40', '20')):
            faults = harness.server('a', index).faults
            faults.retry_after = pause_seconds
            faults.shed = 9
        first_answer = await harness.send(request_id='q1')
        second_answer = await harness.send(request_id='q2')
        for answer in (first_answer, second_answer):
            assert isinstance(answer, Refusal)
            assert not answer.may_have_run
            assert 15 < (answer.retry_after_seconds or 0) <= 20
        requests = [server.heads for server in harness.servers['a']]
        assert [len(heads) for heads in requests] == [1, 1]


async def test_shard_that_leaves_is_missing() -> None:
    """A search must state a shard without replicas as missing."""
    async with run_harness(_SEARCH_TABLE, policies=_NO_HEDGING) as harness:
        fleet = harness.front.backend_client.fleet
        for index in (0, 1):
            fleet.reply_notices.notices.record_leaving(
                f'b-{index}', 0, time.monotonic()
            )
        answer = await harness.send()
        assert isinstance(answer, MergedAnswer)
        assert answer.missing_count == 1
        assert not harness.run_count('b')


async def test_restarted_front_skips_leaving_replica(
    tmp_path: pathlib.Path,
) -> None:
    """A front must hear from another front which replicas leave.

    The store is away, and the entry of the replica still says that it is ready.
    """
    async with contextlib.AsyncExitStack() as cleanup:
        deployment = await cleanup.enter_async_context(run_deployment(tmp_path))
        session = await cleanup.enter_async_context(aiohttp.ClientSession())
        deployment.store_server.store.faults = StoreFaults(status=503)
        deployment.store_server.store.wake_watches()
        first_front = deployment.fronts[0]
        await send_request(session, first_front, '/lookup/x', 'q0')
        leaving = next(
            server for server in deployment.replicas['lookup'] if server.heads
        )
        leaving.faults.leaving = True
        for number in range(20):
            await send_request(session, first_front, '/lookup/x', f'p{number}')
        request_count = len(leaving.heads)
        assert request_count == 2
        settings = (tmp_path / 'front-0.yaml').read_text()
        control_address = settings.partition('control: ')[2].split()[0]
        front = await deployment.start_front('front-new', [control_address])
        await front.wait_ready()
        for number in range(20):
            answer = await send_request(
                session, front, '/lookup/x', f'r{number}'
            )
            assert answer.status == 200
        assert len(leaving.heads) == request_count
