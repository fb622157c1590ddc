"""Measure the slopes of the control path.

Run `python -m benchmarks.control [SECTION ...]`; without a name all sections
run, in under four minutes. Processor time is that of the processes, never the
time on the clock, so that a busy machine changes the figures little.
"""

import asyncio
import functools
import sys
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence

from benchmarks import (
    control_daemons,
    control_failures,
    control_groups,
    control_promises,
    control_searches,
    control_texts,
    tables,
)

Section = Callable[[], Awaitable[None]]

#: Sections of one stage run at the same time; most of them mostly wait.
STAGES: Sequence[Mapping[str, Section]] = (
    {'searches': control_searches.run, 'daemons': control_daemons.run},
    {
        'groups': control_groups.run,
        'failures': control_failures.run,
        'texts': functools.partial(asyncio.to_thread, control_texts.run),
    },
    {'promises': control_promises.run},
)


async def measure(names: Sequence[str]) -> None:
    """Run the named sections, or all."""
    started_seconds = time.monotonic()
    for stage in STAGES:
        wanted = [
            section
            for name, section in stage.items()
            if not names or name in names
        ]
        loads = tables.load_average()
        await asyncio.gather(*(section() for section in wanted))
        tables.say(f'\nload {loads} to {tables.load_average()}')
    took_seconds = time.monotonic() - started_seconds
    tables.say(f'took {tables.render_number(took_seconds, 0)} s')


if __name__ == '__main__':
    asyncio.run(measure(sys.argv[1:]))
