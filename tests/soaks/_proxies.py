"""Stand between a front and what it connects to."""

import asyncio
import contextlib

import attrs

from tests.standins.listeners import address_of, listen
from tests.standins.resets import linger

_CHUNK_BYTES = 64 * 1024
_STEP_SECONDS = 0.02


@attrs.define(eq=False)
class Proxy:
    """Pass bytes on between loopback ports, with faults."""

    target: str
    address: str = ''
    delay_seconds: float = 0
    #: Bytes towards the target, or back, stay here until it ends.
    is_cut_to: bool = False
    is_cut_back: bool = False
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)

    async def start(self) -> str:
        """Listen and return `IP:port`."""
        self._server = await listen(self._serve)
        self.address = address_of(self._server)
        return self.address

    async def stop(self) -> None:
        """Close the port and every connection."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def heal(self) -> None:
        """End all faults; bytes that were held up go on."""
        self.delay_seconds = 0
        self.is_cut_to = False
        self.is_cut_back = False

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
            back, to = await asyncio.open_connection(host, int(port))
            self._writers.add(to)
            await asyncio.gather(
                self._pass_on(reader, to, is_back=False),
                self._pass_on(back, writer, is_back=True),
            )
            self._writers.discard(to)
        self._writers.discard(writer)
        writer.close()

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_back: bool,
    ) -> None:
        try:
            while received := await reader.read(_CHUNK_BYTES):
                await asyncio.sleep(self.delay_seconds)
                while self._is_cut(is_back=is_back):
                    await asyncio.sleep(_STEP_SECONDS)
                writer.write(received)
                await writer.drain()
        except OSError:
            # The end of a body without a length must not look like one.
            _reset(writer)
        writer.close()

    def _is_cut(self, *, is_back: bool) -> bool:
        return self.is_cut_back if is_back else self.is_cut_to


def _reset(writer: asyncio.StreamWriter) -> None:
    if not writer.transport.is_closing():
        linger(writer.get_extra_info('socket'))
        writer.transport.abort()
