"""Read counters and processor time of a running system."""

import collections
import os
import pathlib
import time
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from tests.systems import Daemon, System

_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
_STAT_USER_TIME = 11
_STAT_SYSTEM_TIME = 12
_EXTRA_SENDS = ('hedge', 'retry', 'fresh_connection')

Counts = Mapping[str, Mapping[str, int]]


@attrs.frozen(kw_only=True)
class Reading:
    """Hold what was read at one moment, by group of processes."""

    at_seconds: float
    processor_seconds: Mapping[str, tuple[float, ...]]
    counters: Mapping[str, Counts]
    backends: Mapping[str, Mapping[str, Any]]


@attrs.frozen(kw_only=True)
class Usage:
    """Hold the difference of two readings."""

    seconds: float
    #: Processor seconds of each process, by group.
    processor_seconds: Mapping[str, tuple[float, ...]]
    counters: Mapping[str, Counts]
    backends: Mapping[str, Mapping[str, Any]]

    def busiest(self, group: str) -> float:
        """Give the largest share of a core that a process of a group used."""
        return max(self.processor_seconds[group]) / self.seconds

    def processor(self, group: str) -> float:
        """Give the processor seconds of all processes of a group."""
        return sum(self.processor_seconds[group])

    def count(self, group: str, name: str) -> collections.Counter[str]:
        """Give a counter by reason."""
        return collections.Counter(self.counters[group].get(name, {}))

    @property
    def first_sends(self) -> int:
        """Count the sends that searches need in any case."""
        return self.count('relays', 'sends')['first'] - self.resends

    @property
    def extra_sends(self) -> int:
        """Count hedges, retries, second tries and resends of fronts."""
        sends = self.count('relays', 'sends')
        return sum(sends[name] for name in _EXTRA_SENDS) + self.resends

    @property
    def resends(self) -> int:
        """Count the shards that fronts asked a second time."""
        return self.count('fronts', 'resends').total()

    @property
    def extra_share(self) -> float:
        """Give the extra sends as a fraction of the necessary ones."""
        return self.extra_sends / max(1, self.first_sends)


async def read(system: System) -> Reading:
    """Read everything once."""
    return Reading(
        at_seconds=time.monotonic(),
        processor_seconds={
            'fronts': _processor(_pids(system.fronts)),
            'relays': _processor(_pids(system.relays)),
            'backends': _processor(
                process.program.process.pid
                for process in system.backends.processes
            ),
        },
        counters={
            'fronts': await _counters(system.fronts),
            'relays': await _counters(system.relays),
        },
        backends=await system.backends.records('/totals'),
    )


def difference(before: Reading, after: Reading) -> Usage:
    """Subtract the earlier reading; the records of backends stay totals."""
    return Usage(
        seconds=after.at_seconds - before.at_seconds,
        processor_seconds={
            group: tuple(
                late - early
                for early, late in zip(
                    before.processor_seconds[group], seconds, strict=True
                )
            )
            for group, seconds in after.processor_seconds.items()
        },
        counters={
            group: {
                name: _subtract(reasons, before.counters[group].get(name, {}))
                for name, reasons in counts.items()
            }
            for group, counts in after.counters.items()
        },
        backends=after.backends,
    )


def _pids(daemons: Iterable[Daemon]) -> list[int]:
    return [daemon.program.process.pid for daemon in daemons]


def _processor(pids: Iterable[int]) -> tuple[float, ...]:
    return tuple(map(read_processor_seconds, pids))


def read_processor_seconds(pid: int) -> float:
    """Read user and system time; the name in brackets may hold spaces."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[_STAT_USER_TIME]) + int(fields[_STAT_SYSTEM_TIME])
    return ticks / _TICKS_PER_SECOND


async def _counters(daemons: Iterable[Daemon]) -> Counts:
    summed: dict[str, collections.Counter[str]] = {}
    for daemon in daemons:
        status = await daemon.status()
        for name, reasons in status['counters'].items():
            summed.setdefault(name, collections.Counter()).update(reasons)
    return summed


def _subtract(
    after: Mapping[str, int], before: Mapping[str, int]
) -> Mapping[str, int]:
    return {
        reason: count - before.get(reason, 0)
        for reason, count in after.items()
        if count != before.get(reason, 0)
    }
