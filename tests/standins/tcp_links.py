"""Forward TCP connections, and cut them."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import attrs

_CHUNK_BYTES = 65536


@attrs.define(eq=False)
class TcpLink:
    """Forward connections to an address until it is cut."""

    target: str
    address: str = ''
    is_cut: bool = False
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)

    def cut(self) -> None:
        """Close all connections, and new ones as they are opened."""
        self.is_cut = True
        for writer in tuple(self._writers):
            writer.close()

    def heal(self) -> None:
        """Forward new connections again."""
        self.is_cut = False

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection in both directions until it ends."""
        if self.is_cut:
            writer.close()
            return
        host, _, port = self.target.rpartition(':')
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self._writers |= {writer, far_writer}
        await asyncio.gather(
            _copy(reader, far_writer), _copy(far_reader, writer)
        )
        self._writers -= {writer, far_writer}


@contextlib.asynccontextmanager
async def tcp_link(target: str) -> AsyncIterator[TcpLink]:
    """Listen on a loopback port for the length of the context."""
    link = TcpLink(target)
    server = await asyncio.start_server(link.accept, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()[:2]
    link.address = f'{host}:{port}'
    try:
        yield link
    finally:
        server.close()
        link.cut()


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        while chunk := await reader.read(_CHUNK_BYTES):
            writer.write(chunk)
            await writer.drain()
    writer.close()
