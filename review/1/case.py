"""Send requests that may run once to a full replica that repeats answers."""

import asyncio
import os
import pathlib
import random
import secrets
import signal
import sys

from standins.configs import HOST, TIMEOUT_MS, build_config, build_route
from standins.fronts import Machine, pick_host
from standins.http import Message, call, encode
from standins.records import Record, has_trouble
from standins.replicas import Replica
from standins.stores import Store

#: What was sent, answered and run.
_RECORD_PATH = pathlib.Path(__file__).with_name('record.txt')
_SEED = int(os.environ.get('SEED', '1'))
_ZONES = ('recife', 'fortaleza')
#: The first service gets a little more than it can take.
_CALLERS = {'/goka902/': 8, '/goka903/': 2}
_PREFIXES = {'huvo11a': '/goka902/', 'lohu93e': '/goka903/'}
_LOAD_SECONDS = 80
#: As in the site file: `garble`, how `extra late across`, for 0.04 of the
#: answers of half of the replicas.
_LATE_COPY_SHARE = 0.04
_PROMISES = (408, 421, 429, 503)


class Case:
    """One run: a store, two services, two fronts, callers."""

    def __init__(self) -> None:
        """Create the stand-ins."""
        self.record = Record(_RECORD_PATH)
        self.store = Store()
        self.replicas = [
            Replica(self.store, service, zone)
            for service, zone in zip(_PREFIXES, _ZONES, strict=True)
        ]
        self.machines: list[Machine] = []
        #: Status or reason of each request by its id.
        self.answers: dict[str, str] = {}

    async def start(self) -> bool:
        """Start all programs; return whether the fronts are ready."""
        host = pick_host()
        store_address = await self.store.start(host)
        self._write_config()
        for index, replica in enumerate(self.replicas):
            replica.rng = random.Random(_SEED)
            replica.record = lambda event, request_id, index=index: (
                self.record.add(f'replica {index} {event} {request_id}')
            )
            await replica.start(host)
        if has_trouble():
            self.replicas[0].late_copy_share = _LATE_COPY_SHARE
        self.machines = [
            Machine(f'front-{zone}-1', zone, store_address) for zone in _ZONES
        ]
        for machine in self.machines:
            machine.seeds = [other.control for other in self.machines]
            await machine.start()
        are_ready = [await machine.wait_ready() for machine in self.machines]
        await asyncio.sleep(2)
        return all(are_ready)

    def _write_config(self) -> None:
        routes = [
            build_route(
                prefix, kind='non_idempotent', max_attempts=3, service=service
            )
            for service, prefix in _PREFIXES.items()
        ]
        self.store.put('config', 'main', build_config(7, routes, _PREFIXES))

    async def load(self) -> None:
        """Run the callers, each with one request at a time."""
        async with asyncio.timeout(_LOAD_SECONDS + 20):
            await asyncio.gather(
                *(
                    self._run_caller(prefix, number)
                    for prefix, count in _CALLERS.items()
                    for number in range(count)
                )
            )

    async def _run_caller(self, prefix: str, number: int) -> None:
        loop = asyncio.get_running_loop()
        ends_at_seconds = loop.time() + _LOAD_SECONDS
        machine = self.machines[number % len(self.machines)]
        while loop.time() < ends_at_seconds:
            retry_after = await self._send(machine, prefix)
            await asyncio.sleep(max(0.02, retry_after))

    async def _send(self, machine: Machine, prefix: str) -> float:
        """Send one request with its own id; return its Retry-After."""
        request_id = secrets.token_hex(8)
        self.record.add(f'caller sends {request_id} to {machine.name}')
        answer = await call(
            machine.frontend,
            encode(
                f'POST {prefix}2f HTTP/1.1',
                {
                    'Host': HOST,
                    'Request-Id': request_id,
                    'Deadline-Ms': str(TIMEOUT_MS),
                    'Connection': 'close',
                },
                b'book the band',
            ),
            TIMEOUT_MS / 1000 + 1,
        )
        status = str(answer.status if isinstance(answer, Message) else answer)
        self.answers[request_id] = status
        self.record.add(f'caller gets {status} for {request_id}')
        if isinstance(answer, Message):
            return min(0.3, float(answer.headers.get('retry-after', 0)))
        return 0

    def judge(self) -> int:
        """Apply TWICE and REFUSED; return the exit code."""
        run_counts = {
            request_id: sum(
                replica.runs[request_id] for replica in self.replicas
            )
            for request_id in self.answers
        }
        twice = [name for name, count in run_counts.items() if count > 1]
        refused = [
            name
            for name, status in self.answers.items()
            if status in map(str, _PROMISES) and run_counts[name]
        ]
        statuses = sorted(set(self.answers.values()))
        counts = {
            status: list(self.answers.values()).count(status)
            for status in statuses
        }
        self.record.say(f'{len(self.answers)} requests, answers {counts}')
        for index, replica in enumerate(self.replicas):
            self.record.say(
                f'replica {index}: {replica.answer_count} answers, '
                f'{replica.late_copy_count} sent a second time, '
                f'{replica.runs.total()} runs'
            )
        for name in twice:
            self.record.say(f'TWICE: {name} ran {run_counts[name]} times')
        for name in refused:
            self.record.say(
                f'REFUSED: {name} was answered {self.answers[name]} and ran'
            )
        if not run_counts or not counts.get('200'):
            return 2
        return int(bool(twice or refused))

    async def stop(self) -> None:
        """End all processes that this case started."""
        for machine in self.machines:
            machine.send_signal(signal.SIGTERM)
        for machine in self.machines:
            await machine.kill()


async def _main() -> int:
    case = Case()
    try:
        if not await case.start():
            case.record.say('a front did not become ready')
            return 2
        await case.load()
        # Whatever still waits at a replica runs by now.
        await asyncio.sleep(1)
        return case.judge()
    finally:
        await case.stop()


sys.exit(asyncio.run(_main()))
