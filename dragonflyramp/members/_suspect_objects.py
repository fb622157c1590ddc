"""Read and write the objects of suspect requests in the store."""

import contextlib
from collections.abc import Callable, Collection
from typing import Any

import attrs
from returns.result import Failure

from dragonflyramp.members._suspicion_fields import (
    decode_suspicion,
    require_count,
    require_short_text,
)
from dragonflyramp.metrics import counters
from dragonflyramp.object_limits import DECODE_ERRORS
from dragonflyramp.results import ResultCode
from dragonflyramp.stored_objects import (
    LeftOutReason,
    find_left_out_reason,
    log_left_out,
)
from dragonflyramp.stores import KeyedStore, StoreEra
from dragonflyramp.suspects import CrashSuspects, SuspectRecord, Suspicion
from dragonflyramp.views import Fields, Position, View

#: Kind of the records in the store.
SUSPECTS_KIND = 'dragonflyramp-suspects'


@attrs.frozen
class StoredRecord:
    """Record, and the revision of its object in the store."""

    record: SuspectRecord
    revision: int
    era: int = 0

    @property
    def position(self) -> Position:
        """Return the position of the write of the object."""
        return Position(self.era, self.revision)


@attrs.frozen
class LostRecord:
    """Record that the store has forgotten or has in an older form."""

    record: SuspectRecord
    #: Whether only this daemon has seen it, because it has written it.
    is_own: bool


@attrs.define(eq=False, kw_only=True)
class SuspectObjects:
    """Records in the store, as the view and own writes show them.

    Each write is conditional on the revision that this daemon knows. After a
    restore, the records of the era before are lost until they are back.
    """

    store: KeyedStore
    view: View
    suspects: CrashSuspects
    #: Returns the monotonic time in seconds.
    clock: Callable[[], float]
    store_era: StoreEra = attrs.field(factory=StoreEra)
    by_fingerprint: dict[str, StoredRecord] = attrs.field(factory=dict)
    lost: dict[str, LostRecord] = attrs.field(factory=dict)
    #: Position of the view when its changes were applied last.
    _applied_position: Position = Position()

    def apply_changes(self, names: Collection[str]) -> None:
        """Apply the objects that changed in the view."""
        now_seconds = self.clock()
        if self._applied_position.era != self.view.position.era:
            self._lose_records()
            names = self.view.objects_by_name.keys()
        self._applied_position = self.view.position
        for name in names:
            fields = self.view.objects_by_name.get(name)
            if fields is None:
                self._apply_removal(name, now_seconds)
                continue
            stored = decode_record(fields, self.view.position.era)
            if stored is None:
                counters.add('bad_objects', 'suspect')
                reason = find_left_out_reason(fields)
                log_left_out(
                    SUSPECTS_KIND, name, reason or LeftOutReason.malformed
                )
            else:
                self._apply(name, stored, now_seconds)

    def find(self, fingerprint: str) -> SuspectRecord | None:
        """Return the record of a request, if there is one."""
        stored = self.lost.get(fingerprint) or self.by_fingerprint.get(
            fingerprint
        )
        return None if stored is None else stored.record

    async def write(
        self, fingerprint: str, record: SuspectRecord
    ) -> ResultCode:
        """Create or replace a record; fail with a code of `KeyedStore`."""
        known = self.by_fingerprint.get(fingerprint)
        # The write may take effect after a restore that is noticed with its
        # reply; as one of the era before, the record is looked for again.
        era = self.store_era.number
        spec = encode_record(record)
        if known is None:
            write_result = await self.store.create(
                SUSPECTS_KIND, fingerprint, spec
            )
        else:
            write_result = await self.store.replace(
                SUSPECTS_KIND, fingerprint, spec, known.revision
            )
        if isinstance(write_result, Failure):
            code: ResultCode = write_result.failure()
            counters.add('suspect_record_failures', code.name)
            return code
        stored = decode_record(write_result.unwrap(), era)
        if stored is None:
            return ResultCode.bad_reply
        now_seconds = self.clock()
        self._apply(fingerprint, stored, now_seconds)
        self.lost.pop(fingerprint, None)
        # Normally the view has the record later. It may also have read already
        # that another daemon has removed it.
        if fingerprint not in self.view.objects_by_name:
            self._apply_removal(fingerprint, now_seconds)
        return ResultCode.ok

    async def remove(self, fingerprint: str) -> None:
        """Remove a record if there is one."""
        self.lost.pop(fingerprint, None)
        if fingerprint in self.by_fingerprint:
            await self.store.delete(SUSPECTS_KIND, fingerprint)

    def _apply(
        self, fingerprint: str, stored: StoredRecord, now_seconds: float
    ) -> None:
        known = self.by_fingerprint.get(fingerprint)
        if known is not None and stored.position < known.position:
            return
        self.by_fingerprint[fingerprint] = stored
        lost = self.lost.get(fingerprint)
        if lost is not None:
            if _age_key(stored.record) >= _age_key(lost.record):
                self.lost.pop(fingerprint)
        self.suspects.apply_stored(
            fingerprint, stored.record.suspicion, now_seconds
        )

    def _apply_removal(self, fingerprint: str, now_seconds: float) -> None:
        known = self.by_fingerprint.get(fingerprint)
        # This daemon may have written a record that the view does not have yet.
        if known is not None and known.position <= self.view.position:
            self.by_fingerprint.pop(fingerprint)
            if known.era != self.view.position.era:
                # The restore has removed it, and not a success.
                self.lost[fingerprint] = LostRecord(known.record, is_own=True)
                return
            self.suspects.apply_removal(
                fingerprint, known.record.suspicion, now_seconds
            )

    def _lose_records(self) -> None:
        """Keep what was known before a restore, until the store has it."""
        for fingerprint, known in tuple(self.by_fingerprint.items()):
            if known.era < self.view.position.era:
                self.by_fingerprint.pop(fingerprint)
                self.lost[fingerprint] = LostRecord(
                    known.record,
                    is_own=known.position > self._applied_position,
                )


def _age_key(record: SuspectRecord) -> tuple[int, ...]:
    """Return the key by which the later one of two records is known.

    The end of a trial changes neither the order nor the time of a record.
    """
    return (
        *record.suspicion.order,
        record.late_trial_count,
        record.changed_ms,
        not record.claimed_by,
    )


def encode_record(record: SuspectRecord) -> Fields:
    """Encode a record as the `spec` of an object."""
    return {
        **attrs.asdict(record, filter=_is_plain_field),
        **attrs.asdict(record.suspicion),
    }


def decode_record(fields: Fields, era: int = 0) -> StoredRecord | None:
    """Decode an object; return None if it is malformed."""
    with contextlib.suppress(*DECODE_ERRORS):
        spec = fields['spec']
        record = SuspectRecord(
            suspicion=decode_suspicion(
                spec['service'],
                spec['request_id'],
                spec['clear_count'],
                spec['crash_rounds'],
            ),
            software_version=require_short_text(spec['software_version']),
            claimed_by=require_short_text(spec['claimed_by']),
            late_trial_count=require_count(spec['late_trial_count']),
            changed_ms=require_count(spec['changed_ms']),
            seen_ms=require_count(spec['seen_ms']),
        )
        return StoredRecord(record, require_count(fields['meta']['rev']), era)
    return None


def _is_plain_field(attribute: Any, field_value: object) -> bool:
    return not isinstance(field_value, Suspicion)
