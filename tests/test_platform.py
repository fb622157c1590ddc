"""Test the platform's clients against the stand-in and raw replies."""

import asyncio
import contextlib
import functools
import json
import sys
import types
from collections.abc import AsyncIterator

import aiohttp
import pytest
from returns.result import Failure, Result, Success

from dragonflyramp.metrics import counters
from dragonflyramp.models import Replica, VmState
from dragonflyramp.platform import (
    ABSENT,
    MAX_OBJECT_BYTES,
    Platform,
    VersionedObject,
    VirtualMachine,
    open_platform,
)
from dragonflyramp.results import ResultCode
from tests.standins.platform import PlatformServer

_NAME = 'groups/a b'


@pytest.fixture
async def server() -> AsyncIterator[PlatformServer]:
    """Run the stand-in on a port that the kernel chooses."""
    running = PlatformServer()
    await running.start()
    yield running
    await running.stop()


@pytest.fixture
async def client(server: PlatformServer) -> AsyncIterator[Platform]:
    """Open the clients under test."""
    async with open_platform(server.address, 5) as opened:
        yield opened


async def test_conditional_update(client: Platform) -> None:
    """Two writers that read the same version must not both win."""
    store = client.store
    assert await store.read(_NAME) == Failure(ResultCode.object_missing)
    assert await store.write(_NAME, b'one', ABSENT) == Success(1)
    assert await store.write(_NAME, b'two', 1) == Success(2)
    conflict = Failure(ResultCode.version_conflict)
    assert await store.write(_NAME, b'lost', 1) == conflict
    expected = VersionedObject(_NAME, 2, b'two')
    assert await store.read(_NAME) == Success(expected)


@pytest.mark.parametrize(
    ('size', 'outcome'),
    [
        (MAX_OBJECT_BYTES, Success(1)),
        (MAX_OBJECT_BYTES + 1, Failure(ResultCode.body_too_large)),
    ],
)
async def test_size_limit(
    client: Platform, size: int, outcome: Result[int, ResultCode]
) -> None:
    """An object of exactly the limit must pass in both directions."""
    assert await client.store.write('big', bytes(size), ABSENT) == outcome
    if outcome == Success(1):
        read = await client.store.read('big')
        assert len(read.unwrap().body) == size


async def test_lost_reply_is_not_sent_again(
    client: Platform, server: PlatformServer
) -> None:
    """A repeated PUT would report the writer's own success as a conflict."""
    server.platform.change_faults(lost_replies=1)
    down = Failure(ResultCode.platform_down)
    assert await client.store.write(_NAME, b'one', ABSENT) == down
    assert server.platform.calls['write'] == 1
    assert server.platform.versions() == {_NAME: 1}


async def test_watch(client: Platform, server: PlatformServer) -> None:
    """A watch that misses a change or outlives an outage hides a hold."""
    store = client.store
    watching = asyncio.create_task(store.watch(_NAME, ABSENT, 30))
    await store.write(_NAME, b'one', ABSENT)
    assert await watching == Success(VersionedObject(_NAME, 1, b'one'))
    assert await store.watch(_NAME, 1, 0.01) == Success(None)
    watching = asyncio.create_task(store.watch(_NAME, 1, 30))
    while server.platform.calls['watch'] < 3:
        await asyncio.sleep(0)
    server.platform.change_faults(down=True)
    assert await watching == Failure(ResultCode.platform_down)


async def test_slow_platform_times_out(server: PlatformServer) -> None:
    """A call without a timeout would hang for the length of an outage."""
    server.platform.change_faults(delay_ms=60_000)
    before = counters.get('platform_failures', 'read_platform_down')
    async with open_platform(server.address, 0.05) as client:
        found = await client.store.read(_NAME)
        assert found == Failure(ResultCode.platform_down)
    after = counters.get('platform_failures', 'read_platform_down')
    assert after == before + 1


async def test_slow_write_takes_effect(server: PlatformServer) -> None:
    """A writer that gave up must expect its write to land later."""
    server.platform.change_faults(delay_ms=200)
    async with open_platform(server.address, 0.1) as client:
        down = Failure(ResultCode.platform_down)
        assert await client.store.write(_NAME, b'one', ABSENT) == down
    async with asyncio.timeout(30):
        while not server.platform.versions():
            await asyncio.sleep(0)


async def test_stale_answers(client: Platform, server: PlatformServer) -> None:
    """The stand-in must be able to answer with an older version."""
    await client.store.write(_NAME, b'one', ABSENT)
    await client.store.write(_NAME, b'two', 1)
    server.platform.change_faults(stale=True)
    assert (await client.store.read(_NAME)).unwrap().version == 1


def _reply(status: str, body: bytes = b'', version: str = '') -> bytes:
    lines = [f'HTTP/1.1 {status}', f'Content-Length: {len(body)}']
    if version:
        lines.append(f'X-Object-Version: {version}')
    head = '\r\n'.join([*lines, '', ''])
    return head.encode() + body


_LISTING = types.MappingProxyType({'version': 'v', 'vms': []})
_VM = types.MappingProxyType(
    {'id': 'a', 'service': 's', 'address': 'x', 'failure_domain': 'd'}
)


@pytest.mark.parametrize(
    ('reply', 'code'),
    [
        (b'not HTTP\r\n\r\n', ResultCode.bad_reply),
        (_reply('200 OK', b'text'), ResultCode.bad_reply),
        (_reply('200 OK', b'[', '0'), ResultCode.bad_reply),
        (_reply('200 OK', b'{}', '-1'), ResultCode.bad_reply),
        (_reply('200 OK', b'[' * 99_999, '9' * 99), ResultCode.bad_reply),
        (_reply('302 Found', b'', '7'), ResultCode.bad_reply),
        (
            _reply('200 OK', bytes(MAX_OBJECT_BYTES + 1), '2'),
            ResultCode.bad_reply,
        ),
        (_reply('503 Busy'), ResultCode.platform_down),
        (_reply('429 Slow'), ResultCode.platform_down),
        (_reply('200 OK', b'x', '8')[:-1], ResultCode.platform_down),
        (b'', ResultCode.platform_down),
    ],
)
async def test_malformed_replies(reply: bytes, code: ResultCode) -> None:
    """A malformed reply must give a code, never end the calling task."""
    async with _raw_server(reply) as address:
        async with open_platform(address, 5) as client:
            assert await client.store.read('a') == Failure(code)
            assert await client.store.write('a', b'', 0) == Failure(code)
            assert await client.store.watch('a', 1, 1) == Failure(code)
            assert await client.vms.list_vms(['a'], '') == Failure(code)


@pytest.mark.parametrize(
    'listing',
    [
        [],
        {**_LISTING, 'version': 'a\nb'},
        {**_LISTING, 'vms': [{**_VM}]},
        {**_LISTING, 'vms': [{**_VM, 'state': 'odd'}]},
        {**_LISTING, 'vms': [{**_VM, 'state': 'live', 'id': 5}]},
    ],
)
async def test_malformed_listings(listing: object) -> None:
    """A malformed VM list must not replace the list in use."""
    reply = _reply('200 OK', json.dumps(listing).encode())
    async with _raw_server(reply) as address:
        async with open_platform(address, 5) as client:
            found = await client.vms.list_vms(['s'], '')
            assert found == Failure(ResultCode.bad_reply)


async def test_older_version_from_a_watch() -> None:
    """A success with an old version would make the watch loop spin."""
    async with _raw_server(_reply('200 OK', b'', '4')) as address:
        async with open_platform(address, 5) as client:
            found = await client.store.watch('a', 4, 1)
            assert found == Failure(ResultCode.bad_reply)


@pytest.fixture
async def process_address() -> AsyncIterator[str]:
    """Run the stand-in as a process."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'tests.standins.platform',
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout
    line = await asyncio.wait_for(process.stdout.readline(), 30)
    yield json.loads(line)['address']
    process.kill()
    await process.wait()


async def test_process_and_control(process_address: str) -> None:
    """Other tests drive the stand-in as a process over /control."""
    order = {'vms': [{**_VM, 'state': 'leaving'}], 'faults': {'stale': True}}
    async with aiohttp.ClientSession() as session:
        url = f'http://{process_address}/control'
        async with session.post(url, json=order) as reply:
            assert (await reply.json())['faults']['stale']
    async with open_platform(process_address, 5) as client:
        listing = (await client.vms.list_vms(['s'], '')).unwrap()
        assert listing
        assert [vm.replica.replica_id for vm in listing.machines] == ['a']
        again = await client.vms.list_vms(['s'], listing.version)
        assert again == Success(None)


@contextlib.asynccontextmanager
async def _raw_server(reply: bytes) -> AsyncIterator[str]:
    """Answer every connection with fixed bytes and close it."""
    server = await asyncio.start_server(
        functools.partial(_answer, reply), '127.0.0.1', 0
    )
    async with server:
        host, port = server.sockets[0].getsockname()[:2]
        yield f'{host}:{port}'


async def _answer(
    reply: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b'\r\n\r\n')
    writer.write(reply)
    await writer.drain()
    writer.close()


async def test_long_listings_fit_into_requests(
    client: Platform, server: PlatformServer
) -> None:
    """A relay of many shards must not be refused for a long request line."""
    services = [f'stock-{index}' for index in range(1000, 2000)]
    server.platform.replace_machines(
        [
            VirtualMachine(
                replica=Replica(
                    replica_id=service,
                    shard=service,
                    address='10.0.0.1:8080',
                    failure_domain='centro',
                ),
                state=VmState.live,
            )
            for service in services
        ]
    )
    listing = (await client.vms.list_vms(services, '')).unwrap()
    assert listing
    assert [one.replica.shard for one in listing.machines] == services
    again = await client.vms.list_vms(services, listing.version)
    assert again == Success(None)
