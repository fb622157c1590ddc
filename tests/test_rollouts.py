"""Test the decisions on rollouts, without a network and a clock."""

from collections.abc import Mapping
from types import MappingProxyType

import pytest

from dragonflyramp.rollouts import AnswerKind
from tests.rollout_models import (
    BOUNDS,
    DURATION_SECONDS,
    Behaviour,
    ModelReplica,
    RolloutModel,
    create_model,
)

_SEEDS = (1, 2, 3)


def _good(model: RolloutModel, replica: ModelReplica, route: str) -> AnswerKind:
    return AnswerKind.good


def _failing(
    model: RolloutModel, replica: ModelReplica, route: str
) -> AnswerKind:
    is_failed = model.rng.choices((True, False), (3, 7))[0]
    return AnswerKind.failed if is_failed else AnswerKind.good


def _slow(model: RolloutModel, replica: ModelReplica, route: str) -> AnswerKind:
    is_slow = model.rng.choices((True, False), (7, 3))[0]
    return AnswerKind.slow if is_slow else AnswerKind.good


def _failing_late(
    model: RolloutModel, replica: ModelReplica, route: str
) -> AnswerKind:
    if model.now_seconds < 6:
        return AnswerKind.good
    return _failing(model, replica, route)


def _failing_on_one_route(
    model: RolloutModel, replica: ModelReplica, route: str
) -> AnswerKind:
    if route == 'find':
        return AnswerKind.good
    return _failing(model, replica, route)


def _failing_under_load(
    model: RolloutModel, replica: ModelReplica, route: str
) -> AnswerKind:
    """Fail with half of the load of a replica after the rollout."""
    if model.recent_count(replica) < model.requests_per_second / 8 / 2:
        return AnswerKind.good
    return _failing(model, replica, route)


def _faulty_machine(
    model: RolloutModel, replica: ModelReplica, route: str
) -> AnswerKind:
    """Fail on the replica that is tested first."""
    if replica is model.target[0].replica:
        return AnswerKind.failed
    return AnswerKind.good


#: How versions answer, by name.
BEHAVIOURS: Mapping[str, Behaviour] = MappingProxyType(
    {
        'good': _good,
        'good, one faulty machine': _faulty_machine,
        '30% fail': _failing,
        '70% slow': _slow,
        '30% fail after 6 s': _failing_late,
        '30% fail on one route': _failing_on_one_route,
        '30% fail under load': _failing_under_load,
    }
)


def _check_exposure(model: RolloutModel) -> None:
    """Check the bound on the requests that the target got before the switch."""
    exposed = sum(sent.is_tested for sent in model.target)
    total = sum(sent.at_seconds <= DURATION_SECONDS for sent in model.sent)
    assert exposed
    # Without the slack of the bound, which remains for faults.
    assert exposed <= BOUNDS.share * total


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize('behaviour', [_good, _faulty_machine])
async def test_good_version_is_completed_in_time(
    behaviour: Behaviour, seed: int
) -> None:
    """A good version must be completed, also if one machine is faulty."""
    model = create_model(behaviour, seed)
    model.order()
    await model.run_until(DURATION_SECONDS + 2)
    assert model.state == 'completed'
    assert model.ended_at_seconds is not None
    assert model.ended_at_seconds < DURATION_SECONDS - 1
    _check_exposure(model)
    # Old replicas stop at once: none may have a request, or get one.
    assert (model.refused_count, model.cut_count) == (0, 0)
    assert all(
        sent.is_target or sent.at_seconds < model.ended_at_seconds
        for sent in model.sent
    )


@pytest.mark.parametrize('seed', _SEEDS)
@pytest.mark.parametrize(
    'behaviour',
    [
        _failing,
        _slow,
        _failing_late,
        _failing_on_one_route,
        _failing_under_load,
    ],
)
async def test_bad_version_is_rolled_back(
    behaviour: Behaviour, seed: int
) -> None:
    """A bad version must not be completed, whenever the fault shows.

    The bound on exposure holds, and nothing is sent too long after the 50th bad
    answer.
    """
    model = create_model(behaviour, seed)
    model.order()
    await model.run_until(DURATION_SECONDS + 2)
    assert model.state == 'rolled_back'
    _check_exposure(model)
    bad = [
        sent.at_seconds
        for sent in model.target
        if sent.kind is not AnswerKind.good
    ]
    last_seconds = model.target[-1].at_seconds
    assert len(bad) < 50 or last_seconds < bad[49] + BOUNDS.rollback_seconds


@pytest.mark.parametrize(
    ('behaviour', 'lost_at_seconds'),
    [
        (_good, 0.4),
        (_good, 4),
        # The decision to complete is taken, and the status is not written.
        (_good, 7.5),
        (_failing_late, 0.4),
        (_failing_late, 4),
        (_failing_late, 6.2),
    ],
)
@pytest.mark.parametrize('is_paused', [False, True])
async def test_lost_coordinator_is_replaced(
    behaviour: Behaviour, lost_at_seconds: float, is_paused: bool
) -> None:
    """Another hub must continue a rollout, and in time."""
    model = create_model(behaviour, 4)
    model.order()
    await model.run_until(lost_at_seconds)
    name = model.record['coordinator']
    lost = next(front for front in model.fronts if front.name == name)
    lost.is_running = False
    await model.run_until(lost_at_seconds + 4)
    successor = model.record['coordinator']
    # Also fails if the rollout had ended before the loss.
    assert successor != name
    # A former coordinator that wakes up writes nothing.
    lost.is_running = is_paused
    if is_paused:
        await lost.coordinator.advance('lookup', model.now_seconds)
    assert model.record['coordinator'] == successor
    await model.run_until(DURATION_SECONDS + 2)
    expected = 'completed' if behaviour is _good else 'rolled_back'
    assert model.state == expected
    assert model.ended_at_seconds is not None
    assert model.ended_at_seconds <= DURATION_SECONDS
    _check_exposure(model)


@pytest.mark.parametrize('behaviour', [_good, _failing])
async def test_lost_status_answer_is_read(behaviour: Behaviour) -> None:
    """A status whose answer was lost must not be written again."""
    model = create_model(behaviour, 5)
    model.store.lost_status_answers = 10
    model.order()
    await model.run_until(DURATION_SECONDS + 2)
    final = 'completed' if behaviour is _good else 'rolled_back'
    assert model.store.status_writes == ['running', final]


async def test_front_out_of_touch_gives_nothing() -> None:
    """A front that may have missed a rollback must not expose callers."""
    model = create_model(_good, 6)
    model.order()
    await model.run_until(2)
    lost = model.fronts[-1]
    lost.is_in_touch = False
    model.requests_per_second = 400
    await model.run_until(DURATION_SECONDS)
    late = [
        sent
        for sent in model.sent
        if sent.front is lost and sent.at_seconds > 2 + 4.5
    ]
    assert late
    assert not any(sent.is_target for sent in late)
    assert model.state == 'completed'


@pytest.mark.parametrize('down_at_seconds', [0, 3, 6.5, 7.4])
async def test_store_outage_keeps_the_time_limit(
    down_at_seconds: float,
) -> None:
    """A store that is silent for 2.5 s must not delay the end too long."""
    model = create_model(_good, 7)
    await model.run_until(0.5)
    model.order()
    await model.run_until(0.6 + down_at_seconds)
    model.store.is_down = True
    await model.run_until(0.6 + down_at_seconds + 2.5)
    model.store.is_down = False
    await model.run_until(DURATION_SECONDS + 2)
    assert model.state == 'completed'
    assert model.ended_at_seconds is not None
    assert model.ended_at_seconds <= 0.5 + DURATION_SECONDS
    _check_exposure(model)


async def test_only_target_replicas_are_left() -> None:
    """Without old replicas, the bound on exposure must hold, then the service.

    A refusal has not run; exposure to a bad version cannot be taken back.
    """
    model = create_model(_slow, 8, replica_counts=(0, 8))
    model.order()
    for front in model.fronts:
        front.is_in_touch = False
        front.read_views(0)
    await model.run_until(DURATION_SECONDS - 0.5)
    assert not model.target
    await model.run_until(DURATION_SECONDS + 1)
    assert model.target


async def test_unordered_version_waits() -> None:
    """A version that is listed before its order must get nothing at first."""
    model = create_model(_good, 9)
    model.store.put('rollouts', 'other', spec={})
    for front in model.fronts:
        front.is_in_touch = False
    await model.run_until(19)
    assert not model.target
    await model.run_until(22)
    assert model.target
