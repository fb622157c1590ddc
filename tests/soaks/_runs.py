"""Run one seed: start a system, strike, ask, check."""

import asyncio
import contextlib
import pathlib
import random
from collections.abc import AsyncIterator

import aiohttp
import attrs

from tests.soaks._callers import Asked, Caller
from tests.soaks._checks import Arrival, Seen, arrivals_of, violations
from tests.soaks._faults import draw
from tests.soaks._proxies import Proxy
from tests.soaks._strikes import Striker
from tests.standins.stores import StoreServer
from tests.systems import DOMAINS, SHARDS, System, config

_FRONTS = 3
_REPLICAS = 3
_CALLERS = 6
_SLACK = 6
_LAST_REQUESTS = 20
_LEAST_SERVED = 18
_OK = 200


@attrs.define(eq=False)
class Run:
    """Hold what one seed did."""

    seed: int
    violations: list[str]
    asked: int
    served: int
    faults: tuple[object, ...]


async def run_seed(seed: int, seconds: float, folder: pathlib.Path) -> Run:
    """Run one seed; the system starts afresh and ends with it."""
    faults = draw(seed, seconds)
    async with _system(folder) as striker:
        callers = [
            Caller(striker.system, f's{seed}c{index}', random.Random(index))
            for index in range(_CALLERS)
        ]
        asking = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.gather(*map(striker.strike, faults))
        try:
            await _wait_ready(striker.system)
        except AssertionError as error:
            striker.failures.append(f'a front ended by itself: {error}')
        last = await _last_requests(striker.system, seed)
        for task in asking:
            task.cancel()
        await asyncio.gather(*asking, return_exceptions=True)
        asked = [one for caller in callers for one in caller.asked]
        found = [*striker.failures, *violations(_seen(striker, asked))]
    served = sum(one.status == _OK for one in last)
    if served < _LEAST_SERVED:
        found.append(f'only {served} of {len(last)} served after all faults')
    return Run(
        seed=seed,
        violations=found,
        asked=len(asked),
        served=sum(one.status == _OK for one in asked),
        faults=faults,
    )


def _seen(striker: Striker, asked: list[Asked]) -> Seen:
    arrivals: list[Arrival] = []
    for service, servers in striker.system.replicas.items():
        for server in servers:
            arrivals.extend(
                arrivals_of(service, server.replica_id, server.arrivals)
            )
    return Seen(
        asked=asked,
        arrivals=arrivals,
        drained=striker.drained,
        troubles=striker.troubles,
        slack=_SLACK,
    )


async def _wait_ready(system: System) -> None:
    for front in system.fronts:
        await front.wait_ready()


async def _last_requests(system: System, seed: int) -> list[Asked]:
    """Ask after all faults; what was asked before has recovered."""
    caller = Caller(system, f's{seed}last', random.Random(seed))
    async with aiohttp.ClientSession() as session:
        return [
            await caller.ask(
                session,
                system.fronts[number % len(system.fronts)],
                '/search/x',
                f's{seed}last-{number}',
            )
            for number in range(_LAST_REQUESTS)
        ]


@contextlib.asynccontextmanager
async def _system(folder: pathlib.Path) -> AsyncIterator[Striker]:
    """Run fronts whose store and replicas are behind proxies."""
    store = StoreServer()
    await store.start()
    system = System(store, folder)
    store.store.put('config', 'main', config(1))
    await system.start_replicas(_REPLICAS)
    replica_proxies = {}
    for service in (*SHARDS, 'lookup'):
        for index, server in enumerate(system.replicas[service]):
            server.faults.work_seconds = 0.005
            proxy = Proxy(server.address)
            address = await proxy.start()
            domain = DOMAINS[index % len(DOMAINS)]
            system.register(server, domain, address=address)
            replica_proxies[server.replica_id] = proxy
    store_proxies = {}
    for index in range(_FRONTS):
        proxy = Proxy(store.address)
        name = f'front-{index}'
        store_proxies[name] = proxy
        await system.start_front(
            name,
            platform={'address': await proxy.start()},
            zone=DOMAINS[index % len(DOMAINS)],
            bounds={'grace_s': 6, 'retry_budget_slack': _SLACK},
        )
    await _wait_ready(system)
    async with contextlib.AsyncExitStack() as cleanup:
        for proxy in (*store_proxies.values(), *replica_proxies.values()):
            cleanup.push_async_callback(proxy.stop)
        cleanup.push_async_callback(system.stop)
        yield Striker(system, store_proxies, replica_proxies)
