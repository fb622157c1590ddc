"""Measure ours and the naive tier side by side.

Run `python -m benchmarks [USER ...]`; without a name both users' sizes run.
"""

import asyncio
import sys
import time
from collections.abc import Sequence

from benchmarks import sizes, tables
from benchmarks.comparisons import measure_tier, print_side_by_side
from benchmarks.experiments import ALL
from benchmarks.targets import judge, print_verdicts
from benchmarks.worlds import NAIVE, OURS

_MINUTE = 60


def main(names: Sequence[str]) -> None:
    """Measure the named users' sizes."""
    started_seconds = time.monotonic()
    for size in sizes.USERS:
        if not names or size.name in names:
            asyncio.run(_measure_user(size))
    minutes = (time.monotonic() - started_seconds) / _MINUTE
    tables.say(f'took {tables.render_number(minutes, 1)} minutes')


async def _measure_user(size: sizes.UserSize) -> None:
    assumed = '; '.join(sizes.describe(size))
    tables.say(f'== {size.name}: {assumed}')
    naive = await measure_tier(size, NAIVE, ALL)
    ours = await measure_tier(size, OURS, ALL)
    print_side_by_side(ALL, (naive, ours))
    tables.say()
    print_verdicts(judge(ours, naive))


if __name__ == '__main__':
    main(sys.argv[1:])
