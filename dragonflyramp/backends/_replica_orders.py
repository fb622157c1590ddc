"""Order the replicas of a service differently on each daemon."""

from collections.abc import Mapping
from types import MappingProxyType

import attrs

from dragonflyramp.backends._replicas import Replica
from dragonflyramp.rendezvous import rendezvous_hash


@attrs.define(eq=False, kw_only=True)
class ReplicaOrder:
    """Order in which this daemon prefers the replicas of each service.

    It differs between daemons, so that their connections spread over the
    replicas. Replicas in the daemon's own failure domain come first.
    """

    daemon_name: str = ''
    failure_domain: str = ''
    _ranks: dict[str, Mapping[str, int]] = attrs.field(factory=dict)

    def ranks(
        self, service: str, replicas: Mapping[str, Replica]
    ) -> Mapping[str, int]:
        """Return the rank of each replica by id, from 0."""
        ranks = self._ranks.get(service)
        if ranks is None:
            ordered = sorted(replicas.values(), key=self._sort_key)
            ranks = MappingProxyType(
                {
                    replica.entry.replica_id: rank
                    for rank, replica in enumerate(ordered)
                }
            )
            self._ranks[service] = ranks
        return ranks

    def invalidate(self, service: str) -> None:
        """Discard the order of a service whose replicas changed."""
        self._ranks.pop(service, None)

    def _sort_key(self, replica: Replica) -> tuple[bool, bytes]:
        entry = replica.entry
        is_remote = entry.failure_domain != self.failure_domain
        return is_remote, rendezvous_hash(self.daemon_name, entry.replica_id)
