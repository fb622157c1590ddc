"""Decide which connections of callers are closed, without a network."""

import enum
from collections.abc import Callable

import attrs

from dragonflyramp.callers._caller_limits import PortLimits
from dragonflyramp.metrics import counters
from dragonflyramp.routes import RequestLimits

#: Time between two checks for overdue connections.
CHECK_INTERVAL_SECONDS = 0.5
#: What a check adds to the guard's time at most. After a standstill, bytes that
#: have arrived meanwhile are read before their connection is overdue.
_MAX_STEP_SECONDS = 1.0


class CloseReason(enum.Enum):
    """Reasons for which a connection is closed or its request refused."""

    too_many_connections = 'too_many_connections'
    memory_full = 'memory_full'
    unread_answer = 'unread_answer'
    header_timeout = 'header_timeout'
    idle = 'idle'
    head_too_large = 'head_too_large'
    body_too_large = 'body_too_large'
    malformed = 'malformed'


class Phase(enum.Enum):
    """What a connection waits for."""

    #: Its first complete request.
    new = 'new'
    #: The rest of a body.
    upload = 'upload'
    #: The answer to a complete request.
    running = 'running'
    #: The next request after an answer.
    idle = 'idle'


@attrs.define(eq=False)
class GuardedConnection:
    """State of one connection."""

    #: Closes the connection or refuses its request.
    discard: Callable[[CloseReason], None]
    phase: Phase = Phase.new
    #: When the phase began, in the guard's time.
    since_seconds: float = 0
    held_bytes: int = 0
    #: Bytes of an answer that may not be sent yet.
    unsent_bytes: int = 0
    unsent_since_seconds: float = 0
    #: When an incomplete head began.
    head_since_seconds: float = 0
    is_open: bool = True


@attrs.define(eq=False)
class ConnectionGuard:  # noqa: WPS214 - an event of a connection each
    """Bound the connections of one port, and the bytes of all together."""

    port_name: str
    limits: PortLimits
    #: Returns the limits of the configuration in force.
    request_limits: Callable[[], RequestLimits]
    held_bytes: int = 0
    unsent_bytes: int = 0
    now_seconds: float = 0
    _checked_at_seconds: float | None = None
    _open: set[GuardedConnection] = attrs.field(factory=set)
    #: Connections by phase, without the running ones; the longest in its phase
    #: is the first.
    _waiting: dict[Phase, dict[GuardedConnection, None]] = attrs.field(
        factory=lambda: {phase: {} for phase in Phase}
    )
    #: Connections with an incomplete head, and with an answer that is not sent;
    #: the oldest is the first.
    _heads: dict[GuardedConnection, None] = attrs.field(factory=dict)
    _answers: dict[GuardedConnection, None] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def open(
        self, discard: Callable[[CloseReason], None]
    ) -> GuardedConnection | None:
        """Add a connection, and make room for it; return None without room."""
        if len(self._open) >= self.limits.max_connections:
            longest_waiting = self._find_longest_waiting()
            if longest_waiting is None:
                self.count(Phase.new, CloseReason.too_many_connections)
                return None
            self._discard(longest_waiting, CloseReason.too_many_connections)
        connection = GuardedConnection(discard)
        self._open.add(connection)
        self._enter(connection, Phase.new)
        return connection

    def close(self, connection: GuardedConnection) -> None:
        """Forget a connection that is closed."""
        connection.is_open = False
        self._open.discard(connection)
        self._waiting[connection.phase].pop(connection, None)
        self._heads.pop(connection, None)
        self.release(connection, connection.held_bytes)
        self.release_answer(connection)

    def hold(self, connection: GuardedConnection, byte_count: int) -> bool:
        """Count bytes before they are kept; return False if they may not be.

        Beyond the bound, the connection that holds most is closed, and one with
        a complete request only if there is no other.
        """
        connection.held_bytes += byte_count
        self.held_bytes += byte_count
        while self.held_bytes > self.limits.max_held_bytes and self._open:
            self._discard(
                max(self._open, key=_holding_order), CloseReason.memory_full
            )
        return connection.is_open

    def release(self, connection: GuardedConnection, byte_count: int) -> None:
        """Count bytes that a handler has taken or that are dropped."""
        released = min(byte_count, connection.held_bytes)
        connection.held_bytes -= released
        self.held_bytes -= released

    def begin_head(self, connection: GuardedConnection) -> None:
        """Start the time for a head that is incomplete."""
        if connection not in self._heads:
            connection.head_since_seconds = self.now_seconds
            self._heads[connection] = None

    def end_head(
        self, connection: GuardedConnection, *, has_whole_body: bool
    ) -> None:
        """Record that a request has begun, with or without its whole body."""
        self._heads.pop(connection, None)
        if connection.phase is not Phase.running:
            self._enter(
                connection, Phase.running if has_whole_body else Phase.upload
            )

    def end_body(self, connection: GuardedConnection) -> None:
        """Record that a body is complete."""
        if connection.phase is Phase.upload:
            self._enter(connection, Phase.running)

    def end_request(
        self, connection: GuardedConnection, byte_count: int
    ) -> None:
        """Record the answer to the last request of a connection."""
        self.release(connection, byte_count)
        if connection.is_open:
            self._enter(connection, Phase.idle)

    def hold_answer(
        self, connection: GuardedConnection, byte_count: int
    ) -> None:
        """Count an answer that is being sent.

        Beyond the bound, the connection is closed whose answer has waited
        longest for its caller.
        """
        connection.unsent_bytes += byte_count
        connection.unsent_since_seconds = self.now_seconds
        self.unsent_bytes += byte_count
        self._answers.pop(connection, None)
        self._answers[connection] = None
        while (
            self.unsent_bytes > self.limits.max_unsent_bytes
            and len(self._answers) > 1
        ):
            self._discard(next(iter(self._answers)), CloseReason.unread_answer)

    def release_answer(self, connection: GuardedConnection) -> None:
        """Count an answer as sent, or as dropped with its connection."""
        self._answers.pop(connection, None)
        self.unsent_bytes -= connection.unsent_bytes
        connection.unsent_bytes = 0

    def check(self, now_seconds: float) -> None:
        """Close overdue connections."""
        if self._checked_at_seconds is not None:
            step_seconds = now_seconds - self._checked_at_seconds
            self.now_seconds += min(step_seconds, _MAX_STEP_SECONDS)
        self._checked_at_seconds = now_seconds
        limits = self.request_limits()
        # Times are those of the check before, which may be an interval early.
        latest_seconds = self.now_seconds - CHECK_INTERVAL_SECONDS
        self._refuse_late_heads(latest_seconds - limits.header_timeout_seconds)
        idle_since_seconds = latest_seconds - limits.idle_timeout_seconds
        for phase in (Phase.new, Phase.idle):
            self._close_idle(phase, idle_since_seconds)
        self._close_unread(idle_since_seconds)

    def count(self, phase: Phase, reason: CloseReason) -> None:
        """Count a connection that is closed or whose request is refused."""
        counters.add(
            'closed_connections',
            f'{self.port_name}_{phase.value}_{reason.value}',
        )

    def _refuse_late_heads(self, since_seconds: float) -> None:
        for late in tuple(self._heads):
            if late.head_since_seconds >= since_seconds:
                return
            self._heads.pop(late)
            late.discard(CloseReason.header_timeout)

    def _close_idle(self, phase: Phase, since_seconds: float) -> None:
        for idle in tuple(self._waiting[phase]):
            if idle.since_seconds >= since_seconds:
                return
            if idle not in self._heads:
                self._discard(idle, CloseReason.idle)

    def _close_unread(self, since_seconds: float) -> None:
        for unread in tuple(self._answers):
            if unread.unsent_since_seconds >= since_seconds:
                return
            self._discard(unread, CloseReason.unread_answer)

    def _find_longest_waiting(self) -> GuardedConnection | None:
        """Return the connection that makes room for a new one, if any."""
        started_before_seconds = (
            self.now_seconds - self.request_limits().header_timeout_seconds
        )
        new, upload, idle = (
            next(iter(self._waiting[phase]), None)
            for phase in (Phase.new, Phase.upload, Phase.idle)
        )
        if upload is not None and upload.since_seconds < started_before_seconds:
            return new or upload
        return new or idle or upload

    def _enter(self, connection: GuardedConnection, phase: Phase) -> None:
        self._waiting[connection.phase].pop(connection, None)
        connection.phase = phase
        connection.since_seconds = self.now_seconds
        if phase is not Phase.running:
            self._waiting[phase][connection] = None

    def _discard(
        self, connection: GuardedConnection, reason: CloseReason
    ) -> None:
        self.count(connection.phase, reason)
        self.close(connection)
        connection.discard(reason)


def _holding_order(connection: GuardedConnection) -> tuple[bool, int]:
    return connection.phase is not Phase.running, connection.held_bytes
