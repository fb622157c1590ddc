"""Measure ours and the naive tier side by side.

Run `python -m benchmarks [USER ...]`; without a name both users' sizes run.
"""

import asyncio
import sys
import time
from collections.abc import Sequence

from benchmarks import experiments, sizes, tables
from benchmarks.outcomes import Outcome, cold_peaks, measure, print_outcomes
from benchmarks.targets import judge, print_verdicts
from benchmarks.worlds import NAIVE, OURS, Tier, open_world

_MINUTE = 60


def main(names: Sequence[str]) -> None:
    """Measure the named users' sizes."""
    started_seconds = time.monotonic()
    for size in sizes.USERS:
        if not names or size.name in names:
            asyncio.run(_measure_user(size))
    minutes = (time.monotonic() - started_seconds) / _MINUTE
    tables.say(f'took {minutes:.1f} minutes')


async def _measure_user(size: sizes.UserSize) -> None:
    assumed = '; '.join(sizes.describe(size))
    tables.say(f'== {size.name}: {assumed}')
    naive = await _measure_tier(size, NAIVE)
    ours = await _measure_tier(size, OURS)
    for experiment in experiments.ALL:
        tables.say(f'\n-- {experiment.name}: {experiment.title}')
        pair = (naive[experiment.name], ours[experiment.name])
        print_outcomes(pair)
    tables.say()
    for outcome in (naive['zone'], ours['zone']):
        peaks = tables.render_counts(cold_peaks(outcome))
        tables.say(f'{outcome.label}: load on cold servers: {peaks}')
    print_verdicts(judge(ours, naive))


async def _measure_tier(size: sizes.UserSize, tier: Tier) -> dict[str, Outcome]:
    outcomes = {}
    async with open_world(size, tier) as world:
        for experiment in experiments.ALL:
            loads = [tables.load_average()]
            outcomes[experiment.name] = await measure(world, experiment)
            loads.append(tables.load_average())
            around = ' to '.join(loads)
            tables.say(f'{tier.label} {experiment.name}: load {around}')
    return outcomes


if __name__ == '__main__':
    main(sys.argv[1:])
