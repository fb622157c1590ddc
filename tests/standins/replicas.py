"""Stand in for a backend server, over HTTP and with faults."""

import asyncio
import collections
import math
import time
from collections.abc import Awaitable, Callable

import attrs

from tests.standins.faulty_replies import (
    FAULTY_REPLIES,
    ConnectionEnd,
    FaultyReply,
    ReplyParts,
    with_length,
)
from tests.standins.listeners import address_of, listen
from tests.standins.resets import reset_on_close

_HEAD = 'HTTP/1.1 {status}\r\nServer-Stamp: {stamp}\r\nRequest-Id: {id}\r\n'
_MISDIRECTED = '421 No'
_FULL = '503 Full'
#: Statuses of requests that run and fail, by the fault.
_FAILURES = (('failed', '500 Bad'), ('timed_out', '504 Late'))
#: Time after which the late bytes of a reply follow. The client may have sent
#: the next request by then.
_LATE_SECONDS = 0.003


@attrs.define(kw_only=True)
class ReplicaFaults:
    """Faults of the replica that a test sets.

    Each request that a fault affects decrements the count of the fault.
    """

    #: Processing time of each request.
    work_seconds: float = 0
    #: Requests that run and whose connection is reset before the reply.
    reset_before_reply: int = 0
    #: Replies that are sent twice.
    duplicated: int = 0
    #: Whether each reply is sent a second time, late: when the next request
    #: has arrived on the connection.
    late_copies: bool = False
    #: Replies to HEAD that have a body.
    head_with_body: int = 0
    #: Requests that are answered with 503, and do not run, before their body
    #: is read.
    early: int = 0
    #: Replies with the id of another request.
    wrong_id: int = 0
    #: Replies whose head does not end until the front closes the connection.
    endless: int = 0
    #: Requests that are answered with 503 and do not run.
    shed: int = 0
    #: Requests that are answered with 503, which has a stamp, and do not run.
    shed_signed: int = 0
    #: Requests that run and are answered with 500, and with 504.
    failed: int = 0
    timed_out: int = 0
    #: Requests that run and are never answered.
    hung: int = 0
    #: Whether all replies say that the replica leaves.
    leaving: bool = False
    #: Pause for which replies to shed requests ask, as sent.
    retry_after: str = ''
    #: Requests with this text in their request line end the process.
    crash_text: str = ''
    #: Time until a process that ended starts again.
    restart_seconds: float = 0.3
    #: Faulty replies by the name of their fault, as in FAULTY_REPLIES.
    replies: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def plan(self, fault: str, count: int = 1) -> None:
        """Set how many requests a fault affects."""
        if fault in FAULTY_REPLIES:
            self.replies[fault] = count
        else:
            setattr(self, fault, count)

    def remaining(self, fault: str) -> int:
        """Return how many requests a fault will affect."""
        if fault in FAULTY_REPLIES:
            return self.replies[fault]
        remaining_count: int = getattr(self, fault)
        return remaining_count

    def consume(self, fault: str) -> bool:
        """Return whether a fault affects this request, and count it."""
        remaining_count = self.remaining(fault)
        if remaining_count > 0:
            self.plan(fault, remaining_count - 1)
        return remaining_count > 0


async def _ignore() -> None:
    """Do nothing, for replicas without an entry or with whole replies."""


@attrs.define(eq=False)
class ReplicaServer:
    """Answer requests on a loopback port, one task for each connection."""

    replica_id: str
    body: bytes = b''
    #: Whether the body of each reply ends with the id of its request.
    appends_id: bool = False
    faults: ReplicaFaults = attrs.field(factory=ReplicaFaults)
    #: Ids of the requests that ran.
    run_ids: list[str] = attrs.field(factory=list)
    #: Body of each request that has one and was received in full.
    received_bodies: list[bytes] = attrs.field(factory=list)
    #: Headers of each received request, and its request line under `line`.
    heads: list[dict[str, str]] = attrs.field(factory=list)
    #: Monotonic start time and id of each request that ran.
    executions: list[tuple[float, str]] = attrs.field(factory=list)
    #: Monotonic arrival time and id of each request.
    arrivals: list[tuple[float, str]] = attrs.field(factory=list)
    #: Replies that ask for no further requests: monotonic time, request id,
    #: and for how many seconds.
    notices: list[tuple[float, str, float]] = attrs.field(factory=list)
    #: Monotonic times at which a request ended the process.
    crashes: list[float] = attrs.field(factory=list)
    #: Start time of the process, as in its entry.
    start_time_ms: int = 1
    #: Called when the process ends, and when it has started again.
    on_end: Callable[[], None] = lambda: None
    on_restart: Callable[[], Awaitable[None]] = _ignore
    #: Awaited when the first half of a faulty reply has been sent.
    on_half_sent: Callable[[], Awaitable[None]] = _ignore
    connection_count: int = 0
    #: Hung requests whose connection the front closed.
    disconnect_count: int = 0
    address: str = ''
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    _last_replies: dict[asyncio.StreamWriter, bytes] = attrs.field(factory=dict)
    _restart: asyncio.Task[None] | None = None

    async def start(self) -> str:
        """Listen and return `IP:port`."""
        self._server = await listen(self._serve)
        self.address = address_of(self._server)
        return self.address

    async def stop(self) -> None:
        """Close the port and every connection."""
        if self._restart is not None:
            self._restart.cancel()
        if self._server is not None:
            self._server.close()
        self.close_connections()

    def end_process(self) -> None:
        """Close the port and every connection, and start again later."""
        if self._server is not None:
            self._server.close()
        self.on_end()
        self.close_connections()
        self._restart = asyncio.create_task(self._start_again())

    def close_connections(self) -> None:
        """Abort every connection."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    def body_for(self, request_id: str) -> bytes:
        """Return the body of the reply to a request."""
        return self.body + request_id.encode() * self.appends_id

    async def _start_again(self) -> None:
        await asyncio.sleep(self.faults.restart_seconds)
        port = int(self.address.rpartition(':')[2])
        self._server = await listen(self._serve, port)
        self.start_time_ms += 1
        await self.on_restart()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        self._writers.add(writer)
        try:
            while await self._answer(reader, writer):
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            # To half-close a connection that is not connected is no
            # ConnectionError.
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        raw_head = await reader.readuntil(b'\r\n\r\n')
        request_line, *lines = raw_head.decode().split('\r\n')[:-2]
        head = dict(header.split(': ', 1) for header in lines)
        head['line'] = request_line
        self.heads.append(head)
        self.arrivals.append((time.monotonic(), head['Request-Id']))
        if self.faults.consume('early'):
            self._write(writer, self._encode(head, _FULL, ''))
            await self._receive_body(reader, head)
            return True
        await self._receive_body(reader, head)
        if self.faults.late_copies:
            writer.write(self._last_replies.get(writer, b''))
        rejection = self._rejection(head)
        if rejection:
            is_signed = self.faults.consume('shed_signed')
            stamp = f'{self.replica_id}.none-{len(self.heads)}' * is_signed
            return self._write(writer, self._encode(head, rejection, stamp))
        self.run_ids.append(head['Request-Id'])
        stamp = f'{self.replica_id}.{len(self.run_ids)}'
        self.executions.append((time.monotonic(), head['Request-Id']))
        if self.faults.crash_text and self.faults.crash_text in request_line:
            self.crashes.append(time.monotonic())
            self.end_process()
            return False
        if self.faults.consume('hung'):
            return await self._hang(reader)
        await asyncio.sleep(self.faults.work_seconds)
        if self.faults.consume('endless'):
            await _send_until_closed(writer)
        return await self._reply(writer, head, stamp)

    def _rejection(self, head: dict[str, str]) -> str:
        """Return the status with which a request is rejected, or nothing."""
        if head.get('Expect-Instance') != self.replica_id:
            return _MISDIRECTED
        is_full = self.faults.consume('shed')
        return _FULL if is_full or self.faults.remaining('shed_signed') else ''

    async def _receive_body(
        self, reader: asyncio.StreamReader, head: dict[str, str]
    ) -> None:
        body_bytes = int(head.get('Content-Length', 0))
        if body_bytes:
            self.received_bodies.append(await reader.readexactly(body_bytes))

    async def _hang(self, reader: asyncio.StreamReader) -> bool:
        """Wait until the front closes the connection."""
        await reader.read()
        self.disconnect_count += 1
        return False

    async def _reply(
        self, writer: asyncio.StreamWriter, head: dict[str, str], stamp: str
    ) -> bool:
        for failure, status in _FAILURES:
            if self.faults.consume(failure):
                return self._write(writer, self._encode(head, status, stamp))
        if self.faults.consume('reset_before_reply'):
            return _reset(writer)
        if self.faults.consume('wrong_id'):
            head = {**head, 'Request-Id': 'another'}
        body = self.body_for(head['Request-Id'])
        fault = next(filter(self.faults.consume, FAULTY_REPLIES), None)
        if fault is not None:
            parts = ReplyParts(
                head=_encode_head(head, '200 OK', stamp),
                body=b'' if _is_head(head) else body,
                previous=self._last_replies.get(writer, b''),
            )
            reply = FAULTY_REPLIES[fault](parts)
            return await self._send_faulty(writer, reply)
        encoded = self._encode(head, '200 OK', stamp, body=body)
        if self.faults.consume('duplicated'):
            encoded += encoded
        return self._write(writer, encoded)

    async def _send_faulty(
        self, writer: asyncio.StreamWriter, reply: FaultyReply
    ) -> bool:
        """Send a reply; return whether the connection stays open."""
        middle = 0
        if self.on_half_sent is not _ignore:
            middle = len(reply.encoded) // 2
            writer.write(reply.encoded[:middle])
            await self.on_half_sent()
        writer.write(reply.encoded[middle:])
        if reply.late:
            await asyncio.sleep(_LATE_SECONDS)
            writer.write(reply.late)
        if reply.end is ConnectionEnd.reset:
            return _reset(writer)
        if reply.end is ConnectionEnd.half:
            writer.write_eof()
        elif reply.end is ConnectionEnd.close:
            writer.close()
        return reply.end in {ConnectionEnd.none, ConnectionEnd.half}

    def _write(self, writer: asyncio.StreamWriter, reply: bytes) -> bool:
        self._last_replies[writer] = reply
        writer.write(reply)
        return True

    def _encode(
        self,
        head: dict[str, str],
        status: str,
        stamp: str,
        body: bytes = b'',
    ) -> bytes:
        is_refused = status in {_MISDIRECTED, _FULL}
        headers = ['Not-Executed: 1\r\n'] if is_refused else []
        if self.faults.leaving:
            self._record_notice(head, math.inf)
            headers.append('Server-Leaving: 1\r\n')
        pause = self.faults.retry_after
        if pause and is_refused:
            self._record_notice(head, float(pause))
            headers.append(f'Retry-After: {pause}\r\n')
        reply_head = _encode_head(head, status, stamp, ''.join(headers))
        reply = with_length(reply_head, body)
        if _is_head(head) and not self.faults.consume('head_with_body'):
            return reply.removesuffix(body)
        return reply

    def _record_notice(self, head: dict[str, str], seconds: float) -> None:
        self.notices.append((time.monotonic(), head['Request-Id'], seconds))


def _is_head(head: dict[str, str]) -> bool:
    return head['line'].startswith('HEAD ')


def _encode_head(
    head: dict[str, str], status: str, stamp: str, extra_headers: str = ''
) -> bytes:
    reply_head = _HEAD.format(status=status, stamp=stamp, id=head['Request-Id'])
    return f'{reply_head}{extra_headers}'.encode()


async def _send_until_closed(writer: asyncio.StreamWriter) -> None:
    """Send a head without end; raise ConnectionError when it is closed."""
    writer.write(b'HTTP/1.1 200 OK\r\n')
    while not writer.is_closing():
        writer.write(b'X: y\r\n' * 1000)
        await writer.drain()
        await asyncio.sleep(0)
    raise ConnectionResetError


def _reset(writer: asyncio.StreamWriter) -> bool:
    sock = writer.get_extra_info('socket')
    reset_on_close(sock)
    writer.transport.abort()
    return False
