"""Move a route to another service by a version with a long number."""

import asyncio
import pathlib
import signal
import sys

from standins.callers import KeptCaller
from standins.configs import TIMEOUT_MS, build_config, build_route
from standins.fronts import Machine, pick_host
from standins.records import Record, has_trouble
from standins.replicas import Replica
from standins.stores import Store

_FOLDER = str(pathlib.Path(__file__).parent)
_ZONES = ('recife', 'fortaleza')
_OLD_SERVICE = 'kafi81c'
_NEW_SERVICE = 'lohu93e'
_FIRST_VERSION = 999_000_000
#: With trouble, the next step passes 1,000,000,000.
_STEPS = {False: 400_000, True: 2_400_000}
_CONFIG_APPLY_SECONDS = 3
_CALLERS_PER_FRONT = 3


class Case:
    """One run: a store, two services, two fronts, callers."""

    def __init__(self) -> None:
        """Create the stand-ins."""
        self.record = Record(_FOLDER)
        self.store = Store()
        self.replicas: dict[str, list[Replica]] = {}
        self.machines: list[Machine] = []

    async def start(self) -> bool:
        """Start all programs; return whether the fronts are ready."""
        host = pick_host()
        store_address = await self.store.start(host)
        self._write_config(_FIRST_VERSION, _OLD_SERVICE)
        for service in (_OLD_SERVICE, _NEW_SERVICE):
            self.replicas[service] = [
                Replica(self.store, service, zone)
                for zone in (*_ZONES, *_ZONES)
            ]
            for replica in self.replicas[service]:
                replica.queue = 24
                replica.record = lambda event, request_id, name=service: (
                    self.record.add(f'{name} {event} {request_id}')
                )
                await replica.start(host)
        self.machines = [
            Machine(f'front-{zone}-1', zone, store_address) for zone in _ZONES
        ]
        for machine in self.machines:
            machine.seeds = [other.control for other in self.machines]
            await machine.start()
        are_ready = [await machine.wait_ready() for machine in self.machines]
        await asyncio.sleep(5)
        return all(are_ready)

    def _write_config(self, version: int, service: str) -> None:
        route = build_route('/goka902/', service=service)
        services = (_OLD_SERVICE, _NEW_SERVICE)
        self.store.put(
            'config', 'main', build_config(version, [route], services)
        )
        self.record.say(f'store acknowledges version {version}: {service}')

    async def play(self) -> int:
        """Change the config under traffic, and apply CONFIG."""
        before = await self._measure(4)
        self._write_config(_FIRST_VERSION + _STEPS[has_trouble()], _NEW_SERVICE)
        await asyncio.sleep(_CONFIG_APPLY_SECONDS + 0.5)
        after = await self._measure(20)
        self.record.say(f'runs by service before: {before}, later: {after}')
        if not before[_OLD_SERVICE]:
            return 2
        if after[_OLD_SERVICE]:
            self.record.say(
                f'CONFIG: {after[_OLD_SERVICE]} requests that were sent later '
                f'than config_apply_ms after the ack ran at the old service'
            )
            return 1
        return 0 if after[_NEW_SERVICE] else 2

    async def _measure(self, seconds: float) -> dict[str, int]:
        """Run callers; return by service how many of their requests ran."""
        callers = [
            KeptCaller(machine.frontend, '/goka902/2f', TIMEOUT_MS)
            for machine in self.machines
            for _ in range(_CALLERS_PER_FRONT)
        ]
        for caller in callers:
            caller.record = lambda event, request_id: self.record.add(
                f'{event} {request_id}'
            )
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        sent = set().union(*(caller.answers for caller in callers))
        return {
            service: sum(
                replica.runs[request_id] > 0
                for replica in replicas
                for request_id in sent
            )
            for service, replicas in self.replicas.items()
        }

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
