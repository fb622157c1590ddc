"""Measure the processor time of one part on its way from relay to front.

Run `python -m benchmarks.scatter`. Relay and front share one process, so the
figure covers both sides of the stream, without backend servers and merging.
"""

import asyncio
import itertools
import statistics
import time
from collections.abc import Iterator

import uvloop

from benchmarks import tables
from dragonflyramp.members._peers import PeerLinks
from dragonflyramp.messages import Part, Query
from tests import scatter_fakes as fakes

#: Shards of one relay's slice.
_SHARDS = tuple(f'shard-{number}' for number in range(16))
_QUERIES = 200
_RUNS = 5
_BODY = b'{"snapshot": "s1", "documents": 100, "hits": []}'
_MICROSECONDS = 1_000_000


class AnsweringServer(fakes.FakeServer):
    """Answer each query at once with all of its parts."""

    def start_query(self, query: Query, outbox: 'asyncio.Queue[Part]') -> None:
        """Put the parts."""
        for wanted in query.attempts:
            outbox.put_nowait(
                fakes.make_part(query.query_id, wanted.shard, _BODY)
            )


async def measure() -> None:
    """Print the median and the spread for several queries at once."""
    rows = []
    async with (
        fakes.running_relay(AnsweringServer()) as relay,
        fakes.running_front(relay.peer) as links,
    ):
        names = map(str, itertools.count())
        for at_once in (1, 4, 16):
            used = [
                await _microseconds_per_part(links, names, at_once)
                for _ in range(_RUNS)
            ]
            rows.append(
                (
                    str(at_once),
                    tables.render_number(statistics.median(used), 0),
                    tables.render_range(used, 0),
                )
            )
    head = ('queries at once', 'microseconds of processor per part', 'runs')
    tables.say(tables.render(head, rows))


async def _microseconds_per_part(
    links: PeerLinks, names: Iterator[str], at_once: int
) -> float:
    started_seconds = time.process_time()
    for _ in range(_QUERIES // at_once):
        chosen = tuple(itertools.islice(names, at_once))
        await asyncio.gather(*(_query(links, name) for name in chosen))
    used_seconds = time.process_time() - started_seconds
    parts = _QUERIES // at_once * at_once * len(_SHARDS)
    return used_seconds * _MICROSECONDS / parts


async def _query(links: PeerLinks, name: str) -> None:
    inbox = links.open_inbox(name)
    await links.send_query(fakes.R1, fakes.make_query(name, *_SHARDS))
    for _ in _SHARDS:
        await inbox.get()
    links.close_inbox(name)


if __name__ == '__main__':
    uvloop.run(measure())
