"""Stand in for the network with connections that a model moves."""

import asyncio
from collections.abc import Callable
from typing import Any, TypeAlias

#: Called with each request that is written.
OnWrite: TypeAlias = Callable[['Wire', bytes], None]


class Wire(asyncio.Transport):  # noqa: WPS230 - all that a model moves
    """Connection of the front, whose bytes and end a model moves."""

    def __init__(
        self, protocol: Any, loop: asyncio.AbstractEventLoop, on_write: OnWrite
    ) -> None:
        """Start as an open connection."""
        super().__init__()
        self.protocol = protocol
        self.loop = loop
        self.on_write = on_write
        #: Bytes that the replica has sent, and those that have arrived.
        self.stream = b''
        self.arrived = b''
        self.piece_ends: list[int] = []
        self.unsent_bytes = 0
        self.socket_error = 0
        #: Whether the front reads no more, and whether it learns of the loss.
        self.is_closed = False
        self.is_lost = False
        #: Whether it ends without the end of the stream, or with a reset.
        self.is_reset = False
        #: Whether more than sound exchanges happened.
        self.is_disturbed = False

    def write(self, encoded: Any) -> None:
        """Receive a request."""
        self.on_write(self, encoded)

    def abort(self) -> None:
        """Close the connection for the front."""
        self.lose()

    def get_write_buffer_size(self) -> int:
        """Return the bytes of the request that the replica has not read."""
        return self.unsent_bytes

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return this as the socket."""
        return self

    def getsockopt(self, *option: int) -> int:
        """Return the error of the socket."""
        return self.socket_error

    def deliver(self, size: int) -> None:
        """Let the front read the next bytes in one piece."""
        piece = self.stream[:size]
        self.stream = self.stream[size:]
        if piece and not self.is_closed:
            self.arrived += piece
            self.piece_ends.append(len(self.arrived))
            self.protocol.data_received(piece)

    def end(self) -> None:
        """Let the front read the end of the stream.

        It closes the connection once the replica has read the request.
        """
        if not self.is_closed:
            self.is_closed = True
            self.protocol.eof_received()
            self.flush(self.unsent_bytes)

    def flush(self, unsent_bytes: int) -> None:
        """Set what the replica has not read."""
        self.unsent_bytes = unsent_bytes
        if self.is_closed and not unsent_bytes:
            self.lose()

    def lose(self, *, is_soon: bool = True) -> None:
        """Report the loss of the connection, once."""
        self.is_closed = True
        if not self.is_lost:
            self.is_lost = True
            if is_soon:
                self.loop.call_soon(self.protocol.connection_lost, None)
            else:
                self.protocol.connection_lost(ConnectionResetError())


class ModelLoop(asyncio.SelectorEventLoop):
    """Event loop that connects to a model."""

    def __init__(self, connect: Callable[[Any, int], None]) -> None:
        """Start without a connection."""
        super().__init__()
        self._connect = connect
        self.failures: list[dict[str, Any]] = []
        self.set_exception_handler(
            lambda _, failure: self.failures.append(failure)
        )

    async def create_connection(  # type: ignore[override]
        self,
        create_protocol: Callable[[], Any],
        host: str,
        port: int,
        **options: Any,
    ) -> None:
        """Open a connection in the next turn."""
        await asyncio.sleep(0)
        self._connect(create_protocol(), port)

    def turn(self) -> None:
        """Run all that is ready now."""
        self.call_soon(self.stop)
        self.run_forever()
