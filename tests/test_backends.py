"""Test BackendTier against backend servers in the same process."""

import asyncio
import contextlib
import gc
import hashlib
import json
import random
import sys
import time
import types
import warnings
from collections.abc import AsyncIterator, Mapping
from typing import Any

import aiohttp
import attrs
import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyramp.backends import PolicySet, Reply, http_client_factory
from dragonflyramp.messages import Part, Report
from dragonflyramp.models import (
    Configuration,
    Hold,
    HoldKind,
    LeaseState,
    VmState,
)
from dragonflyramp.results import ResultCode, RunState
from tests.backend_harness import (
    GUARD_SECONDS,
    SLICE,
    Harness,
    configuration,
    machines,
    quick_settings,
    relay,
    running,
)
from tests.standins.backend_models import ServerSpec, SnapshotSpec
from tests.standins.backend_servers import BackendServer
from tests.standins.backends import Fleet
from tests.standins.fakes import scripted_clients

OK = frozenset((ResultCode.ok,))

#: A rate at which tests need not wait long for a cold server.
RATE: Mapping[str, Any] = types.MappingProxyType(
    {'cold_requests_per_second': 20}
)

#: What a scripted server answers; an answer with the flag False was not sent.
ANSWERS = (
    ResultCode.ok,
    ResultCode.shed,
    ResultCode.draining,
    ResultCode.snapshot_gone,
    ResultCode.backend_error,
    ResultCode.bad_reply,
    ResultCode.connection_reset,
)


def specs(*replica_ids: str, **fields: Any) -> list[ServerSpec]:
    """Describe servers whose shard is the first part of the id."""
    return [
        ServerSpec(
            replica_id=replica_id,
            shard=replica_id.partition('-')[0],
            **fields,
        )
        for replica_id in replica_ids
    ]


@contextlib.asynccontextmanager
async def warm(*replica_ids: str, **fields: Any) -> AsyncIterator[Harness]:
    """Run servers whose replicas are known as warm, with a proven body."""
    both = {'slots', 'cold_requests_per_second'}
    names = attrs.fields_dict(ServerSpec).keys() & fields.keys()
    server_fields = {name: fields[name] for name in names}
    service_fields = {
        name: field
        for name, field in fields.items()
        if name not in names or name in both
    }
    described = specs(*replica_ids, **server_fields)
    async with running(described, **service_fields) as harness:
        harness.make_warm()
        assert await harness.codes(1) == OK
        yield harness


async def test_search_gives_one_part_per_attempt() -> None:
    """A lost or doubled part would leave a search open or miscounted."""
    async with warm('x-1', 'x-2', 'y-1', 'y-2') as harness:
        parts = await harness.search(harness.query('x', 'y'))
        assert {part.code for part in parts.values()} == OK
        assert {part.documents for part in parts.values()} == {100}
        assert json.loads(parts['x'].body)['hits'][0]['id'] == 'x/1'


async def test_cold_servers_get_warm_without_overload() -> None:
    """Invariant 3, while all callers come at once and all servers are cold."""
    cold = specs('x-1', 'x-2', cold=True, **RATE)
    async with running(cold, **RATE) as harness:
        async with asyncio.timeout(GUARD_SECONDS):
            while {harness.state('x-1'), harness.state('x-2')} != {'warm'}:
                await harness.codes(8)
        records = [server.records for server in harness.fleet.servers.values()]
        assert [record.violations for record in records] == [0, 0]
        assert max(record.largest_connections for record in records) <= 4


@pytest.mark.parametrize('away', ['restart', 'crash', 'hold'])
async def test_replica_returns_cold_and_gets_warm(away: str) -> None:
    """A server that comes back has to bear probes only, but must get them."""
    async with warm('x-1', 'x-2', service_ms=2, **RATE) as harness:
        server = harness.fleet['x-1']
        if away == 'hold':
            harness.source.adopt(held('x-1'))
            await harness.until(lambda: harness.state('x-1') == 'leaving')
            server.turn_cold()
            harness.source.adopt(configuration(('x',), 3, **RATE))
        else:
            getattr(server, away)()
        await harness.until(lambda: harness.state('x-1') == 'cold')
        async with asyncio.timeout(GUARD_SECONDS):
            while harness.state('x-1') != 'warm':
                assert await harness.codes(2) == OK
        assert server.records.violations == 0


def held(replica_id: str) -> Configuration:
    """Make a configuration with a hold on a replica."""
    hold = Hold(
        name=replica_id,
        kind=HoldKind.replica,
        by='ana',
        at='2026-12-04T10:00:00Z',
        reason='test',
    )
    adopted = configuration(('x',), 2, **RATE)
    return attrs.evolve(adopted, holds={replica_id: hold})


async def test_restarted_server_is_met_cold() -> None:
    """Work on a new connection would meet a server that just restarted."""
    unseen = quick_settings(status_period_seconds=60)
    async with warm('x-1', settings=unseen, hedge_budget=0) as harness:
        assert await harness.codes(3) == OK
        harness.fleet['x-1'].restart()
        await asyncio.sleep(0.05)
        await harness.codes(3, ms=100)
        assert harness.state('x-1') == 'cold'
        assert harness.fleet['x-1'].records.violations == 0


async def test_stalled_relay_blames_no_server() -> None:
    """A relay that was paused must not turn all its replicas cold."""
    no_extra = {'hedge_budget': 0, 'retry_budget': 0}
    async with warm('x-1', **no_extra) as harness:
        for _ in range(5):
            assert await harness.codes(2) == OK
        harness.fleet['x-1'].faults.straggle_ms = 30
        search = asyncio.create_task(harness.codes(1))
        await harness.until(lambda: bool(busy(harness)))
        time.sleep(0.3)
        await search
        assert harness.state('x-1') == 'warm'


@pytest.mark.parametrize('mode', ['shed', 'stall'])
async def test_server_turns_cold_without_a_sign(mode: str) -> None:
    """The first shed reply has to end the load of a warm replica."""
    async with warm('x-1', 'x-2', collapse_mode=mode, **RATE) as harness:
        harness.fleet['x-1'].turn_cold()
        async with asyncio.timeout(GUARD_SECONDS):
            while harness.state('x-1') == 'warm':
                await harness.codes(4)
            while harness.state('x-1') != 'warm':
                await harness.codes(4)
        assert harness.fleet['x-1'].records.violations == 1


@pytest.mark.parametrize(
    ('state', 'make_warm', 'code'),
    [
        (LeaseState.held, False, ResultCode.ok),
        (LeaseState.lapsed, False, ResultCode.no_lease),
        (LeaseState.deputy, False, ResultCode.no_lease),
        (LeaseState.foreign, False, ResultCode.not_owner),
        (LeaseState.lapsed, True, ResultCode.ok),
        (LeaseState.deputy, True, ResultCode.ok),
        (LeaseState.foreign, True, ResultCode.not_owner),
    ],
)
async def test_lease(
    state: LeaseState, make_warm: bool, code: ResultCode
) -> None:
    """Without a lease another relay may use the cold replicas."""
    quick = quick_settings(cold_pause_seconds=0)
    async with running(specs('x-1'), settings=quick, **RATE) as harness:
        if make_warm:
            harness.make_warm()
        harness.leases.state = state
        assert await harness.codes(1) == {code}
        assert harness.fleet['x-1'].records.searches == int(
            code is ResultCode.ok
        )


@pytest.mark.parametrize(
    ('state', 'slots', 'largest'),
    [
        (LeaseState.held, 6, 6),
        (LeaseState.lapsed, 6, 3),
        (LeaseState.lapsed, 1, 1),
        (LeaseState.deputy, 6, 1),
    ],
)
async def test_slots_under_each_lease(
    state: LeaseState, slots: int, largest: int
) -> None:
    """Relays that share a replica must together stay within its slots."""
    async with warm('x-1', slots=slots, service_ms=10) as harness:
        harness.leases.state = state
        assert await harness.codes(12, ms=2000) == OK
        assert harness.fleet['x-1'].records.largest_concurrency == largest


async def test_gained_shard_waits_until_settled() -> None:
    """The relay that held the shard before may still use cold replicas."""
    quick = quick_settings(cold_pause_seconds=0)
    async with running(specs('x-1'), settings=quick, **RATE) as harness:
        harness.leases.settled = 0
        assert await harness.codes(1) == {ResultCode.no_lease}
        harness.leases.settled = 1
        assert await harness.codes(1) == OK


async def test_cold_request_ends_before_the_lease() -> None:
    """A paused holder must not leave a request running past its lease."""
    quick = quick_settings(cold_pause_seconds=0)
    slow = specs('x-1', service_ms=10_000)
    async with running(slow, settings=quick, **RATE) as harness:
        harness.leases.until_seconds = harness.clock() + 0.2
        codes = await harness.codes(1, ms=5000)
        assert codes <= {ResultCode.connection_silent, ResultCode.no_lease}
        records = harness.fleet['x-1'].records
        assert 0 < records.largest_deadline_ms <= 200
        await harness.until(
            lambda: records.cancelled + records.expired == records.searches
        )


async def test_resumed_process_trusts_nothing() -> None:
    """A paused relay does not know what happened to its replicas."""
    async with warm('x-1') as harness:
        harness.leases.until_seconds = harness.clock() + 3
        harness.clock.offset_seconds = 60
        assert await harness.codes(1) == {ResultCode.no_replica}
        await harness.until(lambda: harness.state('x-1') == 'cold')
        assert await harness.codes(1) == {ResultCode.no_lease}


async def test_refusals_have_their_own_codes() -> None:
    """A caller can only react to a refusal whose reason it knows."""
    async with running(specs('x-1')) as harness:
        assert await harness.codes(1, ms=50) == {ResultCode.replica_cold}
        assert await harness.codes(1, ms=0) == {ResultCode.queue_expired}
        parts = await harness.search(harness.query('elsewhere'))
        assert parts['elsewhere'].code is ResultCode.not_owner


async def test_full_queue_has_its_own_codes() -> None:
    """A queue without a bound answers everybody too late."""
    patient = quick_settings(
        silence_deadline_fraction=1, silence_floor_seconds=5
    )
    async with warm(
        'x-1', settings=patient, slots=1, queue_length=2, hedge_budget=0
    ) as harness:
        harness.fleet['x-1'].faults.straggle_ms = 1000
        assert await harness.codes(8, ms=200) == {
            ResultCode.deadline_exceeded,
            ResultCode.queue_full,
            ResultCode.queue_expired,
        }


async def test_unusable_replicas_have_their_own_codes() -> None:
    """A front goes to another relay only when that can help."""
    async with warm('x-1') as harness:
        harness.source.isolated = True
        assert await harness.codes(1) == {ResultCode.isolated}
        harness.source.isolated = False
        harness.source.adopt(held('x-1'))
        await harness.until(lambda: harness.state('x-1') == 'leaving')
        assert await harness.codes(1) == {ResultCode.no_replica}


async def test_drain_waits_for_what_runs() -> None:
    """Invariant 9: a planned stop must not interrupt a request."""
    async with warm('x-1', service_ms=50) as harness:
        search = asyncio.create_task(harness.search(harness.query('x')))
        await asyncio.sleep(0)
        await harness.tier.drain()
        assert (await search)['x'].code is ResultCode.ok
        assert await harness.codes(1) == {ResultCode.stopping}


@pytest.mark.parametrize(
    'signal', ['drain', 'hold', 'vm_list', 'refused', 'closed listener']
)
async def test_leaving_replica_gets_no_new_work(signal: str) -> None:
    """Invariants 4 and 8: the other replicas have to serve everything.

    Connections that are open already stay open when a listener is closed.
    """
    settings = quick_settings(status_reconnect_seconds=0.2)
    async with warm('x-1', 'x-2', settings=settings) as harness:
        server = harness.fleet['x-1']
        match signal:
            case 'drain':
                server.faults.draining = True
            case 'hold':
                harness.source.adopt(held('x-1'))
            case 'vm_list':
                harness.vm_list.list_machines(
                    machines(harness.fleet, VmState.leaving)
                )
            case 'refused':
                server.stop_listening()
                server.reset_connections()
            case _:
                server.stop_listening()
        await harness.until(lambda: harness.state('x-1') == 'leaving')
        received = server.records.received
        if signal != 'vm_list':
            assert await harness.codes(20) <= OK
        assert server.records.received == received
        await server.start_listening()
        server.restart()
        if signal != 'hold':
            await harness.until(lambda: harness.state('x-1') == 'cold')


async def test_vm_list_adds_and_removes_replicas() -> None:
    """A list that is down or lags must not take good replicas away."""
    async with running(specs('x-1', 'x-2')) as harness:
        both = harness.vm_list.machines
        harness.vm_list.list_machines(both[:1])
        await harness.until(lambda: len(harness.tier.describe()) == 1)
        harness.vm_list.list_machines(both)
        await harness.until(lambda: len(harness.tier.describe()) == 2)
        harness.vm_list.down = True
        harness.vm_list.list_machines(())
        await asyncio.sleep(0.2)
        assert len(harness.tier.describe()) == 2


async def test_retry_goes_to_another_replica() -> None:
    """A server that sheds must cost a retry, not the shard's part."""
    async with warm('x-1', 'x-2', 'x-3') as harness:
        harness.fleet['x-1'].faults.shed = True
        harness.fleet['x-2'].faults.error = True
        for _ in range(5):
            assert await harness.codes(1) == OK


async def test_hedge_cancels_the_loser() -> None:
    """A straggler must cost a hedge, and its connection is closed."""
    async with warm('x-1', 'x-2') as harness:
        for _ in range(30):
            assert await harness.codes(2) == OK
        harness.fleet['x-1'].faults.straggle_ms = 5000
        harness.fleet['x-2'].faults.straggle_ms = 0
        records = harness.fleet['x-1'].records
        searches = records.searches
        async with asyncio.timeout(GUARD_SECONDS):
            while records.searches == searches:
                assert await harness.codes(2) == OK
        await harness.until(lambda: records.cancelled >= 1)


async def test_silent_connections_blame_no_server() -> None:
    """Connections that go silent while new ones work need a fresh one."""
    async with warm('x-1', hedge_budget=0) as harness:
        for _ in range(10):
            assert await harness.codes(3) == OK
        harness.fleet['x-1'].freeze()
        assert await harness.codes(3) == OK
        assert harness.state('x-1') == 'warm'


async def test_crash_is_reported_and_not_repeated() -> None:
    """A request that crashes servers must not go through all of them."""
    async with warm('x-1', 'x-2', 'x-3', 'y-1') as harness:
        for server in harness.fleet.servers.values():
            server.faults.crash_text = 'poison'
        poison = harness.query('x', 'y', body=b'"poison"', ms=300)
        parts = await harness.search(poison)
        servers = harness.fleet.servers.values()
        assert sum(each.records.crashes for each in servers) == 1
        codes = {part.code for part in parts.values()}
        assert codes == {ResultCode.connection_reset, ResultCode.queue_expired}
        assert await harness.codes(1) == OK


async def test_held_back_body_runs_after_the_next_try() -> None:
    """A server that died by itself must not cost the other shards."""
    async with warm('x-1', 'x-2', 'y-1', service_ms=20) as harness:
        query = harness.query('x', 'y', body=b'"new"', ms=3000)
        outbox: asyncio.Queue[Part] = asyncio.Queue()
        harness.tier.start_query(query, outbox)
        await harness.until(lambda: bool(busy(harness)))
        busy(harness)[0].crash()
        first = await outbox.get()
        assert first.code is ResultCode.connection_reset
        again = harness.query(first.shard, body=b'"new"', ms=3000)
        assert (await harness.search(again))[first.shard].code is ResultCode.ok
        assert (await outbox.get()).code is ResultCode.ok


def busy(harness: Harness) -> list[Any]:
    """List the servers on which a request runs."""
    servers = harness.fleet.servers.values()
    return [server for server in servers if server.load.running]


async def test_unproven_body_runs_alone() -> None:
    """A body that may crash servers runs once before it runs everywhere."""
    shards = [f's{number}' for number in range(6)]
    async with warm(*(f'{name}-1' for name in shards), 'x-1') as harness:
        largest = 0
        task = asyncio.create_task(
            harness.search(harness.query(*shards, body=b'1'))
        )
        servers = [harness.fleet[f'{name}-1'] for name in shards]
        async with asyncio.timeout(GUARD_SECONDS):
            while not any(server.records.searches for server in servers):
                largest = max(largest, len(busy(harness)))
                await asyncio.sleep(0)
        assert largest <= 1
        assert {part.code for part in (await task).values()} == OK


@pytest.mark.parametrize(
    ('fault', 'code', 'runs'),
    [
        ('', ResultCode.ok, 1),
        ('shed', ResultCode.shed, 0),
        ('draining', ResultCode.draining, 0),
        ('error', ResultCode.backend_error, 1),
        ('garbage', ResultCode.bad_reply, 1),
    ],
)
async def test_submit_is_sent_once(
    fault: str, code: ResultCode, runs: int
) -> None:
    """Invariants 6 and 7: a second send would book a second time."""
    async with warm('x-1', 'x-2') as harness:
        servers = harness.fleet.servers.values()
        for server in servers:
            if fault:
                setattr(server.faults, fault, True)
        outcome = await harness.submit('k')
        records = [each.records for each in servers]
        assert outcome.code is code
        assert sum(record.runs_by_key['k'] for record in records) == runs
        if runs == 0:
            assert outcome.code.meaning.run is RunState.not_run


@pytest.mark.parametrize('fault', ['crash', 'straggle', 'freeze'])
async def test_submit_of_unknown_outcome(fault: str) -> None:
    """A submit that may have run must never be reported as not run."""
    async with warm('x-1', hedge_budget=0) as harness:
        assert (await harness.submit('first')).code is ResultCode.ok
        server = harness.fleet['x-1']
        if fault == 'crash':
            server.faults.crash_text = '{}'
        elif fault == 'straggle':
            server.faults.straggle_ms = 1000
        else:
            server.freeze()
        outcome = await harness.submit('k', ms=200)
        assert outcome.code.meaning.run is RunState.unknown
        assert server.records.runs_by_key['k'] <= 1
        await asyncio.sleep(0.3)
        assert server.records.runs_by_key['k'] <= 1


async def test_submit_that_reaches_nobody_is_not_run() -> None:
    """Nothing was sent, so the claim of the key can be freed."""
    settings = quick_settings(submit_recent_seconds=0, status_period_seconds=60)
    async with warm('x-1', 'x-2', settings=settings) as harness:
        for server in harness.fleet.servers.values():
            server.stop_listening()
        outcome = await harness.submit('k')
        assert outcome.code is ResultCode.no_replica


async def test_lease_changes_hands_without_overload() -> None:
    """Invariant 3: cold servers bear one relay at a time, warm ones both."""
    cold = specs('x-1', 'x-2', cold=True, service_ms=2, **RATE)
    async with Fleet(cold) as fleet, relay(fleet, **RATE) as first:
        async with relay(fleet, **RATE) as second:
            second.leases.state = LeaseState.deputy
            callers = [
                asyncio.create_task(call_for_ever(each))
                for each in (first, second)
            ]
            for epoch in (2, 3):
                await asyncio.sleep(1.2)
                await change_hands(first, second, epoch)
                first, second = second, first
            for caller in callers:
                caller.cancel()
        servers = fleet.servers.values()
        assert sum(server.records.searches for server in servers) > 20
        assert sum(server.records.violations for server in servers) == 0


async def call_for_ever(harness: Harness) -> None:
    """Send searches to a relay one after another."""
    while True:
        await harness.codes(1, ms=100)


async def change_hands(old: Harness, new: Harness, epoch: int) -> None:
    """Let a lease end before another relay gets it."""
    old.leases.until_seconds = old.clock() + 0.2
    await asyncio.sleep(0.3)
    new.leases.until_seconds = new.clock() + 1e6
    new.leases.epoch = epoch
    new.leases.state = LeaseState.held
    old.leases.state = LeaseState.deputy
    new.tier.load_warmth(SLICE, old.tier.warmth(SLICE))


async def test_snapshot_moves_to_another_replica() -> None:
    """Invariant 1: a replica that lost the snapshot must not be used."""
    async with warm('x-1', 'x-2') as harness:
        newer = SnapshotSpec(id='s2', generation=2)
        harness.fleet['x-1'].hold_snapshots((newer,))
        for _ in range(5):
            assert await harness.codes(2) == OK
        harness.fleet['x-2'].hold_snapshots((newer,))
        assert await harness.codes(2) == {ResultCode.snapshot_gone}


async def test_reply_from_another_snapshot_is_never_ok() -> None:
    """Invariant 1: a reply from another snapshot would mix two states."""
    async with warm('x-1', 'x-2') as harness:
        for server in harness.fleet.servers.values():
            server.faults.wrong_snapshot = 's0'
        parts = await harness.search(harness.query('x'))
        assert parts['x'].code is ResultCode.bad_reply
        assert not parts['x'].body


async def test_cancel_closes_what_runs() -> None:
    """Job for a caller who went away takes slots from the others."""
    async with warm('x-1', hedge_budget=0) as harness:
        records = harness.fleet['x-1'].records
        records.searches = 0
        harness.fleet['x-1'].faults.straggle_ms = 5000
        query = harness.query('x', ms=5000)
        search = asyncio.create_task(harness.search(query))
        await harness.until(lambda: records.searches > 0)
        harness.tier.cancel_query(query.query_id)
        assert (await search)['x'].code is ResultCode.cancelled
        await harness.until(lambda: records.cancelled == 1)


async def test_each_front_sees_each_report_change() -> None:
    """A report taken by one front must not hide the change from another."""

    async def follow(seen: list[Report]) -> None:  # noqa: WPS430 - a front
        while True:
            seen.append(harness.tier.report())
            await harness.tier.wait_report_change()

    async with warm('x-1') as harness:
        fronts: list[list[Report]] = [[], []]
        tasks = [asyncio.create_task(follow(seen)) for seen in fronts]
        harness.fleet['x-1'].hold_snapshots((SnapshotSpec(id='s2'),))
        await harness.until(
            lambda: all(seen and holds(seen[-1], 's2') for seen in fronts)
        )
        for task in tasks:
            task.cancel()


def holds(report: Report, snapshot_id: str) -> bool:
    """Tell whether a report shows a snapshot."""
    listed = {
        snapshot.snapshot_id
        for shard in report.shards
        for snapshot in shard.snapshots
    }
    return listed == {snapshot_id}


async def test_warmth_is_handed_over() -> None:
    """A successor without the table would start every replica cold."""
    async with warm('x-1', 'x-2') as harness:
        table = harness.tier.warmth(SLICE)
        assert {entry.replica_id for entry in table} == {'x-1', 'x-2'}
        harness.fleet['x-1'].restart()
        await harness.until(lambda: harness.state('x-1') == 'cold')
        harness.tier.load_warmth(SLICE, table)
        assert harness.state('x-1') == 'cold'
        assert harness.state('x-2') == 'warm'


async def test_naive_policies_serve() -> None:
    """The benchmarks compare with the naive set, which must work."""
    naive = PolicySet.naive(relays=3)
    async with running(specs('x-1', 'x-2'), policies=naive) as harness:
        assert await harness.codes(12, ms=2000) == OK
        servers = harness.fleet.servers.values()
        largest = {each.records.largest_concurrency for each in servers}
        assert largest == {1}


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    script=st.lists(
        st.tuples(st.sampled_from(ANSWERS), st.booleans()), max_size=9
    ),
    is_submit=st.booleans(),
)
def test_any_answers_give_one_true_outcome(
    script: list[tuple[ResultCode, bool]], is_submit: bool
) -> None:
    """Invariants 6 and 7, whatever the servers answer in whatever order."""
    calls: list[ResultCode] = []
    outcome = asyncio.run(run_script(script, calls, is_submit=is_submit))
    ran = [code for code in calls if code.meaning.run is not RunState.not_run]
    if outcome is ResultCode.ok:
        assert ran[-1] is ResultCode.ok
    if outcome.meaning.run is RunState.not_run:
        assert not ran
    assert len(calls) <= 1 or not is_submit
    if ResultCode.connection_reset in calls:
        assert calls[-1] is ResultCode.connection_reset


async def run_script(
    script: list[tuple[ResultCode, bool]],
    calls: list[ResultCode],
    *,
    is_submit: bool,
) -> ResultCode:
    """Run one job against three replicas that answer from a script."""
    replies = [Reply(code=code, sent=sent) for code, sent in script]
    make = scripted_clients(iter(replies), calls)
    async with relay(Fleet(specs('x-1', 'x-2', 'x-3')), make=make) as harness:
        harness.make_warm()
        if is_submit:
            return (await harness.submit('k')).code
        return (await harness.search(harness.query('x')))['x'].code


async def test_faults_never_cost_or_double_a_part() -> None:
    """Exactly one part, of the right request, whatever servers do at once."""
    rng = random.Random(20)
    trusting = quick_settings(warmth_distrust_seconds=0)
    async with warm(
        'x-1', 'x-2', 'x-3', service_ms=2, settings=trusting, **RATE
    ) as harness:
        servers = list(harness.fleet.servers.values())
        for number in range(150):
            harness.make_warm()
            change_faults(rng.choice(servers), rng)
            body = f'"{number}"'.encode()
            found, outcome = await asyncio.gather(
                harness.search(harness.query('x', body=body, ms=100)),
                harness.submit(f'k{number}', ms=100),
            )
            check_part(found['x'], body)
            runs = sum(
                server.records.runs_by_key[f'k{number}'] for server in servers
            )
            assert runs <= int(outcome.code.meaning.run is not RunState.not_run)


def change_faults(server: BackendServer, rng: random.Random) -> None:
    """Change the faults of a server at random."""
    server.faults.straggle_ms = rng.choice([0, 0, 20, 300])
    server.faults.shed = rng.randrange(10) == 0
    server.faults.error = rng.randrange(10) == 0
    server.faults.garbage = rng.randrange(10) == 0
    server.faults.status_down = rng.randrange(10) == 0
    server.faults.wrong_snapshot = rng.choice([None, None, 's0'])
    action = rng.choice([server.freeze, server.turn_cold, server.restart])
    if rng.randrange(5) == 0:
        action()


def check_part(part: Part, body: bytes) -> None:
    """Check that a part is either the answer to the body or empty."""
    if part.code is ResultCode.ok:
        answer = json.loads(part.body)
        echo = hashlib.sha256(body).hexdigest()
        assert echo.startswith(answer['hits'][0]['echo'])
        assert answer['snapshot'] == 's1'
    else:
        assert not part.body


async def test_stand_in_runs_as_a_program() -> None:
    """Tests of whole processes steer the servers over HTTP."""
    fleet = {'servers': [{'replica_id': 'x-1', 'shard': 'x'}]}
    program = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'tests.standins.backends',
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert program.stdin is not None
    assert program.stdout is not None
    program.stdin.write(json.dumps(fleet).encode())
    program.stdin.write_eof()
    async with asyncio.timeout(GUARD_SECONDS), aiohttp.ClientSession() as http:
        addresses = json.loads(await program.stdout.readline())
        control = {'replica': '*', 'action': 'set', 'faults': {'shed': True}}
        root = f'http://{addresses["control"]}'
        reply = await http.post(f'{root}/control', json=control)
        assert reply.status == 200
        records = await (await http.get(f'{root}/records')).json()
        assert records['x-1']['searches'] == 0
        program.terminate()
        assert await program.wait() == 0


def test_cancelled_connect_leaves_no_socket() -> None:
    """Under uvloop a cancelled connect closed another connection's socket."""
    with warnings.catch_warnings(record=True) as found:
        warnings.simplefilter('always', ResourceWarning)
        uvloop.run(cancel_connects())
        gc.collect()
    assert len(found) == 0


async def cancel_connects() -> None:
    """Cancel the reading of a status after each possible step."""
    make = http_client_factory(quick_settings())
    async with Fleet(specs('x-1')) as fleet:
        for steps in range(50):
            client = make(fleet['x-1'].address)
            reading = asyncio.ensure_future(client.status())
            for _ in range(steps):
                await asyncio.sleep(0)
            reading.cancel()
            await asyncio.gather(reading, return_exceptions=True)
            await client.close()
            del reading  # noqa: WPS420 - the socket is freed with the task
            gc.collect()
        await asyncio.sleep(0.1)
