"""Look up the replicas that a daemon prefers."""

from dragonflyramp.backends._fleets import (
    Fleet,
    is_usable,
    permitted_replicas,
)
from dragonflyramp.backends._replicas import Replica


def preferred_replica(
    fleet: Fleet, service: str, now_seconds: float
) -> Replica | None:
    """Return the usable replica that comes first in this daemon's order."""
    for replica in permitted_replicas(fleet, service, now_seconds):
        if is_usable(fleet, replica, now_seconds):
            return replica
    return None


def first_replicas(
    fleet: Fleet, service: str, now_seconds: float
) -> tuple[Replica | None, Replica | None]:
    """Return the first replica in this daemon's order, and the second one.

    The first one is None if it takes no requests now.
    """
    replicas = permitted_replicas(fleet, service, now_seconds)
    if not replicas or not is_usable(fleet, replicas[0], now_seconds):
        return None, None
    second = replicas[1] if len(replicas) > 1 else None
    return replicas[0], second
