"""Test front processes while the store is restored from an older copy."""

import asyncio
import pathlib
from typing import Any

import aiohttp

from dragonflyramp.members import DAEMONS_KIND
from tests.deployments import (
    SHARDS,
    Deployment,
    FrontProcess,
    make_configuration,
    run_deployment,
    send_request,
)
from tests.standins.stores import StoreFaults
from tests.standins.waits import eventually


def _configuration(version: int, path: str) -> dict[str, Any]:
    """Return a configuration whose routes show its version."""
    routes = make_configuration(version)['routes']
    lookup = routes[1]
    added = {**lookup, 'name': 'added', 'path_prefix': path}
    return make_configuration(version, routes=[*routes, added])


async def _status(
    session: aiohttp.ClientSession, front: FrontProcess, path: str
) -> int:
    answer = await send_request(session, front, path, 'q')
    return answer.status


async def _wait_for_route(
    session: aiohttp.ClientSession, fronts: list[FrontProcess], path: str
) -> None:
    for front in fronts:
        async with asyncio.timeout(20):
            while await _status(session, front, path) != 200:
                await asyncio.sleep(0.05)


async def _send_load(
    session: aiohttp.ClientSession, fronts: list[FrontProcess]
) -> None:
    """Send requests, and check each answer, until cancelled."""
    number = 0
    while True:
        for front in fronts:
            number += 1
            search = await send_request(
                session, front, '/search/x', f'load-{number}'
            )
            assert search.status == 200
            assert search.headers['Missing-Parts'] == '0'
            assert await _status(session, front, '/five/x') == 200
        await asyncio.sleep(0.02)


async def _restore(deployment: Deployment, revision: int) -> None:
    """Take the store away for a moment, and restore it from a copy."""
    store = deployment.store_server.store
    store.faults = StoreFaults(status=503)
    store.wake_watches()
    await asyncio.sleep(0.5)
    store.restore_copy(revision)
    for server in deployment.replicas[SHARDS[0]]:
        store.remove('servers', server.replica_id)
    store.faults = StoreFaults()


def _registered(deployment: Deployment) -> set[str]:
    store = deployment.store_server.store
    return set(store.objects_by_kind.get(DAEMONS_KIND, {}))


async def test_fronts_serve_across_restore(tmp_path: pathlib.Path) -> None:
    """Fronts must serve across a restore, and follow the store afterwards.

    They must not serve an older configuration, nor lose replicas that write
    their entries again.
    """
    async with run_deployment(tmp_path, front_count=2) as deployment:
        store = deployment.store_server.store
        fronts = deployment.fronts
        names = {front.name for front in fronts}
        await eventually(lambda: _registered(deployment) == names)
        copy_revision = min(
            entry['meta']['rev']
            for entry in store.objects_by_kind[DAEMONS_KIND].values()
        )
        store.put('config', 'main', _configuration(5, '/five/'))
        async with aiohttp.ClientSession() as session:
            await _wait_for_route(session, fronts, '/five/x')
            load = asyncio.create_task(_send_load(session, fronts))
            await _restore(deployment, copy_revision - 1)
            await asyncio.sleep(1)
            for server in deployment.replicas[SHARDS[0]]:
                deployment.register(server, 'recife')
            await eventually(lambda: _registered(deployment) == names)
            await asyncio.sleep(2.5)
            assert not load.done(), load.exception()
            load.cancel()
            # Version 4 is older than the one served, although the store has
            # it at a later revision.
            store.put('config', 'main', _configuration(4, '/four/'))
            store.put('config', 'main', _configuration(6, '/six/'))
            await _wait_for_route(session, fronts, '/six/x')
            assert await _status(session, fronts[0], '/four/x') == 404


async def test_front_starts_after_restore(tmp_path: pathlib.Path) -> None:
    """A front that starts after a restore must serve and learn of changes."""
    async with run_deployment(tmp_path) as deployment:
        store = deployment.store_server.store
        await _restore(deployment, store.revision)
        for server in deployment.replicas[SHARDS[0]]:
            deployment.register(server, 'recife')
        new_front = await deployment.start_front('front-new')
        await new_front.wait_ready()
        store.put('config', 'main', _configuration(5, '/five/'))
        fronts = [*deployment.fronts, new_front]
        async with aiohttp.ClientSession() as session:
            await _wait_for_route(session, fronts, '/five/x')
            names = {front.name for front in fronts}
            await eventually(lambda: _registered(deployment) == names)
