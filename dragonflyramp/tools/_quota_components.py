"""Create and connect the quotas of tenants."""

import functools
import itertools
import random
from collections.abc import Callable

import attrs

from dragonflyramp.callers import Front
from dragonflyramp.machine_settings import MachineSettings
from dragonflyramp.members import (
    DAEMONS_KIND,
    HubLinks,
    ViewSynchronizer,
    quota_hubs,
)
from dragonflyramp.metrics import gauges
from dragonflyramp.quotas import (
    DistributedQuotas,
    KnownDaemons,
    LeaseTable,
    OwnedShare,
    QuotaLimit,
    QuotaNode,
    QuotaServer,
    ShareLeases,
    limit_of,
)
from dragonflyramp.routes import RoutingTable
from dragonflyramp.runtime import boot_seconds

#: Name of the contract with which quotas are in force from the start.
_CONTRACT = 'quota'
#: Other daemons may have removed one that has had no contact for 60 s.
_MAX_CONFIRMATION_AGE_SECONDS = 45
_PROCESS_ID_BITS = 64
_GRANT_ID_BITS = 48


@attrs.define(eq=False)
class _TenantLimits:
    """Limits of the tenants in the routing table in force."""

    _current_table: Callable[[], RoutingTable | None]
    _is_contract_in_force: bool

    def find(self, tenant_name: str) -> QuotaLimit | None:
        """Return the limit of a tenant; None if it has none."""
        table = self._current_table()
        if table is None or table.tenants is None:
            return None
        tenant = table.tenants.by_name.get(tenant_name)
        if tenant is None or not tenant.has_quota:
            return None
        return limit_of(tenant)

    def is_active(self) -> bool:
        """Return whether any tenant may have a quota, now or soon.

        Leases begin before the first quota, because buckets begin empty.
        """
        table = self._current_table()
        has_tenants = table is not None and table.tenants is not None
        return has_tenants or self._is_contract_in_force


def connect_quotas(
    front: Front,
    machine: MachineSettings,
    synchronizer: ViewSynchronizer,
    hub_links: HubLinks,
) -> None:
    """Create the quotas of a front, and connect them to the other daemons."""
    limits = _TenantLimits(front.current_table, _CONTRACT in machine.contracts)
    rng = random.SystemRandom()
    process_id = f'{machine.node}/{rng.getrandbits(_PROCESS_ID_BITS):x}'
    started_at_seconds = boot_seconds()
    node = QuotaNode(
        server=QuotaServer(
            leases=LeaseTable(
                own_name=machine.node,
                process_id=process_id,
                started_at_seconds=started_at_seconds,
            ),
            bounds=machine.quota_bounds,
            find_limit=limits.find,
            rank=synchronizer.cluster.rank,
            grant_ids=itertools.count(rng.getrandbits(_GRANT_ID_BITS)),
        ),
        leases=ShareLeases(
            own_name=machine.node,
            process_id=process_id,
            owned=OwnedShare(started_at_seconds=started_at_seconds),
        ),
        clock=boot_seconds,
        find_daemons=functools.partial(_find_daemons, synchronizer),
        is_confirmed=functools.partial(
            _is_confirmed, synchronizer, front.clock
        ),
        is_active=limits.is_active,
        client=hub_links.create_grant_client(),
    )
    synchronizer.quota_leasing = node
    gauges.register(
        'quota_share_owned', lambda: node.leases.owned.share(boot_seconds())
    )
    gauges.register(
        'quota_share_leased',
        lambda: node.server.leases.total_share(boot_seconds()),
    )
    front.quotas = DistributedQuotas(node)


def _find_daemons(synchronizer: ViewSynchronizer) -> KnownDaemons:
    cluster = synchronizer.cluster
    registered = synchronizer.views[DAEMONS_KIND].objects_by_name
    return KnownDaemons(
        count=cluster.daemon_count(),
        is_registered=cluster.own_daemon.name in registered,
        hub_names=tuple(daemon.name for daemon in quota_hubs(cluster)),
    )


def _is_confirmed(
    synchronizer: ViewSynchronizer, clock: Callable[[], float]
) -> bool:
    view = synchronizer.views[DAEMONS_KIND]
    return view.age_seconds(clock()) <= _MAX_CONFIRMATION_AGE_SECONDS
