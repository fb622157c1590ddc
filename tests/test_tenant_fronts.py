"""Test that removed API keys stop working on fronts without the store."""

import asyncio
import contextlib
import pathlib
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest

from tests.deployments import (
    HOST,
    Deployment,
    FrontProcess,
    make_configuration,
    run_deployment,
)
from tests.standins.stores import StoreFaults, StoreServer

_OLD_KEY = 'key-old'
_KEPT_KEY = 'key-kept'
#: Bound on each wait; it only prevents a hang.
_TIMEOUT_SECONDS = 60
_DAEMONS_KIND = 'dragonflyramp-daemons'


def _configuration(version: int, *api_keys: str) -> dict[str, Any]:
    configuration = make_configuration(
        version, tenants=[{'name': 'north', 'api_keys': list(api_keys)}]
    )
    lookup = configuration['routes'][1]
    anonymous = {
        **lookup,
        'name': 'anonymous',
        'path_prefix': '/open/',
        'anonymous': True,
    }
    configuration['routes'].append(anonymous)
    return configuration


class _Caller:
    """Send requests to one front on one kept connection."""

    def __init__(
        self, session: aiohttp.ClientSession, front: FrontProcess
    ) -> None:
        """Send to a front."""
        self.session = session
        self.front = front

    async def send(self, api_key: str = '', path: str = '/lookup/x') -> int:
        """Send a request and return the status of the answer."""
        headers = {'Host': HOST, 'Request-Id': 'q', 'Deadline-Ms': '9000'}
        if api_key:
            headers['Authorization'] = f'Bearer {api_key}'
        address = self.front.frontend_address
        url = f'http://{address}{path}'
        async with self.session.get(url, headers=headers) as reply:
            await reply.read()
            return reply.status

    async def wait_for(self, status: int, api_key: str) -> set[int]:
        """Wait for a status, and return the others that came before."""
        earlier: set[int] = set()
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            while status not in earlier:
                earlier.add(await self.send(api_key))
                await asyncio.sleep(0.05)
        return earlier - {status}


@contextlib.asynccontextmanager
async def _call(front: FrontProcess) -> AsyncIterator[_Caller]:
    connector = aiohttp.TCPConnector(limit=1)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield _Caller(session, front)


async def _wait_for_links(deployment: Deployment, count: int) -> None:
    """Wait until all fronts are registered and each has heard of another."""
    store = deployment.store_server.store
    async with asyncio.timeout(_TIMEOUT_SECONDS):
        while len(store.objects_by_kind.get(_DAEMONS_KIND, ())) < count:
            await asyncio.sleep(0.05)
    if count > 1:
        for front in deployment.fronts:
            await front.program.wait_json('peer')


@contextlib.asynccontextmanager
async def _run_fronts(
    directory: pathlib.Path, served: int, refused: int
) -> AsyncIterator[tuple[Deployment, StoreServer]]:
    """Run fronts, the last ones with another server of the same store.

    Each is in another failure domain, so that any may be a hub.
    """
    async with run_deployment(directory, front_count=0) as deployment:
        store = deployment.store_server.store
        store.put('config', 'main', _configuration(1, _OLD_KEY, _KEPT_KEY))
        refusing_server = StoreServer(store, StoreFaults())
        await refusing_server.start()
        for index in range(served + refused):
            changes: dict[str, Any] = {'zone': f'zone-{index}'}
            if index >= served:
                changes['platform'] = {'address': refusing_server.address}
            await deployment.start_front(f'front-{index}', **changes)
        for front in deployment.fronts:
            await front.wait_ready()
        await _wait_for_links(deployment, served + refused)
        yield deployment, refusing_server
        await refusing_server.stop()


def _fail(server: StoreServer, **changes: Any) -> None:
    assert server.own_faults is not None
    for name, setting in changes.items():
        setattr(server.own_faults, name, setting)


@pytest.mark.parametrize(
    ('served', 'refused', 'fault'),
    [
        (2, 1, {'status': 503}),
        (2, 1, {'status': 429}),
        (2, 1, {'is_resetting': True}),
        (2, 1, {'is_silent': True}),
        (1, 2, {'status': 503}),
        (1, 2, {'is_silent': True}),
    ],
)
async def test_key_is_removed_on_refused_fronts(
    tmp_path: pathlib.Path, served: int, refused: int, fault: dict[str, Any]
) -> None:
    """A front that the store refuses or never answers must hear from others.

    Until then both keys work, and the kept key works throughout. The new
    configuration can reach the front through the others only.
    """
    async with _run_fronts(tmp_path, served, refused) as (deployment, server):
        async with _call(deployment.fronts[-1]) as caller:
            assert await caller.send(_OLD_KEY) == 200
            _fail(server, **fault)
            store = deployment.store_server.store
            store.put('config', 'main', _configuration(2, _KEPT_KEY))
            assert await caller.wait_for(401, _OLD_KEY) <= {200}
            assert await caller.send(_KEPT_KEY) == 200
            assert await caller.send(_OLD_KEY) == 401


@pytest.mark.parametrize('is_refused', [False, True])
async def test_key_is_removed_after_lost_history(
    tmp_path: pathlib.Path, is_refused: bool
) -> None:
    """A listing in place of a watch must remove the key everywhere.

    Also while the store refuses one of the fronts.
    """
    async with _run_fronts(tmp_path, 2, 1) as (deployment, server):
        if is_refused:
            _fail(server, status=503)
        store = deployment.store_server.store
        for faults in (store.faults, server.own_faults):
            assert faults is not None
            faults.oldest_revision = store.revision + 1
        store.put('config', 'main', _configuration(2, _KEPT_KEY))
        for front in deployment.fronts:
            async with _call(front) as caller:
                assert await caller.wait_for(401, _OLD_KEY) <= {200}
                assert await caller.send(_KEPT_KEY) == 200


async def test_restarted_front_never_knows_removed_key(
    tmp_path: pathlib.Path,
) -> None:
    """A front that starts without the store must not believe an older state.

    Without a configuration it answers 503, which callers retry elsewhere, and
    neither 401 to a valid key nor 200 to a removed one.
    """
    async with _run_fronts(tmp_path, 1, 0) as (deployment, server):
        member_address = _member_address(deployment)
        _fail(server, status=503)
        front = await deployment.start_front(
            'front-late',
            seeds=[member_address],
            platform={'address': server.address},
        )
        store = deployment.store_server.store
        store.put('config', 'main', _configuration(2, _KEPT_KEY))
        async with _call(deployment.fronts[0]) as caller:
            await caller.wait_for(401, _OLD_KEY)
        await front.wait_ready()
        async with _call(front) as caller:
            assert await caller.send(_OLD_KEY) == 401
            assert await caller.send(_KEPT_KEY) == 200


async def test_front_without_configuration_answers_503(
    tmp_path: pathlib.Path,
) -> None:
    """401 is final, so a caller with a valid key would never come back."""
    async with run_deployment(tmp_path, front_count=0) as deployment:
        deployment.store_server.store.faults.status = 503
        front = await deployment.start_front('front')
        await front.program.wait_json('frontend')
        async with _call(front) as caller:
            assert await caller.send(_KEPT_KEY) == 503
            assert await caller.send() == 503
            store = deployment.store_server.store
            store.put('config', 'main', _configuration(1, _KEPT_KEY))
            store.faults.status = 0
            assert await caller.wait_for(200, _KEPT_KEY) <= {503}


async def test_strict_front_out_of_touch_refuses_keys(
    tmp_path: pathlib.Path,
) -> None:
    """A front that hears of no removed keys must stop trusting all keys."""
    async with run_deployment(tmp_path, front_count=0) as deployment:
        store = deployment.store_server.store
        store.put('config', 'main', _configuration(1, _OLD_KEY))
        front = await deployment.start_front(
            'front', bounds={'strict_revoke': True, 'revoke_ms': 4000}
        )
        await front.wait_ready()
        async with _call(front) as caller:
            assert await caller.send(_OLD_KEY) == 200
            store.faults.is_silent = True
            assert await caller.wait_for(503, _OLD_KEY) == {200}
            statuses = [
                await caller.send('key-unknown'),
                await caller.send(),
                await caller.send(path='/open/x'),
                await caller.send(_OLD_KEY, '/open/x'),
            ]
            assert statuses == [503, 401, 200, 503]
            store.faults.is_silent = False
            assert await caller.wait_for(200, _OLD_KEY) == {503}


def _member_address(deployment: Deployment) -> str:
    entries = deployment.store_server.store.objects_by_kind[_DAEMONS_KIND]
    address: str = next(iter(entries.values()))['spec']['address']
    return address
