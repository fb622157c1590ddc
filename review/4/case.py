"""Restart fronts while new replicas register, and add a route to them."""

import asyncio
import pathlib
import signal
import sys
import time

from standins.callers import KeptCaller
from standins.configs import TIMEOUT_MS, build_config, build_route
from standins.fronts import Machine, pick_host
from standins.records import Record, has_trouble
from standins.replicas import Replica
from standins.stores import Store

#: What was sent, answered and run.
_RECORD_PATH = pathlib.Path(__file__).with_name('record.txt')
_ZONES = ('recife', 'fortaleza', 'salvador')
#: As in the site file: `page` under `discovery`.
_PAGE_SIZE = 50
#: Within the site file's `platform_compact`: stale reads are 5.5 s behind.
_STALE_SECONDS = 5.5
_OLD_SHARDS = tuple(f'dele{number:02}a' for number in range(10))
_NEW_SHARDS = tuple(f'xano{number:02}b' for number in range(15))
_OTHERS = ('kafi81c', 'lohu93e')
_OTHER_REPLICAS = 5
#: As in the site file: `reshard`, the config names the new set x s later.
_RESHARD_SECONDS = 3.5
#: Time from the start of the new set until the fronts are killed.
_KILL_SECONDS = 2.8
#: As in the config and the settings: the new replicas are cold for so long, and
#: their entries change at each heartbeat until they are warm.
_WARMUP_MS = 3000
_HEARTBEAT_MS = 1200
_CONTACT_SECONDS = 4
_CONFIG_APPLY_SECONDS = 3
_MIN_REQUESTS = 20
_ADDED_PREFIX = '/nono601/'
_FIRST_PREFIX = '/rany330/'


class Case:
    """One run: a store, two sets of shards, two fronts, callers."""

    def __init__(self) -> None:
        """Create the stand-ins."""
        self.record = Record(_RECORD_PATH)
        self.store = Store()
        self.store.page_size = _PAGE_SIZE
        self.store.record = self.record.add
        self.host = pick_host()
        self.machines: list[Machine] = []

    async def start(self) -> bool:
        """Start all programs; return whether the fronts are ready."""
        store_address = await self.store.start(self.host)
        for shard in _OLD_SHARDS:
            await self._start_replicas(shard, len(_ZONES))
        for service in _OTHERS:
            await self._start_replicas(service, _OTHER_REPLICAS)
        self.first_route = build_route(
            _FIRST_PREFIX,
            gather=list(_OLD_SHARDS),
            top_k=5,
            min_shard_share=0.89,
        )
        self.added_route = build_route(
            _ADDED_PREFIX,
            gather=list(_NEW_SHARDS),
            top_k=5,
            min_shard_share=0.89,
        )
        self._write_config(7, [self.first_route])
        self.machines = [
            Machine(f'front-{zone}-1', zone, store_address)
            for zone in _ZONES[:2]
        ]
        for machine in self.machines:
            machine.seeds = [other.control for other in self.machines]
            await machine.start()
        are_ready = [await machine.wait_ready() for machine in self.machines]
        return all(are_ready)

    async def _start_replicas(self, service: str, count: int) -> list[Replica]:
        replicas = []
        for index in range(count):
            zone = _ZONES[index % len(_ZONES)]
            replicas.append(Replica(self.store, service, zone))
            await replicas[-1].start(self.host)
        return replicas

    def _write_config(self, version: int, routes: list[dict]) -> None:
        services = (*_OLD_SHARDS, *_NEW_SHARDS, *_OTHERS)
        self.store.put(
            'config', 'main', build_config(version, routes, services)
        )
        self.record.add(f'store acknowledges version {version}')

    async def play(self) -> int:
        """Play the events, and apply CONFIG; return the exit code."""
        await asyncio.sleep(5)
        registered_at_seconds = time.monotonic()
        warming = []
        for shard in _NEW_SHARDS:
            for replica in await self._start_replicas(shard, len(_ZONES)):
                warming.append(
                    asyncio.create_task(
                        replica.warm_up(_WARMUP_MS, _HEARTBEAT_MS)
                    )
                )
        self.record.add('the replicas of the new shards have registered')
        await asyncio.sleep(_KILL_SECONDS)
        if has_trouble():
            self.store.stale_seconds = _STALE_SECONDS
            await self._restart_fronts()
        elapsed_seconds = time.monotonic() - registered_at_seconds
        await asyncio.sleep(max(0, _RESHARD_SECONDS - elapsed_seconds))
        self._write_config(12, [self.first_route, self.added_route])
        for machine in self.machines:
            if not await machine.wait_ready():
                return 2
        await asyncio.sleep(_CONTACT_SECONDS + _CONFIG_APPLY_SECONDS)
        await asyncio.gather(*warming)
        shares = {
            prefix: await self._measure(prefix)
            for prefix in (_FIRST_PREFIX, _ADDED_PREFIX)
        }
        if None in shares.values() or not shares[_FIRST_PREFIX]:
            return 2
        if shares[_ADDED_PREFIX] < shares[_FIRST_PREFIX] / 4:
            self.record.say(
                'CONFIG: requests on the added route are served less than a '
                'quarter as often as those on the first route'
            )
            return 1
        return 0

    async def _restart_fronts(self) -> None:
        """Kill all fronts at once; they are started again after 0.5 s."""
        self.record.add('all fronts are killed')
        for machine in self.machines:
            machine.send_signal(signal.SIGKILL)
        await asyncio.sleep(0.5)
        for machine in self.machines:
            await machine.start()
        self.record.add('all fronts are started again')

    async def _measure(self, prefix: str) -> float | None:
        """Return the share of requests that are served, for 20 s."""
        callers = [
            KeptCaller(machine.frontend, f'{prefix}2f', TIMEOUT_MS)
            for machine in self.machines
            for _ in range(2)
        ]
        for caller in callers:
            caller.record = lambda event, request_id: self.record.add(
                f'{prefix}: {event} {request_id}'
            )
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.sleep(20)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        answers = [
            status for caller in callers for status in caller.answers.values()
        ]
        counts = {status: answers.count(status) for status in set(answers)}
        self.record.say(f'{prefix}: answers {counts}')
        if len(answers) < _MIN_REQUESTS:
            return None
        return counts.get('200', 0) / len(answers)

    async def stop(self) -> None:
        """End all processes that this case started."""
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
