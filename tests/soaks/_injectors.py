"""Start and end faults."""

import asyncio
import collections
import functools
import itertools
import random
import signal
import time
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType

import attrs

from tests.deployments import (
    SHARDS,
    Deployment,
    FrontProcess,
    make_configuration,
)
from tests.soaks._faults import Fault, FaultKind
from tests.soaks._proxies import Proxy
from tests.standins.faulty_replies import FAULTY_REPLIES
from tests.standins.replicas import ReplicaServer
from tests.standins.stores import StoreFaults

#: Time limit of a planned stop, `grace_s` in the settings of the fronts.
_STOP_TIMEOUT_SECONDS = 6
#: Time within which a restarted front listens, even on a busy machine.
_RESTART_WAIT_SECONDS = 4.0


@attrs.define(eq=False)
class FaultInjector:
    """Inject faults into a deployment and record when they took place."""

    deployment: Deployment
    store_proxies: Mapping[str, Proxy]
    replica_proxies: Mapping[str, Proxy]
    #: Start and end of each unplanned fault, including front restarts.
    unplanned_fault_spans: list[tuple[float, float]] = attrs.field(factory=list)
    drain_started_at_seconds: dict[str, float] = attrs.field(factory=dict)
    #: Failed planned stops and unexpected exits of fronts.
    failures: list[str] = attrs.field(factory=list)
    configuration_version: int = 1
    #: Faults that restart the same front wait for each other.
    _restart_locks: dict[str, asyncio.Lock] = attrs.field(
        factory=lambda: collections.defaultdict(asyncio.Lock)
    )

    async def inject(self, fault: Fault) -> None:
        """Wait for the start of the fault, inject it and end it."""
        await asyncio.sleep(fault.starts_at_seconds)
        started_at_seconds = time.monotonic()
        await _INJECTIONS[fault.kind](self, fault)
        if not fault.is_planned:
            self.unplanned_fault_spans.append(
                (started_at_seconds, time.monotonic())
            )

    def pick_front(self, fault: Fault) -> FrontProcess:
        """Return the front that the fault selects."""
        return self.deployment.fronts[
            fault.selector % len(self.deployment.fronts)
        ]

    def pick_replica(self, fault: Fault) -> ReplicaServer:
        """Return the replica that the fault selects."""
        servers_by_service = self.deployment.replicas.values()
        servers = list(itertools.chain.from_iterable(servers_by_service))
        return servers[fault.selector % len(servers)]

    def pick_store_proxy(self, fault: Fault) -> Proxy:
        """Return the proxy between the selected front and the store."""
        return self.store_proxies[self.pick_front(fault).name]

    def pick_replica_proxy(self, fault: Fault) -> Proxy:
        """Return the proxy between the fronts and the selected replica."""
        return self.replica_proxies[self.pick_replica(fault).replica_id]

    def restart_lock(self, front: FrontProcess) -> asyncio.Lock:
        """Return the lock that guards a stop and restart of the front."""
        return self._restart_locks[front.name]

    async def kill_and_restart(
        self, front: FrontProcess, down_seconds: float
    ) -> None:
        """Kill a front and restart it after `down_seconds`."""
        async with self.restart_lock(front):
            await front.program.kill()
            await asyncio.sleep(down_seconds)
            await self.restart(front)

    async def spoil_replies(self, rng: random.Random) -> None:
        """Spoil a reply of one replica after another until cancelled.

        This is no fault that may disturb the connections of callers.
        """
        servers = self.deployment.all_servers()
        while True:
            rng.choice(servers).faults.plan(rng.choice(_SPOILED_REPLIES))
            await asyncio.sleep(_SPOILED_REPLY_INTERVAL_SECONDS)

    async def restart(self, front: FrontProcess) -> None:
        """Start a stopped front and give it time to listen."""
        await self.deployment.restart_front(front)
        await asyncio.sleep(_RESTART_WAIT_SECONDS)


#: Set beside the earlier faults of `replica_bad_reply`, which a seed selects by
#: their number.
_FAULTY_REPLIES = (
    'unframed',
    'unframed_reset',
    'unframed_copied',
    'unframed_with_previous',
    'unsigned',
    'unsigned_unframed',
    'cut_short',
    'chunked',
    'chunked_cut',
    'chunked_copied',
    'early',
)
#: Set all the while; refusals and failures with a stamp come between.
_SPOILED_REPLIES = (*FAULTY_REPLIES, 'duplicated', 'shed_signed', 'timed_out')
_SPOILED_REPLY_INTERVAL_SECONDS = 0.1
#: Seconds for which a replica that sheds requests asks for a pause.
_PAUSE = '1.5'

_Injection = Callable[[FaultInjector, Fault], Awaitable[None]]
_ProxyInjection = Callable[[Proxy, Fault], Awaitable[None]]


async def _kill_front(injector: FaultInjector, fault: Fault) -> None:
    await injector.kill_and_restart(
        injector.pick_front(fault), fault.duration_seconds
    )


async def _kill_all_fronts(injector: FaultInjector, fault: Fault) -> None:
    await asyncio.gather(
        *(
            injector.kill_and_restart(front, fault.duration_seconds)
            for front in injector.deployment.fronts
        )
    )


async def _suspend_front(injector: FaultInjector, fault: Fault) -> None:
    program = injector.pick_front(fault).program
    program.send_signal(signal.SIGSTOP)
    await asyncio.sleep(fault.duration_seconds)
    program.send_signal(signal.SIGCONT)


async def _terminate_front(injector: FaultInjector, fault: Fault) -> None:
    front = injector.pick_front(fault)
    async with injector.restart_lock(front):
        front.program.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_SECONDS):
                exit_code = await front.program.process.wait()
        except TimeoutError:
            # A front that another fault has suspended cannot stop in time.
            await front.program.kill()
            exit_code = 0
        if exit_code:
            injector.failures.append(
                f'{front.name}: planned stop ended with exit code {exit_code}'
            )
        await injector.restart(front)


async def _reload_front(injector: FaultInjector, fault: Fault) -> None:
    injector.pick_front(fault).program.send_signal(signal.SIGHUP)


async def _inject_store_faults(injector: FaultInjector, fault: Fault) -> None:
    store = injector.deployment.store_server.store
    store.faults = _STORE_FAULTS[fault.kind]
    if fault.kind is FaultKind.store_compacted:
        store.faults = StoreFaults(oldest_revision=store.revision + 1)
        store.wake_watches()
    await asyncio.sleep(fault.duration_seconds)
    store.faults = StoreFaults()


async def _stall(proxy: Proxy, fault: Fault) -> None:
    proxy.is_stalled_to_target = bool(fault.selector % 2)
    proxy.is_stalled_from_target = not proxy.is_stalled_to_target
    await asyncio.sleep(fault.duration_seconds)
    proxy.clear_faults()


async def _delay(proxy: Proxy, fault: Fault, *, delay_seconds: float) -> None:
    proxy.delay_seconds = delay_seconds
    await asyncio.sleep(fault.duration_seconds)
    proxy.clear_faults()


async def _reset(proxy: Proxy, fault: Fault) -> None:
    proxy.reset()


def _on_store_proxy(injection: _ProxyInjection) -> _Injection:
    """Return an injection into the store proxy of the selected front."""
    return lambda injector, fault: injection(
        injector.pick_store_proxy(fault), fault
    )


def _on_replica_proxy(injection: _ProxyInjection) -> _Injection:
    """Return an injection into the proxy of the selected replica."""
    return lambda injector, fault: injection(
        injector.pick_replica_proxy(fault), fault
    )


async def _send_bad_replies(injector: FaultInjector, fault: Fault) -> None:
    fault_names = (
        'reset_before_reply',
        'truncated',
        'duplicated',
        'wrong_id',
        'garbled',
        'failed',
        'hung',
    )
    fault_name = fault_names[fault.selector % len(fault_names)]
    injector.pick_replica(fault).faults.plan(fault_name, 2)
    _set_faulty_replies(injector.deployment, fault.selector // len(fault_names))
    await asyncio.sleep(fault.duration_seconds)


def _set_faulty_replies(deployment: Deployment, selector: int) -> None:
    """Set one more fault, on a replica of orders and on one of a shard."""
    variant, index = divmod(selector, len(_FAULTY_REPLIES))
    shard = SHARDS[variant % len(SHARDS)]
    for service in ('lookup', shard):
        servers = deployment.replicas[service]
        faults = servers[variant % len(servers)].faults
        faults.plan(_FAULTY_REPLIES[index], 2)


async def _shed_requests(injector: FaultInjector, fault: Fault) -> None:
    """Shed requests; every second time, ask each front for a pause too."""
    faults = injector.pick_replica(fault).faults
    faults.retry_after = _PAUSE if fault.selector % 2 else ''
    faults.shed = 5


async def _drain_replica(injector: FaultInjector, fault: Fault) -> None:
    """Drain the first replica of a shard; the others take over its requests.

    Its replies say so too.
    """
    shard = SHARDS[fault.selector % len(SHARDS)]
    server = injector.deployment.replicas[shard][0]
    server.faults.leaving = True
    if server.replica_id not in injector.drain_started_at_seconds:
        proxy = injector.replica_proxies[server.replica_id]
        injector.deployment.register(
            server, 'recife', state='draining', address=proxy.address
        )
        injector.drain_started_at_seconds[server.replica_id] = time.monotonic()


async def _change_configuration(injector: FaultInjector, fault: Fault) -> None:
    """Write a configuration with an added route, which later versions keep."""
    injector.configuration_version += 1
    routes = make_configuration(1)['routes']
    newest_route = {**routes[1], 'name': 'newest', 'path_prefix': '/newest/'}
    changed = make_configuration(
        injector.configuration_version, routes=[*routes, newest_route]
    )
    injector.deployment.store_server.store.put('config', 'main', changed)


_STORE_FAULTS: Mapping[FaultKind, StoreFaults] = MappingProxyType(
    {
        FaultKind.store_unavailable: StoreFaults(status=503),
        FaultKind.store_lost_reply: StoreFaults(lost_replies=3),
        FaultKind.store_compacted: StoreFaults(),
    }
)
_INJECTIONS: Mapping[FaultKind, _Injection] = MappingProxyType(
    {
        FaultKind.front_kill: _kill_front,
        FaultKind.front_suspend: _suspend_front,
        FaultKind.front_terminate: _terminate_front,
        FaultKind.front_reload: _reload_front,
        FaultKind.all_fronts_kill: _kill_all_fronts,
        FaultKind.store_unavailable: _inject_store_faults,
        FaultKind.store_delay: _on_store_proxy(
            functools.partial(_delay, delay_seconds=0.3)
        ),
        FaultKind.store_stall: _on_store_proxy(_stall),
        FaultKind.store_reset: _on_store_proxy(_reset),
        FaultKind.store_lost_reply: _inject_store_faults,
        FaultKind.store_compacted: _inject_store_faults,
        FaultKind.replica_stall: _on_replica_proxy(_stall),
        FaultKind.replica_delay: _on_replica_proxy(
            functools.partial(_delay, delay_seconds=0.2)
        ),
        FaultKind.replica_reset: _on_replica_proxy(_reset),
        FaultKind.replica_bad_reply: _send_bad_replies,
        FaultKind.replica_shed: _shed_requests,
        FaultKind.replica_drain: _drain_replica,
        FaultKind.configuration_change: _change_configuration,
    }
)
