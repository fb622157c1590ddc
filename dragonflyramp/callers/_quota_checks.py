"""Take a request from the quota of its tenant."""

import math
from collections.abc import Callable

import attrs

from dragonflyramp.quotas import MAX_SEND_DELAY_SECONDS, QuotaPolicy
from dragonflyramp.runtime import boot_seconds
from dragonflyramp.tenants import Tenant

_MS_PER_SECOND = 1000
#: Share of the time of a request that it may wait for a quota server; most of
#: it is left to the replicas.
_MAX_WAIT_SHARE = 0.4


@attrs.define(eq=False)
class QuotaCheck:
    """Check of one request against the quota of its tenant.

    The quota limits the requests that are sent in a window, so a request that
    waited or whose process stood still after the check is checked again.
    """

    quotas: QuotaPolicy
    tenant: Tenant | None
    #: When the caller stops waiting for the answer.
    deadline_at_seconds: float = math.inf
    #: Counts suspension of the machine.
    clock: Callable[[], float] = boot_seconds
    _valid_until_seconds: float = -math.inf

    async def acquire(self, now_seconds: float) -> float | None:
        """Return None if the tenant has quota, else the seconds until then.

        Do nothing if the last check is recent.
        """
        tenant = self.tenant
        if tenant is None or not tenant.has_quota:
            return None
        if self.clock() <= self._valid_until_seconds:
            return None
        remaining_seconds = self.deadline_at_seconds - now_seconds
        delay_seconds = await self.quotas.try_acquire(
            tenant, now_seconds, remaining_seconds * _MAX_WAIT_SHARE
        )
        if delay_seconds is None:
            self._valid_until_seconds = self.clock() + MAX_SEND_DELAY_SECONDS
            return None
        # The header for the caller has whole milliseconds.
        return math.ceil(delay_seconds * _MS_PER_SECOND) / _MS_PER_SECOND
