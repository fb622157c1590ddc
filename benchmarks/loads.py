"""Search at the intended times of an open load, in a process of its own.

Run `python -m benchmarks.loads` with a load as JSON on standard input. It
prints one JSON line at the start and one with the tally at the end.
"""

import asyncio
import contextlib
import json
import sys
import time

import aiohttp
import attrs
import cattrs

from benchmarks.arrivals import Arrival, LoadSpec, draw_arrivals
from benchmarks.tallies import Tally, encode_tally
from dragonflyramp.runtime import run_daemon

_MS = 1000
_MAX_IN_FLIGHT = 4000
_NOT_SENT = 'not_sent_in_flight_limit'
_LOST = 'connection_lost'
_TIMED_OUT = 'no_answer'
#: A front that exceeds the deadline by more is not waited for.
_GRACE_SECONDS = 2


@attrs.define(eq=False)
class Callers:
    """Send searches without waiting for the answers to earlier ones."""

    spec: LoadSpec
    session: aiohttp.ClientSession
    tally: Tally = attrs.field(factory=Tally)
    _in_flight: int = 0

    async def run(self) -> None:
        """Send every arrival at its time, and wait for all answers."""
        start_seconds = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for arrival in draw_arrivals(self.spec):
                due_seconds = start_seconds + arrival.at_seconds
                await asyncio.sleep(due_seconds - time.monotonic())
                if self._in_flight < _MAX_IN_FLIGHT:
                    group.create_task(self._search(arrival, due_seconds))
                else:
                    self.tally.codes[_NOT_SENT] += 1

    async def _search(self, arrival: Arrival, due_seconds: float) -> None:
        lag_seconds = time.monotonic() - due_seconds
        self.tally.largest_lag_seconds = max(
            self.tally.largest_lag_seconds, lag_seconds
        )
        self._in_flight += 1
        try:
            await self._send(arrival, due_seconds)
        except TimeoutError:
            self.tally.codes[_TIMED_OUT] += 1
        except aiohttp.ClientError:
            self.tally.codes[_LOST] += 1
        finally:
            self._in_flight -= 1

    async def _send(self, arrival: Arrival, due_seconds: float) -> None:
        """Send one search; the network delays it in both directions."""
        latency_seconds = self.spec.caller_latency_ms / _MS
        await asyncio.sleep(latency_seconds)
        name = arrival.service.name
        deadline_ms = arrival.service.deadline_ms
        async with self.session.post(
            f'http://{arrival.front}/search/{name}',
            json=arrival.body,
            headers={'X-Deadline-Ms': str(deadline_ms)},
            timeout=aiohttp.ClientTimeout(deadline_ms / _MS + _GRACE_SECONDS),
        ) as reply:
            body = await reply.json()
        ended_seconds = time.monotonic() + latency_seconds
        if 'coverage' not in body:
            self.tally.codes[body['name']] += 1
            return
        coverage = body['coverage']
        for missing in coverage['missing']:
            self.tally.missing[str(missing['code'])] += 1
        self.tally.add_answer(
            ended_seconds - due_seconds,
            coverage['fraction'],
            arrival.service.coverage_target,
        )


async def run_load(spec: LoadSpec, stop: asyncio.Event) -> None:
    """Run one load and print the tally."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        callers = Callers(spec, session)
        _print({'started': time.monotonic()})
        running = asyncio.create_task(callers.run())
        stopped = asyncio.create_task(stop.wait())
        await asyncio.wait(
            (running, stopped), return_when=asyncio.FIRST_COMPLETED
        )
        stopped.cancel()
        running.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await running
        callers.tally.processor_seconds = time.process_time()
        _print(encode_tally(callers.tally))


def _print(line: object) -> None:
    sys.stdout.write(f'{json.dumps(line)}\n')
    sys.stdout.flush()


def main() -> None:
    """Read the load from standard input and run it."""
    spec = cattrs.structure(json.load(sys.stdin), LoadSpec)
    run_daemon(lambda stop: run_load(spec, stop))


if __name__ == '__main__':
    main()
