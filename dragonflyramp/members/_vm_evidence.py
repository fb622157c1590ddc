"""Find out from the list of VMs which hosts are certainly gone."""

from collections.abc import Iterable, Set

import attrs
from returns.pipeline import is_successful

from dragonflyramp.members._group_views import GroupView
from dragonflyramp.members._groups import MemberEntry
from dragonflyramp.members._settings import MembershipSettings
from dragonflyramp.members._takeovers import host_of
from dragonflyramp.platform import VmList, VmListing


@attrs.define
class VmEvidence:
    """Time for how long hosts of members are missing from the list.

    The list lags, so the host of a member that joined lately may be too
    new for it. A list without this member's own host does not list the
    system's VMs at all and proves nothing.
    """

    _missing: dict[str, float] = attrs.field(factory=dict)

    def see_listing(
        self,
        listed: Set[str],
        own_host: str,
        members: Iterable[MemberEntry],
        now_seconds: float,
    ) -> None:
        """Compare a listing with the members that joined long ago."""
        missing = {host_of(entry.address) for entry in members} - listed
        if own_host not in listed:
            missing.clear()
        self._missing = {
            host: self._missing.get(host, now_seconds) for host in missing
        }

    def absent(self, for_seconds: float, now_seconds: float) -> frozenset[str]:
        """List the hosts that have been missing for some time."""
        return frozenset(
            host
            for host, since_seconds in self._missing.items()
            if now_seconds - since_seconds >= for_seconds
        )


@attrs.define(eq=False)
class VmWatch:
    """Read the list of VMs for the evidence."""

    _vm_list: VmList
    _view: GroupView
    _settings: MembershipSettings
    evidence: VmEvidence = attrs.field(factory=VmEvidence)
    _listing: VmListing = VmListing(version='', machines=())

    async def look(self) -> None:
        """Read the list once; keep the last one when that fails."""
        reply = await self._vm_list.list_vms(
            (self._settings.vm_service,), self._listing.version
        )
        if is_successful(reply):
            self._listing = reply.unwrap() or self._listing
            self._compare()

    def _compare(self) -> None:
        record = self._view.snapshot()
        newest = record.renewal - self._settings.vm_list_lag_renewals
        self.evidence.see_listing(
            {host_of(vm.replica.address) for vm in self._listing.machines},
            host_of(self._view.own.address),
            [one for one in record.members.values() if one.joined <= newest],
            self._view.clock(),
        )
