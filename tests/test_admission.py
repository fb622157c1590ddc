"""Test which requests are admitted while capacity is short."""

import asyncio
import contextlib
import random
import tracemalloc
from collections.abc import Sequence

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.contention import make_run
from benchmarks.emulator import KindStatistics, run_contention
from benchmarks.emulator._event_loops import run_in_virtual_time
from dragonflyramp.admission import AdmitAll, PriorityAdmission, Rejection
from dragonflyramp.admission._contentions import Contentions
from dragonflyramp.admission._service_loads import ServiceLoads
from dragonflyramp.admission._shortages import Shortage, ShortageAssessor
from dragonflyramp.admission._tenant_shares import TenantShares
from dragonflyramp.admission._waiting_requests import WaitingRequests
from dragonflyramp.backends import CrashDetector, CrashWatch, RequestContext
from dragonflyramp.backends._capacity_events import CapacityEvents
from dragonflyramp.callers import Refusal, RelayedAnswer
from dragonflyramp.callers._request_contexts import context_after_wait
from dragonflyramp.messages import Load
from dragonflyramp.replicas import ReplicaEntry, ReplicaState
from dragonflyramp.results import ResultCode
from dragonflyramp.routes import GatherSettings, Route, RoutingTable
from dragonflyramp.runtime import TaskSet
from dragonflyramp.settings import AdmissionMode
from dragonflyramp.tenants import Tenant, TenantDirectory
from dragonflyramp.tools._admission_components import create_admission
from tests.front_harnesses import (
    make_request,
    make_route,
    make_table,
    run_harness,
)

_SHARDS = tuple(f'shard-{index}' for index in range(10))
_URGENT = make_route('urgent')
_NORMAL = attrs.evolve(make_route('normal'), priority=2)
_SEARCH = make_route('search', gather=GatherSettings(_SHARDS, 10, 0.8))
_TABLE = make_table(_URGENT, _NORMAL, _SEARCH)
_WORK_MS = 20
_REST_SECONDS = pytest.approx(0.75)
_TENANTS = tuple(Tenant(name=f'tenant-{index}') for index in range(3))
_TENANT_TABLE = attrs.evolve(
    _TABLE,
    tenants=TenantDirectory.create((tenant, ()) for tenant in _TENANTS),
)


def _work_ms(route: Route) -> float:
    return _WORK_MS


def _create_assessor() -> ShortageAssessor:
    return ShortageAssessor(
        contentions=Contentions(_work_ms),
        loads=ServiceLoads(),
        shares=TenantShares(),
    )


@attrs.define(eq=False)
class _Harness:
    """Admission policy with a clock that a test moves."""

    now_seconds: float = 1000
    assessor: ShortageAssessor = attrs.field(factory=_create_assessor)
    waiting: WaitingRequests = attrs.field(init=False)
    admission: PriorityAdmission = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the policy."""
        self.waiting = WaitingRequests(
            self.assessor.order, self.assessor.has_capacity, self.clock
        )
        self.admission = PriorityAdmission(
            self.clock, _NeverAdmitting(1), self.assessor, self.waiting
        )

    def clock(self) -> float:
        """Return the time of the loop, counted from the start of the test."""
        try:
            return self.now_seconds + asyncio.get_running_loop().time()
        except RuntimeError:
            return self.now_seconds

    def report(self, waiting: int, *services: str, count: int = 8) -> None:
        """Report the load of several replicas of each service."""
        for service in services:
            for index in range(count):
                self.admission.record_load(
                    _entry(service, index),
                    Load(2, waiting, 2),
                    _WORK_MS,
                    self.clock(),
                )

    async def admit(self, context: RequestContext) -> Rejection | None:
        """Ask for the admission of a request."""
        with contextlib.ExitStack() as cleanup:
            return await self.admission.admit(context, cleanup, self.clock())

    def context(
        self,
        route: Route = _NORMAL,
        table: RoutingTable = _TABLE,
        tenant: Tenant | None = None,
        deadline_ms: float = 3000,
    ) -> RequestContext:
        """Create the context of a request that has just arrived."""
        return RequestContext(
            request=make_request(),
            route=route,
            table=table,
            received_at_seconds=self.clock(),
            deadline_at_seconds=self.clock() + deadline_ms / 1000,
            capacity_wait_seconds=1,
            crash_watch=CrashWatch(
                detector=CrashDetector(tasks=TaskSet(), clock=self.clock),
                request=make_request(),
            ),
            tenant=tenant,
        )


class _NeverAdmitting(random.Random):
    """Source of randomness that admits no request beyond the capacity."""

    def random(self) -> float:
        """Return the greatest number."""
        return 0.999


def _entry(service: str, index: int = 0) -> ReplicaEntry:
    return ReplicaEntry(
        replica_id=f'{service}-{index}',
        service=service,
        address='127.0.0.1:1',
        failure_domain='recife',
        state=ReplicaState.ready,
        slots=2,
    )


@settings(max_examples=50, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(('a', *_SHARDS)),
            st.integers(0, 4),
            st.integers(1, 4),
            st.floats(0, 5),
        ),
        max_size=40,
    )
)
def test_no_request_waits_while_slots_are_free(
    reports: Sequence[tuple[str, int, int, float]],
) -> None:
    """A caller must not be refused because many slots are busy."""
    harness = _Harness()

    async def admit_all() -> None:  # noqa: WPS430 - closes over the reports
        for service, running, slots, delay_seconds in reports:
            await asyncio.sleep(delay_seconds)
            harness.admission.record_load(
                _entry(service), Load(running, 0, slots), 50, harness.clock()
            )
        started_at_seconds = harness.clock()
        for route in _TABLE.routes:
            for table in (_TABLE, _TENANT_TABLE):
                context = harness.context(route, table, _TENANTS[0])
                assert await harness.admit(context) is None
        assert harness.clock() == started_at_seconds

    run_in_virtual_time(admit_all())


def test_one_full_replica_is_no_shortage() -> None:
    """A slow replica with a queue must not cost requests to the others."""
    harness = _Harness()
    harness.report(1, 'a', count=1)
    assert run_in_virtual_time(harness.admit(harness.context(_URGENT))) is None


def test_old_reports_are_unknown_load() -> None:
    """A shortage that may be over must not cause refusals."""
    harness = _Harness()
    harness.report(30, 'a')
    context = harness.context()
    assert not harness.assessor.has_capacity(context, harness.now_seconds)
    harness.now_seconds += 6
    assert harness.assessor.has_capacity(context, harness.now_seconds)
    assert run_in_virtual_time(harness.admit(harness.context())) is None


def test_urgent_request_goes_first() -> None:
    """A burst of less urgent requests must not cost the urgent ones."""
    harness = _Harness()
    harness.report(4, 'a')
    urgent, normal = harness.context(_URGENT), harness.context(_NORMAL)
    assert run_in_virtual_time(harness.admit(urgent)) is None
    assert run_in_virtual_time(harness.admit(normal)) is not None


def test_equal_requests_are_all_admitted() -> None:
    """Deployments that did not ask for an order must be served as before."""
    harness = _Harness()
    harness.report(30, 'a')
    table = make_table(_URGENT, make_route('other'))
    context = harness.context(_URGENT, table)
    assert run_in_virtual_time(harness.admit(context)) is None


@pytest.mark.parametrize(('full_count', 'admitted'), [(2, True), (3, False)])
def test_search_is_admitted_as_a_whole(
    full_count: int, *, admitted: bool
) -> None:
    """A search that cannot reach its share must not load the other shards.

    One that can do without the full shards must not be refused.
    """
    harness = _Harness()
    harness.report(30, *_SHARDS[:full_count])
    harness.report(0, *_SHARDS[full_count:])
    context = harness.context(_SEARCH, _TENANT_TABLE, _TENANTS[0])
    rejection = run_in_virtual_time(harness.admit(context))
    assert (rejection is None) is admitted


def test_refusal_comes_in_time() -> None:
    """A refusal that comes later costs the caller its second try."""
    harness = _Harness()
    harness.report(6, 'a')

    async def elapsed_seconds() -> float:  # noqa: WPS430 - closes over harness
        context = harness.context()
        rejection = await harness.admit(context)
        assert rejection is not None
        assert rejection.reason == 'waited'
        return harness.clock() - context.received_at_seconds

    quarter_seconds = _NORMAL.target_ms / 4000
    assert run_in_virtual_time(elapsed_seconds()) <= quarter_seconds


def test_hopeless_request_is_refused_at_once() -> None:
    """A request that cannot meet its deadline must not wait for it."""
    harness = _Harness()
    harness.report(30, 'a')
    context = harness.context(_URGENT, deadline_ms=100)
    rejection = run_in_virtual_time(harness.admit(context))
    assert rejection is not None
    assert rejection.reason == 'deadline'


def test_waiting_requests_wake_in_order_and_leave() -> None:
    """Capacity must go to the most urgent, then to the tenant with least.

    A caller that has left must not take it.
    """
    harness = _Harness()
    woken: list[str] = []

    async def wait(  # noqa: WPS430 - closes over the harness
        name: str, route: Route, tenant: Tenant
    ) -> None:
        context = harness.context(route, _TENANT_TABLE, tenant)
        if await harness.admit(context) is None:
            woken.append(name)

    async def run() -> None:  # noqa: WPS430 - closes over the harness
        harness.assessor.shares.record(_TENANTS[1], harness.clock())
        harness.report(6, 'a')
        tasks = [
            asyncio.create_task(wait('normal', _NORMAL, _TENANTS[0])),
            asyncio.create_task(wait('second', _URGENT, _TENANTS[1])),
            asyncio.create_task(wait('first', _URGENT, _TENANTS[0])),
            asyncio.create_task(wait('gone', _URGENT, _TENANTS[2])),
        ]
        await asyncio.sleep(0.01)
        tasks[-1].cancel()
        harness.report(0, 'a', count=800)
        await asyncio.wait(tasks)

    run_in_virtual_time(run())
    assert woken == ['first', 'second', 'normal']


def test_planned_stop_refuses_waiting_requests() -> None:
    """A caller must learn at once that it has to go to another front."""
    harness = _Harness()
    harness.report(6, 'a')

    async def run() -> list[Rejection | None]:  # noqa: WPS430 - as above
        task = asyncio.create_task(harness.admit(harness.context()))
        await asyncio.sleep(0.01)
        harness.admission.stop_waiting()
        return [await task, await harness.admit(harness.context())]

    reasons = [
        rejection and rejection.reason
        for rejection in run_in_virtual_time(run())
    ]
    assert reasons == ['stopping', 'stopping']


@given(st.integers(0, 1000), st.integers(100, 9000), st.randoms())
def test_refused_callers_come_back_spread(
    wait_ms: int, remaining_ms: int, rng: random.Random
) -> None:
    """Callers must find capacity, before they give up and not all at once."""
    shortage = Shortage(
        wait_ms=wait_ms,
        tolerated_ms=0,
        max_wait_ms=0,
        remaining_ms=remaining_ms,
        work_ms=_WORK_MS,
    )
    delay_ms = shortage.retry_after_seconds(rng) * 1000
    assert delay_ms >= wait_ms - 1
    assert delay_ms <= max(50, wait_ms, remaining_ms / 3) + 1


async def test_connections_go_to_the_most_urgent() -> None:
    """A less urgent request must not take the connection of an urgent one."""
    events = CapacityEvents(is_by_priority=True)
    woken: list[int] = []

    async def wait(priority: int) -> None:  # noqa: WPS430 - fills the list
        await events.wait('a', 5, (priority, 0))
        woken.append(priority)

    tasks = [asyncio.create_task(wait(priority)) for priority in (2, 0, 1)]
    await asyncio.sleep(0)
    events.notify('a')
    await asyncio.gather(*tasks)
    assert woken == [0, 1, 2]


async def test_rejected_request_reaches_no_replica() -> None:
    """A refusal that says "not run" must be true, and say when to come back."""
    async with run_harness(make_table(_URGENT, _NORMAL)) as harness:
        client = harness.front.backend_client
        admission = create_admission(AdmissionMode.priority, client)
        harness.front.admission = admission
        assert isinstance(await harness.send('/urgent/x'), RelayedAnswer)
        ran_count = harness.run_count('a')
        for index in range(8):
            client.recorder.on_load(
                _entry('a', index), Load(2, 90, 2), _WORK_MS, client.clock()
            )
        answer = await harness.send('/normal/x', deadline_ms=100)
        assert isinstance(answer, Refusal)
        assert answer.code is ResultCode.not_admitted
        assert answer.retry_after_seconds is not None
        assert harness.run_count('a') == ran_count


def test_both_waits_end_in_time() -> None:
    """A wait for admission must shorten that for a connection.

    The sum would exceed a quarter of the latency target.
    """
    context = _Harness().context()
    assert context_after_wait(context, 0) is context
    assert (
        context_after_wait(context, 0.25).capacity_wait_seconds == _REST_SECONDS
    )
    assert context_after_wait(context, 3).capacity_wait_seconds == 0


async def test_setting_turns_admission_off() -> None:
    """Operators must be able to get the order of arrival back."""
    async with run_harness(make_table(_URGENT, _NORMAL)) as harness:
        client = harness.front.backend_client
        admission = create_admission(AdmissionMode.all, client)
        assert isinstance(admission, AdmitAll)
        assert not client.fleet.capacity_events.is_by_priority


def _share(
    statistics: Sequence[KindStatistics], name: str = 'on_time_count'
) -> float:
    count: int = sum(getattr(counts, name) for counts in statistics)
    sent_count: int = sum(counts.sent_count for counts in statistics)
    return count / sent_count


def test_specified_load_is_never_refused() -> None:
    """The policy must not cost requests where there is capacity."""
    statistics = run_contention(make_run('lookups', scale=1, seed=2))
    assert sum(counts.rejected_count for counts in statistics) == 0
    assert all(
        counts.on_time_count == counts.sent_count for counts in statistics
    )


def test_refusing_serves_more_in_time() -> None:
    """In a shortage, more callers must be in time, the urgent ones above all.

    No tenant may be starved, and the large one must not displace the others.
    """
    run = make_run('lookups', scale=8, seed=3)
    statistics = run_contention(run)
    baseline = run_contention(attrs.evolve(run, has_admission=False))
    assert _share(statistics) > 2 * _share(baseline)
    urgent, normal, least = (statistics[index::3] for index in range(3))
    assert _share(urgent) > max(_share(normal), _share(least))
    served = _share(statistics, 'served_count')
    assert all(
        _share([counts], 'served_count') >= served / 4 for counts in statistics
    )
    # The last tenant sends six times as much as the others of its priority.
    *others, large = least
    assert _share([large], 'served_count') < _share(others, 'served_count')


def test_many_routes_of_one_service_cost_little() -> None:
    """A front must not stand still, or fill its memory, for a new table.

    With 1,400 routes of one service, all pairs were kept: 240 MB.
    """
    routes = (_URGENT, *(_route(f'added-{index}') for index in range(1400)))
    contentions = Contentions(_work_ms)
    harness = _Harness()
    tracemalloc.start()
    for table in (make_table(*routes), make_table(*routes)):
        for route in routes[:50]:
            context = attrs.evolve(harness.context(route), table=table)
            assert contentions.is_contended(context)
            assert contentions.is_most_urgent(context) is (route is _URGENT)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak_bytes < 5_000_000


@pytest.mark.parametrize('seed', range(20))
def test_groups_stand_for_their_routes(seed: int) -> None:
    """Decisions must be those of comparing each route with each other."""
    rng = random.Random(seed)
    routes = tuple(
        attrs.evolve(
            make_route(
                f'r-{index}',
                gather=GatherSettings(
                    tuple(rng.sample(_SHARDS, rng.randint(1, 3))), 10, 1
                ),
            ),
            priority=rng.choice((0, 2)),
            target_ms=rng.randint(10, 100),
        )
        for index in range(12)
    )
    table = attrs.evolve(_TABLE, routes=routes)
    contentions = Contentions(lambda route: route.target_ms)
    harness = _Harness()
    for route in routes:
        rivals = [
            other
            for other in routes
            if not set(route.services).isdisjoint(other.services)
        ]
        if len({other.priority for other in rivals}) == 1:
            rivals = []
        context = attrs.evolve(harness.context(route), table=table)
        assert contentions.is_contended(context) is bool(rivals)
        assert contentions.is_most_urgent(context) is not any(
            other.priority < route.priority for other in rivals
        )
        assert contentions.round_ms(context) == max(
            other.target_ms for other in (route, *rivals)
        )


def _route(name: str) -> Route:
    return attrs.evolve(_NORMAL, name=name)
