"""Test the tools of the benchmarks, without running a system."""

import attrs
import pytest

from benchmarks import meters, sizes, targets
from benchmarks.arrivals import LoadSpec, SearchedService, draw_arrivals
from benchmarks.experiments import Steady
from benchmarks.outcomes import Outcome, print_outcomes
from benchmarks.tallies import Tally, add_up, decode_tally, encode_tally
from benchmarks.worlds import NAIVE, Load, Phase

_SPEC = LoadSpec(
    fronts=('127.0.0.1:1', '127.0.0.1:2'),
    services=(
        SearchedService(name='a', deadline_ms=400, coverage_target=0.9),
        SearchedService(name='b', deadline_ms=400, coverage_target=1),
    ),
    per_second=50,
    seconds=20,
    seed=7,
)


def make_outcome(completed: tuple[int, ...], extra: int = 0) -> Outcome:
    """Build an outcome of one run with a phase for each count."""
    usage = meters.Usage(
        seconds=1,
        processor_seconds={
            'fronts': (0.5, 0.25),
            'relays': (0.1,),
            'backends': (0.1,),
        },
        counters={
            'fronts': {},
            'relays': {'sends': {'first': 100, 'hedge': extra}},
        },
        backends={},
    )
    phases = [
        Phase(
            load=Load(per_second=9, seconds=1, seed=1), tally=tally, usage=usage
        )
        for tally in map(make_tally, completed)
    ]
    return Outcome(experiment=Steady(), label='ours', runs=[phases])


def make_tally(completed: int) -> Tally:
    """Build a tally of complete answers, one refusal and one partial."""
    tally = Tally()
    for _ in range(completed):
        tally.add_answer(0.02, fraction=1, target=0.9)
    tally.add_answer(0.4, fraction=0.5, target=0.9)
    tally.missing['300'] += 1
    tally.codes['front_full'] += 1
    return tally


def test_arrivals_repeat() -> None:
    """Guards against comparing two tiers under different loads."""
    arrivals = list(draw_arrivals(_SPEC))
    assert arrivals == list(draw_arrivals(_SPEC))
    assert arrivals != list(draw_arrivals(attrs.evolve(_SPEC, seed=8)))
    assert len(arrivals) == pytest.approx(1000, rel=0.15)
    assert {arrival.front for arrival in arrivals} == set(_SPEC.fronts)


def test_tally_survives_the_process() -> None:
    """Guards against figures that change on the way to the tables."""
    tally = make_tally(3)
    copied = decode_tally(encode_tally(tally))
    total = add_up((tally, copied))
    assert (total.arrived, total.answered, total.completed) == (10, 8, 6)
    assert total.coverage == pytest.approx(0.7)
    assert total.latency_ms(50) == pytest.approx(20, rel=0.01)
    assert total.latency_ms(99) == pytest.approx(400, rel=0.01)
    assert total.refused() == {'front_full': 2}


def test_tables_print(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a run of minutes that ends without its table."""
    print_outcomes([make_outcome((3,), extra=4)])
    printed = capsys.readouterr().out
    for expected in ('4.0%', 'front_full 1', 'deadline_exceeded 1', '50.0%'):
        assert expected in printed


@pytest.mark.parametrize(
    ('completed', 'met'), [((90, 95, 100), True), ((89, 100, 95), False)]
)
def test_overload_target(completed: tuple[int, ...], met: bool) -> None:
    """Guards against a missed target that is printed as met."""
    assert targets.judge_overload(make_outcome(completed)).met is met


def test_naive_splits_among_all_relays() -> None:
    """Guards against a naive tier with more slots than it would have."""
    assert NAIVE.flags['naive_relays'] == sizes.RELAYS
