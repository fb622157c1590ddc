"""Ask quota servers for the units of tenants, one ask a tenant at a time."""

import asyncio

import attrs

from dragonflyramp.quotas._accounts import TenantAccount
from dragonflyramp.quotas._limits import limit_of
from dragonflyramp.quotas._messages import GrantRequest
from dragonflyramp.quotas._nodes import QuotaNode
from dragonflyramp.runtime import TaskSet
from dragonflyramp.tenants import Tenant

#: Time after which a quota server that did not answer is asked again.
FAILURE_RETRY_SECONDS = 0.25


@attrs.define(eq=False)
class TenantAsks:
    """Asks that are under way."""

    node: QuotaNode
    _pending: dict[str, asyncio.Task[object]] = attrs.field(factory=dict)
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def start(
        self, tenant: Tenant, account: TenantAccount
    ) -> asyncio.Task[object]:
        """Return the ask of a tenant that is under way, or a new one."""
        pending = self._pending.get(tenant.name)
        if pending is None or pending.done():
            pending = self._tasks.start(self._ask(tenant, account), 'quota_ask')
            self._pending[tenant.name] = pending
        return pending

    def settle(self, account: TenantAccount) -> None:
        """Return unused units, unless the next ask does it."""
        tenant_name = account.pool.tenant_name
        pending = self._pending.get(tenant_name)
        if pending is None or pending.done():
            self._pending[tenant_name] = self._tasks.start(
                self._settle(account), 'quota_settlement'
            )

    async def cancel(self) -> None:
        """Cancel all asks."""
        await self._tasks.cancel()

    async def _ask(self, tenant: Tenant, account: TenantAccount) -> None:
        asked_at_seconds = self.node.clock()
        hub_name = self.node.leases.find_server(tenant.name, asked_at_seconds)
        reply = await self.node.send(
            hub_name,
            GrantRequest(
                offer=self.node.build_offer(hub_name),
                asks=(account.build_ask(limit_of(tenant), asked_at_seconds),),
                settlements=account.pool.pop_settlements(),
            ),
        )
        now_seconds = self.node.clock()
        if reply is None:
            account.refusal.record(FAILURE_RETRY_SECONDS, now_seconds)
            return
        owned = self.node.leases.owned
        for grant in reply.grants:
            if grant.tenant_name == tenant.name:
                account.apply_grant(
                    grant,
                    asked_at_seconds,
                    now_seconds,
                    owned.seconds_until_free(now_seconds),
                )

    async def _settle(self, account: TenantAccount) -> None:
        hub_name = self.node.leases.find_server(
            account.pool.tenant_name, self.node.clock()
        )
        await self.node.send(
            hub_name, GrantRequest(settlements=account.pool.pop_settlements())
        )
