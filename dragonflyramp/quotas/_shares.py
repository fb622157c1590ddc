"""Lease the share of a front to the hubs, each tenant's to one at a time."""

import attrs

from dragonflyramp.quotas._choices import choose_server
from dragonflyramp.quotas._limits import (
    AHEAD_VALIDITY_SECONDS,
    AWAY_SECONDS,
    LEASE_SECONDS,
)
from dragonflyramp.quotas._messages import HubList, LeaseOffer, LeaseStamp

#: A front that has changed its hub list more often in a term offers nothing.
_MAX_HUB_LISTS = 4
#: An offer whose stamp is older is renewed. Polls renew it within their wait
#: of 2 s, unless changes replace them.
_RENEWAL_AGE_SECONDS = 2.2


@attrs.frozen
class KnownDaemons:
    """What a front knows of the daemons."""

    #: Daemons that share the quotas, including this one.
    count: int
    #: Whether the entry of this daemon is in its view of the store.
    is_registered: bool
    #: First hubs of the failure domains.
    hub_names: tuple[str, ...]


@attrs.frozen
class _ReceivedStamp:
    stamp: LeaseStamp
    received_at_seconds: float


@attrs.frozen
class _SentOffer:
    share: float
    hub_lists: tuple[HubList, ...]
    stamp_received_at_seconds: float


@attrs.define(eq=False, kw_only=True)
class OwnedShare:
    """Share of the quotas that one front owns."""

    started_at_seconds: float
    _daemon_count: int = 1
    #: When the entry of this daemon appeared in its view.
    _registered_at_seconds: float | None = None

    def update(self, known: KnownDaemons, now_seconds: float) -> None:
        """Replace what is known of the daemons."""
        self._daemon_count = max(1, known.count)
        if not known.is_registered:
            self._registered_at_seconds = None
        elif self._registered_at_seconds is None:
            self._registered_at_seconds = now_seconds

    def share(self, now_seconds: float) -> float:
        """Return the share; 0 in the first term.

        Before that, a former process of this front may have leased it, and
        other fronts may not count this one.
        """
        if self.seconds_until_free(now_seconds):
            return 0
        return 1 / self._daemon_count

    def seconds_until_free(self, now_seconds: float) -> float:
        """Return how long the share is 0 at least; 0 once it is owned."""
        if self._registered_at_seconds is None:
            return AWAY_SECONDS
        counted_since_seconds = max(
            self.started_at_seconds, self._registered_at_seconds
        )
        return max(0, counted_since_seconds + AWAY_SECONDS - now_seconds)


@attrs.frozen
class _RecordedOffers:
    """Offers to one hub under one hub list."""

    #: The last of them.
    sequence: int
    #: When their leases have ended and the units ahead expired.
    ends_at_seconds: float


@attrs.define(eq=False)
class HubLists:
    """Lists of hubs under which a front has offered its share lately."""

    #: List that is in force.
    current: HubList
    #: Offers that hubs may still use, by hub and hub list.
    _offers: dict[tuple[str, HubList], _RecordedOffers] = attrs.field(
        factory=dict
    )

    def in_use(self, now_seconds: float) -> tuple[HubList, ...]:
        """Return the lists of an offer that is sent now, in order."""
        former = {
            hub_list
            for (_, hub_list), offers in self._offers.items()
            if offers.ends_at_seconds > now_seconds
        }
        return tuple(sorted(former | {self.current}))

    def record_offer(
        self,
        hub_name: str,
        sequence: int,
        stamp_received_at_seconds: float,
        now_seconds: float,
    ) -> None:
        """Remember the current list while a lease under it may be valid."""
        self._offers = {
            key: offers
            for key, offers in self._offers.items()
            if offers.ends_at_seconds > now_seconds
        }
        self._offers[hub_name, self.current] = _RecordedOffers(
            sequence, stamp_received_at_seconds + AWAY_SECONDS
        )

    def record_applied(
        self, hub_name: str, applied_sequence: int, now_seconds: float
    ) -> None:
        """Take note that a hub uses no earlier offers than one.

        Units ahead that it has granted before are valid for a while.
        """
        for key, offers in self._offers.items():
            if key[0] == hub_name and offers.sequence < applied_sequence:
                self._offers[key] = _RecordedOffers(
                    offers.sequence,
                    min(
                        offers.ends_at_seconds,
                        now_seconds + AHEAD_VALIDITY_SECONDS,
                    ),
                )

    def leased(self, now_seconds: float) -> tuple[HubList, ...]:
        """Return lists under which leases may be valid, the oldest first."""
        return tuple(
            hub_list
            for (_, hub_list), offers in self._offers.items()
            if offers.ends_at_seconds - AHEAD_VALIDITY_SECONDS > now_seconds
        )


def _create_hub_lists(leases: 'ShareLeases') -> HubLists:
    return HubLists((leases.own_name,))


@attrs.define(eq=False, kw_only=True)
class ShareLeases:
    """Leases of the share of one front to the hubs."""

    own_name: str
    process_id: str
    owned: OwnedShare
    _hub_names: tuple[str, ...] = ()
    _hub_lists: HubLists = attrs.field(
        init=False,
        default=attrs.Factory(_create_hub_lists, takes_self=True),
    )
    _stamps: dict[str, _ReceivedStamp] = attrs.field(factory=dict)
    _sent_offers: dict[str, _SentOffer] = attrs.field(factory=dict)
    _sequence: int = 0

    def update(self, known: KnownDaemons, now_seconds: float) -> None:
        """Replace what is known of the daemons."""
        self.owned.update(known, now_seconds)
        self._hub_names = known.hub_names
        usable = [
            hub_name
            for hub_name in known.hub_names
            if hub_name == self.own_name
            or self._find_stamp(hub_name, now_seconds)
        ]
        self._hub_lists.current = tuple(sorted(usable)) or (self.own_name,)

    def record_stamp(
        self, hub_name: str, stamp: LeaseStamp, now_seconds: float
    ) -> None:
        """Keep the stamp in a message of a hub, unless it is an old one.

        Later offers must not have earlier stamps: when the lease of one has
        ended, the hub would accept an earlier offer that arrives late.
        """
        last = self._stamps.get(hub_name)
        if (
            last is not None
            and last.stamp.process_id == stamp.process_id
            and last.stamp.sent_at_seconds > stamp.sent_at_seconds
        ):
            return
        self._stamps[hub_name] = _ReceivedStamp(stamp, now_seconds)
        self._hub_lists.record_applied(
            hub_name, stamp.applied_sequence, now_seconds
        )

    def other_hub_names(self) -> tuple[str, ...]:
        """Return the names of the other hubs that could be quota servers."""
        return tuple(
            hub_name
            for hub_name in self._hub_names
            if hub_name != self.own_name
        )

    def build_offer(
        self, hub_name: str, now_seconds: float
    ) -> LeaseOffer | None:
        """Return an offer for a message to a hub that is sent now, if any."""
        share = self.owned.share(now_seconds)
        received = self._find_stamp(hub_name, now_seconds)
        hub_lists = self._hub_lists.in_use(now_seconds)
        if not share or not received or len(hub_lists) > _MAX_HUB_LISTS:
            return None
        self._sequence += 1
        self._hub_lists.record_offer(
            hub_name, self._sequence, received.received_at_seconds, now_seconds
        )
        self._sent_offers[hub_name] = _SentOffer(
            share, hub_lists, received.received_at_seconds
        )
        return LeaseOffer(
            process_id=self.process_id,
            sequence=self._sequence,
            share=share,
            hub_lists=hub_lists,
            stamp=received.stamp,
        )

    def needs_renewal(self, hub_name: str, now_seconds: float) -> bool:
        """Return whether the lease of a hub should be renewed by an ask."""
        share = self.owned.share(now_seconds)
        if not share:
            return False
        sent = self._sent_offers.get(hub_name)
        if sent is None:
            return True
        age_seconds = now_seconds - sent.stamp_received_at_seconds
        return (
            age_seconds > _RENEWAL_AGE_SECONDS
            or sent.share != share
            or sent.hub_lists != self._hub_lists.in_use(now_seconds)
        )

    def find_server(self, tenant_name: str, now_seconds: float) -> str:
        """Return the hub that has units of a tenant.

        While the quota server changes, this is the former one, as long as its
        leases may be valid.
        """
        for hub_list in self._hub_lists.leased(now_seconds):
            server_name = choose_server(tenant_name, hub_list)
            if self._find_stamp(server_name, now_seconds):
                return server_name
        return choose_server(tenant_name, self._hub_lists.current)

    def _find_stamp(
        self, hub_name: str, now_seconds: float
    ) -> _ReceivedStamp | None:
        """Return the stamp of a hub, unless a lease from it has ended."""
        received = self._stamps.get(hub_name)
        if received is None:
            return None
        ends_at_seconds = received.received_at_seconds + LEASE_SECONDS
        return received if now_seconds < ends_at_seconds else None
