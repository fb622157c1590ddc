"""Hold the connections of the replicas of one shard."""

from collections.abc import Callable

import attrs

from dragonflyramp.backends._connections import Connection
from dragonflyramp.backends._replicas import ReplicaState


@attrs.define(eq=False)
class ConnectionPool:
    """Hold the connections of one replica; the latest used is taken first."""

    replica: ReplicaState
    connections: list[Connection] = attrs.field(factory=list)
    idle: list[Connection] = attrs.field(factory=list)

    def resize(self, slots: int, connect: Callable[[], Connection]) -> None:
        """Add connections up to the slots, or retire those above them."""
        while len(self.connections) < slots:
            connection = connect()
            self.connections.append(connection)
            self.idle.append(connection)
        while len(self.connections) > slots:
            connection = self.connections.pop()
            if connection in self.idle:
                self.idle.remove(connection)
            connection.retire()

    def give_back(self, connection: Connection) -> None:
        """Make a connection idle again unless it was retired."""
        if connection in self.connections:
            self.idle.append(connection)
