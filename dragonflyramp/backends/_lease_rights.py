"""Decide what a relay's lease of a slice allows."""

import attrs

from dragonflyramp.models import Lease, LeaseState

_SHORTEST_SEND_SECONDS = 0.001


@attrs.frozen(kw_only=True)
class Ownership:
    """State since when a relay may count a shard as its own.

    `gained_number` is the configuration that moved the shard to its slice,
    `settled_number` the one that every lease now reflects.
    """

    gained_number: int
    settled_number: int


@attrs.frozen(kw_only=True)
class LeaseRights:
    """State what a relay may do with the shards of a slice now.

    Requests to replicas not proven warm end before `until_seconds`.
    """

    state: LeaseState
    cold_allowed: bool
    until_seconds: float

    def slots(self, slots: int, *, warm: bool) -> int:
        """Give how many of a replica's slots may be used.

        >>> lease_rights = LeaseRights(
        ...     state=LeaseState.lapsed, cold_allowed=False, until_seconds=0
        ... )
        >>> lease_rights.slots(5, warm=True), lease_rights.slots(5, warm=False)
        (2, 0)
        """
        if self.state is LeaseState.foreign:
            return 0
        if not warm and not self.cold_allowed:
            return 0
        if self.state is LeaseState.held:
            return slots
        return max(1, slots // 2) if self.state is LeaseState.lapsed else 1


def lease_rights(
    lease: Lease,
    ownership: Ownership,
    *,
    margin_seconds: float,
    now_seconds: float,
) -> LeaseRights:
    """Decide on the lease of a slice and a shard's place in it.

    A shard gained through a later configuration than the settled one may
    still get requests from the relay that held it before.
    """
    until_seconds = lease.until_seconds - margin_seconds
    state = lease.state
    if state is LeaseState.held and now_seconds >= lease.until_seconds:
        state = LeaseState.lapsed
    settled = ownership.settled_number >= ownership.gained_number
    long_enough = now_seconds + _SHORTEST_SEND_SECONDS <= until_seconds
    return LeaseRights(
        state=state,
        cold_allowed=state is LeaseState.held and settled and long_enough,
        until_seconds=until_seconds,
    )
