"""Divide what a replica bears among the daemons that may be sending.

Nobody hands these shares out: each daemon works out its own from the number
of daemons, and where that leaves less than one each, from an order that
differs from replica to replica.
"""

from typing import Protocol

import attrs

#: The connections of all daemons stay below the cap by this share, because
#: a replica lowers its cap while its queue is long.
_CONNECTION_SHARE = 0.9
#: With fewer connections a daemon does not use every replica of a service,
#: but some of them, each with this many kept connections at least.
_LEAST_KEPT = 1
#: A failure domain may fail, and its replicas with it.
_LEAST_REPLICAS = 2
#: Connections beyond the kept ones, for searches that run at the same time.
#: They close after use, so that few of all daemons have them at a time.
_BURST = 2


class Peers(Protocol):
    """Tell among how many daemons bounds are shared."""

    def counted(self) -> int:
        """Count the daemons that may be sending, this one included."""

    def place(self, key: str) -> int:
        """Tell how many daemons come before this one for a key."""


@attrs.frozen
class ConnectionShare:
    """Hold how many connections a daemon may have to one replica."""

    most: int
    #: Connections that stay open while idle.
    kept: int


def connection_share(
    max_connections: int, daemons: int, replicas: int, place: int
) -> ConnectionShare:
    """Share a replica's connections.

    `place` is that of the replica in this daemon's order of the service's
    replicas; each daemon has an order of its own. Answers the load of more
    daemons than a replica has connections.
    """
    bearable = max_connections * _CONNECTION_SHARE
    share = int(bearable / max(1, daemons))
    if share > _LEAST_KEPT:
        return ConnectionShare(most=share, kept=share)
    used = int(bearable * replicas / max(1, daemons))
    is_used = place < max(_LEAST_REPLICAS, used)
    kept = _LEAST_KEPT if is_used else 0
    return ConnectionShare(most=kept + _BURST, kept=kept)


def cold_share(per_second: float, daemons: int, place: int) -> int:
    """Share the requests that a cold replica bears in a second.

    `place` is that of this daemon in an order of the daemons that differs
    from replica to replica.
    """
    share = int(per_second / max(1, daemons))
    if share:
        return share
    return int(place < int(per_second))
