"""Inject faults into the connections between fronts and their peers."""

import asyncio
import contextlib

import attrs

from tests.standins.listeners import address_of, listen
from tests.standins.resets import reset_on_close

_CHUNK_BYTES = 64 * 1024
_POLL_INTERVAL_SECONDS = 0.02


@attrs.define(eq=False)
class Proxy:
    """Forward connections on loopback, and delay, stall or reset them."""

    target: str
    address: str = ''
    delay_seconds: float = 0
    #: While true, bytes of this direction wait in the proxy.
    is_stalled_to_target: bool = False
    is_stalled_from_target: bool = False
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)

    async def start(self) -> str:
        """Listen and return `IP:port`."""
        self._server = await listen(self._serve)
        self.address = address_of(self._server)
        return self.address

    async def stop(self) -> None:
        """Close the port and every connection."""
        self.close_port()
        self.reset()

    def close_port(self) -> None:
        """Stop listening, as the target does when its process ends."""
        if self._server is not None:
            self._server.close()

    async def reopen_port(self) -> None:
        """Listen at the same address again."""
        port = int(self.address.rpartition(':')[2])
        self._server = await listen(self._serve, port)

    def clear_faults(self) -> None:
        """End delays and stalls, and forward the bytes that waited."""
        self.delay_seconds = 0
        self.is_stalled_to_target = False
        self.is_stalled_from_target = False

    def reset(self) -> None:
        """Reset every connection."""
        for writer in tuple(self._writers):
            _reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(':')
        self._writers.add(writer)
        with contextlib.suppress(OSError):
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            self._writers.add(target_writer)
            await asyncio.gather(
                self._relay(reader, target_writer, is_from_target=False),
                self._relay(target_reader, writer, is_from_target=True),
            )
            self._writers.discard(target_writer)
        self._writers.discard(writer)
        writer.close()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_from_target: bool,
    ) -> None:
        try:
            while chunk := await reader.read(_CHUNK_BYTES):
                await asyncio.sleep(self.delay_seconds)
                while self._is_stalled(is_from_target=is_from_target):
                    await asyncio.sleep(_POLL_INTERVAL_SECONDS)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            # A close without a reset would make a truncated body without a
            # length look complete.
            _reset(writer)
        writer.close()

    def _is_stalled(self, *, is_from_target: bool) -> bool:
        return (
            self.is_stalled_from_target
            if is_from_target
            else self.is_stalled_to_target
        )


def _reset(writer: asyncio.StreamWriter) -> None:
    if not writer.transport.is_closing():
        reset_on_close(writer.get_extra_info('socket'))
        writer.transport.abort()
