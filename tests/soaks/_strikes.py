"""Strike with a fault, and end it."""

import asyncio
import collections
import functools
import itertools
import signal
import time
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType

import attrs

from tests.soaks._faults import Fault, Kind
from tests.soaks._proxies import Proxy
from tests.standins.replicas import ReplicaServer
from tests.standins.stores import StoreFaults
from tests.systems import SHARDS, FrontProcess, System, config

#: Longest time of a planned stop, by the settings of the fronts.
_GRACE_SECONDS = 6
#: A front starts within this time on a machine that is busy.
_START_SECONDS = 4.0


@attrs.define(eq=False)
class Striker:
    """Know what can be struck."""

    system: System
    store_proxies: Mapping[str, Proxy]
    replica_proxies: Mapping[str, Proxy]
    #: Start and end of unplanned faults, and of the recovery from them.
    troubles: list[tuple[float, float]] = attrs.field(factory=list)
    drained: dict[str, float] = attrs.field(factory=dict)
    failures: list[str] = attrs.field(factory=list)
    version: int = 1
    #: Held while a process ends and starts again, one at a time for a front.
    _turns: dict[str, asyncio.Lock] = attrs.field(
        factory=lambda: collections.defaultdict(asyncio.Lock)
    )

    async def strike(self, fault: Fault) -> None:
        """Wait for the fault's time, strike, and end it."""
        await asyncio.sleep(fault.at_seconds)
        started_seconds = time.monotonic()
        await _STRIKES[fault.kind](self, fault)
        if not fault.is_planned:
            self.troubles.append((started_seconds, time.monotonic()))

    def front(self, fault: Fault) -> FrontProcess:
        """Pick the front that is struck."""
        return self.system.fronts[fault.number % len(self.system.fronts)]

    def replica(self, fault: Fault) -> ReplicaServer:
        """Pick the replica that is struck."""
        of_services = self.system.replicas.values()
        servers = list(itertools.chain.from_iterable(of_services))
        return servers[fault.number % len(servers)]

    def store_proxy(self, fault: Fault) -> Proxy:
        """Pick the way between a front and the store."""
        return self.store_proxies[self.front(fault).name]

    def replica_proxy(self, fault: Fault) -> Proxy:
        """Pick the way between the fronts and a replica."""
        return self.replica_proxies[self.replica(fault).replica_id]

    def turn(self, front: FrontProcess) -> asyncio.Lock:
        """Give what is held while a front's process ends and starts again."""
        return self._turns[front.name]

    async def kill(self, front: FrontProcess, down_seconds: float) -> None:
        """Kill a front's process and start it again."""
        async with self.turn(front):
            await front.program.kill()
            await asyncio.sleep(down_seconds)
            await self.restart(front)

    async def restart(self, front: FrontProcess) -> None:
        """Start a front that ended and wait until it listens."""
        await self.system.restart_front(front)
        await asyncio.sleep(_START_SECONDS)


_Strike = Callable[[Striker, Fault], Awaitable[None]]
_ProxyStrike = Callable[[Proxy, Fault], Awaitable[None]]


async def _kill(striker: Striker, fault: Fault) -> None:
    await striker.kill(striker.front(fault), fault.for_seconds)


async def _kill_all(striker: Striker, fault: Fault) -> None:
    await asyncio.gather(
        *(
            striker.kill(front, fault.for_seconds)
            for front in striker.system.fronts
        )
    )


async def _freeze(striker: Striker, fault: Fault) -> None:
    program = striker.front(fault).program
    program.send_signal(signal.SIGSTOP)
    await asyncio.sleep(fault.for_seconds)
    program.send_signal(signal.SIGCONT)


async def _terminate(striker: Striker, fault: Fault) -> None:
    front = striker.front(fault)
    async with striker.turn(front):
        front.program.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(_GRACE_SECONDS):
                code = await front.program.process.wait()
        except TimeoutError:
            # A front that a freeze stopped meanwhile cannot end in time.
            await front.program.kill()
            code = 0
        if code:
            striker.failures.append(f'{front.name}: stop ended with {code}')
        await striker.restart(front)


async def _hang_up(striker: Striker, fault: Fault) -> None:
    striker.front(fault).program.send_signal(signal.SIGHUP)


async def _spoil_store(striker: Striker, fault: Fault) -> None:
    store = striker.system.store.store
    store.faults = _STORE_FAULTS[fault.kind]
    if fault.kind is Kind.store_history:
        store.faults = StoreFaults(history_from=store.revision + 1)
        store.cut_watches()
    await asyncio.sleep(fault.for_seconds)
    store.faults = StoreFaults()


async def _cut(proxy: Proxy, fault: Fault) -> None:
    proxy.is_cut_to = bool(fault.number % 2)
    proxy.is_cut_back = not proxy.is_cut_to
    await asyncio.sleep(fault.for_seconds)
    proxy.heal()


async def _delay(proxy: Proxy, fault: Fault, *, delay_seconds: float) -> None:
    proxy.delay_seconds = delay_seconds
    await asyncio.sleep(fault.for_seconds)
    proxy.heal()


async def _reset(proxy: Proxy, fault: Fault) -> None:
    proxy.reset()


def _at_store(strike: _ProxyStrike) -> _Strike:
    """Strike the way between a front and the store."""
    return lambda striker, fault: strike(striker.store_proxy(fault), fault)


def _at_replica(strike: _ProxyStrike) -> _Strike:
    """Strike the way between the fronts and a replica."""
    return lambda striker, fault: strike(striker.replica_proxy(fault), fault)


async def _garble_replica(striker: Striker, fault: Fault) -> None:
    names = ('lost', 'cut', 'extra', 'foreign', 'garbled', 'failed', 'hung')
    name = names[fault.number % len(names)]
    setattr(striker.replica(fault).faults, name, 2)
    await asyncio.sleep(fault.for_seconds)


async def _shed(striker: Striker, fault: Fault) -> None:
    striker.replica(fault).faults.shed = 5


async def _drain(striker: Striker, fault: Fault) -> None:
    """Let one replica leave; one that is never asked again is no loss."""
    shard = SHARDS[fault.number % len(SHARDS)]
    server = striker.system.replicas[shard][0]
    if server.replica_id not in striker.drained:
        proxy = striker.replica_proxies[server.replica_id]
        striker.system.register(
            server, 'recife', state='draining', address=proxy.address
        )
        striker.drained[server.replica_id] = time.monotonic()


async def _configure(striker: Striker, fault: Fault) -> None:
    """Write a version that adds a route; later versions keep it."""
    striker.version += 1
    routes = config(1)['routes']
    newest = {**routes[1], 'name': 'newest', 'path_prefix': '/newest/'}
    changed = config(striker.version, routes=[*routes, newest])
    striker.system.store.store.put('config', 'main', changed)


_STORE_FAULTS: Mapping[Kind, StoreFaults] = MappingProxyType(
    {
        Kind.store_down: StoreFaults(status=503),
        Kind.store_lost: StoreFaults(lost_replies=3),
        Kind.store_history: StoreFaults(),
    }
)
_STRIKES: Mapping[Kind, _Strike] = MappingProxyType(
    {
        Kind.front_kill: _kill,
        Kind.front_freeze: _freeze,
        Kind.front_term: _terminate,
        Kind.front_hangup: _hang_up,
        Kind.all_killed: _kill_all,
        Kind.store_down: _spoil_store,
        Kind.store_slow: _at_store(
            functools.partial(_delay, delay_seconds=0.3)
        ),
        Kind.store_cut: _at_store(_cut),
        Kind.store_reset: _at_store(_reset),
        Kind.store_lost: _spoil_store,
        Kind.store_history: _spoil_store,
        Kind.replica_cut: _at_replica(_cut),
        Kind.replica_delay: _at_replica(
            functools.partial(_delay, delay_seconds=0.2)
        ),
        Kind.replica_reset: _at_replica(_reset),
        Kind.replica_garble: _garble_replica,
        Kind.replica_shed: _shed,
        Kind.replica_drain: _drain,
        Kind.configuration: _configure,
    }
)
