"""Count the calls of real daemons to the platform, and read their memory."""

import asyncio
import collections
import pathlib
from collections.abc import Iterable, Sequence

from benchmarks import sizes
from benchmarks.slopes import RUNS, Figure, print_figures
from tests.outside import ServerOptions
from tests.systems import Daemon, System, SystemSpec, running

_FRONTS = 3
_RELAYS = 4
_STEADY_SECONDS = 6
_FIRST_SECONDS = 10
_KILOBYTE = 1024
_MEGABYTE = 1_000_000
_KINDS = ('read', 'write', 'watch', 'vms')

Calls = collections.Counter[str]


async def run() -> None:
    """Print calls in the steady state, of a daemon that starts, and memory."""
    spec = SystemSpec(
        text=sizes.HEREDIA.text.encode(),
        fronts=_FRONTS,
        relays=_RELAYS,
        servers=ServerOptions(common={'cold': False}),
    )
    async with running(spec) as system:
        await asyncio.sleep(_FIRST_SECONDS)
        steady = [await _count_steady(system) for _ in range(RUNS)]
        fronts = memory_figure('front', system.fronts)
        relays = memory_figure('relay', system.relays)
        first = [await _count_start(system) for _ in range(RUNS)]
    print_figures('calls of 7 daemons, steady', _steady_figures(steady))
    print_figures(
        f'calls of a relay in its first {_FIRST_SECONDS} s',
        _first_figures(first, steady),
    )
    print_figures('resident memory, one sample a daemon', (fronts, relays))


def memory_figure(name: str, daemons: Iterable[Daemon]) -> Figure:
    """Read the resident memory of some daemons."""
    return Figure(name, 'MB', tuple(map(_resident_megabytes, daemons)))


async def _count_steady(system: System) -> Calls:
    before = await _read_calls(system)
    await asyncio.sleep(_STEADY_SECONDS)
    return await _read_calls(system) - before


async def _count_start(system: System) -> Calls:
    """Count the calls of all daemons while one more relay starts."""
    before = await _read_calls(system)
    relay = await system.start_relay('centro')
    await asyncio.sleep(_FIRST_SECONDS)
    counted = await _read_calls(system) - before
    system.relays.remove(relay)
    await relay.terminate()
    return counted


async def _read_calls(system: System) -> Calls:
    reply = await system.platform.switch()
    return collections.Counter(reply['calls'])


def _steady_figures(counted: Sequence[Calls]) -> list[Figure]:
    return [
        Figure(
            kind,
            'per s',
            tuple(one[kind] / _STEADY_SECONDS for one in counted),
            digits=2,
        )
        for kind in _KINDS
    ]


def _first_figures(
    counted: Sequence[Calls], steady: Sequence[Calls]
) -> list[Figure]:
    """Subtract what the other daemons called in the steady state."""
    usual: Calls = collections.Counter()
    for calls in steady:
        usual.update(calls)
    share = _FIRST_SECONDS / (_STEADY_SECONDS * len(steady))
    return [
        Figure(
            kind,
            'calls',
            tuple(one[kind] - usual[kind] * share for one in counted),
        )
        for kind in _KINDS
    ]


def _resident_megabytes(daemon: Daemon) -> float:
    pid = daemon.program.process.pid
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * _KILOBYTE / _MEGABYTE
    raise RuntimeError(f'process {pid} has no resident memory')
