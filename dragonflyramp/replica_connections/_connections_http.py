"""Run HTTP/1.1 connections to backend servers, one task for each."""

import asyncio
import contextlib
import itertools
from collections.abc import Callable
from typing import Protocol

import attrs
from loguru import logger

from dragonflyramp.messages import Reply
from dragonflyramp.metrics import counters
from dragonflyramp.replica_connections._codecs import Codec
from dragonflyramp.replica_connections._exchanges import (
    ConnectionEnd,
    Exchange,
    Outcome,
    OutcomeKind,
    ReplyOrigin,
)
from dragonflyramp.replica_connections._protocols_http import ReplyProtocol
from dragonflyramp.replica_connections._reply_builders_http import RawReply
from dragonflyramp.replica_connections._reply_matchers import ReplyMatcher
from dragonflyramp.replica_connections._reply_memory import ReplyMemory

#: Covers one lost SYN, which is retransmitted after a second. Two losses
#: indicate a network failure.
_CONNECT_TIMEOUT_SECONDS = 1.5
#: An address that is not valid raises the last two.
_CONNECT_ERRORS = (OSError, TimeoutError, ValueError, OverflowError)
#: Idle timeout assumed for servers that announce none. Common servers allow at
#: least 5 s.
_DEFAULT_IDLE_TIMEOUT_SECONDS = 4
#: Share of the idle timeout after which a connection is no longer used, so that
#: no request is sent while the server closes it.
_USABLE_IDLE_SHARE = 0.75
_connection_numbers = itertools.count(1)


class Clock(Protocol):
    """Monotonic clock."""

    def __call__(self) -> float:
        """Return the time in seconds."""


class _HttpChannel:
    """HTTP/1.1 over one TCP connection, one exchange at a time."""

    def __init__(
        self,
        address: str,
        codec: Codec,
        clock: Clock,
        hooks: 'ConnectionHooks',
        memory: ReplyMemory,
        on_closed: Callable[[], None],
    ) -> None:
        """Create a channel that is not open."""
        self.protocol = ReplyProtocol(on_closed, memory)
        #: Monotonic time until which the idle connection may be used.
        self.usable_until_seconds: float = 0
        self._address = address
        self._number = next(_connection_numbers)
        self._codec = codec
        self._clock = clock
        self._hooks = hooks
        self.matcher = ReplyMatcher()
        #: The reply that was decoded last.
        self._decoded: tuple[RawReply, Reply] | None = None

    async def open(self) -> bool:
        """Connect to the server; return False if that fails."""
        counters.add('backend_connections', 'opened')
        host, _, port = self._address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
                await loop.create_connection(
                    lambda: self.protocol, host, int(port)
                )
        except _CONNECT_ERRORS as error:
            counters.add('backend_connections', 'failed')
            logger.bind(address=self._address, reason=repr(error)).debug(
                'failed to connect to the replica'
            )
            return False
        self._restart_idle_timeout(_DEFAULT_IDLE_TIMEOUT_SECONDS)
        return True

    async def execute(self, exchange: Exchange) -> Outcome:
        """Execute an exchange and return its outcome.

        Nothing is sent if the connection is closed, or if the exchange has been
        cancelled or its deadline has passed.
        """
        now_seconds = self._clock()
        remaining_ms = int((exchange.deadline_at_seconds - now_seconds) * 1000)
        is_pending = remaining_ms > 0 and not exchange.outcome.done()
        if not is_pending or not self.protocol.is_open:
            return Outcome(OutcomeKind.unsent)
        request = exchange.request
        encoded = self._codec.encode(
            request, exchange.replica_id, remaining_ms, exchange.tenant_name
        )
        exchange.written_at_seconds = now_seconds
        self.matcher.start_request(request.request_id)
        reader = self.protocol.send_request(
            encoded,
            is_head=request.method == 'HEAD',
            is_copy=self._is_copy,
        )
        raw = await reader.outcome
        if isinstance(raw, RawReply):
            return self._handle_reply(raw)
        self.protocol.close(ConnectionEnd.unusable)
        return Outcome(raw)

    def _is_copy(self, raw: RawReply) -> bool:
        is_copy = self.matcher.is_copy(self._decode(raw))
        if is_copy:
            self._decoded = None
        return is_copy

    def _decode(self, raw: RawReply) -> Reply:
        if self._decoded is None or self._decoded[0] is not raw:
            reply = self._codec.decode(raw.status, raw.headers, raw.body)
            self._decoded = (raw, reply)
        return self._decoded[1]

    def _handle_reply(self, raw: RawReply) -> Outcome:
        reply = self._decode(raw)
        self._decoded = None
        counters.add(
            'reply_ends',
            'connection' if raw.is_close_delimited else 'framing',
        )
        self._hooks.on_reply(reply, self._clock())
        if not self.matcher.accept(reply):
            counters.add('backend_faults', 'reply_of_another_request')
            logger.bind(
                address=self._address,
                request=self.matcher.current_id,
                reply_request=reply.request_id,
                stamp=reply.stamp,
                body_bytes=len(reply.body),
            ).info('reply of another request')
            self.protocol.close(ConnectionEnd.unusable)
            return Outcome(OutcomeKind.garbled)
        is_kept = raw.is_keep_alive and not reply.closes_connection
        if not is_kept:
            self.protocol.close(ConnectionEnd.asked)
        # The next request would wait until the server reads this one.
        has_unsent_bytes = self.protocol.has_unsent_bytes
        if has_unsent_bytes or not self.matcher.will_recognize(reply):
            self.protocol.close(ConnectionEnd.unusable)
        if reply.keep_alive_seconds is None:
            self._restart_idle_timeout(_DEFAULT_IDLE_TIMEOUT_SECONDS)
        else:
            self._restart_idle_timeout(reply.keep_alive_seconds)
        origin = ReplyOrigin(
            address=self._address,
            connection=self._number,
            earlier_ids=tuple(self.matcher.earlier_ids),
            is_close_delimited=raw.is_close_delimited,
        )
        return Outcome(OutcomeKind.replied, reply, origin)

    def _restart_idle_timeout(self, idle_timeout_seconds: float) -> None:
        self.usable_until_seconds = (
            self._clock() + idle_timeout_seconds * _USABLE_IDLE_SHARE
        )


def _ignore_reply(reply: Reply, now_seconds: float) -> None:
    """Do nothing, for connections whose replies only their exchanges read."""


@attrs.frozen(kw_only=True)
class ConnectionHooks:
    """Callbacks for a connection: a reply was read, it is idle, it ended."""

    on_idle: Callable[['Connection'], None]
    on_end: Callable[['Connection'], None]
    #: Called with each reply and the monotonic time, also if nobody waits for
    #: the reply any more.
    on_reply: Callable[[Reply, float], None] = _ignore_reply


class ConnectionFactory(Protocol):
    """Factory of connections; `Connection.run` opens them."""

    def __call__(self, address: str, hooks: ConnectionHooks) -> 'Connection':
        """Create a connection to an `IP:port` address."""


class Connection:
    """Connection to a replica; its task `run` executes queued exchanges."""

    def __init__(
        self,
        address: str,
        hooks: ConnectionHooks,
        codec: Codec,
        clock: Clock,
        memory: ReplyMemory | None = None,
    ) -> None:
        """Create a connection that `run` opens."""
        self._hooks = hooks
        #: None signals that the connection was closed.
        self._queue: asyncio.Queue[Exchange | None] = asyncio.Queue()
        self._current: Exchange | None = None
        self._channel = _HttpChannel(
            address,
            codec,
            clock,
            hooks,
            memory or ReplyMemory(),
            lambda: self._queue.put_nowait(None),
        )

    def is_usable(self, now_seconds: float) -> bool:
        """Return whether an idle connection may start an exchange."""
        is_unexpired = now_seconds < self._channel.usable_until_seconds
        return is_unexpired and self._channel.protocol.is_open

    def may_carry(self, request_id: str) -> bool:
        """Return whether this connection has not carried a request yet.

        A late copy of the reply to its earlier attempt would not differ from
        the reply to the next one.
        """
        return self._channel.matcher.may_carry(request_id)

    def start(self, exchange: Exchange) -> None:
        """Queue an exchange, whose outcome is set exactly once."""
        self._current = exchange
        self._queue.put_nowait(exchange)

    def close(self, end: ConnectionEnd = ConnectionEnd.stopped) -> None:
        """Cancel the current exchange and close the connection if it is open.

        A connection that is still opening is kept for later exchanges.
        """
        if self._current is not None:
            self._current.finish(Outcome(OutcomeKind.cancelled))
        self._channel.protocol.close(end)

    async def run(self) -> None:
        """Open the connection and execute exchanges until it is closed.

        Whatever ends it, its exchange gets an outcome.
        """
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._hooks.on_end, self)
            cleanup.callback(
                self._channel.protocol.close, ConnectionEnd.stopped
            )
            cleanup.callback(self.close)
            is_open = await self._channel.open()
            if self._queue.empty():
                if not is_open:
                    return
                self._hooks.on_idle(self)
            while await self._execute_next(is_open=is_open):
                self._hooks.on_idle(self)

    async def _execute_next(self, *, is_open: bool) -> bool:
        """Execute the next exchange; return whether another one may follow.

        An idle connection refers neither to its last exchange nor to the reply.
        """
        exchange = await self._queue.get()
        if exchange is None:
            return False
        outcome = Outcome(OutcomeKind.unreachable)
        if is_open:
            outcome = await self._channel.execute(exchange)
        self._current = None
        exchange.finish(outcome)
        return self._channel.protocol.is_open
