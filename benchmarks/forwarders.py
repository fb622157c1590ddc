"""Forward TCP connections over loopback, and count their bytes."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Coroutine
from typing import Any, Self

import attrs

_CHUNK_BYTES = 65536


@attrs.define(eq=False)
class Forwarder:
    """Count the bytes to a target and back, over all connections."""

    target: str
    there: int = 0
    back: int = 0
    address: str = ''
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    @classmethod
    @contextlib.asynccontextmanager
    async def running(cls, target: str) -> AsyncIterator[Self]:
        """Listen for the length of the context."""
        forwarder = cls(target)
        server = await asyncio.start_server(
            forwarder._serve, '127.0.0.1', 0, backlog=2048
        )
        port = server.sockets[0].getsockname()[1]
        forwarder.address = f'127.0.0.1:{port}'
        try:
            yield forwarder
        finally:
            server.close()
            for task in forwarder._tasks:
                task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(':')
        near = await asyncio.open_connection(host, int(port))
        self._start(self._copy_there(reader, near[1]))
        self._start(self._copy_back(near[0], writer))

    def _start(self, copying: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(copying)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _copy_there(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while chunk := await reader.read(_CHUNK_BYTES):
            self.there += len(chunk)
            writer.write(chunk)
        writer.close()

    async def _copy_back(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while chunk := await reader.read(_CHUNK_BYTES):
            self.back += len(chunk)
            writer.write(chunk)
        writer.close()
