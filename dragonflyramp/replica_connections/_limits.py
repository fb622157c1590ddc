"""Divide the connections of a replica among the daemons.

Each daemon computes its own share from the number of daemons, without a
coordinator. If a replica has too few connections for all daemons, each daemon
keeps connections to the first replicas in its own order.
"""

import attrs

#: Share of a replica's connection cap that all daemons use together. The rest
#: is a margin, because a replica lowers its cap while its queue is long.
_USABLE_CAP_SHARE = 0.9
#: If a daemon's share is no larger than this, it keeps this many connections to
#: some replicas of a service, and none to the others.
_MIN_PERSISTENT_CONNECTIONS = 1
#: Minimum number of replicas of a service to which each daemon keeps a
#: connection. A single one would be lost with its failure domain.
_MIN_CONNECTED_REPLICAS = 2
#: Connections beyond the persistent ones, for concurrent searches. They close
#: after use, so that few daemons have them at the same time; a replica's only
#: connection stays open until its idle timeout.
_BURST_CONNECTIONS = 2


@attrs.frozen
class ConnectionLimits:
    """Connections that a daemon may have to one replica."""

    max_open: int
    #: Connections that stay open while idle. The only connection to the replica
    #: stays open even if this is 0.
    max_persistent: int


def connection_limits(
    max_connections: int, daemon_count: int, replica_count: int, rank: int
) -> ConnectionLimits:
    """Return this daemon's share of a replica's connections.

    `rank` is the position of the replica in this daemon's order of the
    service's replicas, which differs between daemons. This spreads the
    connections when there are more daemons than a replica has connections.
    """
    usable_connections = max_connections * _USABLE_CAP_SHARE
    share = int(usable_connections / max(1, daemon_count))
    if share > _MIN_PERSISTENT_CONNECTIONS:
        return ConnectionLimits(max_open=share, max_persistent=share)
    connected_replica_count = int(
        usable_connections * replica_count / max(1, daemon_count)
    )
    keeps_connection = rank < max(
        _MIN_CONNECTED_REPLICAS, connected_replica_count
    )
    max_persistent = _MIN_PERSISTENT_CONNECTIONS if keeps_connection else 0
    return ConnectionLimits(
        max_open=max_persistent + _BURST_CONNECTIONS,
        max_persistent=max_persistent,
    )
