"""Test the decisions towards backend servers, with time as an argument."""

import math
import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyramp.backends import _fingerprints
from dragonflyramp.backends._admissions import make_permit
from dragonflyramp.backends._assignments import cold_reserve_seconds
from dragonflyramp.backends._budgets import Budget
from dragonflyramp.backends._choice import (
    Candidate,
    ChoiceContext,
    LeastLoadedChoice,
    RandomChoice,
)
from dragonflyramp.backends._decoding import decode_search, decode_status
from dragonflyramp.backends._hedging import NoHedge, QuantileHedge
from dragonflyramp.backends._latencies import (
    LatencyWindow,
    ServiceLatency,
    lower_median,
)
from dragonflyramp.backends._lease_rights import (
    LeaseRights,
    Ownership,
    lease_rights,
)
from dragonflyramp.backends._leaving import (
    LeavingSignal,
    LeavingState,
    LeavingUntilReply,
    LeavingUntilRestart,
)
from dragonflyramp.backends._ramp import (
    Capacity,
    Completion,
    RampState,
    SlowStartRamp,
    StaticSplitRamp,
    Verdict,
)
from dragonflyramp.backends._retries import (
    FailedSend,
    ImmediateRetry,
    JitteredRetry,
)
from dragonflyramp.backends._settings import BackendSettings
from dragonflyramp.backends._slices import GainedNumbers
from dragonflyramp.models import Lease, LeaseState, SliceId, Warmth
from dragonflyramp.results import ResultCode
from tests.backend_harness import configuration
from tests.standins.backend_loads import LoadModel
from tests.standins.backend_models import Records, ServerSpec

CAPACITY = Capacity(slots=3, cold_per_second=2)
BASELINE = 0.02
CLEAN = Completion(
    verdict=Verdict.completed,
    started_seconds=10,
    latency_seconds=0.02,
    baseline_seconds=BASELINE,
)
SLOW = attrs.evolve(CLEAN, latency_seconds=0.5)
SAME_TIME = attrs.evolve(SLOW, started_seconds=9)
ALL_SLOW = attrs.evolve(SLOW, baseline_is_current=False)
OFF = attrs.evolve(CLEAN, latency_seconds=0.06)
FAILED = Completion(verdict=Verdict.failed)
RNG = random.Random(7)


def warm_state(ramp: SlowStartRamp) -> RampState:
    """Give the state of a warm replica."""
    state = ramp.start(CAPACITY, 0)
    ramp.resume(state, Warmth.warm, 3)
    return state


def note(
    ramp: SlowStartRamp, state: RampState, *ends: Completion, at: float = 10
) -> RampState:
    """Let requests end one after another."""
    for end in ends:
        ramp.note_end(state, end, at)
    return state


@pytest.mark.parametrize(
    ('ends', 'warmth'),
    [
        ((FAILED,), Warmth.cold),
        ((SLOW,), Warmth.warm),
        ((SLOW, SLOW, CLEAN, SLOW), Warmth.warm),
        ((SLOW, SLOW, SLOW), Warmth.cold),
        ((SLOW, SAME_TIME, SAME_TIME), Warmth.warm),
        ((ALL_SLOW,) * 9, Warmth.warm),
        ((Completion(verdict=Verdict.neutral),) * 5, Warmth.warm),
    ],
)
def test_warm_replica_turns_cold(
    ends: tuple[Completion, ...], warmth: Warmth
) -> None:
    """A cold server kept at full load collapses; a straggler is no sign."""
    ramp = SlowStartRamp()
    state = note(ramp, warm_state(ramp), *ends)
    assert state.warmth is warmth
    cold = warmth is Warmth.cold
    limit = 1 if cold else 3
    assert ramp.limit(state, 10) == limit
    assert state.rate_admits(10) is not cold


@pytest.mark.parametrize(
    ('ends', 'warmth', 'limit'),
    [
        ((CLEAN,) * 9, Warmth.cold, 1),
        ((CLEAN,) * 10, Warmth.warming, 2),
        ((OFF,) * 50, Warmth.cold, 1),
        ((CLEAN,) * 9 + (FAILED, CLEAN), Warmth.cold, 1),
        ((CLEAN,) * 15, Warmth.warming, 3),
        ((CLEAN,) * 12 + (FAILED,) + (CLEAN,) * 19, Warmth.cold, 1),
        ((CLEAN,) * 60, Warmth.warm, 3),
    ],
)
def test_cold_replica_grows_after_clean_ends(
    ends: tuple[Completion, ...], warmth: Warmth, limit: int
) -> None:
    """A limit that grows by itself overloads a server that is still cold."""
    ramp = SlowStartRamp()
    state = note(ramp, ramp.start(CAPACITY, 0), *ends)
    assert (state.warmth, ramp.limit(state, 10)) == (warmth, limit)


@pytest.mark.parametrize(
    ('load', 'now_seconds', 'limit'),
    [(0, 1, 3), (1, 1, 3), (2, 1, 1), (99, 1, 1), (99, 6, 3)],
)
def test_load_only_lowers_a_limit(
    load: float, now_seconds: float, limit: int
) -> None:
    """A wrong load endpoint must neither raise a limit nor stop a replica."""
    ramp = SlowStartRamp()
    state = warm_state(ramp)
    state.note_load(load, 5)
    assert ramp.limit(state, now_seconds) == limit
    cold = ramp.start(CAPACITY, 0)
    cold.note_load(0, 5)
    assert ramp.limit(cold, 1) == 1


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    jitters=st.lists(st.floats(0, 0.08), min_size=1, max_size=9),
    rate=st.sampled_from([1, 2, 5, 10]),
    turns_cold=st.booleans(),
)
def test_ramp_never_overloads_the_cold_model(
    jitters: list[float], rate: float, turns_cold: bool
) -> None:
    """Invariant 3: network jitter must not push a cold server over its rate.

    The server is asked as often as the ramp allows, one request at once.
    """
    spec = ServerSpec(replica_id='r', shard='s', cold_requests_per_second=rate)
    records = Records()
    load = LoadModel(spec=spec, records=records, cold=True)
    ramp = SlowStartRamp()
    state = ramp.start(Capacity(slots=3, cold_per_second=rate), 0)
    now_seconds = float()
    for step in range(300):
        now_seconds = max(now_seconds, state.next_start_seconds)
        arrival = now_seconds + jitters[step % len(jitters)] / rate
        ramp.note_start(state, now_seconds)
        load.begin(arrival)
        load.end(clean=True, now_seconds=arrival + 0.02)
        now_seconds = arrival + 0.02
        ramp.note_end(state, CLEAN, now_seconds)
    assert records.violations == 0
    assert state.warmth is Warmth.warm
    if turns_cold:
        ramp.note_end(state, FAILED, now_seconds)
        assert state.next_start_seconds >= now_seconds + 1 / rate


def test_static_split_ignores_warmth() -> None:
    """The naive variant is the baseline: a fixed share for each relay."""
    naive = StaticSplitRamp(relays=2)
    state = naive.start(Capacity(slots=6, cold_per_second=2), 0)
    naive.note_end(state, FAILED, 1)
    assert (state.warmth, naive.limit(state, 1)) == (Warmth.warm, 3)


def candidate(
    replica_id: str,
    latency: float | None = 0.02,
    *,
    running: int = 0,
    idle: float = 0.05,
    warm: bool = True,
) -> Candidate:
    """Make a candidate; a name in upper case is in the own domain."""
    return Candidate(
        replica_id=replica_id,
        failure_domain='near' if replica_id.isupper() else 'far',
        running=running,
        latency_seconds=latency,
        warm=warm,
        last_start_seconds=100 - idle,
    )


@pytest.mark.parametrize(
    ('first', 'second', 'avoid_probes', 'chosen'),
    [
        (candidate('a'), candidate('b', running=1), False, 'a'),
        (candidate('a', 0.05), candidate('b'), False, 'b'),
        (candidate('a'), candidate('N'), False, 'N'),
        (candidate('N', running=1), candidate('b'), False, 'b'),
        (candidate('a', None), candidate('N'), False, 'N'),
        (candidate('a', 0.1, warm=False), candidate('b'), False, 'b'),
        (candidate('a', 0.1, warm=False, idle=1), candidate('b'), False, 'a'),
        (candidate('a', 0.1, warm=False, idle=1), candidate('b'), True, 'b'),
        (candidate('a', 0.1, warm=False, idle=3), candidate('b'), True, 'a'),
        (candidate('a', 9, idle=2), candidate('b'), False, 'a'),
    ],
)
def test_choice(
    first: Candidate, second: Candidate, avoid_probes: bool, chosen: str
) -> None:
    """Without probes a cold or once slow replica would never be used."""
    both = (first, second)
    choice_context = ChoiceContext(
        failure_domain='near', avoid_probes=avoid_probes
    )
    policy = LeastLoadedChoice()
    found = policy.choose(both, choice_context, now_seconds=100, rng=RNG)
    assert found.replica_id == chosen
    naive = RandomChoice().choose(
        both, choice_context, now_seconds=100, rng=RNG
    )
    assert naive in both


def test_hedge_waits_for_quantile_and_budget() -> None:
    """Hedges without a bound double the load of a service that is slow."""
    window = LatencyWindow()
    assert QuantileHedge().delay_seconds(window) == math.inf
    for seconds in range(100):
        window.add(seconds)
    assert QuantileHedge().delay_seconds(window) == 95
    budget = Budget(0.05)
    allowed = 0
    for _ in range(1000):
        budget.earn()
        allowed += QuantileHedge().allows(budget)
    assert allowed <= 1000 * 0.05 + budget.burst
    assert not QuantileHedge().allows(Budget(0))


def test_naive_never_hedges() -> None:
    """The naive variant is the baseline that hedges are measured against."""
    assert NoHedge().delay_seconds(LatencyWindow()) == math.inf
    assert not NoHedge().allows(Budget(1))


@pytest.mark.parametrize(
    ('code', 'retries', 'remaining', 'fraction', 'retried'),
    [
        (ResultCode.shed, 0, 1, 0.1, True),
        (ResultCode.draining, 2, 1, 0.1, True),
        (ResultCode.no_replica, 0, 1, 0.1, True),
        (ResultCode.connection_silent, 0, 1, 0.1, True),
        (ResultCode.shed, 3, 1, 0.1, False),
        (ResultCode.shed, 0, 0, 0.1, False),
        (ResultCode.shed, 0, 1, 0, False),
        (ResultCode.connection_reset, 0, 1, 0.1, False),
        (ResultCode.deadline_exceeded, 0, 1, 0.1, False),
    ],
)
def test_retry(
    code: ResultCode,
    retries: int,
    remaining: float,
    fraction: float,
    retried: bool,
) -> None:
    """A reset may be a crash, and must not spread to a second server."""
    failed = FailedSend(code=code, retries=retries, remaining_seconds=remaining)
    policy = JitteredRetry()
    delay = policy.delay_seconds(failed, Budget(fraction), RNG)
    assert (delay is not None) is retried
    assert delay is None or 0 <= delay <= policy.max_seconds
    at_once = ImmediateRetry().delay_seconds(failed, Budget(0), RNG)
    if code in {ResultCode.connection_reset, ResultCode.deadline_exceeded}:
        assert at_once is None


SIGNALS = (
    LeavingSignal.drain_sign,
    LeavingSignal.refused_connection,
    LeavingSignal.vm_list,
)


@pytest.mark.parametrize('signal', SIGNALS)
@pytest.mark.parametrize(
    ('known', 'seen', 'leaving'),
    [
        ('', (), True),
        ('a', (), True),
        ('a', ('a',), True),
        ('a', ('b',), False),
        ('a', ('a', 'b', 'a'), False),
        ('', ('a', 'b'), False),
    ],
)
def test_leaving_lasts_until_a_new_instance(
    signal: LeavingSignal, known: str, seen: tuple[str, ...], leaving: bool
) -> None:
    """Invariant 8: a server that answers again is still on its way out."""
    policy = LeavingUntilRestart()
    state = LeavingState()
    policy.note_signal(state, signal, known)
    for instance_id in seen:
        policy.note_instance(state, instance_id)
    assert policy.is_leaving(state) is leaving
    state.held = True
    assert policy.is_leaving(state)


@pytest.mark.parametrize('signal', SIGNALS)
def test_leaving_of_an_unknown_instance(signal: LeavingSignal) -> None:
    """A drain sign is about the first instance seen, a refusal is not."""
    policy = LeavingUntilRestart()
    state = LeavingState()
    policy.note_signal(state, signal, '')
    policy.note_instance(state, 'a')
    refused = signal is LeavingSignal.refused_connection
    assert policy.is_leaving(state) is not refused
    naive = LeavingState()
    LeavingUntilReply().note_signal(naive, signal, 'a')
    LeavingUntilReply().note_instance(naive, 'a')
    assert not LeavingUntilReply().is_leaving(naive)


@pytest.mark.parametrize(
    ('state', 'until', 'settled', 'warm', 'cold'),
    [
        (LeaseState.held, 9, 5, 5, 5),
        (LeaseState.held, 9, 4, 5, 0),
        (LeaseState.held, 1.01, 5, 5, 0),
        (LeaseState.held, 0.9, 5, 2, 0),
        (LeaseState.lapsed, 9, 5, 2, 0),
        (LeaseState.deputy, 9, 5, 1, 0),
        (LeaseState.foreign, 9, 5, 0, 0),
    ],
)
def test_lease_bounds_the_slots(
    state: LeaseState, until: float, settled: int, warm: int, cold: int
) -> None:
    """Two relays that send to one cold replica overload it."""
    lease = Lease(
        slice_id=SliceId('s'), epoch=1, state=state, until_seconds=until
    )
    found = lease_rights(
        lease,
        Ownership(gained_number=5, settled_number=settled),
        margin_seconds=0.02,
        now_seconds=1,
    )
    assert found.slots(5, warm=True) == warm
    assert found.slots(5, warm=False) == cold
    assert found.until_seconds <= until


def test_half_of_one_slot_is_one() -> None:
    """A lapsed holder with one slot would serve nothing."""
    lapsed = LeaseRights(
        state=LeaseState.lapsed, cold_allowed=False, until_seconds=0
    )
    assert lapsed.slots(1, warm=True) == 1


def test_gained_numbers() -> None:
    """A shard that came from another slice may still be used there."""
    gained = GainedNumbers()
    gained.adopt(configuration(('x', 'y'), number=4))
    assert gained.by_shard()['x'] == 4
    gained.adopt(configuration(('x', 'y', 'z'), number=5))
    assert gained.by_shard() == {'x': 4, 'y': 4, 'z': 5}
    # Number 6 was not seen, so nothing is known of it.
    gained.adopt(configuration(('x', 'y'), number=7))
    assert gained.by_shard() == {'x': 7, 'y': 7}


def fingerprints() -> _fingerprints.Fingerprints:
    """Remember few bodies, and suspects for 10 s."""
    return _fingerprints.Fingerprints(
        max_proven=2, suspects=_fingerprints.Suspects(10)
    )


def test_unproven_body_runs_once_at_a_time() -> None:
    """A body that crashes servers must not run on several at once."""
    bodies = fingerprints()
    woken: list[str] = []
    assert bodies.may_run('f', 1)
    bodies.begin('f')
    assert not bodies.may_run('f', 1)
    bodies.wake_later('f', lambda: woken.append('f'))
    bodies.end('f', completed=False)
    assert woken == ['f']
    assert bodies.may_run('f', 1)
    bodies.end('f', completed=True)
    bodies.begin('f')
    assert bodies.may_run('f', 1)


def test_proven_bodies_are_bounded() -> None:
    """Unique bodies would fill the memory of a relay."""
    bodies = fingerprints()
    for body in 'fgh':
        bodies.end(body, completed=True)
    assert [body in bodies for body in 'fgh'] == [False, True, True]


def test_crash_holds_back_what_arrived_before() -> None:
    """After a crash only the front's own later try may run the body."""
    bodies = fingerprints()
    bodies.end('f', completed=True)
    bodies.begin('f')
    bodies.crash('f', 'r1', 5, sent_seconds=4)
    assert 'f' not in bodies
    assert not bodies.may_run('f', 4)
    assert bodies.may_run('f', 6)
    assert bodies.suspects.replica_ids('f') == {'r1'}
    bodies.end('f', completed=True)
    assert bodies.may_run('f', 4)


def test_suspects_are_forgotten() -> None:
    """A body that met a server's own crash must not be held back for ever."""
    bodies = fingerprints()
    bodies.crash('f', 'r1', 5, sent_seconds=4)
    bodies.crash('g', 'r2', 50, sent_seconds=4)
    assert bodies.may_run('f', 4)
    assert not bodies.may_run('g', 4)


def test_second_crash_refuses_the_body() -> None:
    """Each of several fronts could let the body crash two servers.

    Sends that ran when the first crash was seen may have met the death of
    a failure domain, which must not refuse what ran there.
    """
    bodies = fingerprints()
    bodies.crash('f', 'r1', 5, sent_seconds=4)
    bodies.crash('f', 'r2', 6, sent_seconds=4.5)
    assert not _fingerprints.is_refused(bodies, 'f', 6)
    bodies.crash('f', 'r3', 7, sent_seconds=6.5)
    assert _fingerprints.is_refused(bodies, 'f', 7)
    assert not _fingerprints.is_refused(bodies, 'f', 17)
    bodies.end('f', completed=True)
    assert not _fingerprints.is_refused(bodies, 'f', 7)


@pytest.mark.parametrize(
    ('usual', 'warm', 'left', 'silence'),
    [
        (0.02, True, 1, 0.08),
        (0.02, True, 0.2, 0.06),
        (0.02, True, 0.05, 0.04),
        (0.02, False, 1, 0.2),
        (0.001, True, 1, 0.02),
        (None, True, 1, 0.3),
        (None, True, 5, 0.5),
    ],
)
def test_silence_time(
    usual: float | None, warm: bool, left: float, silence: float
) -> None:
    """A short deadline of a caller must not make good connections silent."""
    window = LatencyWindow()
    if usual is not None:
        window.add(usual)
    permit = make_permit(
        BackendSettings(),
        window,
        warm=warm,
        deadline_seconds=10 + left,
        now_seconds=10,
    )
    assert permit.silence_seconds == pytest.approx(silence)
    assert permit.blame_after_seconds >= permit.silence_seconds


@pytest.mark.parametrize(
    ('latency_seconds', 'reserve_seconds'),
    [(None, 0.15), (0.01, 0.04), (0.5, 0.15)],
)
def test_reserve_of_a_cold_send(
    latency_seconds: float | None, reserve_seconds: float
) -> None:
    """Sends that are given up at their deadline keep a server cold.

    A replica that was slow once must still get requests.
    """
    found = cold_reserve_seconds(0.3, latency_seconds, BackendSettings())
    assert found == pytest.approx(reserve_seconds)


def test_usual_latency_is_forgotten() -> None:
    """A baseline that never ends keeps every replica of a slower index cold."""
    latency = ServiceLatency()
    assert latency.remembered_seconds(0) is None
    latency.add(2, 0)
    assert latency.remembered_seconds(1) == 2
    assert latency.remembered_seconds(100) is None
    assert lower_median([50, 3, 4, 1]) == 3


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'[]',
        b'[' * 100_000,
        b'{"snapshot": "s", "documents": true, "hits": []}',
        b'{"snapshot": "s", "documents": -1, "hits": []}',
        b'{"snapshot": "", "documents": 1, "hits": []}',
        b'{"snapshot": "s", "documents": 1, "hits": {}}',
        b'{"instance": "i", "snapshots": {}}',
        b'{"instance": "i", "snapshots": [1]}',
        b'{"instance": 1, "snapshots": []}',
        b'\xff',
    ],
)
def test_malformed_bodies_are_values(body: bytes) -> None:
    """An exception from a bad reply would end a connection's task."""
    assert decode_search(body).value_or(None) is None
    assert decode_status(body).value_or(None) is None
