"""Select the daemons from which this one requests changes."""

import asyncio
import contextlib
from collections.abc import Callable

import attrs

from dragonflyramp.members._links_grpc import LinkSet
from dragonflyramp.members._memberships import Daemon
from dragonflyramp.members._synchronizers import ViewSynchronizer
from dragonflyramp.quotas import GrantClient

_RECONCILE_INTERVAL_SECONDS = 0.25
#: Limit on links to unreachable daemons. These links detect that a daemon
#: responds again. Without them, this daemon would continue to exclude that
#: daemon from the hubs while the other daemons use it as one.
_MAX_PROBED_DAEMONS = 8


@attrs.define(eq=False)
class HubLinks:
    """Keep a link to each hub, and to some unreachable daemons."""

    synchronizer: ViewSynchronizer
    #: Addresses of daemons to contact while no other daemon is known.
    seeds: tuple[str, ...]
    clock: Callable[[], float]
    _links: LinkSet = attrs.field(init=False)

    def notify_change(self) -> None:
        """Respond to waiting requests and renew those of this daemon.

        An open request has the revisions from before the change, so a hub
        would respond with changes that the views already have.
        """
        self.synchronizer.wake_waiting_requests()
        self.renew_requests()

    def renew_requests(self) -> None:
        """Replace the open requests, which lack what this daemon has since."""
        self._links.renew_requests()

    def create_grant_client(self) -> GrantClient:
        """Return a client that asks quota servers over the links."""
        return self._links.create_grant_client()

    async def run(self) -> None:
        """Open and close links until cancelled, then close all."""
        async with contextlib.AsyncExitStack() as cleanup:
            cleanup.push_async_callback(self._links.close)
            sent_era = self.synchronizer.store_era.number
            while True:
                if self.synchronizer.store_era.number != sent_era:
                    # Hubs may not have noticed the restore yet.
                    sent_era = self.synchronizer.store_era.number
                    self._links.renew_requests()
                self.synchronizer.cluster.membership.expire_contacts(
                    self.clock()
                )
                targets = self._select_link_targets()
                self._links.reconcile(targets, self._primary_address())
                await asyncio.sleep(_RECONCILE_INTERVAL_SECONDS)

    def _select_link_targets(self) -> dict[str, Daemon | None]:
        """Return the daemons to link to, by address; None for a seed."""
        cluster = self.synchronizer.cluster
        hubs = cluster.hubs()
        unreachable = [
            daemon
            for daemon in cluster.membership.hub_order()
            if daemon.name in cluster.daemon_health.unreachable
        ]
        targets: dict[str, Daemon | None] = {
            daemon.address: daemon
            for daemon in (*hubs, *unreachable[:_MAX_PROBED_DAEMONS])
        }
        if not targets.keys() - {cluster.own_daemon.address}:
            # Seeds may be stale, so they are used only while no other daemon
            # is known.
            targets = {address: None for address in self.seeds}
        targets.pop(cluster.own_daemon.address, None)
        # A daemon with an empty address serves no requests.
        targets.pop('', None)
        return targets

    def _primary_address(self) -> str:
        """Return the address of this daemon's primary hub; '' without one.

        A hub in this daemon's failure domain is preferred.
        """
        cluster = self.synchronizer.cluster
        others = [hub for hub in cluster.hubs() if hub != cluster.own_daemon]
        in_own_domain = [
            hub
            for hub in others
            if hub.failure_domain == cluster.own_daemon.failure_domain
        ]
        candidates = in_own_domain or others
        if not candidates:
            return ''
        return candidates[cluster.rank('first hub') % len(candidates)].address

    @_links.default
    def _create_links(self) -> LinkSet:
        return LinkSet(self.synchronizer, self.clock)
