"""Answer a relay's questions about its standing for each slice."""

from collections.abc import Callable

import attrs

from dragonflyramp.members._groups import (
    EMPTY_RECORD,
    GroupRecord,
    SliceEntry,
)
from dragonflyramp.members._leases import NEVER, HolderLeases, tenure_of
from dragonflyramp.members._promises import DeputyPromises
from dragonflyramp.members._settings import MembershipSettings
from dragonflyramp.members._settled import SettledNumbers
from dragonflyramp.members._releases import Releases
from dragonflyramp.members._writer_views import ConfigurationFacts
from dragonflyramp.models import Lease, LeaseState, MemberId, SliceId


@attrs.define
class MemberLeaseTable:
    """Implement LeaseTable from what one member holds and promised."""

    own_id: MemberId
    settings: MembershipSettings
    facts: Callable[[], ConfigurationFacts]
    record: GroupRecord = EMPTY_RECORD
    is_releasing_all: bool = False
    holder: HolderLeases = attrs.field(init=False)
    deputy: DeputyPromises = attrs.field(init=False)
    releases: Releases = attrs.field(init=False, factory=Releases)
    settled: SettledNumbers = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start without any standing."""
        self.holder = HolderLeases(self.own_id, self.settings)
        self.deputy = DeputyPromises(self.own_id, self.settings)
        self.settled = SettledNumbers(self.settings)

    def see_record(self, record: GroupRecord, now_seconds: float) -> None:
        """Use a newer record."""
        self.record = record
        self.holder.see_record(record)
        self.deputy.see_record(record, now_seconds)
        self.settled.see_record(record, now_seconds)
        self.update_releases(now_seconds)

    def update_releases(self, now_seconds: float) -> None:
        """Stop using what the record or the configuration takes away."""
        facts = self.facts()
        configured: frozenset[SliceId] | None = facts.slice_ids
        if facts.number < self.record.configuration_number:
            configured = None
        if self.is_releasing_all:
            configured = frozenset()
        self.releases.update(self.holder.held(), configured, now_seconds)

    def lease(self, slice_id: SliceId, now_seconds: float) -> Lease:
        """Give the lease of a slice; state foreign when there is none."""
        entry = self.record.slices.get(slice_id)
        if entry is None:
            return _lease(slice_id, 0, LeaseState.foreign)
        if entry.holder == self.own_id:
            return self._held_lease(entry, now_seconds)
        state = LeaseState.foreign
        if self.own_id in entry.deputies:
            state = LeaseState.deputy
        return _lease(slice_id, entry.epoch, state)

    def slice_ids(self) -> tuple[SliceId, ...]:
        """List the slices that this relay holds or deputises for."""
        return tuple(
            entry.slice_id
            for entry in self.record.slices.values()
            if self.own_id in {entry.holder, *entry.deputies}
        )

    def settled_number(self, now_seconds: float) -> int:
        """Give the configuration number that every lease now reflects."""
        longest_seconds = self.facts().longest_deadline_seconds
        return self.settled.settled(longest_seconds, now_seconds)

    def _held_lease(self, entry: SliceEntry, now_seconds: float) -> Lease:
        until_seconds = self.holder.until_seconds(entry)
        if self.releases.is_stopped(tenure_of(entry)):
            until_seconds = NEVER
        state = LeaseState.lapsed
        if now_seconds < until_seconds:
            state = LeaseState.held
        return _lease(entry.slice_id, entry.epoch, state, until_seconds)


def _lease(
    slice_id: SliceId,
    epoch: int,
    state: LeaseState,
    until_seconds: float = NEVER,
) -> Lease:
    return Lease(
        slice_id=slice_id,
        epoch=epoch,
        state=state,
        until_seconds=until_seconds,
    )
