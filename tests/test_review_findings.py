"""Test faults that a review of the incident MIXED found."""

import asyncio
import time
import tracemalloc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import pytest

from dragonflyramp.backends import Policies
from dragonflyramp.messages import Reply, Request
from dragonflyramp.platform import FrontServer
from dragonflyramp.replica_connections._exchanges import Exchange, OutcomeKind
from dragonflyramp.replica_connections._protocols_http import ReplyProtocol
from dragonflyramp.replica_connections._reply_matchers import (
    ReplyMatcher,
    has_second_reply,
)
from dragonflyramp.runtime import TaskSet
from tests.front_harnesses import (
    make_front,
    make_replica_entry,
    make_route,
    make_table,
)
from tests.reply_servers import SentReply, Step, pause, run_client
from tests.standins.listeners import address_of, listen
from tests.standins.replicas import ReplicaServer

_ID_PREFIX = b'request-id: '
_COPY_BYTES = 3_000_000
_TIMEOUT_SECONDS = 10
_PIECE_BYTES = 32_768
#: More than the buffers of both ends of a loopback connection hold.
_UNREAD_BODY_BYTES = 16_777_216


def _make_exchange(request: Request) -> Exchange:
    return Exchange(
        request=request,
        replica_id='r',
        deadline_at_seconds=time.monotonic() + 2 * _TIMEOUT_SECONDS,
        outcome=asyncio.get_running_loop().create_future(),
    )


@attrs.define(eq=False)
class _EchoingServer:
    """Replica that echoes the ids of requests as received, if there are any."""

    run_count: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        while True:
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                return
            self.run_count += 1
            ids = [
                line
                for line in head.split(b'\r\n')
                if line.lower().startswith(_ID_PREFIX)
            ]
            stamp = b'Server-Stamp: s%d' % self.run_count
            lines = (b'HTTP/1.1 200 OK', stamp, *ids, b'Content-Length: 3')
            writer.write(b'\r\n'.join((*lines, b'', b'abc')))


@asynccontextmanager
async def _run_front(
    server: '_EchoingServer | _CopyingServer', *, is_idempotent: bool = True
) -> AsyncIterator[str]:
    """Run a front with one replica; yield its address."""
    listener = await listen(server.serve)
    replica = ReplicaServer('a-0', address=address_of(listener))
    tasks = TaskSet()
    front = make_front(
        make_table(make_route(is_idempotent=is_idempotent)),
        [make_replica_entry(replica, 'a')],
        tasks,
        budget_slack=50,
        policies=Policies(),
    )
    front_server = FrontServer(front, time.monotonic)
    yield await front_server.start('127.0.0.1:0', '127.0.0.1:0')
    await front_server.stop()
    await tasks.cancel()
    listener.close()


async def _send(address: str, *id_lines: bytes) -> bytes:
    """Send a request as a caller; return the status line of the answer."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = (b'GET /route/x HTTP/1.1', b'Host: h', b'Deadline-Ms: 2000')
    writer.write(
        b'\r\n'.join((*lines, *id_lines, b'Connection: close', b'\r\n'))
    )
    answer = await reader.read()
    writer.close()
    return answer.partition(b'\r\n')[0]


async def test_request_without_id_is_answered() -> None:
    """A reply to a request without an id must not need an id to be accepted.

    The connection has carried a request whose id was echoed.
    """
    server = _EchoingServer()
    async with _run_front(server) as address:
        assert await _send(address, b'Request-Id: q1') == b'HTTP/1.1 200 OK'
        assert await _send(address) == b'HTTP/1.1 200 OK'
    assert server.run_count == 2


@pytest.mark.parametrize('request_id', [b'\xc3\xa9', b'\xff'])
async def test_id_outside_of_ascii_is_recognized(request_id: bytes) -> None:
    """A reply that echoes the received bytes of an id must be accepted."""
    server = _EchoingServer()
    async with _run_front(server) as address:
        line = b'Request-Id: %b' % request_id
        assert await _send(address, line) == b'HTTP/1.1 200 OK'
    assert server.run_count == 1


def test_undecodable_id_does_not_end_connection() -> None:
    """An id that is not UTF-8 must not end the task of a connection.

    The replies are searched for the ids of earlier requests, too.
    """
    matcher = ReplyMatcher()
    body = b'see HTTP/1.1 200 OK'
    for number, request_id in enumerate(('\udcff', 'q2')):
        matcher.start_request(request_id)
        reply = Reply(status=200, headers=(), body=body, stamp=f's{number}')
        assert matcher.accept(reply)


async def test_skipped_copy_holds_no_memory() -> None:
    """A late copy that was skipped must not stay in memory.

    No limit counts it, and the reply that is waited for may never come.
    """
    replies = [SentReply(number=number) for number in (1, 2)]
    copy = attrs.evolve(replies[0], body_bytes=_COPY_BYTES).encoded
    pieces = [
        copy[start : start + _PIECE_BYTES]
        for start in range(0, len(copy), _PIECE_BYTES)
    ]
    async with run_client() as client:
        client.play(Step.receive, replies[0].encoded)
        await client.start(replies[0])
        await client.check({OutcomeKind.replied})
        tracemalloc.start()
        await client.start(replies[1])
        await client.play(Step.receive)
        for piece in pieces:
            await client.play(piece, Step.pause)
        held_bytes, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        await client.play(replies[1].encoded)
        await client.check({OutcomeKind.replied})
    assert peak_bytes > _COPY_BYTES
    assert held_bytes < _COPY_BYTES / 2


async def test_no_request_waits_behind_an_unsent_one() -> None:
    """A connection must not be idle while its last request is being written.

    The server replied before it had read the whole request, and reads no more:
    a request behind it would never arrive.
    """
    reply = SentReply(number=1, method='POST')
    async with run_client() as client:
        exchange = _make_exchange(
            attrs.evolve(reply.request, body=bytes(_UNREAD_BODY_BYTES))
        )
        client.connection.start(exchange)
        await client.play(Step.receive, reply.encoded)
        outcome = await asyncio.wait_for(exchange.outcome, _TIMEOUT_SECONDS)
        await pause()
        is_usable = client.is_usable
    assert outcome.reply == reply.reply
    assert not is_usable


@pytest.mark.parametrize('body', [b'served over HTTP/2', b'use HTTP/3'])
def test_version_at_end_is_no_second_reply(body: bytes) -> None:
    """A body without a length must not be refused for another version of HTTP.

    Such bytes cannot be the start of a reply in HTTP/1.
    """
    assert not has_second_reply(body)


@attrs.define(eq=False)
class _CopyingServer:
    """Replica that refuses requests with an id, and runs those without.

    Before a reply it repeats the one before on the connection, without its id.
    """

    run_count: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        copy = b''
        while True:
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                return
            writer.write(copy)
            if _ID_PREFIX in head.lower():
                copy = _REFUSAL % b''
                writer.write(_REFUSAL % b'Request-Id: q1\r\n')
                continue
            self.run_count += 1
            copy = _SUCCESS % self.run_count
            writer.write(copy)


_REFUSAL = (
    b'HTTP/1.1 503 Full\r\n%bNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)
_SUCCESS = b'HTTP/1.1 200 OK\r\nServer-Stamp: s%d\r\nContent-Length: 0\r\n\r\n'


async def test_refusal_of_another_request_is_no_refusal() -> None:
    """A copy of a refusal must not let a request without an id run twice.

    The copy has lost its id, and refusals have no stamp.
    """
    server = _CopyingServer()
    async with _run_front(server, is_idempotent=False) as address:
        assert await _send(address, b'Request-Id: q1') != b'HTTP/1.1 200 OK'
        status_line = await _send(address)
    assert server.run_count <= 1
    assert server.run_count == 0 or b' 503 ' not in status_line


async def test_reply_without_mark_ends_its_connection() -> None:
    """A copy of a refusal without id and stamp must not answer a request.

    Nothing would tell it from the refusal of the next request.
    """
    reply = SentReply(number=1, status=503, has_id=False, has_stamp=False)
    async with run_client() as client:
        await client.start(reply)
        await client.play(Step.receive, reply.encoded)
        await client.check({OutcomeKind.replied})
        await client.wait_end()


async def test_request_on_ended_connection_is_unsent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request must not count as written if its connection has ended.

    One that may run once could not be sent to another replica then.
    """
    receive_eof = ReplyProtocol.eof_received

    def spy(protocol: ReplyProtocol) -> bool:  # noqa: WPS430
        stays_open = receive_eof(protocol)
        client.connection.start(exchange)
        return stays_open

    async with run_client() as client:
        exchange = _make_exchange(SentReply(number=1).request)
        monkeypatch.setattr(ReplyProtocol, 'eof_received', spy)
        await client.play(Step.fin)
        outcome = await asyncio.wait_for(exchange.outcome, _TIMEOUT_SECONDS)
    assert outcome.kind is OutcomeKind.unsent
    assert not exchange.is_written
