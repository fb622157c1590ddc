"""Exchange requests and replies on one connection, one at a time."""

import asyncio
import socket
from collections.abc import Callable
from typing import cast

from dragonflyramp.backends._readings_http import Reading
from dragonflyramp.backends._sends import Ending
from dragonflyramp.metrics import counters


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
        self._reading: Reading | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note that the connection is open."""
        # uvloop's transports are no subclass of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self.is_open = True

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
            if reading.raw.has_extra or not reading.raw.is_whole:
                counters.add('backend_faults', 'extra_or_garbled_bytes')
                self.close()

    def eof_received(self) -> bool:
        """End a reply whose body lasts until the connection ends."""
        if self._reading is not None and not _was_reset(self._transport):
            self._reading.end_at_eof()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the reply that is not complete."""
        self.is_open = False
        if self._reading is not None:
            self._reading.end(Ending.lost)
            self._reading = None
        self._on_closed()

    def exchange(self, encoded: bytes, *, is_head: bool) -> Reading:
        """Write a request and give the wait for its reply."""
        reading = Reading(is_head=is_head)
        self._reading = reading
        assert self._transport is not None
        self._transport.write(encoded)
        return reading

    def close(self) -> None:
        """Close the connection at once."""
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()


def _was_reset(transport: asyncio.Transport | None) -> bool:
    """Tell whether a reset came with the last bytes.

    libuv reports the end of the stream when a poll shows bytes and a hang-up
    together, and leaves the error of the socket unread.
    """
    if transport is None:
        return True
    sock = transport.get_extra_info('socket')
    error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return bool(error)
