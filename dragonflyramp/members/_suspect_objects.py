"""Read and write the objects of suspect requests in the store."""

import contextlib
from collections.abc import Callable, Collection
from typing import Any

import attrs
from loguru import logger
from returns.result import Failure

from dragonflyramp.members._suspicion_fields import (
    decode_suspicion,
    require_count,
    require_short_text,
)
from dragonflyramp.metrics import counters
from dragonflyramp.object_limits import DECODE_ERRORS
from dragonflyramp.results import ResultCode
from dragonflyramp.stores import KeyedStore
from dragonflyramp.suspects import CrashSuspects, SuspectRecord, Suspicion
from dragonflyramp.views import Fields, View

#: Kind of the records in the store.
SUSPECTS_KIND = 'dragonflyramp-suspects'


@attrs.frozen
class StoredRecord:
    """Record, and the revision of its object in the store."""

    record: SuspectRecord
    revision: int


@attrs.define(eq=False, kw_only=True)
class SuspectObjects:
    """Records in the store, as the view and own writes show them.

    Each write is conditional on the revision that this daemon knows.
    """

    store: KeyedStore
    view: View
    suspects: CrashSuspects
    #: Returns the monotonic time in seconds.
    clock: Callable[[], float]
    by_fingerprint: dict[str, StoredRecord] = attrs.field(factory=dict)

    def apply_changes(self, names: Collection[str]) -> None:
        """Apply the objects that changed in the view."""
        now_seconds = self.clock()
        for name in names:
            fields = self.view.objects_by_name.get(name)
            if fields is None:
                self._apply_removal(name, now_seconds)
                continue
            stored = decode_record(fields)
            if stored is None:
                counters.add('bad_objects', 'suspect')
                logger.bind(fingerprint=name).warning(
                    'record of a suspect request is malformed; it is ignored'
                )
            else:
                self._apply(name, stored, now_seconds)

    def find(self, fingerprint: str) -> SuspectRecord | None:
        """Return the record of a request, if there is one."""
        stored = self.by_fingerprint.get(fingerprint)
        return None if stored is None else stored.record

    async def write(
        self, fingerprint: str, record: SuspectRecord
    ) -> ResultCode:
        """Create or replace a record; fail with a code of `KeyedStore`."""
        known = self.by_fingerprint.get(fingerprint)
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
        stored = decode_record(write_result.unwrap())
        if stored is None:
            return ResultCode.bad_reply
        now_seconds = self.clock()
        self._apply(fingerprint, stored, now_seconds)
        # Normally the view has the record later. It may also have read already
        # that another daemon has removed it.
        if fingerprint not in self.view.objects_by_name:
            self._apply_removal(fingerprint, now_seconds)
        return ResultCode.ok

    async def remove(self, fingerprint: str) -> None:
        """Remove a record if there is one."""
        if fingerprint in self.by_fingerprint:
            await self.store.delete(SUSPECTS_KIND, fingerprint)

    def _apply(
        self, fingerprint: str, stored: StoredRecord, now_seconds: float
    ) -> None:
        known = self.by_fingerprint.get(fingerprint)
        if known is not None and stored.revision < known.revision:
            return
        self.by_fingerprint[fingerprint] = stored
        self.suspects.apply_stored(
            fingerprint, stored.record.suspicion, now_seconds
        )

    def _apply_removal(self, fingerprint: str, now_seconds: float) -> None:
        known = self.by_fingerprint.get(fingerprint)
        # This daemon may have written a record that the view does not have yet.
        if known is not None and known.revision <= self.view.revision:
            self.by_fingerprint.pop(fingerprint)
            self.suspects.apply_removal(
                fingerprint, known.record.suspicion, now_seconds
            )


def encode_record(record: SuspectRecord) -> Fields:
    """Encode a record as the `spec` of an object."""
    return {
        **attrs.asdict(record, filter=_is_plain_field),
        **attrs.asdict(record.suspicion),
    }


def decode_record(fields: Fields) -> StoredRecord | None:
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
        return StoredRecord(record, require_count(fields['meta']['rev']))
    return None


def _is_plain_field(attribute: Any, field_value: object) -> bool:
    return not isinstance(field_value, Suspicion)
