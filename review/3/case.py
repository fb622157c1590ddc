"""Change a grown configuration often, and watch the memory of the fronts."""

import asyncio
import pathlib
import signal
import sys
import time

from standins.callers import CUT, KeptCaller
from standins.configs import TIMEOUT_MS, build_config, build_route
from standins.fronts import Machine, pick_host
from standins.records import Record, has_trouble
from standins.replicas import Replica
from standins.stores import Store

#: What was sent, answered and run.
_RECORD_PATH = pathlib.Path(__file__).with_name('record.txt')
_ZONES = ('recife', 'fortaleza')
#: As in the site file: `big_config` with `count` 350, six times.
_ADDED_ROUTES = 6 * 350
#: As in the site file: `config_storm` with this `gap_s`.
_GAP_SECONDS = 0.33
_STORM_SECONDS = 95
#: As in the site file. DEPLOY.md: a process that exceeds it is killed.
_MEMORY_MB = 300
_CALLERS_PER_FRONT = 10
#: More than this many requests break the rule.
_ALLOWED_CUTS = 3


class Case:
    """One run: a store, one service, two fronts, callers."""

    def __init__(self) -> None:
        """Create the stand-ins."""
        self.record = Record(_RECORD_PATH)
        self.store = Store()
        self.replicas: list[Replica] = []
        self.machines: list[Machine] = []
        self.callers: list[list[KeptCaller]] = []
        #: Highest memory of each front.
        self.peak_mb: dict[str, float] = {}
        self.killed: list[str] = []
        self.version = 7

    async def start(self) -> bool:
        """Start all programs; return whether the fronts are ready."""
        host = pick_host()
        store_address = await self.store.start(host)
        self._write_config(8)
        for zone in (*_ZONES, *_ZONES):
            replica = Replica(self.store, 'kafi81c', zone)
            replica.slots = 6
            replica.queue = 24
            replica.work_seconds = 0.12
            await replica.start(host)
            self.replicas.append(replica)
        self.machines = [
            Machine(f'front-{zone}-1', zone, store_address) for zone in _ZONES
        ]
        for machine in self.machines:
            machine.seeds = [other.control for other in self.machines]
            await machine.start()
        are_ready = [await machine.wait_ready() for machine in self.machines]
        return all(are_ready)

    def _write_config(self, route_count: int) -> None:
        """Write the next version, with a time limit that changes."""
        self.version += 1 + self.version % 3
        routes = [
            build_route(
                f'/goka902/{number}/' if number else '/goka902/',
                timeout_ms=TIMEOUT_MS + self.version % 2,
                service='kafi81c',
            )
            for number in range(route_count)
        ]
        self.store.put(
            'config', 'main', build_config(self.version, routes, ['kafi81c'])
        )
        self.record.add(f'version {self.version} with {route_count} routes')

    async def play(self) -> None:
        """Run the callers while the configuration changes."""
        tasks = []
        for machine in self.machines:
            group = [
                KeptCaller(machine.frontend, '/goka902/2f', TIMEOUT_MS)
                for _ in range(_CALLERS_PER_FRONT)
            ]
            self.callers.append(group)
            for caller in group:
                caller.record = lambda event, request_id, name=machine.name: (
                    self.record.add(f'{name}: {event} {request_id}')
                )
                tasks.append(asyncio.create_task(caller.run()))
        tasks.append(asyncio.create_task(self._watch_memory()))
        await asyncio.sleep(5)
        ends_at_seconds = time.monotonic() + _STORM_SECONDS
        while time.monotonic() < ends_at_seconds and not self.killed:
            if has_trouble():
                self._write_config(8 + _ADDED_ROUTES)
            await asyncio.sleep(_GAP_SECONDS)
        await asyncio.sleep(2)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _watch_memory(self) -> None:
        """Kill a front that exceeds its memory, as the platform does."""
        while True:
            for machine in self.machines:
                memory_mb = _memory_mb(machine)
                known_mb = self.peak_mb.get(machine.name, 0)
                self.peak_mb[machine.name] = max(known_mb, memory_mb)
                if memory_mb > known_mb + 10:
                    self.record.add(f'{machine.name} has {memory_mb:.0f} MB')
                if memory_mb > _MEMORY_MB and machine.name not in self.killed:
                    self.killed.append(machine.name)
                    self.record.say(
                        f'{machine.name} has {memory_mb:.0f} MB after '
                        f'version {self.version} and is killed'
                    )
                    machine.send_signal(signal.SIGKILL)
            await asyncio.sleep(0.1)

    def judge(self) -> int:
        """Apply LOST; return the exit code."""
        run_ids = set().union(*(replica.runs for replica in self.replicas))
        exit_code = 0
        for machine, group in zip(self.machines, self.callers, strict=True):
            answers = {}
            for caller in group:
                answers.update(caller.answers)
            counts = {
                status: list(answers.values()).count(status)
                for status in sorted(set(answers.values()))
            }
            cut = [
                request_id
                for request_id, status in answers.items()
                if status == CUT and request_id in run_ids
            ]
            self.record.say(
                f'{machine.name}: peak {self.peak_mb[machine.name]:.0f} MB, '
                f'answers {counts}'
            )
            if not counts.get('200'):
                return 2
            if len(cut) > _ALLOWED_CUTS:
                self.record.say(
                    f'LOST: {machine.name} passed {len(cut)} requests from '
                    f'kept connections on and closed these without an answer'
                )
                exit_code = 1
        return exit_code

    async def stop(self) -> None:
        """End all processes that this case started."""
        for machine in self.machines:
            await machine.kill()


def _memory_mb(machine: Machine) -> float:
    assert machine.process is not None
    path = pathlib.Path(f'/proc/{machine.process.pid}/status')
    try:
        lines = path.read_text().splitlines()
    except OSError:
        return 0
    return sum(
        int(line.split()[1]) / 1024
        for line in lines
        if line.startswith('VmRSS:')
    )


async def _main() -> int:
    case = Case()
    try:
        if not await case.start():
            case.record.say('a front did not become ready')
            return 2
        await case.play()
        return case.judge()
    finally:
        await case.stop()


sys.exit(asyncio.run(_main()))
