"""Measure several tiers side by side in the same situations."""

import asyncio
from collections.abc import Sequence

import attrs

from benchmarks import sizes, tables, targets
from benchmarks.experiments import Experiment, Overload
from benchmarks.outcomes import (
    Outcome,
    cold_peaks,
    measure,
    print_outcomes,
)
from benchmarks.worlds import Tier, open_world


@attrs.frozen(kw_only=True)
class Comparison:
    """Say what is compared; the first tier is the baseline."""

    tiers: Sequence[Tier]
    experiments: Sequence[Experiment]
    users: Sequence[sizes.UserSize] = (sizes.FORROZEIRA,)


def compare(comparison: Comparison) -> None:
    """Run all tiers one after another, and print them side by side."""
    for size in comparison.users:
        asyncio.run(_compare_user(comparison, size))


async def measure_tier(
    size: sizes.UserSize, tier: Tier, wanted: Sequence[Experiment]
) -> dict[str, Outcome]:
    """Run all experiments on one system; give the outcomes by name."""
    outcomes = {}
    async with open_world(size, tier) as world:
        for experiment in wanted:
            loads = [tables.load_average()]
            outcomes[experiment.name] = await measure(world, experiment)
            loads.append(tables.load_average())
            around = ' to '.join(loads)
            tables.say(f'{tier.label} {experiment.name}: load {around}')
    return outcomes


def print_side_by_side(
    wanted: Sequence[Experiment], measured: Sequence[dict[str, Outcome]]
) -> None:
    """Print one table for each experiment."""
    for experiment in wanted:
        tables.say(f'\n-- {experiment.name}: {experiment.title}')
        same = [outcomes[experiment.name] for outcomes in measured]
        print_outcomes(same)
        for outcome in same:
            _print_special(outcome)


def _print_special(outcome: Outcome) -> None:
    """Print what only some experiments have."""
    peaks = cold_peaks(outcome)
    if any(peaks.values()):
        listed = tables.render_counts(peaks)
        tables.say(f'{outcome.label}: load on cold servers: {listed}')
    if isinstance(outcome.experiment, Overload):
        measured = targets.judge_overload(outcome).measured
        tables.say(f'{outcome.label}: completed, of the peak: {measured}')


async def _compare_user(comparison: Comparison, size: sizes.UserSize) -> None:
    assumed = '; '.join(sizes.describe(size))
    tables.say(f'== {size.name}: {assumed}')
    measured = [
        await measure_tier(size, tier, comparison.experiments)
        for tier in comparison.tiers
    ]
    print_side_by_side(comparison.experiments, measured)
