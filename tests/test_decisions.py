"""Test the policies: selection, budget, hedging, cutoff and limits."""

import math
import random
import tracemalloc

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyramp.backends import (
    Budget,
    BudgetBounds,
    Budgets,
    ColdReplicaLimiter,
    QuantileHedging,
    Replica,
    RouteLatencies,
)
from dragonflyramp.backends._budgets import rounding_offset
from dragonflyramp.callers import (
    CutoffPolicy,
    DeadlineCutoff,
    Progress,
    TargetCutoff,
)
from dragonflyramp.messages import Load
from dragonflyramp.placement import (
    LowestLatencySelector,
    RandomSelector,
    ReplicaSelector,
    SelectionInputs,
)
from dragonflyramp.replica_connections import (
    ConnectionPool,
    connection_limits,
)
from dragonflyramp.replica_connections._exchanges import Exchange
from dragonflyramp.replicas import ReplicaEntry, ReplicaState
from dragonflyramp.routes import ServicePolicy, answer_due_ms
from dragonflyramp.runtime import TaskSet
from dragonflyramp.slow_replicas import SlowReplicaDetector
from tests.front_harnesses import StaticPeers

_INPUTS = SelectionInputs(
    failure_domain='recife', typical_ms=20, target_ms=100, now_seconds=1000
)
#: More services than budgets are kept.
_SERVICE_COUNT = 20_000


class _ConnectedPool(ConnectionPool):
    def has_idle(self, now_seconds: float) -> bool:
        """Return True, as with a connection that waits for requests."""
        return True


def _replica(
    name: str = 'r',
    domain: str = 'recife',
    *,
    cold_remaining_ms: float = 0,
    pool_class: type[ConnectionPool] = ConnectionPool,
) -> Replica:
    return Replica(
        entry=ReplicaEntry(
            replica_id=name,
            service='a',
            address='127.0.0.1:1',
            failure_domain=domain,
            state=ReplicaState.ready,
            slots=3,
        ),
        warm_at_seconds=1000 + cold_remaining_ms / 1000,
        connections=pool_class(
            '127.0.0.1:1',
            lambda address, hooks: pytest.fail('unexpected connection'),
            TaskSet(),
            lambda: None,
            lambda reply, now_seconds: None,
        ),
    )


def _selected_id(*replicas: Replica) -> str:
    selected = LowestLatencySelector().select(
        replicas, _INPUTS, random.Random(1)
    )
    assert selected is not None
    return selected.entry.replica_id


def test_own_failure_domain_is_preferred() -> None:
    """Requests must not cross failure domains needlessly.

    Traffic between them adds latency and cost.
    """
    assert _selected_id(_replica('far', 'natal'), _replica('near')) == 'near'


def test_connected_remote_replica_is_left() -> None:
    """A connection to another domain must not keep all requests there.

    A new connection in the own domain is needed only once.
    """
    far = _replica('far', 'natal', pool_class=_ConnectedPool)
    selected = LowestLatencySelector().select(
        [far, _replica('near')],
        attrs.evolve(_INPUTS, typical_ms=2),
        random.Random(1),
    )
    assert selected is not None
    assert selected.entry.replica_id == 'near'


def test_requests_leave_domain_near_target() -> None:
    """A slower replica of the own domain is used only within the target."""
    near, far = _replica('near'), _replica('far', 'natal')
    near.stats.record_latency(3, 1000)
    for target_ms, expected in ((600, 'near'), (60, 'far')):
        inputs = attrs.evolve(_INPUTS, target_ms=target_ms)
        selected = LowestLatencySelector().select(
            [near, far], inputs, random.Random(1)
        )
        assert selected is not None
        assert selected.entry.replica_id == expected


def test_slow_replica_is_avoided_until_decay() -> None:
    """A slow replica must be avoided, but measured again after a while."""
    slow, normal = _replica('slow'), _replica('normal', 'natal')
    slow.stats.record_latency(8, 1000)
    assert _selected_id(slow, normal) == 'normal'
    later = SelectionInputs(
        failure_domain='recife', typical_ms=20, target_ms=100, now_seconds=1010
    )
    selected = LowestLatencySelector().select(
        [slow, normal], later, random.Random(1)
    )
    assert selected is slow


def test_stalled_replica_is_avoided_at_once() -> None:
    """A stalled replica must be detected before its request completes."""
    stalled, normal = _replica('stalled'), _replica('normal', 'natal')
    stalled.in_flight[_exchange()] = 999.9
    assert _selected_id(stalled, normal) == 'normal'


def test_full_replica_is_avoided() -> None:
    """A replica with a long queue must be avoided.

    An old report of its queue must be ignored.
    """
    full, normal = _replica('full'), _replica('normal', 'natal')
    full.stats.record_load(Load(running=3, waiting=9, slots=3), 1000)
    assert _selected_id(full, normal) == 'normal'
    full.stats.record_load(Load(running=3, waiting=9, slots=3), 990)
    assert _selected_id(full, normal) == 'full'


def test_cold_replica_is_avoided() -> None:
    """A cold replica must not be overloaded while a warm one is free."""
    cold = _replica('cold', cold_remaining_ms=2000)
    assert _selected_id(cold, _replica('warm', 'natal')) == 'warm'


def test_backoff_grows_with_repeated_failures() -> None:
    """A dead replica must not cost an attempt in every search."""
    dead, normal = _replica('dead'), _replica('normal', 'natal')
    dead.health.record_unreachable(1000)
    assert _selected_id(dead, normal) == 'normal'
    assert not dead.is_suspect(1000.3)
    dead.in_flight[_exchange()] = 1000.3
    assert dead.is_suspect(1000.3)
    dead.in_flight.clear()
    dead.health.record_unreachable(1000.3)
    assert dead.is_suspect(1000.6)
    dead.health.record_success()
    assert not dead.is_suspect(1000.6)


def test_suspect_is_selected_without_alternative() -> None:
    """A request must be sent even if every replica has just failed."""
    dead = _replica('dead')
    dead.health.record_unreachable(1000)
    assert _selected_id(dead) == 'dead'


def test_selection_avoids_slow_replicas() -> None:
    """Slow replicas must not dominate the p95 latency of searches.

    Simulates searches over ten shards while about a seventh of the replicas
    are slow. The slowest part determines the latency of a search.
    """
    lowest_latency_p95_ms = _simulated_p95_ms(LowestLatencySelector())
    random_p95_ms = _simulated_p95_ms(RandomSelector())
    assert lowest_latency_p95_ms < random_p95_ms / 2


def _simulated_p95_ms(selector: ReplicaSelector) -> float:
    rng = random.Random(7)
    shards = [
        [_replica(f'{shard}-{index}') for index in range(3)]
        for shard in range(10)
    ]
    slow = {shards[0][0], shards[3][1], shards[6][2], shards[9][0]}
    search_latencies_ms = []
    for search in range(400):
        inputs = SelectionInputs(
            failure_domain='recife',
            typical_ms=20,
            target_ms=100,
            now_seconds=search / 20,
        )
        search_latencies_ms.append(
            max(
                _part_latency_ms(selector, shard, slow, inputs, rng)
                for shard in shards
            )
        )
    return sorted(search_latencies_ms)[380]


def _part_latency_ms(
    selector: ReplicaSelector,
    shard: list[Replica],
    slow: set[Replica],
    inputs: SelectionInputs,
    rng: random.Random,
) -> float:
    selected = selector.select(shard, inputs, rng)
    assert selected is not None
    ratio = rng.uniform(0.7, 1.3)
    if selected in slow:
        ratio *= 8
    selected.stats.record_latency(ratio, inputs.now_seconds)
    return ratio * inputs.typical_ms


def _spend_all(budget: Budget, *, is_hedge: bool) -> None:
    is_allowed = True
    while is_allowed:
        is_allowed = budget.try_spend(1, 5, is_hedge=is_hedge)


def _budget(slack: float = 0) -> Budget:
    return Budget(BudgetBounds(ratio=0.2, window_seconds=10, slack=slack))


def test_budget_in_use_is_not_dropped() -> None:
    """Budgets of later services must not replace one that is in use.

    A new budget has not spent anything, so the limit would be exceeded.
    """
    budgets = Budgets(BudgetBounds(ratio=0, window_seconds=10, slack=10))
    budget = budgets.for_service('busy')
    for number in range(_SERVICE_COUNT):
        budgets.for_service(f's{number}')
        assert budgets.for_service('busy') is budget


def test_counts_that_nobody_reads_are_bounded() -> None:
    """Counts that nobody reads must not grow with the time.

    Budgets are read for extra requests only, and cold limits only where the
    configuration has one.
    """
    budget = Budget(BudgetBounds(ratio=0.2, window_seconds=10, slack=5))
    limiter = ColdReplicaLimiter()
    replica = _replica(cold_remaining_ms=1e9)
    tracemalloc.start()
    for number in range(20_000):
        budget.record_request(float(number))
        limiter.record_send(replica, float(number))
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held_bytes < 20_000


@given(
    st.lists(
        st.tuples(st.floats(0, 0.5), st.booleans(), st.booleans()),
        max_size=300,
    ),
    st.integers(1, 8),
)
@settings(derandomize=True, deadline=None)
def test_budget_holds_in_every_window(
    steps: list[tuple[float, bool, bool]], daemon_count: int
) -> None:
    """A daemon must stay within the ratio and its share of the slack.

    Then all daemons together stay within the ratio and the slack at any time.
    """
    budget = _budget(slack=54)
    now_seconds: float = 0
    request_times: list[float] = []
    extra_times: list[float] = []
    for pause_seconds, is_request, is_hedge in steps:
        now_seconds += pause_seconds
        if is_request:
            budget.record_request(now_seconds)
            request_times.append(now_seconds)
        elif budget.try_spend(daemon_count, now_seconds, is_hedge=is_hedge):
            extra_times.append(now_seconds)
            window_starts_at_seconds = now_seconds - 10
            extra_count = sum(
                at_seconds >= window_starts_at_seconds
                for at_seconds in extra_times
            )
            request_count = sum(
                at_seconds >= window_starts_at_seconds
                for at_seconds in request_times
            )
            assert extra_count <= 0.2 * request_count + 54 / daemon_count


@pytest.mark.parametrize('daemon_count', [1, 7, 85, 195, 430, 5400])
@pytest.mark.parametrize('service', ['a', 'b'])
def test_small_shares_use_whole_budget(daemon_count: int, service: str) -> None:
    """Many daemons with small shares must spend the budget, and not exceed it.

    Each got less than three requests; rounded down, a third was left unused.
    """
    spent = 0
    for rank in range(daemon_count):
        offset = rounding_offset(service, rank, daemon_count)
        budget = _budget(slack=430)
        while budget.try_spend(
            daemon_count, 5, is_hedge=False, rounding_offset=offset
        ):
            spent += 1
    assert 0.85 * 430 - 1 <= spent <= 0.85 * 430


def test_hedges_leave_budget_for_retries() -> None:
    """A retry must be possible after hedges have used up their share."""
    budget = _budget(slack=20)
    _spend_all(budget, is_hedge=True)
    assert budget.try_spend(1, 5, is_hedge=False)


def test_budget_recovers_after_window() -> None:
    """A spent budget must not stay exhausted forever."""
    budget = _budget(slack=5)
    _spend_all(budget, is_hedge=False)
    assert not budget.try_spend(1, 14, is_hedge=False)
    assert budget.try_spend(1, 16, is_hedge=False)


def test_hedge_delay_follows_latencies() -> None:
    """The hedge delay must follow the latencies of the route.

    Early hedges waste the budget, late ones miss the target.
    """
    latencies = RouteLatencies(target_ms=100)
    hedging = QuantileHedging()
    assert hedging.delay_ms(latencies) == pytest.approx(40)
    for latency_ms in range(100):
        latencies.record(10 + latency_ms / 20)
    assert 12 < hedging.delay_ms(latencies) < 25
    for _ in range(300):
        latencies.record(300)
    assert hedging.delay_ms(latencies) == pytest.approx(42)


def test_hedge_leaves_in_time_for_a_short_target() -> None:
    """Hedges of short targets came after the search had stopped waiting.

    They cost the budget and helped nobody.
    """
    latencies = RouteLatencies(target_ms=46)
    for sample in range(300):
        latencies.record(9 if sample % 5 else 60)
    hedging = QuantileHedging()
    assert hedging.delay_ms(latencies) > 20
    latest_ms = hedging.latest_ms(latencies, remaining_ms=29)
    assert 1.4 * 9 <= latest_ms < 20
    # No hedge of a slow part can be in time.
    assert hedging.latest_ms(latencies, remaining_ms=15) == math.inf


def test_kept_connection_leaves_more_time() -> None:
    """A search must not count the setup of an older connection."""
    kept_ms = answer_due_ms(46, is_connection_kept=True)
    assert answer_due_ms(46) < kept_ms < 46


def test_hedge_waits_while_it_is_in_time() -> None:
    """Parts that are slow but not stalled must not use up the budget.

    A hedge that is sent later than this would come after the answer.
    """
    latencies = RouteLatencies(target_ms=147)
    for sample in range(300):
        latencies.record(45 if sample % 5 else 90)
    delay_ms = QuantileHedging().delay_ms(latencies)
    due_ms = answer_due_ms(147)
    assert 0.42 * 147 < delay_ms <= due_ms - 1.2 * 45


@pytest.mark.parametrize(
    (
        'succeeded_count',
        'failed_count',
        'is_sufficient',
        'is_infeasible',
        'is_finished',
    ),
    [
        (10, 0, True, False, True),
        (9, 0, True, False, False),
        (8, 1, False, False, False),
        (8, 2, False, True, True),
        (0, 2, False, True, False),
    ],
)
def test_progress_follows_minimum_share(
    succeeded_count: int,
    failed_count: int,
    *,
    is_sufficient: bool,
    is_infeasible: bool,
    is_finished: bool,
) -> None:
    """A minimum share of 0.9 of ten shards must require nine of them."""
    progress = Progress(
        shard_count=10,
        succeeded_count=succeeded_count,
        failed_count=failed_count,
        min_share=0.9,
    )
    assert progress.is_sufficient == is_sufficient
    assert progress.is_infeasible == is_infeasible
    assert progress.is_finished == is_finished


def test_target_cutoff_is_worth_more_than_waiting() -> None:
    """Waiting for a straggler must not make complete answers late.

    Simulates one straggler in every second search. A complete answer is worth
    1 within the target and 0.1 after it; an answer without one shard is worth
    the square of its share.
    """
    target_value = _simulated_value(TargetCutoff())
    assert target_value > 1.5 * _simulated_value(DeadlineCutoff())


def test_cutoff_is_earlier_on_a_busy_daemon() -> None:
    """Answers that a busy event loop delays must still meet the target.

    The part that is taken off is limited, and less than half of the target
    remains in no case.
    """
    policy = TargetCutoff()
    idle_at_seconds = policy.cutoff_at_seconds(10, 60, 11)
    for _ in range(50):
        policy.record_answer(10, 10.002)
    busy_at_seconds = policy.cutoff_at_seconds(10, 60, 11)
    assert busy_at_seconds == pytest.approx(idle_at_seconds - 0.004)
    for _ in range(50):
        policy.record_answer(10, 11)
    assert policy.cutoff_at_seconds(10, 60, 11) == pytest.approx(
        idle_at_seconds - 0.0072
    )
    assert policy.cutoff_at_seconds(10, 25, 11) == pytest.approx(10.0125)


def _simulated_value(cutoff_policy: CutoffPolicy) -> float:
    total_value: float = 0
    for search in range(100):
        slowest_ms = 200 if search % 2 else 40
        cutoff_ms = cutoff_policy.cutoff_at_seconds(0, 100, 0.8) * 1000
        if slowest_ms > cutoff_ms:
            total_value += 0.9**2
        elif slowest_ms < 100:
            total_value += 1
        else:
            total_value += 0.1
    return total_value / 100


def test_cold_limiter_divides_limit() -> None:
    """All daemons together must stay below the limit of a cold replica."""
    cold = _replica(cold_remaining_ms=5000)
    policy = ServicePolicy(
        name='a', max_connections=9, cold_requests_per_second=10
    )
    limiter = ColdReplicaLimiter(slack=4, overshoot=1)
    sent_count = 0
    while limiter.allows(cold, policy, StaticPeers(2), 1000):
        limiter.record_send(cold, 1000)
        sent_count += 1
    assert sent_count == 7
    assert limiter.allows(cold, policy, StaticPeers(2), 1001.5)
    assert limiter.allows(_replica(), policy, StaticPeers(2), 1000)


def test_cold_limiter_selects_few_of_many_daemons() -> None:
    """Many daemons together must not overload a cold replica.

    One request per second from each of them would overload it.
    """
    cold = _replica(cold_remaining_ms=5000)
    policy = ServicePolicy(
        name='a', max_connections=9, cold_requests_per_second=10
    )
    limiter = ColdReplicaLimiter(slack=4, overshoot=1)
    allowed_count = sum(
        limiter.allows(cold, policy, StaticPeers(77, rank), 1000)
        for rank in range(77)
    )
    assert allowed_count == 14


@pytest.mark.parametrize(
    ('daemon_count', 'replica_count', 'max_connections'),
    [(77, 3, 70), (83, 3, 74), (300, 3, 70), (7, 3, 31), (77, 4, 520)],
)
def test_persistent_connections_stay_below_cap(
    daemon_count: int, replica_count: int, max_connections: int
) -> None:
    """Daemons must not exceed a replica's cap with their idle connections.

    Beyond its cap, a replica resets connections, whichever daemon opened them.
    """
    rng = random.Random(1)
    connections = [0 for _ in range(replica_count)]
    for _ in range(daemon_count):
        order = rng.sample(range(replica_count), replica_count)
        rank_limits = [
            connection_limits(
                max_connections, daemon_count, replica_count, rank
            )
            for rank in range(replica_count)
        ]
        persistent_limits = [
            limits.max_persistent
            for limits in rank_limits
            if limits.max_persistent
        ]
        assert len(persistent_limits) >= 2
        for rank, replica in enumerate(order):
            connections[replica] += rank_limits[rank].max_persistent
    # With many more daemons than connections the cap is exceeded, because each
    # daemon keeps connections to at least two replicas.
    bound = max(max_connections, 2 * daemon_count / replica_count * 1.2)
    assert max(connections) <= bound


def _slow_replicas(
    detector: SlowReplicaDetector, now_seconds: float
) -> dict[str, float]:
    """Return the replicas that a detector finds slow by its own samples."""
    slow: dict[str, float] = {}
    detector.on_slow = lambda ratios, _: slow.update(ratios)
    detector.apply_report(
        'own', detector.current_report(now_seconds), now_seconds
    )
    return slow


@pytest.mark.parametrize(
    ('slow_count', 'normal_count', 'is_slow'),
    [(4, 0, True), (2, 0, False), (3, 20, False), (10, 10, True)],
)
def test_single_pause_does_not_make_replica_slow(
    slow_count: int, normal_count: int, *, is_slow: bool
) -> None:
    """A single pause must not mark a replica as slow for all daemons.

    A pause of 150 ms is over before daemons receive a report of it.
    """
    detector = SlowReplicaDetector()
    for ratio, count in ((7, slow_count), (1, normal_count)):
        for _ in range(count):
            detector.record('r', ratio, 1000)
    assert bool(_slow_replicas(detector, 1000)) is is_slow


def test_slow_replica_samples_expire() -> None:
    """A replica that has recovered must get requests again."""
    detector = SlowReplicaDetector()
    for _ in range(6):
        detector.record('r', 7, 1000)
    assert _slow_replicas(detector, 1000.5)
    assert not _slow_replicas(detector, 1003)
    assert not detector.current_report(1010)


def test_slow_replica_samples_are_bounded() -> None:
    """A daemon without a hub must not keep samples forever."""
    detector = SlowReplicaDetector()
    for number in range(5000):
        detector.record(f'i-{number}', 1, 1000 + number)
    assert len(detector.pop_unsent_samples()) < 4097
    assert not detector.current_report(10000)


def test_own_samples_override_peer_latency_ratio() -> None:
    """Reports from other daemons must not outweigh a daemon's own samples.

    A replica may be slow only for daemons in other failure domains.
    """
    replica = _replica()
    replica.stats.record_peer_latency_ratio(8, 1000)
    assert replica.stats.latency_ratio(1000) == pytest.approx(8)
    assert 1 < replica.stats.latency_ratio(1003) < 3
    replica.stats.record_latency(1, 1000)
    assert replica.stats.latency_ratio(1000.1) < 4


def _exchange() -> Exchange:
    return Exchange(
        request=None,  # type: ignore[arg-type]
        replica_id='r',
        deadline_at_seconds=2000,
        outcome=None,  # type: ignore[arg-type]
    )
