"""Test that malformed input gets a code and never ends a daemon."""

import asyncio
import contextlib
import os
import pathlib
import random
import types
from collections.abc import AsyncIterator, Mapping

import pytest
import pytest_asyncio
from grpc import aio

from dragonflyramp.results import ResultCode
from tests.programs import Program
from tests.small_systems import (
    TEXT,
    assert_serves,
    daemons_of,
    numbers_of,
    running_small_system,
)
from tests.systems import System

pytestmark = pytest.mark.asyncio(loop_scope='module')

HTTP2_PREFACE = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
SEARCH = '/search/desk'
DEADLINE = types.MappingProxyType({'X-Deadline-Ms': '900'})
_GARBAGE_SIZES = (1, 9, 100, 5000)


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def system() -> AsyncIterator[System]:
    """Run one system for all cases; no case may end a part of it."""
    async with running_small_system() as started:
        yield started


@pytest.mark.parametrize(
    ('program', 'argument', 'expected'),
    [
        ('front', '--drain_seconds=long', 'a number from 0 to 600'),
        ('front', '--listen_address=here', 'IP'),
        ('relay', '--policy=best', 'one of ours, naive'),
        ('relay', '--lease_term_seconds=1.0', 'at least 2'),
    ],
)
async def test_bad_flag(program: str, argument: str, expected: str) -> None:
    """A daemon could start with it, or end with a traceback."""
    flags = (
        '--platform_address=127.0.0.1:1',
        '--member_address=127.0.0.1:0',
        '--status_address=127.0.0.1:0',
        '--failure_domain=a',
        '--region=r',
        argument,
    )
    ended = await Program.start(f'dragonflyramp.tools.{program}', flags)
    try:
        assert await ended.wait() == 2
    finally:
        await ended.kill()
    assert len(ended.lines) == 1
    flag, _, given = argument.partition('=')
    named, _, allowed = ended.lines[0].partition(': use ')
    assert flag in named
    assert given in named
    assert expected in allowed


@pytest.mark.parametrize(
    ('path', 'headers', 'body', 'code'),
    [
        (SEARCH, {}, b'{}', ResultCode.bad_deadline),
        (SEARCH, {'X-Deadline-Ms': '0'}, b'{}', ResultCode.bad_deadline),
        (SEARCH, {'X-Deadline-Ms': '-5'}, b'{}', ResultCode.bad_deadline),
        (SEARCH, {'X-Deadline-Ms': '9' * 99}, b'{}', ResultCode.bad_deadline),
        (SEARCH, {'X-Deadline-Ms': 'soon'}, b'{}', ResultCode.bad_deadline),
        (SEARCH, DEADLINE, b'{', ResultCode.bad_request),
        (SEARCH, DEADLINE, b'\xff\xfe', ResultCode.bad_request),
        (SEARCH, DEADLINE, b'[' * 2000, ResultCode.bad_request),
        (SEARCH, DEADLINE, b'1' * 4000, ResultCode.body_too_large),
        ('/search/none', DEADLINE, b'{}', ResultCode.unknown_service),
        ('/search/%00%0a', DEADLINE, b'{}', ResultCode.unknown_service),
        ('/submit/desk', DEADLINE, b'{}', ResultCode.not_a_shard),
        ('/submit/x', DEADLINE, b'{}', ResultCode.missing_idempotency_key),
    ],
)
async def test_bad_request(
    system: System,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    code: ResultCode,
) -> None:
    """A caller could not tell what is wrong, or end the front for all."""
    address = system.fronts[0].listen_address
    async with system.calls.session.post(
        f'http://{address}{path}', data=body, headers=headers
    ) as reply:
        assert reply.status == code.meaning.http_status
        assert (await reply.json())['code'] == code
    await assert_serves(system)


@pytest.mark.parametrize(
    ('text', 'code'),
    [
        (b'format = [', ResultCode.text_syntax),
        (TEXT.replace(b'deadline_ms', b'deadline'), ResultCode.unknown_key),
        (TEXT.replace(b'1000', b'-1'), ResultCode.bad_value),
        (TEXT.replace(b'"y"]', b'"z"]'), ResultCode.unknown_name),
        (b'\xff', ResultCode.text_syntax),
    ],
)
async def test_bad_text(
    system: System, tmp_path: pathlib.Path, text: bytes, code: ResultCode
) -> None:
    """A text with a mistake could come into force."""
    numbers = await numbers_of(system)
    path = tmp_path / 'bad.toml'
    path.write_bytes(text)
    exit_code, lines = await system.command('push', str(path))
    assert exit_code == 1
    assert f'{code.value} {code.name}' in '\n'.join(lines)
    assert await numbers_of(system) == numbers
    await assert_serves(system)


@pytest.mark.parametrize(
    'prefix', [b'', HTTP2_PREFACE, b'POST /search/desk HTTP/1.1\r\n']
)
async def test_random_bytes_on_ports(system: System, prefix: bytes) -> None:
    """Anybody who reaches a port could end a daemon."""
    rng = random.Random(len(prefix))
    for daemon in daemons_of(system):
        for address in (
            daemon.listen_address,
            daemon.member_address,
            daemon.status_address,
        ):
            for size in _GARBAGE_SIZES if address else ():
                await send_raw(address, prefix + rng.randbytes(size))
    await assert_serves(system)


async def send_raw(address: str, sent: bytes) -> None:
    """Send bytes, read what comes back for a moment, and close."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    with contextlib.suppress(OSError, TimeoutError):
        writer.write(sent)
        await writer.drain()
        async with asyncio.timeout(0.05):
            await reader.read()
    writer.close()


@pytest.mark.parametrize(
    'method',
    [
        'Members/Heartbeat',
        'Members/Promise',
        'Members/Offer',
        'Members/Fetch',
        'Members/Handover',
        'Relay/Scatter',
    ],
)
async def test_random_messages(system: System, method: str) -> None:
    """A member of another version could end the members that it calls."""
    rng = random.Random(method)
    for daemon in daemons_of(system):
        async with aio.insecure_channel(daemon.member_address) as channel:
            call = channel.stream_stream(
                f'/dragonflyramp.v1.{method}', bytes, bytes
            )
            for size in _GARBAGE_SIZES:
                with contextlib.suppress(aio.AioRpcError):
                    stream = call(iter([rng.randbytes(size)]), timeout=5)
                    await stream.read()
                    stream.cancel()
    await assert_serves(system)


async def test_process_has_no_io_uring_and_no_children(system: System) -> None:
    """A daemon could use what the machines of the users forbid."""
    for daemon in daemons_of(system):
        process = pathlib.Path('/proc', str(daemon.program.process.pid))
        links = [os.readlink(link) for link in process.glob('fd/*')]
        assert any(link.startswith('socket:') for link in links)
        assert not any('io_uring' in link for link in links)
        children = [
            path.read_text() for path in process.glob('task/*/children')
        ]
        assert children
        assert not ''.join(children)
