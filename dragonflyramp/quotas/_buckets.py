"""Count the units of one tenant at a quota server."""

import math

import attrs

from dragonflyramp.quotas._limits import QuotaLimit

#: How long a settlement of a grant is accepted after its units have expired.
SETTLEMENT_GRACE_SECONDS = 2.0
#: Rounding errors of many additions must not keep a whole unit away.
_ROUNDING_ERROR = 1e-9
#: Longest time that a refused front is told; callers come back after it.
MAX_RETRY_AFTER_SECONDS = 5.0
#: Time after which a front asks again that was refused by a hub without shares:
#: leases are renewed more often than that.
NO_SHARE_RETRY_AFTER_SECONDS = 0.5
#: Share of the capacity that stays for requests that wait.
_DEMAND_SHARE = 0.5


@attrs.frozen
class _HeldUnits:
    units: int
    drops_at_seconds: float


@attrs.define(eq=False)
class QuotaBucket:
    """Token bucket of a tenant, and units that fronts hold ahead of demand.

    The level and the held units together never exceed the capacity.
    """

    limit: QuotaLimit
    filled_at_seconds: float = -math.inf
    #: Most units, held ones included; as of the last refill.
    capacity: float = 0
    level: float = 0
    _held: dict[int, _HeldUnits] = attrs.field(factory=dict)
    #: Time of the last unit that was announced to a front.
    _announced_at_seconds: float = -math.inf

    @property
    def held_units(self) -> int:
        """Return the units that fronts hold and may still use."""
        return sum(held.units for held in self._held.values())

    def refill(
        self, gained_units: float, capacity: float, now_seconds: float
    ) -> None:
        """Add units, and drop those above the capacity."""
        expired = [
            grant_id
            for grant_id, held in self._held.items()
            if held.drops_at_seconds <= now_seconds
        ]
        for grant_id in expired:
            self._held.pop(grant_id)
        self.level = max(
            0, min(self.level + gained_units, capacity - self.held_units)
        )
        self.capacity = capacity
        self.filled_at_seconds = now_seconds

    def take(self, wanted: int) -> int:
        """Take units for requests that wait, as many as there are."""
        units = min(wanted, int(self.level + _ROUNDING_ERROR))
        self.level = max(0, self.level - units)
        return units

    def hold(self, grant_id: int, wanted: int, ends_at_seconds: float) -> int:
        """Grant units ahead of demand, while enough stay for the others."""
        kept_level = self.capacity * _DEMAND_SHARE
        units = max(0, min(wanted, int(self.level - kept_level)))
        if units:
            self.level -= units
            self._held[grant_id] = _HeldUnits(
                units, ends_at_seconds + SETTLEMENT_GRACE_SECONDS
            )
        return units

    def settle(self, grant_id: int, unused: int) -> None:
        """End a grant of units ahead, once, and take back unused units."""
        held = self._held.pop(grant_id, None)
        if held is not None:
            self.level += max(0, min(unused, held.units))

    def announce(self, share: float, now_seconds: float) -> float:
        """Return the seconds until the next unit that no front was told of.

        The bucket is filled with a share of the tenant's rate.
        """
        latest_at_seconds = now_seconds + MAX_RETRY_AFTER_SECONDS
        rate_per_second = share * self.limit.rate_per_second
        if rate_per_second <= 0:
            return NO_SHARE_RETRY_AFTER_SECONDS
        missing_units = max(0, 1 - self.level)
        announced_at_seconds = max(
            now_seconds + missing_units / rate_per_second,
            self._announced_at_seconds + 1 / rate_per_second,
        )
        self._announced_at_seconds = min(
            announced_at_seconds, latest_at_seconds
        )
        return self._announced_at_seconds - now_seconds
