"""Test the authentication of callers by the API keys of tenants."""

import asyncio
import pathlib
from collections.abc import Mapping
from types import MappingProxyType

import aiohttp
import pytest

from tests.deployments import (
    HOST,
    Deployment,
    make_configuration,
    run_deployment,
)

_TENANTS = (
    {'name': 'north', 'api_keys': ['key-n1', 'key-n2'], 'priority': 1},
    {'name': 'south', 'api_keys': ['key-s']},
)
_SPOOFED: Mapping[str, str] = MappingProxyType(
    {'tenant': 'south', 'TENANT': 'south', 'Authorization': 'Bearer key-n1'}
)


async def _send(deployment: Deployment, path: str, **headers: str) -> int:
    address = deployment.fronts[0].frontend_address
    fields = {'Host': HOST, 'Request-Id': 'q', 'Deadline-Ms': '9000', **headers}
    async with (
        aiohttp.ClientSession() as session,
        session.get(f'http://{address}{path}', headers=fields) as reply,
    ):
        await reply.read()
        return reply.status


async def _wait_for_status(
    deployment: Deployment, path: str, status: int, **headers: str
) -> None:
    async with asyncio.timeout(30):
        while await _send(deployment, path, **headers) != status:
            await asyncio.sleep(0.05)


def _heads(deployment: Deployment) -> list[dict[str, str]]:
    return [
        {name.lower(): text for name, text in head.items()}
        for server in deployment.all_servers()
        for head in server.heads
    ]


@pytest.mark.parametrize('path', ['/search/x', '/lookup/x'])
async def test_replicas_get_the_tenant_and_no_key(
    tmp_path: pathlib.Path, path: str
) -> None:
    """A caller must not choose its tenant, and its key must stay here.

    Replicas trust the header, and whoever reads their logs would get the key.
    """
    async with run_deployment(tmp_path) as deployment:
        store = deployment.store_server.store
        store.put('config', 'main', make_configuration(2, tenants=_TENANTS))
        await _wait_for_status(deployment, path, 401)
        for server in deployment.all_servers():
            server.heads.clear()
        assert await _send(deployment, path, **_SPOOFED) == 200
        heads = _heads(deployment)
        assert heads
        assert {head['tenant'] for head in heads} == {'north'}
        assert not any('authorization' in head for head in heads)
        log = '\n'.join(deployment.fronts[0].program.lines)
        assert 'key-n' not in log
