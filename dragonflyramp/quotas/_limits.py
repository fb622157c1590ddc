"""Define the limit of a tenant, and the capacity of its bucket."""

import attrs

from dragonflyramp.machine_settings import QuotaBounds
from dragonflyramp.tenants import Tenant

#: How long a hub uses a share after the time in the stamp that the offer names.
#: Longer than the wait of a poll, which renews the lease, by a margin for a
#: busy front.
LEASE_SECONDS = 3.2
#: Validity of units that are granted ahead of demand.
AHEAD_VALIDITY_SECONDS = 1.0
#: How long a front counts a share as away after the receipt of the stamp.
AWAY_SECONDS = LEASE_SECONDS + AHEAD_VALIDITY_SECONDS
#: Validity of units that are granted on demand.
DEMAND_VALIDITY_SECONDS = 0.25
#: A request that is not sent this long after its unit was taken is refused.
MAX_SEND_DELAY_SECONDS = 0.25
#: Usual limit on the wait for a replica with capacity, after that check.
_CAPACITY_WAIT_SECONDS = 0.1
_MAX_LATENESS_SECONDS = (
    DEMAND_VALIDITY_SECONDS + MAX_SEND_DELAY_SECONDS + _CAPACITY_WAIT_SECONDS
)
#: Share of the margin that buckets use to absorb uneven arrivals. The rest
#: covers fronts that disagree about the number of daemons.
_CAPACITY_SHARE_OF_MARGIN = 0.75
#: Share of the slack, in whole units, for hubs that are cut off.
_ISOLATED_SHARE_OF_SLACK = 0.25


@attrs.frozen
class QuotaLimit:
    """Limit on the requests of a tenant over all fronts together."""

    rate_per_second: float
    burst: float


def limit_of(tenant: Tenant) -> QuotaLimit:
    """Return the limit of a tenant."""
    return QuotaLimit(tenant.rate_per_second, tenant.burst)


def bucket_capacity(limit: QuotaLimit, bounds: QuotaBounds) -> float:
    """Return how many units the buckets of a tenant hold together.

    At most this many requests are sent in a window in addition to the rate.
    """
    window_units = limit.rate_per_second * bounds.window_seconds + limit.burst
    late_units = limit.rate_per_second * _MAX_LATENESS_SECONDS
    margin = max(0, bounds.overshoot * window_units + bounds.slack - late_units)
    return max(1, limit.burst + margin * _CAPACITY_SHARE_OF_MARGIN)


def isolated_unit_count(bounds: QuotaBounds) -> int:
    """Return how many hubs that are cut off may have one unit each."""
    return int(bounds.slack * _ISOLATED_SHARE_OF_SLACK)
