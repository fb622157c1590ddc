"""Play loads in virtual time, and check what callers get."""

import attrs
import pytest

from benchmarks.emulator import POLICIES, Experiment, Fault, Outcome, play
from benchmarks.emulator._experiments import decode_experiment

_SLOW = Fault(kind='slow', at_seconds=4, for_seconds=8, share=0.15, factor=7)
#: Many fronts that each send few requests to a replica.
_MANY_FRONTS = Experiment(
    name='many fronts',
    seed=3,
    seconds=12,
    fronts=40,
    failure_domains=4,
    shards=12,
    replicas=3,
    slots=4,
    queue=24,
    connections=70,
    searches_per_second=40,
    work_ms=15,
    pause_ms=150,
    pause_every_seconds=3.6,
    target_ms=120,
    timeout_ms=800,
    budget_slack=30,
    faults=(_SLOW,),
)


def _worth(outcome: Outcome) -> float:
    return outcome.worth / outcome.searches


@pytest.fixture(name='played', scope='module')
def _played() -> dict[str, Outcome]:
    """Play the same load with each policy."""
    return {
        name: play(_MANY_FRONTS, policies)
        for name, policies in POLICIES.items()
    }


def test_runs_repeat_exactly(played: dict[str, Outcome]) -> None:
    """A comparison of policies must not depend on the machine."""
    again = play(_MANY_FRONTS, POLICIES['product'])
    assert again.worth == played['product'].worth
    assert again.sends == played['product'].sends


def test_told_paces_spare_hedges(played: dict[str, Outcome]) -> None:
    """Fronts that send little learn of slow replicas from the others."""
    told, own = played['product'], played['own-paces']
    assert _worth(told) > _worth(own)
    assert told.extra_share < own.extra_share


@pytest.mark.parametrize('simple', ['no-hedging', 'patient', 'random'])
def test_policies_earn_more_than_simple_ones(
    played: dict[str, Outcome], simple: str
) -> None:
    """Each policy must serve callers better than its simple variant."""
    assert _worth(played['product']) > _worth(played[simple])


def test_extra_sends_stay_in_the_budget(played: dict[str, Outcome]) -> None:
    """Replicas that are all slow must not get more load for it."""
    overload = attrs.evolve(
        _MANY_FRONTS,
        budget_slack=0,
        faults=(attrs.evolve(_SLOW, share=1.0),),
    )
    outcome = play(overload, POLICIES['product'])
    assert outcome.extra_share <= overload.budget_ratio


@pytest.mark.parametrize(
    'changes',
    [{'seconds': 0}, {'min_share': 2}, {'odd': 1}, {'faults': [{'kind': 'x'}]}],
)
def test_bad_experiments_are_refused(changes: dict[str, object]) -> None:
    """A mistyped figure must not give an outcome."""
    fields = attrs.asdict(attrs.evolve(_MANY_FRONTS, faults=()))
    fields['faults'] = []
    with pytest.raises((TypeError, ValueError)):
        decode_experiment({**fields, **changes})
