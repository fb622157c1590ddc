"""Define the interface of quotas."""

import math
from typing import Protocol

import attrs

from dragonflyramp.tenants import Tenant


class QuotaPolicy(Protocol):
    """Policy for whether another request of a tenant may run."""

    async def try_acquire(
        self,
        tenant: Tenant,
        now_seconds: float,
        max_wait_seconds: float = math.inf,
    ) -> float | None:
        """Take one request from the quota of a tenant.

        Return None if it may run, else the seconds until there is quota. The
        request waits for the decision as long as it may, at most.
        """

    async def run(self) -> None:
        """Run the background tasks of the policy, if it has any."""


@attrs.frozen
class UnlimitedQuotas(QuotaPolicy):
    """Let all requests run."""

    async def try_acquire(
        self,
        tenant: Tenant,
        now_seconds: float,
        max_wait_seconds: float = math.inf,
    ) -> None:
        """Return None: the request may run."""

    async def run(self) -> None:
        """Return at once: there is nothing to do."""
