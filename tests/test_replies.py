"""Test reading replies from the bytes of a connection."""

import asyncio
import contextlib
import socket
import threading
import time
from collections.abc import Callable

import pytest
import uvloop

from dragonflyramp.backends._connections_http import (
    Connection,
    ConnectionHooks,
)
from dragonflyramp.backends._exchanges import Exchange, Outcome, OutcomeKind
from dragonflyramp.backends._readers_http import ReplyReader
from dragonflyramp.platform import ReplicaCodec
from tests.front_harnesses import make_request
from tests.standins.listeners import address_of, listen
from tests.standins.resets import reset_on_close

_OK_HEAD = b'HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: q1\r\n'
_COMPLETE_REPLY = b''.join((_OK_HEAD, b'Content-Length: 3\r\n\r\nabc'))

_CHUNKED_HEAD = b''.join((_OK_HEAD, b'Transfer-Encoding: chunked\r\n\r\n'))
_SENT_BLOCK_BYTES = 65536
#: Many times the limits on a reply, and more than the buffers of sockets.
_MAX_SENT_BLOCKS = 1024

ServerAction = Callable[[socket.socket], None]


def _send(*pieces: bytes) -> ServerAction:
    return lambda sock: sock.sendall(b''.join(pieces))


def _send_and_reset(*pieces: bytes) -> ServerAction:
    def action(sock: socket.socket) -> None:  # noqa: WPS430
        sock.sendall(b''.join(pieces))
        reset_on_close(sock)

    return action


def _send_until_closed(start: bytes, piece: bytes) -> ServerAction:
    """Send bytes that are no reply, until the front closes the connection."""

    def action(sock: socket.socket) -> None:  # noqa: WPS430
        with contextlib.suppress(ConnectionError):
            sock.sendall(start)
            for _ in range(_MAX_SENT_BLOCKS):
                sock.sendall(piece * (_SENT_BLOCK_BYTES // len(piece)))

    return action


def _serve_once(
    server: socket.socket, action: ServerAction, *, stays_open: bool
) -> None:
    sock, _ = server.accept()
    with sock:
        sock.recv(4096)
        action(sock)
        if stays_open:
            sock.recv(1)


async def _run_exchange(address: str, blocked_seconds: float) -> Outcome:
    connection = Connection(
        address,
        ConnectionHooks(on_idle=lambda _: None, on_end=lambda _: None),
        ReplicaCodec(),
        time.monotonic,
    )
    exchange = Exchange(
        request=make_request(),
        replica_id='r',
        deadline_at_seconds=time.monotonic() + 20,
        outcome=asyncio.get_running_loop().create_future(),
    )
    task = asyncio.create_task(connection.run())
    connection.start(exchange)
    while not exchange.is_written:
        await asyncio.sleep(0)
    # Blocks the event loop, so that one poll reports the bytes and the reset
    # together.
    time.sleep(blocked_seconds)
    outcome = await exchange.outcome
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return outcome


def _outcome(
    action: ServerAction,
    *,
    stays_open: bool = False,
    blocked_seconds: float = 0,
) -> Outcome:
    with socket.create_server(('127.0.0.1', 0)) as server:
        server_thread = threading.Thread(
            target=_serve_once,
            args=(server, action),
            kwargs={'stays_open': stays_open},
        )
        server_thread.start()
        host, port = server.getsockname()
        outcome = uvloop.run(_run_exchange(f'{host}:{port}', blocked_seconds))
        server_thread.join()
    return outcome


@pytest.mark.parametrize(
    'framing',
    [
        b'Content-Length: 3\r\n\r\n',
        b'Content-Length: 0\r\n\r\n',
        b'Transfer-Encoding: chunked\r\n\r\n',
        b'\r\n',
    ],
)
async def test_head_cut_short_is_no_reply(framing: bytes) -> None:
    """A connection that ends inside the head must not complete a reply."""
    head = _OK_HEAD + framing
    for interim in (b'', b'HTTP/1.1 103 Early\r\nLink: x\r\n\r\n'):
        for length in range(len(interim) + len(head)):
            reader = ReplyReader(is_head=False)
            reader.feed((interim + head)[:length])
            reader.finish_at_eof()
            assert not reader.outcome_kind.done()


@pytest.mark.parametrize(
    ('action', 'kind'),
    [
        (_send(_COMPLETE_REPLY), OutcomeKind.replied),
        (
            _send(b'HTTP/1.1 103 Early\r\n\r\n', _COMPLETE_REPLY),
            OutcomeKind.replied,
        ),
        (_send(_OK_HEAD, b'\r\nabc'), OutcomeKind.replied),
        (_send(_COMPLETE_REPLY[:-1]), OutcomeKind.lost),
        (_send(_COMPLETE_REPLY.replace(b'q1', b'q2')), OutcomeKind.garbled),
        (_send(b'\x00\x01\x02\r\n\r\n'), OutcomeKind.garbled),
        (_send(b''), OutcomeKind.lost),
        (_send(_OK_HEAD), OutcomeKind.lost),
        (_send(_OK_HEAD, b'Content-Len'), OutcomeKind.lost),
        (_send_and_reset(_OK_HEAD), OutcomeKind.lost),
        (_send_and_reset(_OK_HEAD, b'\r\nab'), OutcomeKind.lost),
        (_send_and_reset(_COMPLETE_REPLY), OutcomeKind.replied),
        (_send_until_closed(_OK_HEAD, b'X: y\r\n'), OutcomeKind.garbled),
        (_send_until_closed(_OK_HEAD, b'X'), OutcomeKind.garbled),
        (
            _send_until_closed(b'', b'HTTP/1.1 103 Early\r\n\r\n'),
            OutcomeKind.garbled,
        ),
        (_send_until_closed(_OK_HEAD, b'\r\nabc'), OutcomeKind.garbled),
        (_send_until_closed(_CHUNKED_HEAD, b'1;'), OutcomeKind.garbled),
        (
            _send_until_closed(_CHUNKED_HEAD, b'1;x=y\r\na\r\n'),
            OutcomeKind.garbled,
        ),
    ],
)
def test_unusable_reply_is_detected(
    action: ServerAction, kind: OutcomeKind
) -> None:
    """An incomplete or invalid reply must not be used as a reply."""
    assert _outcome(action).kind is kind


async def test_interim_reply_to_head_is_skipped() -> None:
    """An interim reply to HEAD must not be used as the final one."""
    reader = ReplyReader(is_head=True)
    reader.feed(b'HTTP/1.1 103 Early\r\nX: y\r\n\r\n')
    assert not reader.outcome_kind.done()
    reader.feed(b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n')
    assert reader.raw.status == 200
    assert reader.raw.headers == [('Content-Length', '3')]


def test_reset_with_last_bytes_loses_reply() -> None:
    """A truncated body must not be used as complete.

    libuv reports the end of the stream for a reset that arrives with the last
    bytes, as it does for a complete reply.
    """
    action = _send_and_reset(_OK_HEAD, b'\r\nab')
    outcome = _outcome(action, blocked_seconds=0.1)
    assert outcome.kind is OutcomeKind.lost


def test_second_reply_is_discarded() -> None:
    """A second reply must not be used for a later request."""
    outcome = _outcome(_send(_COMPLETE_REPLY, _COMPLETE_REPLY))
    assert outcome.kind is OutcomeKind.replied
    assert outcome.reply is not None
    assert outcome.reply.body == b'abc'


def test_bytes_on_idle_connection_close_it() -> None:
    """A late extra reply must not be used for the next request."""

    async def check() -> bool:  # noqa: WPS430
        idle: list[Connection] = []

        async def serve(  # noqa: WPS430
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(_COMPLETE_REPLY)
            await asyncio.sleep(0.02)
            writer.write(_COMPLETE_REPLY)
            await reader.read()
            writer.close()

        server = await listen(serve)
        hooks = ConnectionHooks(on_idle=idle.append, on_end=idle.remove)
        connection = Connection(
            address_of(server), hooks, ReplicaCodec(), time.monotonic
        )
        exchange = Exchange(
            request=make_request(),
            replica_id='r',
            deadline_at_seconds=time.monotonic() + 20,
            outcome=asyncio.get_running_loop().create_future(),
        )
        connection.start(exchange)
        await asyncio.wait_for(connection.run(), 20)
        server.close()
        return not idle and not connection.is_usable(time.monotonic())

    assert uvloop.run(check())


@pytest.mark.parametrize(
    ('second_head', 'kind'),
    [
        (b'HTTP/1.1 200 OK\r\nRequest-Id: q2\r\n', OutcomeKind.replied),
        # A copy of the first reply that arrives after the second request.
        (_OK_HEAD, OutcomeKind.garbled),
        (b'HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n', OutcomeKind.garbled),
        (b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n', OutcomeKind.garbled),
    ],
)
def test_late_copy_is_not_used_for_next_request(
    second_head: bytes, kind: OutcomeKind
) -> None:
    """A late copy of a reply must not answer the next request.

    Its id or, if the server has echoed ids before, its lack of one shows it.
    """

    async def check() -> OutcomeKind:  # noqa: WPS430
        replies = [_OK_HEAD, second_head]

        async def serve(  # noqa: WPS430
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            for head in replies:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(b''.join((head, b'Content-Length: 0\r\n\r\n')))
            await reader.read()
            writer.close()

        server = await listen(serve)
        connection = Connection(
            address_of(server),
            ConnectionHooks(on_idle=lambda _: None, on_end=lambda _: None),
            ReplicaCodec(),
            time.monotonic,
        )
        task = asyncio.create_task(connection.run())
        for request_id in ('q1', 'q2'):
            exchange = Exchange(
                request=make_request(request_id),
                replica_id='r',
                deadline_at_seconds=time.monotonic() + 20,
                outcome=asyncio.get_running_loop().create_future(),
            )
            connection.start(exchange)
            outcome = await exchange.outcome
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        server.close()
        return outcome.kind

    assert uvloop.run(check()) is kind
