"""Write requests to a connection and read their replies."""

import asyncio
import socket
from collections.abc import Callable
from typing import cast

import attrs

from dragonflyramp.metrics import counters
from dragonflyramp.replica_connections._exchanges import (
    ConnectionEnd,
    OutcomeKind,
)
from dragonflyramp.replica_connections._readers_http import ReplyReader


@attrs.define(eq=False)
class ReplyProtocol(asyncio.Protocol):
    """Send one request at a time and receive its reply.

    aiohttp's client is not used, because it treats a reply that ends with a
    reset as complete, and passes bytes that arrived on an idle connection to
    the next request.
    """

    #: Called once, when the connection closes.
    _on_closed: Callable[[], None]
    #: Whether a request may be sent.
    is_open: bool = False
    #: Monotonic time at which the event loop found the last bytes. With uvloop,
    #: it is that of the poll, whatever was handled since.
    polled_at_seconds: float | None = None
    _loop: asyncio.AbstractEventLoop = attrs.field(
        factory=asyncio.get_running_loop
    )
    _transport: asyncio.Transport | None = None
    _reader: ReplyReader | None = None
    #: Why the connection ended, the first of several reasons.
    _end: ConnectionEnd | None = None

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether a part of a request waits for the server to read."""
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the open connection."""
        # uvloop's transports are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self.is_open = True

    def data_received(self, data: bytes) -> None:  # noqa: WPS110 - asyncio's
        """Feed the pending reply; close on unexpected or invalid bytes."""
        self.polled_at_seconds = self._loop.time()
        reader = self._reader
        if reader is None:
            counters.add('backend_faults', 'bytes_without_request')
            self.close(ConnectionEnd.unusable)
            return
        reader.feed(data)
        if reader.kind is not None:
            self._reader = None
            is_replied = reader.kind is OutcomeKind.replied
            if reader.has_unexpected_bytes or not is_replied:
                counters.add('backend_faults', 'extra_or_garbled_bytes')
                self.close(ConnectionEnd.unusable)

    def eof_received(self) -> bool:
        """Complete a reply whose body ends with the connection.

        No request is sent from now on, since no reply to it could come.
        """
        self.is_open = False
        self._end = self._end or _peer_end(self._reader)
        if self._reader is not None and not _was_reset(self._transport):
            self._reader.finish_at_eof()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Finish an incomplete reply as lost."""
        self.is_open = False
        end = self._end or _peer_end(self._reader)
        counters.add('connection_ends', end.value)
        if self._reader is not None:
            self._reader.finish(OutcomeKind.lost)
            self._reader = None
        self._on_closed()

    def send_request(self, encoded: bytes, reader: ReplyReader) -> None:
        """Write a request, and read its reply with the reader."""
        self._reader = reader
        assert self._transport is not None
        self._transport.write(encoded)

    def close(self, end: ConnectionEnd) -> None:
        """Close the connection without flushing."""
        self.is_open = False
        if self._end is None:
            self._end = end
        if self._transport is not None:
            self._transport.abort()


def _peer_end(reader: ReplyReader | None) -> ConnectionEnd:
    return ConnectionEnd.peer_busy if reader else ConnectionEnd.peer_idle


def _was_reset(transport: asyncio.Transport | None) -> bool:
    """Return whether a reset arrived together with the last bytes.

    When a poll reports bytes and a hang-up together, libuv signals the end of
    the stream and leaves the socket error unread.
    """
    if transport is None:
        return True
    sock = transport.get_extra_info('socket')
    error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return bool(error)
