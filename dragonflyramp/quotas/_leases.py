"""Keep the leases of shares that fronts have offered to a quota server."""

import math

import attrs

from dragonflyramp.quotas._choices import is_server
from dragonflyramp.quotas._limits import AHEAD_VALIDITY_SECONDS, LEASE_SECONDS
from dragonflyramp.quotas._messages import HubList, LeaseOffer

#: Without confirmation of the known daemons, a hub needs more than this sum of
#: shares: the others may have removed the fronts of a smaller group.
_MIN_UNCONFIRMED_SHARE = 0.5


@attrs.frozen(kw_only=True)
class _Lease:
    sequence: int
    share: float
    hub_lists: tuple[HubList, ...]
    begins_at_seconds: float
    ends_at_seconds: float

    def seconds_between(
        self, start_seconds: float, end_seconds: float
    ) -> float:
        """Return how long the lease was valid in an interval."""
        return max(
            0,
            min(end_seconds, self.ends_at_seconds)
            - max(start_seconds, self.begins_at_seconds),
        )

    def is_valid(self, now_seconds: float) -> bool:
        """Return whether the lease may be used."""
        return self.begins_at_seconds <= now_seconds < self.ends_at_seconds

    def cut_off(self, now_seconds: float) -> '_Lease':
        """Return the lease without the time after now."""
        return attrs.evolve(
            self, ends_at_seconds=min(self.ends_at_seconds, now_seconds)
        )

    def continues_with(self, offer: LeaseOffer, now_seconds: float) -> bool:
        """Return whether an offer only extends the lease."""
        return (
            self.ends_at_seconds >= now_seconds
            and self.share == offer.share
            and self.hub_lists == offer.hub_lists
        )


@attrs.define(eq=False, kw_only=True)
class LeaseTable:
    """Shares that are leased to a hub."""

    own_name: str
    #: Differs between the processes of a daemon.
    process_id: str
    started_at_seconds: float
    #: Whether the store confirmed the known daemons lately.
    is_confirmed: bool = True
    _leases: dict[str, _Lease] = attrs.field(factory=dict)
    #: Former leases of fronts that have other ones, until all buckets have
    #: what they were filled with.
    _replaced: list[_Lease] = attrs.field(factory=list)

    def accept(self, offer: LeaseOffer, now_seconds: float) -> None:
        """Lease a share; ignore an offer that is late or of another process."""
        ends_at_seconds = offer.stamp.sent_at_seconds + LEASE_SECONDS
        previous = self._leases.get(offer.process_id)
        is_usable = (
            offer.stamp.process_id == self.process_id
            and offer.stamp.sent_at_seconds <= now_seconds < ends_at_seconds
            and 0 < offer.share <= 1
            and (previous is None or previous.sequence < offer.sequence)
        )
        if not is_usable:
            return
        # Units of a former process of this daemon may be valid until then.
        begins_at_seconds = max(
            now_seconds, self.started_at_seconds + AHEAD_VALIDITY_SECONDS
        )
        if previous is not None:
            if previous.continues_with(offer, now_seconds):
                begins_at_seconds = previous.begins_at_seconds
            else:
                self._replaced.append(previous.cut_off(now_seconds))
        self._leases[offer.process_id] = _Lease(
            sequence=offer.sequence,
            share=offer.share,
            hub_lists=offer.hub_lists,
            begins_at_seconds=begins_at_seconds,
            ends_at_seconds=ends_at_seconds,
        )

    def applied_sequence(self, process_id: str) -> int:
        """Return the number of the last offer that counts; 0 for none."""
        lease = self._leases.get(process_id)
        return 0 if lease is None else lease.sequence

    def has_ended(self, now_seconds: float) -> bool:
        """Return whether there are leases for `remove_ended`."""
        return bool(self._replaced) or any(
            lease.ends_at_seconds <= now_seconds
            for lease in self._leases.values()
        )

    def remove_ended(self, now_seconds: float) -> None:
        """Drop ended leases, once all buckets have been refilled."""
        self._replaced.clear()
        self._leases = {
            process_id: lease
            for process_id, lease in self._leases.items()
            if lease.ends_at_seconds > now_seconds
        }

    def total_share(self, now_seconds: float) -> float:
        """Return the sum of all leased shares."""
        return math.fsum(
            lease.share
            for lease in self._leases.values()
            if lease.is_valid(now_seconds)
        )

    def share_of(self, tenant_name: str, now_seconds: float) -> float:
        """Return the usable share of a tenant's rate and burst."""
        share = math.fsum(
            lease.share
            for lease in self._leases.values()
            if lease.is_valid(now_seconds)
            and is_server(self.own_name, tenant_name, lease.hub_lists)
        )
        if not self.is_confirmed and share <= _MIN_UNCONFIRMED_SHARE:
            return 0
        return min(1, share)

    def share_seconds(
        self, tenant_name: str, start_seconds: float, end_seconds: float
    ) -> float:
        """Return the share of a tenant, integrated over an interval."""
        share_seconds = math.fsum(
            lease.share * lease.seconds_between(start_seconds, end_seconds)
            for lease in (*self._leases.values(), *self._replaced)
            if is_server(self.own_name, tenant_name, lease.hub_lists)
        )
        # Leases of fronts that count different numbers of daemons may add up
        # to more than the whole.
        return min(share_seconds, end_seconds - start_seconds)
