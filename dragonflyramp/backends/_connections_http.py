"""Run one task for each HTTP/1.1 connection to a backend server."""

import asyncio
import enum
import socket
from collections.abc import Callable
from typing import cast

import attrs
import httptools
from loguru import logger

from dragonflyramp.backends._codecs import Codec
from dragonflyramp.messages import Reply, Request
from dragonflyramp.metrics import counters

#: A SYN that is lost is sent again after a second; two losses mean a cut.
_CONNECT_SECONDS = 1.5
#: Replies of the users' servers are a few kilobytes.
_MAX_REPLY_BYTES = 16 * 1024 * 1024
_FIRST_FINAL_STATUS = 200
_NO_BODY_STATUSES = (204, 304)


class Ending(enum.Enum):
    """Name how a send ended."""

    replied = 'replied'
    #: No byte left this process.
    unsent = 'unsent'
    #: No connection could be opened.
    unreachable = 'unreachable'
    #: The connection broke after the request was sent.
    lost = 'lost'
    #: The bytes that came are no reply, or that of another request.
    garbled = 'garbled'
    #: The sender gave up.
    cancelled = 'cancelled'


@attrs.frozen
class Outcome:
    """Hold how a send ended, and the reply if there is one."""

    ending: Ending
    reply: Reply | None = None


@attrs.define(eq=False, kw_only=True)
class Send:
    """Hold one request on its way to one replica."""

    request: Request
    replica_id: str
    deadline_seconds: float
    outcome: asyncio.Future[Outcome]
    #: Monotonic time at which the request was written; None before.
    written_seconds: float | None = None

    def end(self, outcome: Outcome) -> None:
        """Report the outcome once; a later one is dropped."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)


class ReplyProtocol(asyncio.Protocol):
    """Read replies, one request at a time.

    aiohttp's client takes a reply that ends with a reset for complete and
    hands bytes that arrived on an idle connection to the next request.
    """

    def __init__(self, on_closed: Callable[[], None]) -> None:
        """Wait for the connection; `on_closed` is called once at its end."""
        self.is_open = False
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._reading: _Reading | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note that the connection is open."""
        # uvloop's transports are no subclass of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self.is_open = True

    def exchange(
        self, encoded: bytes, *, is_head: bool
    ) -> asyncio.Future['_Reading']:
        """Write a request; the future gives the reply's raw form."""
        reading = _Reading(is_head=is_head)
        self._reading = reading
        assert self._transport is not None
        self._transport.write(encoded)
        return reading.done

    def data_received(self, data: bytes) -> None:  # noqa: WPS110 - its name
        """Feed the reply that is waited for; anything else ends it all."""
        reading = self._reading
        if reading is None:
            counters.add('backend_faults', 'bytes_without_request')
            self.close()
            return
        reading.feed(data)
        if reading.done.done():
            self._reading = None
            if reading.has_extra or not reading.is_whole:
                counters.add('backend_faults', 'extra_or_garbled_bytes')
                self.close()

    def eof_received(self) -> bool:
        """End a reply whose body lasts until the connection ends."""
        if self._reading is not None and not self._was_reset():
            self._reading.end_at_eof()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the reply that is not complete."""
        self.is_open = False
        if self._reading is not None:
            self._reading.fail(Ending.lost)
            self._reading = None
        self._on_closed()

    def _was_reset(self) -> bool:
        """Tell whether a reset came with the last bytes.

        libuv reports the end of the stream when a poll shows bytes and a
        hang-up together, and leaves the error of the socket unread.
        """
        assert self._transport is not None
        sock = self._transport.get_extra_info('socket')
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return bool(error)

    def close(self) -> None:
        """Close the connection at once."""
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()


class _Reading:
    """Collect the parts of one reply."""

    def __init__(self, *, is_head: bool) -> None:
        self.done: asyncio.Future[_Reading] = (
            asyncio.get_running_loop().create_future()
        )
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.body = bytearray()
        self.keeps_alive = False
        self.is_whole = False
        self.has_extra = False
        self.ending = Ending.garbled
        self._is_head = is_head
        self._until_eof = False
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, received: bytes) -> None:
        """Parse what was received."""
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.has_extra = self.is_whole
            self.fail(Ending.garbled)
        if len(self.body) > _MAX_REPLY_BYTES:
            self.fail(Ending.garbled)

    def fail(self, ending: Ending) -> None:
        """End without a reply."""
        if not self.done.done():
            self.ending = ending
            self.done.set_result(self)

    def end_at_eof(self) -> None:
        """Complete a body without a length."""
        if self._until_eof:
            self._complete()

    def on_message_begin(self) -> None:
        """Notice a second reply."""
        if self.is_whole:
            self.has_extra = True

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Keep a header of the first reply."""
        if not self.is_whole:
            self.headers.append(
                (name.decode('latin-1'), value.decode('latin-1'))
            )

    def on_headers_complete(self) -> None:
        """Find out how the body ends."""
        if self.is_whole:
            return
        self.status = self._parser.get_status_code()
        names = {name.lower() for name, _ in self.headers}
        has_length = bool(names & {'content-length', 'transfer-encoding'})
        has_body = not (
            self._is_head
            or self.status in _NO_BODY_STATUSES
            or self.status < _FIRST_FINAL_STATUS
        )
        self._until_eof = has_body and not has_length
        self.keeps_alive = (
            self._parser.should_keep_alive() and not self._until_eof
        )
        if self._is_head:
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body of the first reply."""
        if not self.is_whole:
            self.body.extend(body)

    def on_message_complete(self) -> None:
        """Complete the first reply; pass over an interim one."""
        if self.is_whole:
            return
        if self.status < _FIRST_FINAL_STATUS:
            self.headers.clear()
            return
        self._complete()

    def _complete(self) -> None:
        self.is_whole = True
        if not self.done.done():
            self.ending = Ending.replied
            self.done.set_result(self)


class Connection:
    """Open a connection and make sends on it, one after another."""

    def __init__(
        self,
        address: str,
        codec: Codec,
        clock: Callable[[], float],
        on_idle: Callable[['Connection'], None],
        on_end: Callable[['Connection'], None],
    ) -> None:
        """Open nothing until `run`."""
        self._address = address
        self._codec = codec
        self._clock = clock
        self._on_idle = on_idle
        self._on_end = on_end
        self._inbox: asyncio.Queue[Send | None] = asyncio.Queue()
        self._protocol = ReplyProtocol(self._end)
        self._current: Send | None = None
        self._idle_until_seconds = 0.0

    def is_usable(self, now_seconds: float) -> bool:
        """Tell whether an idle connection may get a send."""
        return self._protocol.is_open and now_seconds < self._idle_until_seconds

    def take(self, send: Send) -> None:
        """Make a send; its outcome is set exactly once."""
        self._current = send
        self._inbox.put_nowait(send)

    def close(self) -> None:
        """End a current send as cancelled, and close what is open.

        A connection that is still being opened stays for later sends.
        """
        if self._current is not None:
            self._current.end(Outcome(Ending.cancelled))
        if self._protocol.is_open:
            self._protocol.close()
            self._end()

    async def run(self) -> None:
        """Open, then make sends until the connection ends."""
        try:
            await self._serve()
        finally:
            self._protocol.close()
            self._on_end(self)

    async def _serve(self) -> None:
        is_open = await self._open()
        send = await self._inbox.get()
        while send is not None:
            outcome = Outcome(Ending.unreachable)
            if is_open:
                outcome = await self._make(send)
            self._current = None
            send.end(outcome)
            if not self._protocol.is_open:
                return
            self._on_idle(self)
            send = await self._inbox.get()

    async def _open(self) -> bool:
        host, _, port = self._address.rpartition(':')
        loop = asyncio.get_running_loop()
        counters.add('backend_connections', 'opened')
        try:
            async with asyncio.timeout(_CONNECT_SECONDS):
                await loop.create_connection(lambda: self._protocol, host, port)
        except (OSError, TimeoutError) as error:
            counters.add('backend_connections', 'failed')
            logger.bind(address=self._address, reason=repr(error)).debug(
                'connect failed'
            )
            return False
        self._keep(_UNSTATED_IDLE_SECONDS)
        return True

    async def _make(self, send: Send) -> Outcome:
        now_seconds = self._clock()
        left_ms = int((send.deadline_seconds - now_seconds) * 1000)
        if send.outcome.done() or left_ms <= 0:
            return Outcome(Ending.unsent)
        if not self._protocol.is_open:
            return Outcome(Ending.unsent)
        request = send.request
        encoded = self._codec.encode(request, send.replica_id, left_ms)
        send.written_seconds = now_seconds
        raw = await self._protocol.exchange(
            encoded, is_head=request.method == 'HEAD'
        )
        return self._outcome(send, raw)

    def _outcome(self, send: Send, raw: _Reading) -> Outcome:
        if raw.ending is not Ending.replied:
            self._protocol.close()
            return Outcome(raw.ending)
        reply = self._codec.decode(raw.status, raw.headers, bytes(raw.body))
        if reply.request_id not in {'', send.request.request_id}:
            counters.add('backend_faults', 'reply_of_another_request')
            self._protocol.close()
            return Outcome(Ending.garbled)
        if reply.closes or not raw.keeps_alive:
            self._protocol.close()
        if reply.keep_alive_seconds is None:
            self._keep(_UNSTATED_IDLE_SECONDS)
        else:
            self._keep(reply.keep_alive_seconds)
        return Outcome(Ending.replied, reply)

    def _keep(self, idle_seconds: float) -> None:
        self._idle_until_seconds = self._clock() + idle_seconds * _IDLE_SHARE

    def _end(self) -> None:
        self._inbox.put_nowait(None)


#: Idle time without a stated limit; common servers allow 5 s or more.
_UNSTATED_IDLE_SECONDS = 4.0
#: A request must not cross the server's close at the end of its idle time.
_IDLE_SHARE = 0.75
