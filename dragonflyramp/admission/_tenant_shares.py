"""Measure how much of a front each tenant has used lately."""

import math
import statistics

import attrs

from dragonflyramp.bounded_maps import use_entry
from dragonflyramp.tenants import Tenant

#: Time constant with which earlier requests are forgotten: a burst is visible
#: within a second, and forgotten soon after it.
_TIME_CONSTANT_SECONDS = 3
#: A tenant has used more than its share if it exceeds the mean of the active
#: ones by this factor. Fronts see few requests, so counts differ by chance.
_EXCESS_FACTOR = 1.5
#: With less, a tenant is not active.
_MIN_USE = 0.1
#: Limit on the tenants whose use is kept, removed ones included.
_MAX_TENANTS = 1024


@attrs.define(eq=False)
class _Use:
    """Decayed number of admitted requests, in proportion to the quota."""

    amount: float = 0
    at_seconds: float = -math.inf

    def current(self, now_seconds: float) -> float:
        age_seconds = max(0, now_seconds - self.at_seconds)
        return self.amount * math.exp(-age_seconds / _TIME_CONSTANT_SECONDS)


@attrs.define(eq=False)
class TenantShares:
    """Recently admitted requests of each tenant."""

    _by_tenant: dict[str, _Use] = attrs.field(factory=dict)

    def record(self, tenant: Tenant | None, now_seconds: float) -> None:
        """Record an admitted request."""
        if tenant is None:
            return
        use = use_entry(self._by_tenant, tenant.name, _Use, _MAX_TENANTS)
        # Tenants with a quota have a share in proportion to it.
        weight = tenant.rate_per_second if tenant.has_quota else 1
        use.amount = use.current(now_seconds) + 1 / weight
        use.at_seconds = now_seconds

    def use_of(self, tenant: Tenant | None, now_seconds: float) -> float:
        """Return the recent use of a tenant."""
        use = None if tenant is None else self._by_tenant.get(tenant.name)
        return 0 if use is None else use.current(now_seconds)

    def is_excessive(self, tenant: Tenant | None, now_seconds: float) -> bool:
        """Return whether a tenant has used more than its share."""
        own_use = self.use_of(tenant, now_seconds)
        if tenant is None or own_use < _MIN_USE:
            return False
        uses = [use.current(now_seconds) for use in self._by_tenant.values()]
        mean_use = statistics.fmean(use for use in uses if use >= _MIN_USE)
        return own_use > mean_use * _EXCESS_FACTOR
