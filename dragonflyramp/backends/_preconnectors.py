"""Open connections to shards before their first search."""

import asyncio
import weakref
from collections.abc import Callable, Iterable

import attrs

from dragonflyramp.backends._fleets import Fleet
from dragonflyramp.backends._replica_lookups import preferred_replica
from dragonflyramp.backends._replicas import Replica

#: Limits the load on replicas: a new connection occupies a slot for some
#: milliseconds, and all daemons learn of new shards at the same time.
_MAX_CONNECTIONS_PER_INTERVAL = 12
_INTERVAL_SECONDS = 0.2


@attrs.define(eq=False)
class Preconnector:
    """Open a connection to one replica of each searched shard.

    Without it, the first search of each daemon after a repartitioning would
    wait for a connection to every new shard.
    """

    _fleet: Fleet
    #: Returns the shards of all searches in the current configuration.
    _searched_shards: Callable[[], Iterable[str]]
    _clock: Callable[[], float]
    #: Replicas to which this task opened a connection. A process that takes the
    #: id of an earlier one is another replica.
    _connected: weakref.WeakSet[Replica] = attrs.field(factory=weakref.WeakSet)

    async def run(self) -> None:
        """Open connections to new shards until cancelled."""
        while True:
            self.open_missing(self._clock())
            await asyncio.sleep(_INTERVAL_SECONDS)

    def open_missing(self, now_seconds: float) -> None:
        """Open missing connections, up to the limit of one interval."""
        preferred = (
            preferred_replica(self._fleet, shard, now_seconds)
            for shard in self._searched_shards()
        )
        replicas = [replica for replica in preferred if replica is not None]
        unconnected = [
            replica
            for replica in replicas
            if self._needs_connection(replica, now_seconds)
        ]
        for replica in unconnected[:_MAX_CONNECTIONS_PER_INTERVAL]:
            self._connected.add(replica)
            replica.connections.open()

    def _needs_connection(self, replica: Replica, now_seconds: float) -> bool:
        """Return whether this task should open a connection to the replica."""
        if replica in self._connected:
            return False
        is_used = replica.in_flight or replica.connections.has_idle(now_seconds)
        return not is_used
