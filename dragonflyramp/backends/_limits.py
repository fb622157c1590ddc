"""Divide the requests to a cold replica among the daemons.

Each daemon computes its own share from the number of daemons, without a
coordinator. If a cold replica serves fewer requests per second than there are
daemons, an order of the daemons that differs from replica to replica decides
which daemons may send one.
"""

from typing import Protocol


class Peers(Protocol):
    """Daemons that share the limits with this one."""

    def daemon_count(self) -> int:
        """Return the number of daemons that may send, including this one."""

    def rank(self, key: str) -> int:
        """Return how many daemons precede this one in the order for a key."""


def cold_request_limit(
    total_per_second: float, daemon_count: int, rank: int
) -> int:
    """Return this daemon's share of a cold replica's requests per second.

    `rank` is the position of this daemon in an order of the daemons that
    differs from replica to replica.
    """
    share = int(total_per_second / max(1, daemon_count))
    if share:
        return share
    return int(rank < int(total_per_second))
