"""Drive the writes of the group record, free of any input or output."""

import enum
from collections.abc import Mapping, Set

import attrs

from dragonflyramp.members._assignments import next_record
from dragonflyramp.members._groups import EMPTY_RECORD, GroupRecord
from dragonflyramp.members._messages import Heartbeat, SliceEpoch
from dragonflyramp.members._observations import Observations
from dragonflyramp.members._settings import MembershipSettings
from dragonflyramp.members._writer_views import ConfigurationFacts, WriterView
from dragonflyramp.models import MemberId
from dragonflyramp.platform import ABSENT


@attrs.frozen
class StoredRecord:
    """Hold the group record as the platform stored it at one version."""

    record: GroupRecord
    version: int


@attrs.frozen(kw_only=True)
class Attempt:
    """Hold one conditional update and the heartbeats that it covers."""

    record: GroupRecord
    base_version: int
    covered: Mapping[MemberId, Heartbeat]

    def handed_to(self, writer: MemberId) -> 'Attempt':
        """Return the attempt with another member as the next writer."""
        record = attrs.evolve(self.record, writer=writer)
        return attrs.evolve(self, record=record)


class Settlement(enum.Enum):
    """Name what reading back tells about an attempt."""

    written = 'written'
    not_written = 'not written'
    deposed = 'deposed'
    unknown = 'unknown'


@attrs.define
class GroupWriter:
    """Decide what one member writes, from each time it read the record.

    Observations start with that read, so that a new writer takes nothing
    over before it has itself seen a tenure stand unrenewed for long enough.
    Attempts are numbered over the life of the process: an attempt whose
    outcome is unknown shares its number with no later one.
    """

    _own_id: MemberId
    _settings: MembershipSettings
    _base: StoredRecord = StoredRecord(EMPTY_RECORD, ABSENT)
    _attempted: int = 0
    _last_written_seconds: float = 0
    _observations: Observations = attrs.field(factory=Observations)
    _renounced: frozenset[tuple[MemberId, SliceEpoch]] = frozenset()

    @property
    def record(self) -> GroupRecord:
        """Return the newest record known to be stored."""
        return self._base.record

    def begin(self, found: StoredRecord, now_seconds: float) -> None:
        """Start to write from a record that was read."""
        self._base = found
        self._last_written_seconds = now_seconds
        self._observations.restart(found.record, now_seconds)

    def prepare(
        self,
        covered: Mapping[MemberId, Heartbeat],
        facts: ConfigurationFacts,
        absent_hosts: frozenset[str],
        now_seconds: float,
    ) -> Attempt:
        """Decide on the next record and number the attempt to write it."""
        base = self._base.record
        self._restart_after_gap(now_seconds)
        self._renounced = _renounced(base, covered, self._renounced)
        self._attempted = max(self._attempted, base.renewal) + 1
        view = WriterView(
            now_seconds=now_seconds,
            renewal=self._attempted,
            settings=self._settings,
            facts=facts,
            reports=covered,
            observations=self._observations,
            renounced=self._renounced,
            absent_hosts=absent_hosts,
        )
        return Attempt(
            record=next_record(base, self._own_id, view),
            base_version=self._base.version,
            covered=covered,
        )

    def note_written(
        self, attempt: Attempt, version: int, now_seconds: float
    ) -> None:
        """Continue from an attempt that took effect."""
        self._base = StoredRecord(attempt.record, version)
        self._last_written_seconds = now_seconds
        self._observations.look(attempt.record, now_seconds)

    def settle(
        self, attempt: Attempt, found: StoredRecord, now_seconds: float
    ) -> Settlement:
        """Find out from a read whether an attempt took effect.

        An attempt that is not found may still take effect later; then the
        next attempt fails on its version, and the heartbeats that the
        first one covered were answered as not covered.
        """
        if found.version < self._base.version:
            return Settlement.unknown
        if found.record.renewal == attempt.record.renewal:
            if found.record.writer == attempt.record.writer:
                self.note_written(attempt, found.version, now_seconds)
                return Settlement.written
        if found.version == self._base.version:
            return Settlement.not_written
        if found.record.writer != self._own_id:
            return Settlement.deposed
        self._base = found
        self._observations.look(found.record, now_seconds)
        return Settlement.not_written

    def _restart_after_gap(self, now_seconds: float) -> None:
        """Give members time to report again after a platform outage."""
        gap_seconds = now_seconds - self._last_written_seconds
        if gap_seconds >= self._settings.lease_term_seconds:
            self._observations.restart(self._base.record, now_seconds)


def _renounced(
    record: GroupRecord,
    covered: Mapping[MemberId, Heartbeat],
    earlier: Set[tuple[MemberId, SliceEpoch]],
) -> frozenset[tuple[MemberId, SliceEpoch]]:
    """Collect what deputies renounced of the tenures in the record."""
    standing = {
        SliceEpoch(entry.slice_id, entry.epoch)
        for entry in record.slices.values()
    }
    reported = {
        (member_id, tenure)
        for member_id, report in covered.items()
        for tenure in report.renounced
    }
    return frozenset(pair for pair in earlier | reported if pair[1] in standing)
