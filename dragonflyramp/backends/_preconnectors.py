"""Open connections to shards before their first search."""

import asyncio
from collections.abc import Callable, Iterable

import attrs

from dragonflyramp.backends._fleets import Fleet, preferred_replica
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
    #: Ids of the replicas to which this task opened a connection.
    _connected_replica_ids: set[str] = attrs.field(factory=set)

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
        if unconnected:
            self._connected_replica_ids &= self._fleet.all_replicas().keys()
        for replica in unconnected[:_MAX_CONNECTIONS_PER_INTERVAL]:
            self._connected_replica_ids.add(replica.entry.replica_id)
            replica.connections.open()

    def _needs_connection(self, replica: Replica, now_seconds: float) -> bool:
        """Return whether this task should open a connection to the replica."""
        if replica.entry.replica_id in self._connected_replica_ids:
            return False
        is_used = replica.in_flight or replica.connections.has_idle(now_seconds)
        return not is_used
