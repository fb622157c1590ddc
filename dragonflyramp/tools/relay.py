"""Run dragonflyramp-relay, which reaches the backend servers."""

import asyncio
import functools
import os
import sys
from collections.abc import Sequence
from typing import Any

import attrs

from dragonflyramp import logs, metrics, traces
from dragonflyramp.backends import (
    BackendSettings,
    BackendTier,
    http_client_factory,
)
from dragonflyramp.callers import Quarantine
from dragonflyramp.members import Fronts, MembershipHooks, Role, ScatterService
from dragonflyramp.models import LeaseState, SliceId, WarmthEntry
from dragonflyramp.runtime import run_daemon, run_until_first
from dragonflyramp.setting_flags import load_or_exit
from dragonflyramp.settings import Policy, Settings
from dragonflyramp.tools._cores import Core, log_start, open_core, wait_stop
from dragonflyramp.tools._policies import lease_table, relay_policies
from dragonflyramp.tools._quarantines import quarantine_hooks

_LAST_CALLS_SECONDS = 1


def main() -> None:
    """Start the program; exit code 2 after a bad setting."""
    settings = load_or_exit(sys.argv, os.environ)
    logs.set_up(settings)
    traces.set_up(settings)
    metrics.start_export()
    run_daemon(functools.partial(run_relay, settings))


@attrs.define(eq=False)
class WarmthExchange:
    """Pass warmth tables between membership and the backend tier."""

    tier: BackendTier | None = None

    def warmth_of(self, slice_id: SliceId) -> Sequence[WarmthEntry]:
        """Export what is known of a slice's replicas."""
        return self.tier.warmth(slice_id) if self.tier else ()

    def load(
        self, slice_id: SliceId, epoch: int, replicas: Sequence[WarmthEntry]
    ) -> None:
        """Take over what another relay knows."""
        if self.tier:
            self.tier.load_warmth(slice_id, replicas)


async def run_relay(settings: Settings, stop: asyncio.Event) -> None:
    """Run a relay until it is asked to stop and has drained."""
    exchange = WarmthExchange()
    hooks = _hooks(exchange)
    async with open_core(settings, Role.relay, hooks) as core:
        tier = _create_tier(core)
        exchange.tier = tier
        fronts = Fronts(tier)
        async with core.serving_status(
            core.readiness, functools.partial(_describe, core, tier)
        ):
            await core.server.start(
                core.members_service, ScatterService(fronts)
            )
            log_start(core.own)
            await run_until_first(
                core.run(),
                tier.run(),
                fronts.run(),
                _stop(core, tier, fronts, stop),
            )
        await fronts.close()
        await core.server.stop(_LAST_CALLS_SECONDS)


async def _stop(
    core: Core, tier: BackendTier, fronts: Fronts, stop: asyncio.Event
) -> None:
    """Hand the slices over, then finish what runs.

    The slices go first: without an owner their cold replicas would get
    nothing while this relay drains.
    """
    await wait_stop(stop, core.own)
    await core.membership.leave()
    await fronts.drain(core.settings.drain_seconds)
    await tier.drain()


def _hooks(exchange: WarmthExchange) -> MembershipHooks:
    return attrs.evolve(
        quarantine_hooks(Quarantine()),
        warmth_of=exchange.warmth_of,
        load_warmth=exchange.load,
    )


def _create_tier(core: Core) -> BackendTier:
    settings = BackendSettings(
        vm_poll_seconds=core.settings.vm_list_period_seconds,
        status_period_seconds=core.settings.status_period_seconds,
        connection_idle_seconds=core.settings.connection_idle_seconds,
        unproven_alone=not core.settings.is_naive(Policy.canary),
    )
    return BackendTier(
        client_factory=http_client_factory(settings),
        lease_table=lease_table(core),
        source=core.keeper,
        vm_list=core.platform.vms,
        policies=relay_policies(core.settings),
        relay_id=core.own.member_id,
        failure_domain=core.own.failure_domain,
        settings=settings,
        clock=core.clock,
        rng=core.rng,
    )


def _describe(core: Core, tier: BackendTier) -> dict[str, Any]:
    now_seconds = core.clock()
    table = lease_table(core)
    leases = [table.lease(one, now_seconds) for one in table.slice_ids()]
    return {
        'held': [
            lease.slice_id for lease in leases if lease.state is LeaseState.held
        ],
        'replicas': [attrs.asdict(replica) for replica in tier.describe()],
    }


if __name__ == '__main__':
    main()
