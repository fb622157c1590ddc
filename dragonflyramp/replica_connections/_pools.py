"""Keep this daemon's connections to one replica."""

from collections.abc import Callable

import attrs

from dragonflyramp.messages import Reply
from dragonflyramp.replica_connections._connections_http import (
    Connection,
    ConnectionFactory,
    ConnectionHooks,
)
from dragonflyramp.replica_connections._exchanges import (
    ConnectionEnd,
    Exchange,
)
from dragonflyramp.replica_connections._idle_connections import IdleConnections
from dragonflyramp.replica_connections._limits import ConnectionLimits
from dragonflyramp.runtime import TaskSet


@attrs.define(eq=False)
class ConnectionPool:
    """This daemon's connections to one replica."""

    address: str
    _create_connection: ConnectionFactory
    _tasks: TaskSet
    #: Called when a connection may have become available.
    _on_capacity: Callable[[], None]
    #: Called with each reply of the replica and the monotonic time.
    _on_reply: Callable[[Reply, float], None]
    #: This daemon's current share of the replica's connections.
    limits: ConnectionLimits = ConnectionLimits(max_open=1, max_persistent=1)
    #: A retired pool keeps no idle connections.
    is_retired: bool = False
    _idle: IdleConnections = attrs.field(factory=IdleConnections)
    _open: set[Connection] = attrs.field(factory=set)

    def has_idle(self, now_seconds: float) -> bool:
        """Return whether an idle connection is usable; close expired ones."""
        return self._idle.has_usable(now_seconds)

    def has_capacity(self, now_seconds: float) -> bool:
        """Return whether a request may use or open a connection."""
        return (
            self.has_idle(now_seconds) or len(self._open) < self.limits.max_open
        )

    def start(self, exchange: Exchange, now_seconds: float) -> Connection:
        """Start an exchange on an idle connection or a new one."""
        connection = self._idle.take(exchange.request.request_id, now_seconds)
        if connection is None:
            if len(self._open) >= self.limits.max_open:
                # Idle connections that have carried the request make room.
                self._open -= {self._idle.close_oldest()}
            connection = self.open()
        connection.start(exchange)
        return connection

    def open(self) -> Connection:
        """Open a connection, which becomes idle unless it gets an exchange."""
        hooks = ConnectionHooks(
            on_idle=self._release, on_end=self._remove, on_reply=self._on_reply
        )
        connection = self._create_connection(self.address, hooks)
        self._open.add(connection)
        task = self._tasks.start(connection.run(), 'connection')
        # Nothing of it runs if it is cancelled before its first step.
        task.add_done_callback(lambda _: connection.close())
        return connection

    def retire(self) -> None:
        """Close idle connections, and busy ones after their exchange."""
        self.is_retired = True
        self._idle.close_all()

    def _release(self, connection: Connection) -> None:
        if self.is_retired or len(self._open) > max(
            1, self.limits.max_persistent
        ):
            # Other daemons may need the connections beyond this daemon's share.
            # The only connection to the replica is kept even if the share is 0.
            self._open.discard(connection)
            connection.close(
                ConnectionEnd.retired
                if self.is_retired
                else ConnectionEnd.over_share
            )
            return
        self._idle.add(connection)
        self._on_capacity()

    def _remove(self, connection: Connection) -> None:
        self._open.discard(connection)
        self._idle.discard(connection)
        self._on_capacity()
