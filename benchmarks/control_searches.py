"""Measure status polls and wide searches of real daemons."""

import asyncio
import time
from typing import Any

import aiohttp
import attrs

from benchmarks.control_daemons import memory_figure
from benchmarks.meters import read_processor_seconds
from benchmarks.slopes import RUNS, Figure, print_figures
from benchmarks.tables import say
from benchmarks.texts import SEARCH_SHARDS, make_text, search_name
from tests.outside import ServerOptions
from tests.systems import Daemon, System, SystemSpec, running

_RELAYS = 4
#: A slice has a holder and two deputies, which read the status too.
_READERS = 3
#: With 3 replicas of each shard two relays did not get past their first
#: status reads on a busy machine.
_REPLICAS = 1
#: Longer than the default, so that a busy machine keeps up with the reads.
_STATUS_PERIOD_SECONDS = 10
_IDLE_SECONDS = 5
_SEARCHES = 15
_MAX_WARM_UPS = 60
#: Complete searches one after another before the replicas count as warm.
_IN_SEQUENCE = 5
_PAUSE_SECONDS = 0.3
_PERCENT = 100
_MILLISECONDS = 1000
_MICROSECONDS = 1_000_000


@attrs.frozen(kw_only=True)
class Searches:
    """Hold what some searches, one after another, took."""

    seconds: float
    front_seconds: float
    relay_seconds: float
    complete: int


async def run() -> None:
    """Print the cost of polls, searches and parts."""
    spec = SystemSpec(
        text=make_text(SEARCH_SHARDS),
        fronts=1,
        relays=_RELAYS,
        flags={'status_period_seconds': _STATUS_PERIOD_SECONDS},
        servers=ServerOptions(
            common={'cold': False, 'service_ms': 2},
            processes=3,
            other_replicas=_REPLICAS,
            module='benchmarks.servers',
        ),
    )
    async with running(spec) as system, aiohttp.ClientSession() as session:
        await _warm_up(system, session)
        idle = [await _idle_relays(system) for _ in range(RUNS)]
        searches = [await _search(system, session) for _ in range(RUNS)]
        memory = memory_figure('relay of about 360 replicas', system.relays)
    if min(one.complete for one in searches) < _SEARCHES:
        counts = ', '.join(str(one.complete) for one in searches)
        say(f'not measured: complete searches of {_SEARCHES}: {counts}')
        return
    print_figures(
        f'{SEARCH_SHARDS} shards of {_REPLICAS} replica, {_RELAYS} relays',
        _figures(idle, searches),
    )
    print_figures('resident memory, one sample a daemon', (memory,))


def _figures(idle: list[float], searches: list[Searches]) -> list[Figure]:
    """Subtract the polls of the relays, measured while nobody searches."""
    polls = SEARCH_SHARDS * _REPLICAS * _READERS / _STATUS_PERIOD_SECONDS
    usual = sum(idle) / len(idle)
    parts = _SEARCHES * SEARCH_SHARDS
    front = [one.front_seconds for one in searches]
    relay = [one.relay_seconds - usual * one.seconds for one in searches]
    complete = [one.complete / _SEARCHES for one in searches]
    return [
        Figure(name, unit, tuple(one * factor for one in samples))
        for name, unit, samples, factor in (
            ('status poll at the relay', 'us', idle, _MICROSECONDS / polls),
            ('search at the front', 'ms', front, _MILLISECONDS / _SEARCHES),
            ('part at the front', 'us', front, _MICROSECONDS / parts),
            ('part at the relay', 'us', relay, _MICROSECONDS / parts),
            ('complete searches', '%', complete, _PERCENT),
        )
    ]


async def _warm_up(system: System, session: aiohttp.ClientSession) -> None:
    """Search until many searches in sequence are complete."""
    complete = 0
    for _ in range(_MAX_WARM_UPS):
        is_complete = await _search_once(system, session)
        complete = complete + 1 if is_complete else 0
        if complete == _IN_SEQUENCE:
            return
        # Cold replicas bear only 2 requests a second.
        await asyncio.sleep(_PAUSE_SECONDS)
    say('the searches did not all become complete')


async def _idle_relays(system: System) -> float:
    """Give the share of a core that all relays use without searches."""
    before = _processor(system.relays)
    started_seconds = time.monotonic()
    await asyncio.sleep(_IDLE_SECONDS)
    spent_seconds = _processor(system.relays) - before
    return spent_seconds / (time.monotonic() - started_seconds)


async def _search(system: System, session: aiohttp.ClientSession) -> Searches:
    started_seconds = time.monotonic()
    front = _processor(system.fronts)
    relay = _processor(system.relays)
    answers = [await _search_once(system, session) for _ in range(_SEARCHES)]
    return Searches(
        seconds=time.monotonic() - started_seconds,
        front_seconds=_processor(system.fronts) - front,
        relay_seconds=_processor(system.relays) - relay,
        complete=sum(answers),
    )


async def _search_once(system: System, session: aiohttp.ClientSession) -> bool:
    address = system.fronts[0].listen_address
    async with session.post(
        f'http://{address}/search/{search_name(0)}',
        json={'date': 'popular'},
        headers={'X-Deadline-Ms': '2000'},
    ) as reply:
        body: dict[str, Any] = await reply.json()
    return not body.get('coverage', {'missing': True})['missing']


def _processor(daemons: list[Daemon]) -> float:
    pids = [daemon.program.process.pid for daemon in daemons]
    return sum(map(read_processor_seconds, pids))
