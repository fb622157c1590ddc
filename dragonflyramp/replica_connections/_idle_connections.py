"""Keep the idle connections to one replica."""

import attrs

from dragonflyramp.replica_connections._connections_http import Connection
from dragonflyramp.replica_connections._exchanges import ConnectionEnd


@attrs.define(eq=False)
class IdleConnections:
    """Idle connections to one replica, the last used one first."""

    _connections: list[Connection] = attrs.field(factory=list)

    def has_usable(self, now_seconds: float) -> bool:
        """Return whether a connection is usable; close expired ones."""
        while self._connections:
            if self._connections[-1].is_usable(now_seconds):
                return True
            self._connections.pop().close(ConnectionEnd.expired)
        return False

    def take(self, request_id: str, now_seconds: float) -> Connection | None:
        """Take a usable connection that has not carried a request yet."""
        for connection in reversed(self._connections):
            is_usable = connection.is_usable(now_seconds)
            if is_usable and connection.may_carry(request_id):
                self._connections.remove(connection)
                return connection
        return None

    def add(self, connection: Connection) -> None:
        """Add a connection that has just become idle."""
        self._connections.append(connection)

    def discard(self, connection: Connection) -> None:
        """Remove a connection if it is idle."""
        if connection in self._connections:
            self._connections.remove(connection)

    def close_oldest(self) -> Connection | None:
        """Close and return the connection that was used least recently."""
        if not self._connections:
            return None
        connection = self._connections.pop(0)
        connection.close(ConnectionEnd.no_room)
        return connection

    def close_all(self) -> None:
        """Close all connections."""
        for connection in self._connections:
            connection.close(ConnectionEnd.retired)
        self._connections.clear()
