"""Measure what each policy is worth: ours against ours with it naive.

Run `python -m benchmarks.policies [POLICY ...]`; without a name all run, each
in the situations that it is meant for.
"""

import asyncio
import sys
import time
import types
from collections.abc import Mapping, Sequence

from benchmarks import sizes, tables
from benchmarks.comparisons import measure_tier, print_side_by_side
from benchmarks.experiments import (
    Experiment,
    Overload,
    Steady,
    Stragglers,
    ZoneOut,
)
from benchmarks.worlds import OURS, Tier
from dragonflyramp.settings import Policy

_MINUTE = 60
_SITUATIONS: Mapping[Policy, Sequence[Experiment]] = types.MappingProxyType(
    {
        Policy.hedging: (Stragglers(),),
        Policy.choice: (Stragglers(),),
        Policy.stragglers: (Stragglers(),),
        Policy.canary: (Steady(),),
        Policy.slices: (Steady(), Overload()),
        Policy.ramp: (ZoneOut(),),
        Policy.retries: (ZoneOut(),),
        Policy.leaving: (ZoneOut(),),
    }
)


def main(names: Sequence[str]) -> None:
    """Measure the named policies at the first user's size."""
    started_seconds = time.monotonic()
    wanted = [Policy(name) for name in names] or list(_SITUATIONS)
    asyncio.run(_measure(sizes.FORROZEIRA, wanted))
    minutes = (time.monotonic() - started_seconds) / _MINUTE
    tables.say(f'took {tables.render_number(minutes, 1)} minutes')


async def _measure(size: sizes.UserSize, wanted: Sequence[Policy]) -> None:
    assumed = '; '.join(sizes.describe(size))
    tables.say(f'== {size.name}: {assumed}')
    needed = {one.name: one for name in wanted for one in _SITUATIONS[name]}
    ours = await measure_tier(size, OURS, list(needed.values()))
    for policy in wanted:
        experiments = _SITUATIONS[policy]
        naive = await measure_tier(size, _without(policy), experiments)
        print_side_by_side(experiments, (naive, ours))


def _without(policy: Policy) -> Tier:
    return Tier(
        label=f'naive {policy.value}',
        flags={
            'naive_policies': policy.value,
            'naive_relays': sizes.RELAYS,
        },
        has_ramp=policy is not Policy.ramp,
    )


if __name__ == '__main__':
    main(sys.argv[1:])
