"""Define the type of tenants."""

import attrs


@attrs.frozen(kw_only=True)
class Tenant:
    """Customer whose callers share API keys, a priority and a quota."""

    name: str
    #: 0 is the highest; None to use the priority of the route.
    priority: int | None = None
    #: Requests per second over all fronts together; 0 means no limit.
    rate_per_second: float = 0
    #: Requests in addition to the rate.
    burst: float = 0

    @property
    def has_quota(self) -> bool:
        """Return whether the tenant's requests are limited."""
        return self.rate_per_second > 0
