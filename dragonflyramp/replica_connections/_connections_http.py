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
from dragonflyramp.replica_connections._readers_http import ReplyReader
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
        self.protocol = ReplyProtocol(on_closed)
        self._memory = memory
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
        self.usable_until_seconds = (
            self._clock() + _DEFAULT_IDLE_TIMEOUT_SECONDS * _USABLE_IDLE_SHARE
        )
        return True

    def send(
        self,
        exchange: Exchange,
        incoming: asyncio.Future[RawReply | OutcomeKind],
    ) -> None:
        """Write the request of an exchange; `incoming` gets the reply to it.

        Nothing is sent if the connection is closed, or if the exchange has been
        cancelled or its deadline has passed.
        """
        now_seconds = self._clock()
        remaining_ms = int((exchange.deadline_at_seconds - now_seconds) * 1000)
        is_pending = remaining_ms > 0 and not exchange.outcome.done()
        if not is_pending or not self.protocol.is_open:
            _set_unsent(incoming)
            return
        request = exchange.request
        try:
            encoded = self._codec.encode(
                request, exchange.replica_id, remaining_ms, exchange.tenant_name
            )
        except Exception as error:
            # It is raised in the task of the connection.
            incoming.set_exception(error)
            return
        exchange.written_at_seconds = now_seconds
        self.matcher.start_request(request.request_id)
        self.protocol.send_request(
            encoded,
            ReplyReader(
                is_head=request.method == 'HEAD',
                is_copy=self._is_copy,
                memory=self._memory,
                outcome=incoming,
            ),
        )

    def receive(self, raw: RawReply | OutcomeKind) -> Outcome:
        """Return the outcome of the exchange whose request was sent."""
        if not isinstance(raw, RawReply):
            if raw is not OutcomeKind.unsent:
                self.protocol.close(ConnectionEnd.unusable)
            return Outcome(raw)
        if self._decoded is None or self._decoded[0] is not raw:
            reply = self._codec.decode(raw.status, raw.headers, raw.body)
        else:
            reply = self._decoded[1]
        self._decoded = None
        counters.add(
            'reply_ends',
            'connection' if raw.is_close_delimited else 'framing',
        )
        now_seconds = self._clock()
        self._hooks.on_reply(reply, now_seconds)
        if not self.matcher.accept(reply):
            _log_other_reply(self._address, self.matcher, reply)
            self.protocol.close(ConnectionEnd.unusable)
            return Outcome(OutcomeKind.garbled)
        self._keep_or_close(raw, reply, now_seconds)
        origin = ReplyOrigin(
            address=self._address,
            connection=self._number,
            earlier_ids=tuple(self.matcher.earlier_ids),
            is_close_delimited=raw.is_close_delimited,
            polled_at_seconds=self.protocol.polled_at_seconds,
        )
        return Outcome(OutcomeKind.replied, reply, origin)

    def _is_copy(self, raw: RawReply) -> bool:
        reply = self._codec.decode(raw.status, raw.headers, raw.body)
        is_copy = self.matcher.is_copy(reply)
        self._decoded = None if is_copy else (raw, reply)
        return is_copy

    def _keep_or_close(
        self, raw: RawReply, reply: Reply, now_seconds: float
    ) -> None:
        """Decide whether the connection may carry another request."""
        if not raw.is_keep_alive or reply.closes_connection:
            self.protocol.close(ConnectionEnd.asked)
        # The next request would wait until the server reads this one.
        has_unsent_bytes = self.protocol.has_unsent_bytes
        if has_unsent_bytes or not self.matcher.will_recognize(reply):
            self.protocol.close(ConnectionEnd.unusable)
        idle_timeout_seconds = reply.keep_alive_seconds
        if idle_timeout_seconds is None:
            idle_timeout_seconds = _DEFAULT_IDLE_TIMEOUT_SECONDS
        self.usable_until_seconds = (
            now_seconds + idle_timeout_seconds * _USABLE_IDLE_SHARE
        )


def _log_other_reply(address: str, matcher: ReplyMatcher, reply: Reply) -> None:
    counters.add('backend_faults', 'reply_of_another_request')
    logger.bind(
        address=address,
        request=matcher.current_id,
        reply_request=reply.request_id,
        stamp=reply.stamp,
        body_bytes=len(reply.body),
    ).info('reply of another request')


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
    """Connection to a replica; its task `run` finishes the exchanges."""

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
        self._current: Exchange | None = None
        #: Reply to the current or next exchange; None while there can be none.
        self._incoming: asyncio.Future[RawReply | OutcomeKind] | None = None
        self._channel = _HttpChannel(
            address,
            codec,
            clock,
            hooks,
            memory or ReplyMemory(),
            lambda: _set_unsent(self._incoming),
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
        """Start an exchange, whose outcome is set exactly once.

        Its request is written now, or as soon as the connection is open.
        """
        self._current = exchange
        if self._incoming is not None:
            self._channel.send(exchange, self._incoming)

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
            if not is_open and self._current is not None:
                self._current.finish(Outcome(OutcomeKind.unreachable))
            while is_open:
                is_open = await self._execute_next()

    async def _execute_next(self) -> bool:
        """Execute the next exchange; return whether another one may follow.

        An idle connection refers neither to its last exchange nor to the reply.
        """
        incoming = asyncio.get_running_loop().create_future()
        self._incoming = incoming
        if self._current:
            self._channel.send(self._current, incoming)
        elif self._channel.protocol.is_open:
            self._hooks.on_idle(self)
        else:
            return False
        raw = await incoming
        self._incoming = None
        exchange = self._current
        if exchange is None:
            return False
        outcome = self._channel.receive(raw)
        self._current = None
        exchange.finish(outcome)
        return self._channel.protocol.is_open


def _set_unsent(
    incoming: asyncio.Future[RawReply | OutcomeKind] | None,
) -> None:
    """Tell the task of a connection that there will be no reply."""
    if incoming is not None and not incoming.done():
        incoming.set_result(OutcomeKind.unsent)
