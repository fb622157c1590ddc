"""Grant units of tenants to fronts, from the shares that they lease."""

import itertools
from collections.abc import Callable, Iterator

import attrs

from dragonflyramp.machine_settings import QuotaBounds
from dragonflyramp.quotas._buckets import MAX_RETRY_AFTER_SECONDS, QuotaBucket
from dragonflyramp.quotas._leases import LeaseTable
from dragonflyramp.quotas._limits import (
    AHEAD_VALIDITY_SECONDS,
    QuotaLimit,
    bucket_capacity,
    isolated_unit_count,
)
from dragonflyramp.quotas._messages import (
    GrantReply,
    GrantRequest,
    LeaseOffer,
    LeaseStamp,
    QuotaAsk,
    QuotaGrant,
    Settlement,
)

#: More buckets than tenants that any configuration has.
_MAX_BUCKETS = 16_384


@attrs.define(eq=False, kw_only=True)
class QuotaServer:
    """Token buckets of the tenants, filled with leased shares."""

    leases: LeaseTable
    bounds: QuotaBounds
    #: Returns the limit of a tenant by name; None if it is not known.
    find_limit: Callable[[str], QuotaLimit | None]
    #: Returns the position of this daemon in the order for a key.
    rank: Callable[[str], int]
    #: Identifiers that no other process gives.
    grant_ids: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))
    _buckets: dict[str, QuotaBucket] = attrs.field(factory=dict)

    @property
    def own_name(self) -> str:
        """Return the name of this daemon."""
        return self.leases.own_name

    def stamp(self, offer: LeaseOffer | None, now_seconds: float) -> LeaseStamp:
        """Return the stamp of a reply to a message with an offer."""
        process_id = '' if offer is None else offer.process_id
        return LeaseStamp(
            self.leases.process_id,
            now_seconds,
            self.leases.applied_sequence(process_id),
        )

    def answer_request(
        self, request: GrantRequest, now_seconds: float
    ) -> GrantReply:
        """Apply a message of a front, and grant what there is."""
        if request.offer is not None:
            self.leases.accept(request.offer, now_seconds)
        for settlement in request.settlements:
            self._settle(settlement, now_seconds)
        return GrantReply(
            stamp=self.stamp(request.offer, now_seconds),
            grants=tuple(self._grant(ask, now_seconds) for ask in request.asks),
        )

    def remove_ended_leases(self, now_seconds: float) -> None:
        """Drop ended leases, once their units are in the buckets."""
        if not self.leases.has_ended(now_seconds):
            return
        for tenant_name, bucket in self._buckets.items():
            self._refill(tenant_name, bucket, now_seconds)
        self.leases.remove_ended(now_seconds)

    def _grant(self, ask: QuotaAsk, now_seconds: float) -> QuotaGrant:
        bucket = self._buckets.get(ask.tenant_name)
        if bucket is None:
            if len(self._buckets) >= _MAX_BUCKETS:
                return QuotaGrant(
                    tenant_name=ask.tenant_name,
                    retry_after_seconds=MAX_RETRY_AFTER_SECONDS,
                )
            bucket = QuotaBucket(ask.limit)
            self._buckets[ask.tenant_name] = bucket
        bucket.limit = self.find_limit(ask.tenant_name) or ask.limit
        share = self._refill(ask.tenant_name, bucket, now_seconds)
        units = bucket.take(ask.wanted)
        grant_id = next(self.grant_ids)
        return QuotaGrant(
            tenant_name=ask.tenant_name,
            units=units,
            ahead=bucket.hold(
                grant_id, ask.ahead, now_seconds + AHEAD_VALIDITY_SECONDS
            ),
            grant_id=grant_id,
            retry_after_seconds=None
            if units == ask.wanted
            else bucket.announce(share, now_seconds),
        )

    def _settle(self, settlement: Settlement, now_seconds: float) -> None:
        bucket = self._buckets.get(settlement.tenant_name)
        if bucket is not None:
            # Drops grants whose time for a settlement is over.
            self._refill(settlement.tenant_name, bucket, now_seconds)
            bucket.settle(settlement.grant_id, settlement.unused)

    def _refill(
        self, tenant_name: str, bucket: QuotaBucket, now_seconds: float
    ) -> float:
        """Refill a bucket, and return the share from which it is filled."""
        share = self.leases.share_of(tenant_name, now_seconds)
        capacity = share * bucket_capacity(bucket.limit, self.bounds)
        # A hub that is cut off has less than one unit of small buckets.
        if 0 < capacity < 1:
            is_first = self.rank(tenant_name) < isolated_unit_count(self.bounds)
            capacity = 1 if is_first else capacity
        share_seconds = self.leases.share_seconds(
            tenant_name, bucket.filled_at_seconds, now_seconds
        )
        bucket.refill(
            share_seconds * bucket.limit.rate_per_second, capacity, now_seconds
        )
        return share
