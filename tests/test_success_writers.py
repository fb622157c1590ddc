"""Test that no port of a front writes a success that is not a replica's."""

import asyncio
import contextlib
import os
import pathlib
import random
import re
import signal
import time
from collections.abc import AsyncIterator, Iterator
from typing import Self, TypeAlias

import aiohttp
import attrs
import pytest
import yaml

from dragonflyramp.callers import Claims, Front, NativeApi, NativeApiServer
from dragonflyramp.members import (
    Cluster,
    Daemon,
    Membership,
    SyncServer,
    ViewSynchronizer,
)
from dragonflyramp.metrics_http import MetricsServer
from dragonflyramp.platform import FrontServer, StoreClient
from dragonflyramp.routes import GatherSettings
from dragonflyramp.slow_replicas import SlowReplicaDetector
from tests.deployments import run_deployment, send_request
from tests.front_harnesses import (
    RECORD_BYTES,
    FrontHarness,
    make_route,
    make_table,
    run_harness,
)
from tests.standins.listeners import reserve_port
from tests.standins.waits import eventually

#: A caller has all that it gets when nothing has come for this long.
_SILENCE_SECONDS = 0.5
_TIMEOUT_SECONDS = 20
_BLOCK_BYTES = 65536
_PIECE_BYTES = 7
#: A reader gets pieces with this pause one by one, usually.
_PIECE_PAUSE_SECONDS = 0.001
#: Status of an answer, and what follows it until the next one.
_ANSWER = re.compile(
    rb'HTTP/\d\.\d (\d{3})(.*?)(?=HTTP/\d\.\d \d|\Z)', re.DOTALL
)
#: As in /proc/net/tcp.
_LISTEN_STATE = '0A'
_Answers: TypeAlias = list[tuple[bytes, bytes]]
_KERNEL_CHOSEN = '127.0.0.1:0'
#: No request is refused because others run.
_LONG_TARGET_MS = 20000
_LOOKUP = make_route('lookup', target_ms=_LONG_TARGET_MS, timeout_ms=30000)
_TABLE = make_table(
    _LOOKUP,
    attrs.evolve(_LOOKUP, name='order', prefix='/order/', is_idempotent=False),
    attrs.evolve(
        _LOOKUP,
        name='search',
        prefix='/search/',
        split=(),
        gather=GatherSettings(shards=('a', 'b'), top_count=3, min_share=0),
    ),
    # Callers' paths may be those of the internal endpoints.
    attrs.evolve(_LOOKUP, name='rest', prefix='/'),
)


def _request(
    line: str,
    *lines: str,
    request_id: str = 'q1',
    body: str = '',
) -> bytes:
    """Encode a caller's request, by default of HTTP/1.1."""
    if ' HTTP/' not in line:
        line = f'{line} HTTP/1.1'
    head = (
        line,
        'Host: h',
        f'Request-Id: {request_id}',
        'Deadline-Ms: 30000',
        *lines,
        '',
    )
    return '\r\n'.join((*head, body)).encode()


_NEXT = _request('GET /lookup/x', request_id='q2')
_NO_REQUEST = b'\x16\x03\x01\0*\x02\0\0\r\n\r\n'
_LENGTH = 'Content-Length: 3'
_CHUNKED = 'Transfer-Encoding: chunked'
_UPGRADE = ('Connection: Upgrade', 'Upgrade: websocket')
_POST = 'POST /order/x'

#: What a caller sends on one connection, and the statuses that it gets from a
#: front.
_EXCHANGES = {  # noqa: WPS407 - never changed
    'plain': (_request('GET /lookup/x'), '200'),
    'search': (_request('GET /search/x'), '200'),
    'pipelined': (_request('GET /lookup/x') + _NEXT, '200 200'),
    'head': (_request('HEAD /lookup/x') + _NEXT, '200 200'),
    'head of search': (_request('HEAD /search/x') + _NEXT, '200 200'),
    'body': (_request(_POST, _LENGTH, body='abc') + _NEXT, '200 200'),
    'chunks': (
        _request(_POST, _CHUNKED, body='3\r\nabc\r\n0\r\n\r\n') + _NEXT,
        '200 200',
    ),
    'bad chunk': (
        _request(_POST, _CHUNKED, body='3\r\nabc\r\nzz\r\n') + _NEXT,
        '400',
    ),
    'body too large': (
        _request(_POST, 'Content-Length: 5000', body='\r\n') + _NEXT,
        '413',
    ),
    'body not sent': (_request(_POST, _LENGTH), ''),
    'body not sent, no time': (
        _request(_POST, _LENGTH).replace(b'30000', b'1'),
        '400',
    ),
    'two lengths': (
        _request(_POST, _LENGTH, 'Content-Length: 4', body='abc') + _NEXT,
        '400',
    ),
    'length and chunks': (
        _request(_POST, _LENGTH, _CHUNKED, body='0\r\n\r\n') + _NEXT,
        '400',
    ),
    'expect': (
        _request(_POST, _LENGTH, 'Expect: 100-continue', body='abc'),
        '200',
    ),
    'expect without a body': (
        _request('GET /lookup/x', 'Expect: 100-continue'),
        '200',
    ),
    'expect, body not sent': (
        _request(_POST, _LENGTH, 'Expect: 100-continue'),
        '',
    ),
    'upgrade': (_request('GET /lookup/x', *_UPGRADE) + _NEXT, '200 200'),
    'upgrade with a body': (
        _request(_POST, *_UPGRADE, _LENGTH, body='abc') + _NEXT,
        '200 200',
    ),
    'http/0.9': (b'GET /lookup/x\r\n\r\n', '404'),
    'http/1.0': (_request('GET /lookup/x HTTP/1.0'), '200'),
    'request after the last one': (
        _request('GET /lookup/x', 'Connection: close') + _NEXT,
        '400',
    ),
    'no request after a request': (
        _request('GET /lookup/x') + _NO_REQUEST,
        '400',
    ),
    'http/2 preface': (
        b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0',
        '400',
    ),
    'tls': (_NO_REQUEST, '400'),
    'options': (_request('OPTIONS /lookup/x'), '200'),
    'options *': (_request('OPTIONS *') + _NEXT, '404 200'),
    'connect': (_request('CONNECT h:80') + _NEXT, '404 200'),
    'trace': (_request('TRACE /lookup/x'), '200'),
    'unknown method': (_request('BREW /lookup/x'), '400'),
    'absolute target': (_request('GET http://h/lookup/x') + _NEXT, '404 200'),
    'no time left': (_request('GET /lookup/x').replace(b'30000', b'0'), '503'),
    'ready': (_request('GET /api/ready'), '200'),
    'ready by head': (_request('HEAD /api/ready'), '200'),
    'metrics': (_request('GET /metrics'), '200'),
    'metrics by head': (_request('HEAD /metrics'), '200'),
    'metrics by options': (_request('OPTIONS /metrics'), '200'),
    'native search': (_request('POST /search/a', _LENGTH, body='{ }'), '200'),
    'native submit': (_request('POST /submit/a', _LENGTH, body='{ }'), '200'),
}
#: Requests after which a connection goes on: lines and body.
_PIPELINED = (
    (('GET /lookup/x',), ''),
    (('HEAD /lookup/x',), ''),
    (('GET /search/x',), ''),
    (('OPTIONS *',), ''),
    (('CONNECT h:80',), ''),
    (('GET /lookup/x', *_UPGRADE), ''),
    ((_POST, *_UPGRADE, _LENGTH), 'abc'),
    ((_POST, 'Expect: 100-continue', _LENGTH), 'abc'),
    ((_POST, f'Content-Length: {len(_NEXT)}'), _NEXT.decode()),
    ((_POST, _CHUNKED), '3;a=b\r\nabc\r\n5\r\nHTTP/\r\n0\r\n\r\n'),
    ((_POST, _CHUNKED, 'Trailer: X'), '3\r\nabc\r\n0\r\nX: y\r\n\r\n'),
)
_UNROUTED = ('OPTIONS *', 'CONNECT h:80')
_PIPELINED_COUNT = 20
_PORTS = ('frontend', 'readiness', 'metrics', 'native', 'members')
#: Exchanges with the endpoints of a port.
_OWN_EXCHANGES = (
    ('readiness', 'ready'),
    ('readiness', 'ready by head'),
    ('metrics', 'metrics'),
    ('metrics', 'metrics by head'),
)


@pytest.fixture
def address() -> Iterator[str]:
    """Reserve an address, at which one server after another can listen."""
    with reserve_port() as sock:
        host, port = sock.getsockname()
        yield f'{host}:{port}'


@attrs.define(eq=False)
class _Ports:
    """Open ports as a front program does, and close them at the end."""

    front: Front
    store_client: StoreClient
    _cleanup: contextlib.AsyncExitStack = attrs.field(
        factory=contextlib.AsyncExitStack
    )

    async def open(self, port: str, at: str) -> str:
        """Listen at an address and return the bound one.

        Raise OSError, or RuntimeError for the port of the members.
        """
        if port in {'frontend', 'readiness'}:
            return await self._open_front(port, at)
        if port == 'metrics':
            metrics_server = MetricsServer(caller_header='Request-Id')
            self._cleanup.push_async_callback(metrics_server.stop)
            host, _, number = at.rpartition(':')
            return await metrics_server.start(host, int(number))
        if port == 'native':
            return await self._open_native_api(at)
        sync_server = SyncServer(_make_synchronizer(), time.monotonic)
        self._cleanup.push_async_callback(sync_server.stop)
        bound_port = await sync_server.start(at)
        return f'127.0.0.1:{bound_port}'

    async def close(self) -> None:
        """Close all ports."""
        await self._cleanup.aclose()

    async def _open_front(self, port: str, at: str) -> str:
        server = FrontServer(self.front, time.monotonic)
        self._cleanup.push_async_callback(server.stop)
        if port == 'readiness':
            await server.start(_KERNEL_CHOSEN, at)
            return at
        return await server.start(at, _KERNEL_CHOSEN)

    async def _open_native_api(self, at: str) -> str:
        server = NativeApiServer(
            NativeApi(
                front=self.front,
                claims=Claims(self.store_client),
                clock=time.monotonic,
                name_search_route=lambda _: 'search',
                name_submit_route=lambda _: 'order',
            )
        )
        self._cleanup.push_async_callback(server.stop)
        return await server.start(at)


def _make_synchronizer() -> ViewSynchronizer:
    return ViewSynchronizer(
        Cluster(Membership(Daemon('d', _KERNEL_CHOSEN, 'recife'))),
        {},
        lambda kind, names: None,
        SlowReplicaDetector(),
    )


@attrs.define(eq=False)
class _Caller:
    """Connection of a caller, which writes and reads raw bytes."""

    _reader: asyncio.StreamReader
    _writer: asyncio.StreamWriter

    @classmethod
    async def connect(cls, at: str) -> Self:
        """Open a connection."""
        host, _, port = at.rpartition(':')
        return cls(*await asyncio.open_connection(host, int(port)))

    async def send(self, raw: bytes, piece_bytes: int = 0) -> None:
        """Send bytes at once, or in pieces that are read apart."""
        size = piece_bytes or len(raw)
        for start in range(0, len(raw), size):
            self._writer.write(raw[start : start + size])
            await asyncio.sleep(_PIECE_PAUSE_SECONDS if piece_bytes else 0)

    async def read(self, answer_count: int) -> _Answers:
        """Read until there are so many answers and then silence, or the end."""
        received = b''
        answers: _Answers = []
        with contextlib.suppress(TimeoutError, ConnectionError):
            while not self._reader.at_eof():
                is_silence_due = len(answers) >= answer_count
                async with asyncio.timeout(
                    _SILENCE_SECONDS if is_silence_due else _TIMEOUT_SECONDS
                ):
                    received += await self._reader.read(_BLOCK_BYTES)
                answers = _ANSWER.findall(received)
        return answers

    def close(self) -> None:
        """Abort the connection."""
        self._writer.transport.abort()


async def _play(
    at: str, name: str, *, has_answers: bool = True, piece_bytes: int = 0
) -> _Answers:
    """Play an exchange on a new connection and return the answers."""
    raw, statuses = _EXCHANGES[name]
    caller = await _Caller.connect(at)
    await caller.send(raw, piece_bytes)
    answers = await caller.read(len(statuses.split()) if has_answers else 0)
    caller.close()
    return answers


def _is_signed(position: int, rest: bytes) -> bool:
    """Return whether a success is a replica's, for the request there."""
    parts = re.search(rb'\r\nPart-Stamps: (\w)-\S+, (\w)-\S+\r\n', rest)
    if parts is not None:
        return set(parts.groups()) == {b'a', b'b'}
    request_id = b'\r\nRequest-Id: q%d\r\n' % (position + 1)
    return b'\r\nServer-Stamp: a-' in rest and request_id in rest


def _unsigned_successes(answers: _Answers) -> _Answers:
    return [
        (status, rest)
        for position, (status, rest) in enumerate(answers)
        if status.startswith(b'2') and not _is_signed(position, rest)
    ]


@pytest.fixture
async def harness() -> AsyncIterator[FrontHarness]:
    """Run a front without ports, and its replicas."""
    async with run_harness(_TABLE) as running:
        for replica in running.all_servers():
            replica.body = b'x' * RECORD_BYTES
        yield running


@pytest.fixture
async def ports(
    harness: FrontHarness, store_client: StoreClient
) -> AsyncIterator[_Ports]:
    """Open ports of the front, and close them."""
    opened = _Ports(harness.front, store_client)
    yield opened
    await opened.close()


@pytest.mark.parametrize('piece_bytes', [0, _PIECE_BYTES])
async def test_success_at_frontend_is_of_a_replica(
    ports: _Ports, piece_bytes: int
) -> None:
    """What the HTTP server answers by itself must be no success.

    A success must answer the request at its position on the connection.
    """
    at = await ports.open('frontend', _KERNEL_CHOSEN)
    played = await asyncio.gather(
        *(_play(at, name, piece_bytes=piece_bytes) for name in _EXCHANGES)
    )
    for name, answers in zip(_EXCHANGES, played, strict=True):
        assert not _unsigned_successes(answers), name
        statuses = b' '.join(status for status, _ in answers).decode()
        # In pieces, a failure may come beside another one.
        assert piece_bytes or statuses == _EXCHANGES[name][1], name


@pytest.mark.parametrize('seed', range(8))
async def test_pipelined_requests_are_answered_in_order(
    ports: _Ports, seed: int
) -> None:
    """No end of a request, wherever it is read, may skip or add a request."""
    rng = random.Random(seed)
    chosen = rng.choices(_PIPELINED, k=_PIPELINED_COUNT)
    raw = b''.join(
        _request(*lines, request_id=f'q{number}', body=body)
        for number, (lines, body) in enumerate(chosen, 1)
    )
    caller = await _Caller.connect(await ports.open('frontend', _KERNEL_CHOSEN))
    await caller.send(raw, rng.randint(1, 200))
    answers = await caller.read(_PIPELINED_COUNT)
    caller.close()
    expected = [
        b'404' if lines[0] in _UNROUTED else b'200' for lines, _ in chosen
    ]
    assert [status for status, _ in answers] == expected
    assert not _unsigned_successes(answers)


@pytest.mark.parametrize('port', _PORTS[1:])
async def test_port_used_again_gives_no_success(
    ports: _Ports, address: str, port: str
) -> None:
    """Callers of a front that ended must get no success from another port."""
    kept = await _Caller.connect(await ports.open('frontend', address))
    await kept.send(_EXCHANGES['plain'][0])
    assert [status for status, _ in await kept.read(1)] == [b'200']
    await ports.close()
    await ports.open(port, address)
    with contextlib.suppress(ConnectionError):
        await kept.send(_NEXT)
    assert not await kept.read(0)
    kept.close()
    names = [name for name in _EXCHANGES if (port, name) not in _OWN_EXCHANGES]
    has_answers = port != 'members'
    played = await asyncio.gather(
        *(_play(address, name, has_answers=has_answers) for name in names)
    )
    assert any(played) is has_answers
    for name, answers in zip(names, played, strict=True):
        assert not any(status.startswith(b'2') for status, _ in answers), name


@pytest.mark.parametrize(('port', 'name'), _OWN_EXCHANGES)
async def test_internal_endpoint_answers_no_caller(
    ports: _Ports, address: str, port: str, name: str
) -> None:
    """A caller's request must not get the success of an internal endpoint.

    421 says that it has not run, so that it is sent again elsewhere.
    """
    await ports.open(port, address)
    answers = await _play(address, name)
    assert [status for status, _ in answers] == [b'421']


@pytest.mark.parametrize('name', ['plain', 'body', 'native submit'])
async def test_native_port_sends_callers_elsewhere(
    ports: _Ports, address: str, name: str
) -> None:
    """A caller must not give up a request because of a port used again."""
    await ports.open('native', address)
    answers = await _play(address, name)
    assert len(answers) == len(_EXCHANGES[name][1].split())
    assert {status for status, _ in answers} == {b'421'}


@pytest.mark.parametrize('first', _PORTS)
async def test_ports_are_not_shared(
    ports: _Ports, address: str, first: str
) -> None:
    """Connections must not be spread over two servers at one address."""
    await ports.open(first, address)
    for second in _PORTS:
        with pytest.raises((OSError, RuntimeError)):
            await ports.open(second, address)


async def test_connections_stay_with_their_front(
    ports: _Ports, address: str, harness: FrontHarness
) -> None:
    """A front that drains must answer beside its successor, each its own."""
    first_server = FrontServer(harness.front, time.monotonic)
    await first_server.start(address, _KERNEL_CHOSEN)
    for replica in harness.all_servers():
        replica.faults.work_seconds = 0.5
    old = await _Caller.connect(address)
    await old.send(_EXCHANGES['plain'][0])
    await eventually(lambda: harness.run_count('a') > 0)
    drain = asyncio.create_task(first_server.drain(_TIMEOUT_SECONDS))
    async with run_harness(_TABLE) as successor:
        new_ports = _Ports(successor.front, ports.store_client)
        await new_ports.open('frontend', address)
        new = await _Caller.connect(address)
        await new.send(_NEXT)
        new_answers = await new.read(1)
        old_answers = await old.read(1)
        for caller in (old, new):
            caller.close()
        await drain
        await first_server.stop()
        await new_ports.close()
    assert [b'Request-Id: q1' in rest for _, rest in old_answers] == [True]
    assert [b'Request-Id: q2' in rest for _, rest in new_answers] == [True]


def _listening_ports(process_id: int) -> set[int]:
    """Return the TCP ports on which a process listens."""
    process = pathlib.Path('/proc', str(process_id))
    inodes = set()
    for link in (process / 'fd').iterdir():
        # The front may have closed it meanwhile.
        with contextlib.suppress(FileNotFoundError):
            inodes.add(os.readlink(link)[len('socket:[') : -1])
    tables = (process / 'net' / name for name in ('tcp', 'tcp6'))
    rows = (
        line.split()
        for table in tables
        for line in table.read_text().splitlines()[1:]
    )
    return {
        int(row[1].rpartition(':')[2], 16)
        for row in rows
        if row[3] == _LISTEN_STATE and row[9] in inodes
    }


async def test_program_has_no_other_port(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A port that these tests do not know could write a success."""
    monkeypatch.setenv('DRAGONFLYRAMP_OWN_ADDRESS', _KERNEL_CHOSEN)
    async with run_deployment(tmp_path, 1, 1) as deployment:
        front = deployment.fronts[0]
        logged = await front.program.wait_json('own')
        settings = yaml.safe_load((tmp_path / 'front-0.yaml').read_text())
        addresses = {*settings['listen'].values(), logged['metrics']}
        expected = {
            int(known.rpartition(':')[2])
            for known in (*addresses, logged['own'])
        }
        assert _listening_ports(front.program.process.pid) == expected
        assert len(expected) == len(_PORTS)


@pytest.mark.parametrize('is_frozen', [False, True])
async def test_second_program_does_not_serve(
    tmp_path: pathlib.Path, *, is_frozen: bool
) -> None:
    """A front that starts before another one ended must not share its port."""
    async with run_deployment(tmp_path, 1, 1) as deployment:
        front = deployment.fronts[0]
        program = front.program
        if is_frozen:
            program.send_signal(signal.SIGSTOP)
        await deployment.restart_front(front)
        second_program = front.program
        front.program = program
        assert await second_program.wait()
        assert not any('front started' in line for line in second_program.lines)
        program.send_signal(signal.SIGCONT)
        async with aiohttp.ClientSession() as session:
            answer = await send_request(session, front, '/lookup/x', 'q1')
        assert answer.status == 200
        assert answer.headers['Server-Stamp'].startswith('lookup-')


_THIRD = _request('GET /lookup/x', request_id='q3')


@pytest.mark.parametrize(
    'protocol',
    ['websocket', 'h2c', 'websoc\N{KELVIN SIGN}et'],
    ids=('websocket', 'h2c', 'kelvin'),
)
@pytest.mark.parametrize(
    'second',
    [
        _NEXT,
        _request(_POST, f'Content-Length: {len(_THIRD)}', request_id='q2'),
    ],
    ids=['whole', 'no-body'],
)
async def test_upgrade_offer_loses_no_request(
    ports: _Ports, protocol: str, second: bytes
) -> None:
    """What follows an upgrade that is not made must not be skipped.

    The answer to the request after it, or to the body of one, is another's.
    """
    offer = ('Connection: Upgrade', f'Upgrade: {protocol}')
    caller = await _Caller.connect(await ports.open('frontend', _KERNEL_CHOSEN))
    await caller.send(_request('GET /lookup/x', *offer) + second)
    answers = await caller.read(1)
    with contextlib.suppress(ConnectionError):
        await caller.send(_THIRD)
    answers.extend(await caller.read(0))
    caller.close()
    assert answers
    assert not _unsigned_successes(answers)


async def test_offer_without_option_keeps_connection(
    ports: _Ports,
) -> None:
    """A connection from which nothing is dropped must not be closed."""
    caller = await _Caller.connect(await ports.open('frontend', _KERNEL_CHOSEN))
    await caller.send(_request('GET /lookup/x', 'Upgrade: h2c') + _NEXT)
    answers = await caller.read(2)
    caller.close()
    assert [status for status, _ in answers] == [b'200', b'200']
