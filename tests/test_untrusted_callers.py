"""Test callers that keep to no limit, at each port of a front.

Each test starts a front with low limits and a small crowd of such callers. It
checks that the process lives, that its memory and descriptors stay under the
limits, and that one ordinary request is answered afterwards. It checks no
times.
"""

import asyncio
import contextlib
import pathlib
import re
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import TypeAlias

import aiohttp
import attrs
import pytest
import yaml

from tests.deployments import (
    HOST,
    SHARDS,
    Deployment,
    FrontProcess,
    make_configuration,
    send_request,
)
from tests.programs import PROGRAM_TIMEOUT_SECONDS
from tests.standins.listeners import reserve_port
from tests.standins.stores import StoreServer

#: `limits` in the settings of the VM, which the process must stay under.
_MEMORY_MB = 110
_MAX_FDS = 400
#: `limits` of the configuration.
_LIMITS = MappingProxyType(
    {
        'max_header_bytes': 16384,
        'max_body_bytes': 10000,
        'header_timeout_ms': 1000,
        'idle_timeout_ms': 60000,
    }
)
#: Callers that send without end, and what each of them sends. Each connects
#: again when its connection is closed.
_SENDER_COUNT = 24
_BYTES_PER_SENDER = 6_000_000
_MAX_CONNECTIONS_PER_SENDER = 100
_BLOCK_BYTES = 65_536
#: Connections that are opened and kept, more than `max_fds`.
_IDLE_COUNT = 450
#: Connections with a header of which a byte is sent at a time.
_SLOW_COUNT = 60
_SLOW_BYTES = 200
_SLOW_PAUSE_SECONDS = 0.05
#: Callers that read no answer.
_DEAF_COUNT = 80
_LARGE_ANSWER_BYTES = 3_500_000
_PIPELINED_COUNT = 100
_PIPELINED_HEADER_BYTES = 14_000
#: A blocked sender has filled all buffers.
_BLOCKED_SECONDS = 0.5

_HEAD = f'POST /lookup/x HTTP/1.1\r\nHost: {HOST}\r\n'.encode()
_CHUNKED_HEAD = b''.join((_HEAD, b'Transfer-Encoding: chunked\r\n\r\n'))
_LENGTH_HEAD = b''.join((_HEAD, b'Content-Length: 99999999999\r\n\r\n'))
#: Bytes of a request that come first, and those that follow without end.
_Form: TypeAlias = tuple[bytes, bytes]
_HEAD_FORMS: Mapping[str, _Form] = MappingProxyType(
    {
        'headers': (_HEAD, b'a:\r\n'),
        'long-headers': (_HEAD, b''.join((b'a: ', b'x' * 8000, b'\r\n'))),
        'header': (b''.join((_HEAD, b'X: ')), b'y'),
        'empty-lines': (b'', b'\r\n'),
    }
)
_BODY_FORMS: Mapping[str, _Form] = MappingProxyType(
    {
        'body-length': (_LENGTH_HEAD, b'x'),
        'body-chunks': (
            _CHUNKED_HEAD,
            b''.join((b'4000\r\n', b'x' * 0x4000, b'\r\n')),
        ),
        'chunk-extension': (b''.join((_CHUNKED_HEAD, b'1;')), b'x'),
        'chunk-extensions': (_CHUNKED_HEAD, b'1;abcdefgh=ijklmnop\r\nx\r\n'),
        'trailers': (b''.join((_CHUNKED_HEAD, b'0\r\n')), b'a:\r\n'),
        'trailer': (b''.join((_CHUNKED_HEAD, b'0\r\nX: ')), b'y'),
    }
)
_FORMS: Mapping[str, _Form] = MappingProxyType({**_HEAD_FORMS, **_BODY_FORMS})
#: The port for other daemons speaks HTTP/2.
_PREFACE = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
_EMPTY_SETTINGS = b'\x00\x00\x00\x04\x00\x00\x00\x00\x00'
#: Headers of a stream that does not end: `HEADERS`, then `CONTINUATION`. Each
#: piece has a literal header field without indexing.
_FIELD = b''.join((b'\x00\x01a\x7f\x81\x7c', b'x' * 16000))
_FIELD_LENGTH = len(_FIELD).to_bytes(3, 'big')
_HEADERS_FRAME = b''.join((_FIELD_LENGTH, b'\x01\x00\x00\x00\x00\x01', _FIELD))
_CONTINUATION_FRAME = b''.join(
    (_FIELD_LENGTH, b'\x09\x00\x00\x00\x00\x01', _FIELD)
)
_PING = b'\x00\x00\x08\x06\x00\x00\x00\x00\x00aaaaaaaa'
_HTTP2_START = b''.join((_PREFACE, _EMPTY_SETTINGS))
_MEMBER_FORMS: Mapping[str, _Form] = MappingProxyType(
    {
        'header': (b''.join((_HEAD, b'X: ')), b'y'),
        'continuations': (
            b''.join((_HTTP2_START, _HEADERS_FRAME)),
            _CONTINUATION_FRAME,
        ),
        'pings': (_HTTP2_START, _PING),
    }
)

_Check: TypeAlias = Callable[['_LimitedFront'], Awaitable[None]]


@attrs.define(eq=False)
class _LimitedFront:
    """Front with low limits, and the addresses of its ports."""

    deployment: Deployment
    process: FrontProcess
    #: Address by the name of the port.
    addresses: dict[str, str]

    def address(self, port_name: str) -> tuple[str, int]:
        """Return the host and the number of a port."""
        host, _, port = self.addresses[port_name].rpartition(':')
        return host, int(port)

    def peak_memory_mb(self) -> int:
        """Return the largest resident memory that the process has had."""
        status = self._proc_path('status').read_text()
        peak = re.search(r'VmHWM:\s+(\d+)', status)
        assert peak is not None
        return int(peak[1]) // 1024

    def descriptor_count(self) -> int:
        """Return the number of open descriptors of the process."""
        return len(tuple(self._proc_path('fd').iterdir()))

    async def check(self, port_name: str) -> None:
        """Check that the process lives within its limits and serves."""
        descriptor_count = self.descriptor_count()
        await _CHECKS[port_name](self)
        descriptor_count = max(descriptor_count, self.descriptor_count())
        print(  # noqa: WPS421 - shown with `pytest -s`
            f'memory {self.peak_memory_mb()} MB, descriptors {descriptor_count}'
        )
        assert self.process.program.process.returncode is None
        assert descriptor_count <= _MAX_FDS
        assert self.peak_memory_mb() <= _MEMORY_MB

    def _proc_path(self, name: str) -> pathlib.Path:
        return pathlib.Path(
            '/proc', str(self.process.program.process.pid), name
        )


@contextlib.asynccontextmanager
async def _run_front(
    directory: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[_LimitedFront]:
    """Run a front with low limits that serves the native API, too."""
    store_server = StoreServer()
    await store_server.start()
    deployment = Deployment(store_server, directory)
    configuration = make_configuration(1, limits=dict(_LIMITS))
    search = {**configuration['routes'][0], 'name': f'search:{SHARDS[0]}'}
    configuration['routes'].append({**search, 'host': 'native.example'})
    store_server.store.put('config', 'main', configuration)
    await deployment.start_replicas(1)
    with contextlib.closing(reserve_port()) as own_socket:
        _, own_port = own_socket.getsockname()
        own_address = f'127.0.0.1:{own_port}'
        monkeypatch.setenv('DRAGONFLYRAMP_OWN_ADDRESS', own_address)
        async with contextlib.AsyncExitStack() as cleanup:
            cleanup.push_async_callback(deployment.stop)
            process = await deployment.start_front(
                'front', limits={'memory_mb': _MEMORY_MB, 'max_fds': _MAX_FDS}
            )
            monkeypatch.delenv('DRAGONFLYRAMP_OWN_ADDRESS')
            await process.wait_ready()
            started = await process.program.wait_json('metrics')
            settings = yaml.safe_load(
                directory.joinpath('front.yaml').read_text()
            )
            yield _LimitedFront(
                deployment,
                process,
                {
                    'frontend': process.frontend_address,
                    'readiness': process.readiness_address,
                    'metrics': started['metrics'],
                    'native': own_address,
                    'members': settings['listen']['control'],
                },
            )


async def _check_frontend(front: _LimitedFront) -> None:
    async with aiohttp.ClientSession() as session:
        answer = await send_request(
            session, front.process, '/lookup/x', 'ordinary'
        )
    assert answer.status == 200


async def _check_readiness(front: _LimitedFront) -> None:
    assert await front.process.is_ready()


async def _check_metrics(front: _LimitedFront) -> None:
    url = f'http://{front.addresses["metrics"]}/metrics'
    async with aiohttp.ClientSession() as session, session.get(url) as reply:
        assert reply.status == 200


async def _check_native(front: _LimitedFront) -> None:
    url = f'http://{front.addresses["native"]}/search/{SHARDS[0]}'
    headers = {'X-Deadline-Ms': '20000'}
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, headers=headers, data=b'{}') as reply,
    ):
        assert reply.status == 200


async def _check_members(front: _LimitedFront) -> None:
    """Start another daemon; it must reach the front."""
    seeds = (front.addresses['members'],)
    other = await front.deployment.start_front('other', seeds)
    await other.program.wait_json('peer')
    await _check_frontend(front)


_CHECKS: Mapping[str, _Check] = MappingProxyType(
    {
        'frontend': _check_frontend,
        'readiness': _check_readiness,
        'metrics': _check_metrics,
        'native': _check_native,
        'members': _check_members,
    }
)


async def _send_without_end(address: tuple[str, int], form: _Form) -> None:
    """Send bytes until a limit, on a new connection after each end."""
    start, piece = form
    block = piece * max(1, _BLOCK_BYTES // len(piece))
    left_bytes = _BYTES_PER_SENDER
    for _ in range(_MAX_CONNECTIONS_PER_SENDER):
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with _open(address) as (_, writer):
                writer.write(start)
                while left_bytes > 0:
                    writer.write(block)
                    left_bytes -= len(block)
                    await asyncio.wait_for(writer.drain(), _BLOCKED_SECONDS)


async def _send_slowly(address: tuple[str, int], start: bytes) -> bool:
    """Send a header a byte at a time; return whether the server ended it."""
    async with _open(address) as (reader, writer):
        writer.write(start)
        for _ in range(_SLOW_BYTES):
            writer.write(b'y')
            try:
                await asyncio.wait_for(
                    reader.read(_BLOCK_BYTES), _SLOW_PAUSE_SECONDS
                )
            except TimeoutError:
                continue
            except ConnectionError:
                return True
            if reader.at_eof():
                return True
    return False


@contextlib.asynccontextmanager
async def _open(
    address: tuple[str, int],
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    reader, writer = await asyncio.open_connection(*address)
    with contextlib.closing(writer.transport):
        yield reader, writer


async def _open_deaf(address: tuple[str, int]) -> asyncio.StreamWriter:
    """Connect with a small receive buffer, and read nothing."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, address)
    reader, writer = await asyncio.open_connection(sock=sock, limit=1)
    # Without a limit the client would buffer answers itself.
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    assert not reader.at_eof()
    return writer


def _abort(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, which ends when its writer is not kept."""
    writer.transport.abort()


def _lookup(request_id: str, header_bytes: int = 0) -> bytes:
    """Return a request as an ordinary caller sends it, with a long header."""
    padding = 'y' * header_bytes
    lines = (
        'GET /lookup/x HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: {request_id}',
        'Deadline-Ms: 30000',
        f'X: {padding}',
    )
    return '\r\n'.join((*lines, '', '')).encode()


async def _crowd(address: tuple[str, int], form: _Form) -> None:
    async with asyncio.TaskGroup() as sending:
        for _ in range(_SENDER_COUNT):
            sending.create_task(_send_without_end(address, form))


@pytest.mark.parametrize('form', _FORMS)
async def test_endless_request_at_frontend(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, form: str
) -> None:
    """Requests without end must not fill the memory of a front."""
    async with _run_front(tmp_path, monkeypatch) as front:
        await _crowd(front.address('frontend'), _FORMS[form])
        await front.check('frontend')


@pytest.mark.parametrize('port_name', ['readiness', 'metrics', 'native'])
@pytest.mark.parametrize('form', _FORMS)
async def test_endless_request_at_other_port(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    form: str,
    port_name: str,
) -> None:
    """The same holds at the ports that ordinary callers do not use."""
    async with _run_front(tmp_path, monkeypatch) as front:
        await _crowd(front.address(port_name), _FORMS[form])
        await front.check(port_name)


@pytest.mark.parametrize('form', _MEMBER_FORMS)
async def test_endless_request_at_members(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, form: str
) -> None:
    """The same holds at the port for other daemons, which speaks HTTP/2."""
    async with _run_front(tmp_path, monkeypatch) as front:
        await _crowd(front.address('members'), _MEMBER_FORMS[form])
        await front.check('members')


@pytest.mark.parametrize('port_name', _CHECKS)
async def test_connections_without_request(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, port_name: str
) -> None:
    """Open connections must not use up the descriptors of a front."""
    async with _run_front(tmp_path, monkeypatch) as front:
        async with contextlib.AsyncExitStack() as connections:
            for _ in range(_IDLE_COUNT):
                with contextlib.suppress(ConnectionError):
                    _, writer = await asyncio.open_connection(
                        *front.address(port_name)
                    )
                    connections.callback(_abort, writer)
            await front.check(port_name)


@pytest.mark.parametrize(
    'port_name', ['frontend', 'readiness', 'metrics', 'native']
)
async def test_slow_header(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, port_name: str
) -> None:
    """A header that comes a byte at a time must not keep its connection."""
    start = b''.join((_HEAD, b'X: '))
    async with _run_front(tmp_path, monkeypatch) as front:
        address = front.address(port_name)
        are_ended = await asyncio.gather(
            *(_send_slowly(address, start) for _ in range(_SLOW_COUNT))
        )
        await front.check(port_name)
    assert all(are_ended)


async def test_pipelined_requests_without_reader(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Requests that wait for the answers before them must not fill memory."""
    async with _run_front(tmp_path, monkeypatch) as front:
        for server in front.deployment.replicas['lookup']:
            server.body = b'x' * 300_000
        async with contextlib.AsyncExitStack() as connections:
            for caller in range(_DEAF_COUNT):
                writer = await _open_deaf(front.address('frontend'))
                connections.callback(_abort, writer)
                writer.writelines(
                    _lookup(f'{caller}-{index}', _PIPELINED_HEADER_BYTES)
                    for index in range(_PIPELINED_COUNT)
                )
            await _wait_until_quiet(front)
            await front.check('frontend')


async def test_large_answers_without_reader(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Complete answers that nobody reads must not fill memory."""
    async with _run_front(tmp_path, monkeypatch) as front:
        for server in front.deployment.replicas['lookup']:
            server.body = b'x' * _LARGE_ANSWER_BYTES
        async with contextlib.AsyncExitStack() as connections:
            for caller in range(_DEAF_COUNT):
                writer = await _open_deaf(front.address('frontend'))
                connections.callback(_abort, writer)
                writer.write(_lookup(f'deaf-{caller}'))
            await _wait_until_quiet(front)
            await front.check('frontend')


async def _wait_until_quiet(front: _LimitedFront) -> None:
    """Wait until the replicas get no more requests."""
    previous_count = -1
    run_count = 0
    async with asyncio.timeout(PROGRAM_TIMEOUT_SECONDS):
        while run_count != previous_count:
            previous_count = run_count
            await asyncio.sleep(_BLOCKED_SECONDS * 2)
            run_count = len(front.deployment.run_ids('lookup'))
