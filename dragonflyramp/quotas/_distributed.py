"""Answer from the units of this front, or ask the quota server."""

import asyncio
import contextlib
import math

import attrs
from loguru import logger

from dragonflyramp.bounded_maps import use_entry
from dragonflyramp.metrics import counters
from dragonflyramp.quotas._accounts import TenantAccount
from dragonflyramp.quotas._asks import FAILURE_RETRY_SECONDS, TenantAsks
from dragonflyramp.quotas._limits import DEMAND_VALIDITY_SECONDS
from dragonflyramp.quotas._nodes import LeaseRenewals, QuotaNode
from dragonflyramp.quotas._policies import QuotaPolicy
from dragonflyramp.quotas._pools import UnitPool
from dragonflyramp.runtime import run_all
from dragonflyramp.tenants import Tenant

_SETTLEMENT_INTERVAL_SECONDS = 0.25
#: Accounts of tenants, those of earlier configurations included.
_MAX_ACCOUNTS = 16_384


def _create_asks(quotas: 'DistributedQuotas') -> TenantAsks:
    return TenantAsks(quotas.node)


@attrs.define(eq=False)
class DistributedQuotas(QuotaPolicy):
    """Limit the requests of each tenant over all fronts together."""

    node: QuotaNode
    _accounts: dict[str, TenantAccount] = attrs.field(factory=dict)
    _asks: TenantAsks = attrs.field(
        init=False, default=attrs.Factory(_create_asks, takes_self=True)
    )

    async def try_acquire(
        self,
        tenant: Tenant,
        now_seconds: float,
        max_wait_seconds: float = math.inf,
    ) -> float | None:
        """Take one request from the quota of a tenant.

        A request waits for a quota server until units of its answer expire.

        Units expire on the clock of the node, which counts suspension, and not
        on that of the argument.
        """
        boot_seconds = self.node.clock()
        account = use_entry(
            self._accounts,
            tenant.name,
            lambda: TenantAccount(UnitPool(tenant.name)),
            _MAX_ACCOUNTS,
        )
        account.rate.record(boot_seconds)
        if account.pool.try_take(boot_seconds):
            if account.needs_units_ahead(boot_seconds):
                self._asks.start(tenant, account)
            counters.add('quota_decisions', 'ahead')
            return None
        delay_seconds = account.refusal.pop_delay_seconds(boot_seconds)
        if delay_seconds is not None:
            counters.add('quota_decisions', 'refused_again')
            return delay_seconds
        return await self._wait_for_unit(
            tenant, account, min(max_wait_seconds, DEMAND_VALIDITY_SECONDS)
        )

    async def run(self) -> None:
        """Renew leases and return unused units, until cancelled."""
        async with contextlib.AsyncExitStack() as cleanup:
            cleanup.push_async_callback(self._asks.cancel)
            await run_all(
                LeaseRenewals(self.node).run(), self._settle_expired()
            )

    async def _settle_expired(self) -> None:
        while True:
            now_seconds = self.node.clock()
            for account in self._accounts.values():
                account.pool.expire(now_seconds)
                if account.pool.has_settlements:
                    self._asks.settle(account)
            await asyncio.sleep(_SETTLEMENT_INTERVAL_SECONDS)

    async def _wait_for_unit(
        self, tenant: Tenant, account: TenantAccount, max_wait_seconds: float
    ) -> float | None:
        """Ask for a unit; return None with one, else the time until then."""
        reason = 'no_answer'
        delay_seconds: float | None = FAILURE_RETRY_SECONDS
        with account.wait(), contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max_wait_seconds):
                reason, delay_seconds = await self._ask_until_known(
                    tenant, account
                )
        counters.add('quota_decisions', reason)
        if delay_seconds is not None:
            self._log_refusal(tenant, account, delay_seconds)
        return delay_seconds

    async def _ask_until_known(
        self, tenant: Tenant, account: TenantAccount
    ) -> tuple[str, float | None]:
        """Ask until this request has a unit or is refused."""
        while True:
            # The ask is not cancelled with one of the requests that wait.
            await asyncio.wait((self._asks.start(tenant, account),))
            boot_seconds = self.node.clock()
            if account.pool.try_take(boot_seconds):
                return 'on_demand', None
            delay_seconds = account.refusal.pop_delay_seconds(boot_seconds)
            if delay_seconds is not None:
                return 'refused', delay_seconds

    def _log_refusal(
        self, tenant: Tenant, account: TenantAccount, delay_seconds: float
    ) -> None:
        boot_seconds = self.node.clock()
        if not account.refusal.should_log(boot_seconds):
            return
        grant_age_seconds = boot_seconds - account.granted_at_seconds
        leases = self.node.leases
        logger.bind(
            tenant=tenant.name,
            rate=tenant.rate_per_second,
            burst=tenant.burst,
            units=account.pool.count(boot_seconds),
            waiting=account.waiting,
            grant_age=round(grant_age_seconds, 2)
            if math.isfinite(grant_age_seconds)
            else None,
            retry_after=round(delay_seconds, 3),
            quota_server=leases.find_server(tenant.name, boot_seconds),
            owned_share=round(leases.owned.share(boot_seconds), 4),
        ).info('quota refused a request')
