"""Define what the writer knows when it decides on the next record."""

from collections.abc import Mapping, Set

import attrs

from dragonflyramp.members._groups import (
    GroupRecord,
    MemberEntry,
    Role,
    SliceEntry,
)
from dragonflyramp.members._messages import Heartbeat, SliceEpoch
from dragonflyramp.members._observations import Observations
from dragonflyramp.members._settings import MembershipSettings
from dragonflyramp.models import (
    Configuration,
    HoldKind,
    MemberId,
    SliceId,
)
from dragonflyramp.slices import slice_map


@attrs.frozen(kw_only=True)
class ConfigurationFacts:
    """Hold what membership needs of the adopted configuration."""

    number: int = 0
    slice_ids: frozenset[SliceId] = frozenset()
    held_domains: frozenset[str] = frozenset()
    longest_deadline_seconds: float = 0


def facts_of(configuration: Configuration | None) -> ConfigurationFacts:
    """Extract the facts of a configuration, or of none at all."""
    if configuration is None:
        return ConfigurationFacts()
    deadlines_ms = [
        service.deadline_ms for service in configuration.services.values()
    ]
    return ConfigurationFacts(
        number=configuration.number,
        slice_ids=frozenset(
            one.slice_id for one in slice_map(configuration).slices
        ),
        held_domains=frozenset(
            hold.name
            for hold in configuration.holds.values()
            if hold.kind is HoldKind.failure_domain
        ),
        longest_deadline_seconds=max(deadlines_ms, default=0) / 1000,
    )


@attrs.frozen(kw_only=True)
class WriterView:
    """Hold all that one decision of the writer depends on.

    `renewal` is the number of this attempt, `reports` the heartbeats that
    it covers, `absent_hosts` the hosts whose VM the platform took off its
    list.
    """

    now_seconds: float
    renewal: int
    settings: MembershipSettings
    facts: ConfigurationFacts
    reports: Mapping[MemberId, Heartbeat]
    observations: Observations
    renounced: Set[tuple[MemberId, SliceEpoch]] = frozenset()
    absent_hosts: Set[str] = frozenset()

    @property
    def lapse_seconds(self) -> float:
        """Give how long after a renewal nothing sent under it still runs."""
        return self.settings.lapse_seconds(self.facts.longest_deadline_seconds)

    def is_live(self, entry: MemberEntry) -> bool:
        """Tell whether a member reported within the last term."""
        if entry.member_id in self.reports:
            return True
        silent_seconds = self.observations.member_unchanged_seconds(
            entry, self.now_seconds
        )
        return silent_seconds < self.settings.lease_term_seconds

    def is_released(self, entry: SliceEntry) -> bool:
        """Tell whether the holder reports that it gave up its tenure."""
        report = self.reports.get(entry.holder)
        tenure = SliceEpoch(entry.slice_id, entry.epoch)
        return report is not None and tenure in report.released

    def has_renounced(self, member_id: MemberId, entry: SliceEntry) -> bool:
        """Tell whether a deputy renounced the present tenure."""
        tenure = SliceEpoch(entry.slice_id, entry.epoch)
        return (member_id, tenure) in self.renounced

    def is_renewed(self, entry: SliceEntry) -> bool:
        """Tell whether this write renews the holder's tenure."""
        return entry.holder in self.reports and not self.is_released(entry)

    def usable(self, record: GroupRecord) -> list[MemberEntry]:
        """List the live members that stay."""
        return [
            entry
            for entry in record.members.values()
            if self.is_live(entry) and not entry.leaving
        ]

    def relays(self, record: GroupRecord) -> list[MemberId]:
        """List the relays that may get a slice.

        A relay in a failure domain that operators took out, or one that
        for a term has not adopted the configuration that its leases need,
        gets slices only when there is no other; a relay that never had a
        configuration gets none.
        """
        relays = [
            entry
            for entry in self.usable(record)
            if entry.role is Role.relay and entry.configuration_number > 0
        ]
        good = [
            entry
            for entry in relays
            if entry.failure_domain not in self.facts.held_domains
            and not _is_behind(self, entry, record)
        ]
        return [entry.member_id for entry in good or relays]


def _is_behind(
    view: WriterView, entry: MemberEntry, record: GroupRecord
) -> bool:
    behind_seconds = view.observations.behind_seconds(
        entry, record, view.now_seconds
    )
    return behind_seconds >= view.settings.lease_term_seconds
