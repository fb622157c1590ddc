"""Open connections to shards before the searches that need them."""

import asyncio
import math
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
#: Connections to a shard are kept for this long after the last search, and
#: after the shard became known. A front may get a search of a route every few
#: seconds only, which is as long as replicas keep idle connections.
_KEPT_SECONDS = 30
#: A replica that closes its connections at once gets no more than this.
_MIN_REOPEN_SECONDS = 2


@attrs.define(eq=False)
class Preconnector:
    """Keep a connection to one replica of each searched shard.

    Without it, the first search of each daemon after a repartitioning, and
    those of daemons with few searches, would wait for connections to all
    shards.
    """

    _fleet: Fleet
    #: Returns the shards of all searches in the current configuration.
    _searched_shards: Callable[[], Iterable[str]]
    _clock: Callable[[], float]
    #: Times at which this task opened a connection to a replica. A process that
    #: takes the id of an earlier one is another replica.
    _opened_at_seconds: weakref.WeakKeyDictionary[Replica, float] = attrs.field(
        factory=weakref.WeakKeyDictionary
    )
    #: Times at which the shards became known.
    _known_at_seconds: dict[str, float] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Open connections to new shards until cancelled."""
        while True:
            self.open_missing(self._clock())
            await asyncio.sleep(_INTERVAL_SECONDS)

    def open_missing(self, now_seconds: float) -> None:
        """Open missing connections, up to the limit of one interval."""
        shards = tuple(self._searched_shards())
        self._known_at_seconds = {
            shard: self._known_at_seconds.get(shard, now_seconds)
            for shard in shards
        }
        preferred = (
            preferred_replica(self._fleet, shard, now_seconds)
            for shard in shards
            if self._is_in_use(shard, now_seconds)
        )
        replicas = [replica for replica in preferred if replica is not None]
        unconnected = [
            replica
            for replica in replicas
            if self._needs_connection(replica, now_seconds)
        ]
        for replica in unconnected[:_MAX_CONNECTIONS_PER_INTERVAL]:
            self._opened_at_seconds[replica] = now_seconds
            replica.connections.open()

    def _needs_connection(self, replica: Replica, now_seconds: float) -> bool:
        """Return whether this task should open a connection to the replica."""
        opened_at_seconds = self._opened_at_seconds.get(replica, -math.inf)
        if now_seconds - opened_at_seconds < _MIN_REOPEN_SECONDS:
            return False
        if replica.is_suspect(now_seconds):
            return False
        is_used = replica.in_flight or replica.connections.has_idle(now_seconds)
        return not is_used

    def _is_in_use(self, shard: str, now_seconds: float) -> bool:
        """Return whether a search of a shard is likely to come soon."""
        last_at_seconds = max(
            self._known_at_seconds[shard],
            self._fleet.requested_at_seconds.get(shard, -math.inf),
        )
        return now_seconds - last_at_seconds < _KEPT_SECONDS
