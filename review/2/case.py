"""Send a request that ends replicas to all fronts, again and again."""

import asyncio
import pathlib
import secrets
import signal
import sys
import time

from standins.callers import KeptCaller
from standins.configs import HOST, TIMEOUT_MS, build_config, build_route
from standins.fronts import Machine, pick_host
from standins.http import Message, call, encode
from standins.records import Record, has_trouble
from standins.replicas import Replica
from standins.stores import Store

#: What was sent, answered and run.
_RECORD_PATH = pathlib.Path(__file__).with_name('record.txt')
_ZONES = ('recife', 'fortaleza', 'salvador')
_SERVICE = 'kafi81c'
_FRONT_COUNT = 6
_REPLICA_COUNT = 12
_PATH = '/goka902/3a'
#: The request comes to all fronts, one after the other, at this interval.
_SPREAD_SECONDS = 0.05
#: It comes again after this time.
_INTERVAL_SECONDS = 6
_WAVES = 4
_CONTACT_SECONDS = 4
_ALLOWED_ARRIVALS = 3


class Case:
    """One run: a store, one service, six fronts, callers."""

    def __init__(self) -> None:
        """Create the stand-ins."""
        self.record = Record(_RECORD_PATH)
        self.store = Store()
        self.replicas: list[Replica] = []
        self.machines: list[Machine] = []
        #: Monotonic times at which replicas began the request.
        self.arrivals: list[float] = []
        #: Monotonic times at which it ended a replica.
        self.ends: list[float] = []
        #: Ids under which the request was sent.
        self.sent_ids: set[str] = set()

    async def start(self) -> bool:
        """Start all programs; return whether the fronts are ready."""
        host = pick_host()
        store_address = await self.store.start(host)
        route = build_route(
            '/goka902/', kind='non_idempotent', service=_SERVICE
        )
        self.store.put('config', 'main', build_config(7, [route], [_SERVICE]))
        for index in range(_REPLICA_COUNT):
            replica = Replica(self.store, _SERVICE, _ZONES[index % len(_ZONES)])
            replica.queue = 24
            if has_trouble():
                replica.crash_text = _PATH
            replica.record = lambda event, request_id, index=index: (
                self._record_replica(index, event, request_id)
            )
            await replica.start(host)
            self.replicas.append(replica)
        self.machines = [
            Machine(
                f'front-{index}', _ZONES[index % len(_ZONES)], store_address
            )
            for index in range(_FRONT_COUNT)
        ]
        for machine in self.machines:
            machine.seeds = [other.control for other in self.machines[:3]]
            await machine.start()
        are_ready = [await machine.wait_ready() for machine in self.machines]
        await asyncio.sleep(_CONTACT_SECONDS + 1)
        return all(are_ready)

    def _record_replica(self, index: int, event: str, request_id: str) -> None:
        if event == 'ends at':
            self.ends.append(time.monotonic())
        elif event == 'runs' and request_id in self.sent_ids:
            self.arrivals.append(time.monotonic())
        self.record.add(f'replica {index} {event} {request_id}')

    async def play(self) -> int:
        """Send the request in waves; apply BUDGET, return the exit code."""
        callers = [
            KeptCaller(machine.frontend, '/goka902/2f', TIMEOUT_MS, 'POST')
            for machine in self.machines
        ]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        for _ in range(_WAVES):
            await asyncio.gather(
                *(
                    self._send(machine, index * _SPREAD_SECONDS)
                    for index, machine in enumerate(self.machines)
                )
            )
            await asyncio.sleep(_INTERVAL_SECONDS)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        served = sum(
            status == '200'
            for caller in callers
            for status in caller.answers.values()
        )
        self.record.say(f'{served} other requests were served')
        if not served:
            return 2
        if len(self.ends) < _ALLOWED_ARRIVALS:
            return 0
        later = [
            round(at_seconds - self.ends[2], 3)
            for at_seconds in self.arrivals
            if at_seconds > self.ends[2] + _CONTACT_SECONDS
        ]
        self.record.say(
            f'{len(self.arrivals)} arrivals, {len(self.ends)} replicas ended; '
            f'arrivals later than contact_ms after the third end, in seconds '
            f'from it: {later}'
        )
        if len(later) > _ALLOWED_ARRIVALS:
            self.record.say(
                f'BUDGET: a request that ends replicas reached {len(later)} '
                f'more, later than contact_ms after the third end'
            )
            return 1
        return 0

    async def _send(self, machine: Machine, delay_seconds: float) -> None:
        await asyncio.sleep(delay_seconds)
        request_id = secrets.token_hex(8)
        self.sent_ids.add(request_id)
        self.record.add(f'caller sends {request_id} to {machine.name}')
        answer = await call(
            machine.frontend,
            encode(
                f'POST {_PATH} HTTP/1.1',
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
        status = answer.status if isinstance(answer, Message) else answer
        self.record.add(f'caller gets {status} for {request_id}')

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
        return await case.play()
    finally:
        await case.stop()


sys.exit(asyncio.run(_main()))
