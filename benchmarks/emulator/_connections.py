"""Emulate connections between fronts and replicas."""

import asyncio
from collections.abc import Callable

import attrs

from benchmarks.emulator._replicas import EmulatedReplica
from dragonflyramp.replica_connections import (
    ConnectionEnd,
    ConnectionHooks,
    Exchange,
    Outcome,
    OutcomeKind,
    ReplyOrigin,
)


@attrs.define(eq=False)
class EmulatedConnection:
    """Emulate a `Connection`; its task `run` runs one exchange at a time."""

    _replica: EmulatedReplica
    _hooks: ConnectionHooks
    #: Network latency in one direction.
    _one_way_latency_seconds: float
    #: None signals that the connection was closed.
    _queue: asyncio.Queue[Exchange | None] = attrs.field(factory=asyncio.Queue)
    _current: Exchange | None = None
    _serve_task: asyncio.Task[object] | None = None
    _is_open: bool = False

    def is_usable(self, now_seconds: float) -> bool:
        """Return whether the connection is open; idle ones do not expire."""
        return self._is_open

    def may_carry(self, request_id: str) -> bool:
        """Return True, because no reply is sent twice."""
        return True

    def start(self, exchange: Exchange) -> None:
        """Queue an exchange, whose outcome is set exactly once."""
        self._current = exchange
        self._queue.put_nowait(exchange)

    def close(self, end: ConnectionEnd = ConnectionEnd.stopped) -> None:
        """Cancel the current exchange and close the connection."""
        if self._current is not None:
            self._current.finish(Outcome(OutcomeKind.cancelled))
        self._is_open = False
        self._queue.put_nowait(None)
        if self._serve_task is not None:
            self._serve_task.cancel()

    async def run(self) -> None:
        """Open the connection and execute exchanges until it is closed."""
        await asyncio.sleep(2 * self._one_way_latency_seconds)
        await self._replica.connect()
        self._is_open = True
        exchange = await self._queue.get()
        while exchange is not None:
            await self._execute(exchange)
            self._current = None
            if self._is_open:
                self._hooks.on_idle(self)  # type: ignore[arg-type]
            exchange = await self._queue.get()
        self._is_open = False
        self._hooks.on_end(self)  # type: ignore[arg-type]

    async def _execute(self, exchange: Exchange) -> None:
        if exchange.outcome.done():
            return
        exchange.written_at_seconds = asyncio.get_running_loop().time()
        await asyncio.sleep(self._one_way_latency_seconds)
        serve_task = asyncio.create_task(self._replica.serve(exchange.request))
        self._serve_task = serve_task
        await asyncio.wait((serve_task,))
        self._serve_task = None
        if serve_task.cancelled():
            return
        await asyncio.sleep(self._one_way_latency_seconds)
        exchange.finish(
            Outcome(OutcomeKind.replied, serve_task.result(), _EMULATED_ORIGIN)
        )


_EMULATED_ORIGIN = ReplyOrigin(
    address='', connection=0, earlier_ids=(), is_close_delimited=False
)

#: Creates a connection to the replica at an address.
EmulatedConnectionFactory = Callable[[str, ConnectionHooks], EmulatedConnection]
