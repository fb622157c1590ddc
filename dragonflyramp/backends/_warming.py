"""Open connections before the first search needs them."""

import asyncio
from collections.abc import Callable, Iterable

import attrs

from dragonflyramp.backends._fleets import Fleet, nearest
from dragonflyramp.backends._replicas import Replica

#: Connections that one daemon opens at a time. Each holds a slot of its
#: replica for some milliseconds, and all daemons hear of new shards together.
_AT_A_TIME = 12
_PERIOD_SECONDS = 0.2


@attrs.define(eq=False)
class Warming:
    """Open one connection to the nearest replica of each searched shard.

    Answers the load of a repartition: the first search of each daemon would
    wait for a connection to every new shard.
    """

    _fleet: Fleet
    #: Names the shards that searches need now.
    _shards: Callable[[], Iterable[str]]
    _clock: Callable[[], float]
    #: Ids of the replicas that were connected to once.
    _warmed: set[str] = attrs.field(factory=set)

    async def run(self) -> None:
        """Look for new shards until cancelled."""
        while True:
            self.step(self._clock())
            await asyncio.sleep(_PERIOD_SECONDS)

    def step(self, now_seconds: float) -> None:
        """Open a few connections."""
        found = (nearest(self._fleet, shard) for shard in self._shards())
        replicas = [one for one in found if one is not None]
        new = [one for one in replicas if self._is_new(one, now_seconds)]
        if new:
            self._warmed &= self._fleet.all_replicas().keys()
        for replica in new[:_AT_A_TIME]:
            self._warmed.add(replica.entry.replica_id)
            replica.connections.open()

    def _is_new(self, replica: Replica, now_seconds: float) -> bool:
        """Tell whether no connection to a replica was needed so far."""
        if replica.entry.replica_id in self._warmed:
            return False
        is_used = replica.running or replica.connections.has_idle(now_seconds)
        return not is_used
