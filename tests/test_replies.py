"""Test reading replies from the bytes of a connection."""

import asyncio
import contextlib
import socket
import threading
import time
import tracemalloc
from collections.abc import Callable, Coroutine, Mapping
from types import MappingProxyType
from typing import TypeAlias

import pytest
import uvloop

from dragonflyramp.platform import ReplicaCodec
from dragonflyramp.replica_connections._connections_http import (
    Connection,
    ConnectionHooks,
)
from dragonflyramp.replica_connections._exchanges import (
    Exchange,
    Outcome,
    OutcomeKind,
)
from dragonflyramp.replica_connections._readers_http import ReplyReader
from dragonflyramp.replica_connections._reply_builders_http import RawReply
from dragonflyramp.replica_connections._reply_memory import ReplyMemory
from tests.front_harnesses import make_request
from tests.standins.listeners import address_of, listen
from tests.standins.resets import reset_on_close

_OK_HEAD = b'HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: q1\r\n'
_COMPLETE_REPLY = b''.join((_OK_HEAD, b'Content-Length: 3\r\n\r\nabc'))

_CHUNKED_HEAD = b''.join((_OK_HEAD, b'Transfer-Encoding: chunked\r\n\r\n'))
_SENT_BLOCK_BYTES = 65536
#: Many times the limits on a reply, and more than the buffers of sockets.
_MAX_SENT_BLOCKS = 1024

_Outcomes: TypeAlias = list[Outcome]
_Exchanges: TypeAlias = Coroutine[None, None, _Outcomes]
_RunLoop: TypeAlias = Callable[[_Exchanges], _Outcomes]
#: The order of the last callbacks of a connection differs between event loops.
_LOOPS: Mapping[str, _RunLoop] = MappingProxyType(
    {'uvloop': uvloop.run, 'asyncio': asyncio.run}
)

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


def _complete_reply(reader: ReplyReader) -> RawReply:
    raw = reader.outcome.result()
    assert isinstance(raw, RawReply)
    return raw


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
            assert not reader.outcome.done()


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


@pytest.mark.parametrize('status', [b'000', b'099'])
async def test_status_below_100_is_no_reply(status: bytes) -> None:
    """A caller must not wait for the reply after one that is no interim one."""
    reader = ReplyReader(is_head=False)
    reader.feed(_COMPLETE_REPLY.replace(b'200', status))
    assert reader.outcome.result() is OutcomeKind.garbled


@pytest.mark.parametrize(
    'header',
    [
        b'Server: SimpleHTTP/0.6 Python/3.11.2',
        b'Server: BaseHTTP/0.6 Python/3.11.2',
        b'Via: HTTP/1.1 cache:8080 (HTTP/2 proxy), HTTP/1.1 other',
        b'Warning: 299 - "HTTP/1.1 required"',
        b'Upgrade: HTTP/2.0, SHTTP/1.3, IRC/6.9',
    ],
)
async def test_header_that_names_http_is_passed_on(header: bytes) -> None:
    """A sound reply must not be taken for one that was cut in its head."""
    reader = ReplyReader(is_head=False)
    lines = b'\r\n'.join((header, b'Content-'))
    reader.feed(_COMPLETE_REPLY.replace(b'Content-', lines))
    assert reader.kind is OutcomeKind.replied


async def test_interim_reply_to_head_is_skipped() -> None:
    """An interim reply to HEAD must not be used as the final one."""
    reader = ReplyReader(is_head=True)
    reader.feed(b'HTTP/1.1 103 Early\r\nX: y\r\n\r\n')
    assert not reader.outcome.done()
    reader.feed(b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n')
    raw = _complete_reply(reader)
    assert raw.status == 200
    assert raw.headers == (('Content-Length', '3'),)


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


async def _serve_in_turn(
    replies: list[list[bytes]],
    request_ids: tuple[str, ...],
    *,
    closes_at_end: bool = False,
    method: str = 'GET',
) -> list[Outcome]:
    """Send requests on one connection; return their outcomes.

    Each request gets the next pieces, with a pause after each.
    """

    async def serve(  # noqa: WPS430 - the server knows the replies
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            for pieces in replies:
                await reader.readuntil(b'\r\n\r\n')
                for piece in pieces:
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(0.005)
            if not closes_at_end:
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
    outcomes = []
    for request_id in request_ids:
        exchange = Exchange(
            request=make_request(request_id, method=method),
            replica_id='r',
            deadline_at_seconds=time.monotonic() + 20,
            outcome=asyncio.get_running_loop().create_future(),
        )
        connection.start(exchange)
        outcomes.append(await asyncio.wait_for(exchange.outcome, 10))
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    server.close()
    return outcomes


@pytest.mark.parametrize('loop', ['uvloop', 'asyncio'])
def test_end_of_connection_keeps_headers(loop: str) -> None:
    """A success must not lose the server's stamp when its connection ends."""
    run_loop = _LOOPS[loop]
    outcomes = run_loop(
        _serve_in_turn([[_OK_HEAD, b'\r\nabc']], ('q1',), closes_at_end=True)
    )
    reply = outcomes[0].reply
    assert reply is not None
    assert reply.body == b'abc'
    assert ('Server-Stamp', 's') in reply.headers


def _reply(request_id: str, body: bytes = b'', status: str = '200 OK') -> bytes:
    head = f'HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\n'
    extra = 'Not-Executed: 1' if status == '503 Full' else 'Server-Stamp: s'
    length = f'Content-Length: {len(body)}\r\n\r\n'
    return f'{head}{extra}-{request_id}\r\n{length}'.encode() + body


@pytest.mark.parametrize(
    'second_head',
    [
        b'HTTP/1.1 200 OK\r\nServer-Stamp: t\r\n',
        b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n',
    ],
)
def test_reply_without_id_is_not_used(second_head: bytes) -> None:
    """A late copy without an id must not answer the next request.

    The server has echoed ids on the connection before.
    """
    second = b''.join((second_head, b'Content-Length: 0\r\n\r\n'))
    outcomes = uvloop.run(
        _serve_in_turn([[_reply('q1')], [second]], ('q1', 'q2'))
    )
    assert outcomes[1].kind is OutcomeKind.garbled


@pytest.mark.parametrize('status', ['200 OK', '503 Full', '500 Bad'])
@pytest.mark.parametrize('is_in_one_piece', [True, False])
def test_late_copy_does_not_answer_next_request(
    status: str, is_in_one_piece: bool
) -> None:
    """A late copy of a reply must neither answer nor end the next request."""
    copy = _reply('q1', b'first', status)
    pieces = [copy[:30], copy[30:], _reply('q2', b'second')]
    if is_in_one_piece:
        pieces = [b''.join(pieces)]
    outcomes = uvloop.run(
        _serve_in_turn(
            [[copy], pieces, [copy, _reply('q3')]], ('q1', 'q2', 'q3')
        )
    )
    assert [outcome.kind for outcome in outcomes] == 3 * [OutcomeKind.replied]
    assert [
        outcome.reply and outcome.reply.request_id for outcome in outcomes
    ] == ['q1', 'q2', 'q3']
    assert outcomes[1].reply is not None
    assert outcomes[1].reply.body == b'second'


@pytest.mark.parametrize('split_at', [5, 12, 40, None])
@pytest.mark.parametrize('second_id', ['q0', 'q1', 'q9', ''])
def test_body_without_length_ends_at_second_reply(
    split_at: int | None, second_id: str
) -> None:
    """A second reply must not be passed on as the end of a body."""
    second = _reply(second_id, b'abc')
    if not second_id:
        second = b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n\r\n'
    pieces = [_OK_HEAD, b'\r\nabc', second[:split_at]]
    for sent in (pieces, [b''.join(pieces)]):
        outcomes = uvloop.run(
            _serve_in_turn([sent], ('q1',), closes_at_end=True)
        )
        assert outcomes[0].kind is not OutcomeKind.replied


def test_text_with_status_line_is_a_body() -> None:
    """A body that only mentions a status line must be passed on."""
    body = b'curl said HTTP/1.1 200 OK\nand HTTP/2 is newer'
    outcomes = uvloop.run(
        _serve_in_turn([[_OK_HEAD, b'\r\n', body]], ('q1',), closes_at_end=True)
    )
    assert outcomes[0].reply is not None
    assert outcomes[0].reply.body == body


def test_second_reply_in_body_is_not_passed_on() -> None:
    """A body with a copy of its own reply in it must not be used as whole."""
    own = _reply('q1', b'x' * 400)
    body_at = len(own) - 300
    for copy_bytes in (300, len(own)):
        pieces = [own[:body_at], own[:copy_bytes], own[copy_bytes:]]
        outcomes = uvloop.run(_serve_in_turn([pieces], ('q1',)))
        assert outcomes[0].kind is not OutcomeKind.replied


_STAMPED_ONLY = b'HTTP/1.1 200 OK\r\nServer-Stamp: s1\r\n'


@pytest.mark.parametrize('method', ['GET', 'HEAD'])
def test_stamp_answers_one_request(method: str) -> None:
    """A copy without an id must not answer the next request.

    Its end shows only with the connection, or it has no body.
    """
    first = b''.join((_STAMPED_ONLY, b'Content-Length: 0\r\n\r\n'))
    copy = b''.join((_STAMPED_ONLY, b'\r\n'))
    outcomes = uvloop.run(
        _serve_in_turn(
            [[first], [copy]], ('q1', 'q2'), closes_at_end=True, method=method
        )
    )
    assert outcomes[0].kind is OutcomeKind.replied
    assert outcomes[1].kind is not OutcomeKind.replied


def test_copies_without_end_are_no_reply() -> None:
    """A server that sends copies for ever must not keep a request waiting."""
    outcomes = uvloop.run(
        _serve_in_turn([[_reply('q1')], 50 * [_reply('q1')]], ('q1', 'q2'))
    )
    assert outcomes[1].kind is OutcomeKind.garbled


@pytest.mark.parametrize('split_at', range(1, 12))
@pytest.mark.parametrize('status', ['200 OK', '503 Full'])
@pytest.mark.parametrize('framing', ['length', 'chunked', 'close'])
def test_copy_within_reply_is_not_passed_on(
    split_at: int, status: str, framing: str
) -> None:
    """A body into which a copy was sent must not be used as whole."""
    copy = _reply('q1', b'f' * 40, status)
    own = _reply('q2', b'0123456789ab')
    if framing == 'close':
        own = own.replace(b'Content-Length: 12\r\n', b'')
    if framing == 'chunked':
        own = own.replace(
            b'Content-Length: 12\r\n\r\n',
            b'Transfer-Encoding: chunked\r\n\r\nc\r\n',
        )
        own = b''.join((own, b'\r\n0\r\n\r\n'))
    body_at = own.index(b'0123') + split_at
    for pieces in (
        [own[:body_at], copy, own[body_at:]],
        [own[:body_at], b''.join((copy, own[body_at:]))],
        [b''.join((own[:body_at], copy, own[body_at:]))],
    ):
        outcomes = uvloop.run(
            _serve_in_turn(
                [[copy], pieces],
                ('q1', 'q2'),
                closes_at_end=framing == 'close',
            )
        )
        assert outcomes[1].kind is not OutcomeKind.replied


_CHUNK_BLOCK = b''.join((b'100\r\n', bytes(256), b'\r\n'))
#: Start of a reply, and a piece that is repeated without end.
_EndlessForm: TypeAlias = tuple[tuple[bytes, ...], bytes]
_ENDLESS_FORMS: Mapping[str, _EndlessForm] = MappingProxyType(
    {
        'status line': ((b'HTTP/1.1 200 ',), b'O'),
        'header name': ((_OK_HEAD,), b'X'),
        'header text': ((_OK_HEAD, b'X: '), b'y'),
        'headers': ((_OK_HEAD,), b'a:\r\n'),
        'interim replies': ((), b'HTTP/1.1 100 A\r\n\r\n'),
        'interim headers': ((b'HTTP/1.1 103 A\r\n',), b'a:\r\n'),
        'body by length': (
            (_OK_HEAD, b'Content-Length: 99999999999\r\n\r\n'),
            b'x',
        ),
        'body without length': ((_OK_HEAD, b'\r\n'), b'x'),
        'one chunk': ((_CHUNKED_HEAD, b'fffffff\r\n'), b'x'),
        'chunks': ((_CHUNKED_HEAD,), _CHUNK_BLOCK),
        'tiny chunks': ((_CHUNKED_HEAD,), b'1\r\nx\r\n'),
        'chunk size': ((_CHUNKED_HEAD,), b'0'),
        'chunk extension': ((_CHUNKED_HEAD, b'1;'), b'x'),
        'chunk extensions': ((_CHUNKED_HEAD,), b'1;a=b;c=d\r\nx\r\n'),
        'trailers': ((_CHUNKED_HEAD, b'0\r\n'), b'a:\r\n'),
        'trailer name': ((_CHUNKED_HEAD, b'0\r\n'), b'a'),
        'trailer text': ((_CHUNKED_HEAD, b'0\r\na: '), b'b'),
        'trailer lines': ((_CHUNKED_HEAD, b'0\r\na: '), b'b\r\n c'),
    }
)
#: As uvloop passes on at once at the most.
_FED_BYTES = 256_000
_MAX_FED_BYTES = 64 * 1024 * 1024


def _feed_until_done(reader: ReplyReader, form: str) -> None:
    """Feed bytes without end until the reader gives up."""
    start, piece = _ENDLESS_FORMS[form]
    block = piece * (_FED_BYTES // len(piece))
    reader.feed(b''.join(start))
    for _ in range(_MAX_FED_BYTES // _FED_BYTES):
        if reader.outcome.done():
            return
        reader.feed(block)


@pytest.mark.parametrize('form', _ENDLESS_FORMS)
async def test_endless_reply_is_given_up(form: str) -> None:
    """A reply without end must be given up before it takes much memory."""
    tracemalloc.start()
    reader = ReplyReader(is_head=False)
    _feed_until_done(reader, form)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert reader.outcome.result() is OutcomeKind.garbled
    assert peak_bytes < 12 * 1024 * 1024


@pytest.mark.parametrize('form', _ENDLESS_FORMS)
async def test_endless_replies_together_are_bounded(form: str) -> None:
    """Many replies without end must not exhaust the memory of a front.

    Each stays a little below its own limit, and the connections stay open.
    """
    tracemalloc.start()
    memory = ReplyMemory(max_bytes=8 * 1024 * 1024)
    readers = [ReplyReader(is_head=False, memory=memory) for _ in range(40)]
    start, piece = _ENDLESS_FORMS[form]
    for reader in readers:
        reader.feed(b''.join(start))
        for _ in range(15):
            reader.feed(piece * (_FED_BYTES // len(piece)))
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held_bytes < 2 * 8 * 1024 * 1024
    assert memory.held_bytes <= 8 * 1024 * 1024


async def test_sound_reply_beside_endless_ones_is_read() -> None:
    """Replies without end must not take the memory of a sound one."""
    memory = ReplyMemory(max_bytes=1024 * 1024)
    reader = ReplyReader(is_head=False, memory=memory)
    body = b'x' * 200_000
    reader.feed(b''.join((_OK_HEAD, b'Content-Length: 200000\r\n\r\n')))
    reader.feed(body[:100_000])
    for _ in range(20):
        _feed_until_done(ReplyReader(is_head=False, memory=memory), 'chunks')
    reader.feed(body[100_000:])
    assert _complete_reply(reader).body == body
    assert not memory.held_bytes


async def test_tiny_pieces_end_early() -> None:
    """A reply of tiny pieces must not hold up the requests of others.

    Each piece takes a call from the parser.
    """
    whole = ReplyReader(is_head=False)
    whole.feed(b''.join((_CHUNKED_HEAD, b'1\r\nx\r\n' * 40_000)))
    assert whole.outcome.result() is OutcomeKind.garbled
    reader = ReplyReader(is_head=False)
    reader.feed(_CHUNKED_HEAD)
    fed_count = 0
    while not reader.outcome.done():
        reader.feed(b'1\r\nx\r\n' * 1000)
        fed_count += 1
    assert reader.outcome.result() is OutcomeKind.garbled
    assert fed_count <= 3
    small = ReplyReader(is_head=False)
    small.feed(b''.join((_CHUNKED_HEAD, b'10\r\n0123456789abcdef\r\n' * 1000)))
    small.feed(b'0\r\nX: y\r\n\r\n')
    raw = _complete_reply(small)
    assert len(raw.body) == 16_000
    assert raw.headers == (
        ('Server-Stamp', 's'),
        ('Request-Id', 'q1'),
        ('Transfer-Encoding', 'chunked'),
    )


@pytest.mark.parametrize('form', _ENDLESS_FORMS)
async def test_given_up_reply_frees_its_memory(form: str) -> None:
    """A reply that was given up must not stay in memory.

    The parser and its callbacks refer to each other, so that a reply is freed
    by the next garbage collection only, which may be seconds later.
    """
    tracemalloc.start()
    readers = [ReplyReader(is_head=False) for _ in range(20)]
    for reader in readers:
        _feed_until_done(reader, form)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held_bytes < 3 * 1024 * 1024
