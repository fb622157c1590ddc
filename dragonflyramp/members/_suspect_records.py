"""Keep the records of suspect requests that all daemons share."""

import asyncio
from collections.abc import Callable
from types import MappingProxyType

import attrs
from loguru import logger

from dragonflyramp.members._clusters import Cluster
from dragonflyramp.members._suspect_objects import SuspectObjects
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode
from dragonflyramp.suspects import (
    ClaimOutcome,
    SuspectRecord,
    SuspectRecords,
    Suspicion,
    expire_suspicions,
)

#: Limit on the records; beyond it, suspicions are kept by the daemons only.
_MAX_RECORDS = 256
#: With this many records, those of a first round are not added: most belong to
#: requests that were running when replicas ended by themselves.
_MAX_FIRST_ROUND_RECORDS = 192
#: How often the time at which a request was seen is updated in its record.
_SEEN_INTERVAL_MS = 3_600_000
#: A record is removed this long after its request was seen; one of a request
#: that is still tried, sooner.
_RECORD_TTL_MS = 86_400_000
_OPEN_RECORD_TTL_MS = 900_000
_FIRST_ROUND_RECORD_TTL_MS = 120_000
_MAINTENANCE_INTERVAL_SECONDS = 60
#: Delays between attempts to save a record while the store is unavailable.
_SAVE_DELAYS_SECONDS = (0.2, 0.5, 1, 2, 4, 8, 15, 30)
_END_TRIAL_DELAYS_SECONDS = (0.2, 0.5, 1)
_CLAIM_OUTCOMES = MappingProxyType(
    {
        ResultCode.ok: ClaimOutcome.granted,
        ResultCode.version_conflict: ClaimOutcome.taken,
        # Another daemon has cleared the suspicion.
        ResultCode.object_missing: ClaimOutcome.taken,
    }
)


@attrs.define(eq=False, kw_only=True)
class StoredSuspectRecords(SuspectRecords):
    """Records of suspect requests in the store.

    They survive the loss of all VMs, and of several daemons one gets a claim.
    """

    suspect_objects: SuspectObjects
    cluster: Cluster
    #: Returns the Unix time in ms.
    wall_clock_ms: Callable[[], int]

    def find(self, fingerprint: str) -> SuspectRecord | None:
        """Return the record of a request, if there is one."""
        return self.suspect_objects.find(fingerprint)

    async def save(
        self, fingerprint: str, suspicion: Suspicion, software_version: str
    ) -> None:
        """Record a suspicion; a later one in the store stays.

        Retry while the store is unavailable, as long as the suspicion holds.
        """
        table = self.suspect_objects.suspects.table
        for delay_seconds in _SAVE_DELAYS_SECONDS:
            known = self.find(fingerprint)
            record = SuspectRecord(
                suspicion=suspicion, software_version=software_version
            )
            if known is not None:
                record = attrs.evolve(known, suspicion=suspicion)
                if known.suspicion.order >= suspicion.order:
                    return
            is_replaced = table.find(fingerprint).order > suspicion.order
            if is_replaced or not self._has_room(fingerprint, suspicion):
                return
            now_ms = self.wall_clock_ms()
            code = await self.suspect_objects.write(
                fingerprint,
                attrs.evolve(record, changed_ms=now_ms, seen_ms=now_ms),
            )
            if code is ResultCode.ok:
                return
            await asyncio.sleep(delay_seconds)
        logger.bind(fingerprint=fingerprint).warning(
            'failed to record a suspect request; a restart forgets it'
        )

    async def claim_trial(
        self, fingerprint: str, suspicion: Suspicion, software_version: str
    ) -> ClaimOutcome:
        """Claim a trial, which one daemon gets at a time."""
        if not self._has_room(fingerprint, suspicion):
            return ClaimOutcome.unavailable
        store_era = self.suspect_objects.store_era
        era = store_era.number
        if fingerprint in self.suspect_objects.lost or (
            store_era.rewrite_ends_in_seconds(self.suspect_objects.clock())
        ):
            # Another daemon may have a claim that is not written again yet.
            counters.add('suspect_claims', 'store_restored')
            return ClaimOutcome.taken
        record = self.find(fingerprint) or SuspectRecord(suspicion=suspicion)
        if suspicion.order > record.suspicion.order:
            record = attrs.evolve(record, suspicion=suspicion)
        claimed = record.claimed(
            self.cluster.own_daemon.name,
            software_version,
            self.wall_clock_ms(),
        )
        code = await self.suspect_objects.write(fingerprint, claimed)
        counters.add('suspect_claims', code.name)
        if code is ResultCode.ok and store_era.number != era:
            # As it was, so that a claim that another daemon writes again is the
            # later one.
            await self.suspect_objects.write(fingerprint, record)
            return ClaimOutcome.taken
        return _CLAIM_OUTCOMES.get(code, ClaimOutcome.unavailable)

    async def end_trial(self, fingerprint: str, suspicion: Suspicion) -> None:
        """Give up the claim of this daemon, and record the suspicion.

        Repeat it after a conflict with the write that records the end.
        """
        for delay_seconds in _END_TRIAL_DELAYS_SECONDS:
            record = self.find(fingerprint)
            own_name = self.cluster.own_daemon.name
            if record is None or record.claimed_by != own_name:
                return
            code = await self.suspect_objects.write(
                fingerprint,
                attrs.evolve(record, suspicion=suspicion, claimed_by=''),
            )
            if code is not ResultCode.version_conflict:
                return
            await asyncio.sleep(delay_seconds)

    async def remove(self, fingerprint: str) -> None:
        """Remove the record of a request that is no longer suspect."""
        await self.suspect_objects.remove(fingerprint)

    async def record_seen(self, fingerprint: str) -> None:
        """Keep the record of a request that callers still send."""
        record = self.find(fingerprint)
        now_ms = self.wall_clock_ms()
        if record is None or now_ms - record.seen_ms < _SEEN_INTERVAL_MS:
            return
        await self.suspect_objects.write(
            fingerprint, attrs.evolve(record, seen_ms=now_ms)
        )

    def _has_room(self, fingerprint: str, suspicion: Suspicion) -> bool:
        known = self.suspect_objects.by_fingerprint
        is_first_round = suspicion.crash_rounds <= 1
        max_count = _MAX_FIRST_ROUND_RECORDS if is_first_round else _MAX_RECORDS
        if fingerprint in known or len(known) < max_count:
            return True
        counters.add('suspect_record_failures', 'too_many')
        return False


async def maintain_suspects(records: StoredSuspectRecords) -> None:
    """Expire suspicions, and remove old records, until cancelled."""
    suspect_objects = records.suspect_objects
    while True:
        await asyncio.sleep(_MAINTENANCE_INTERVAL_SECONDS)
        expire_suspicions(
            suspect_objects.suspects.table, suspect_objects.clock()
        )
        if records.cluster.hubs()[:1] == [records.cluster.own_daemon]:
            await remove_old_records(records)


async def remove_old_records(records: StoredSuspectRecords) -> None:
    """Remove the records of requests that nobody has sent for long."""
    for fingerprint in tuple(records.suspect_objects.by_fingerprint):
        # Another daemon may have renewed it during an earlier removal.
        record = records.find(fingerprint)
        if record is not None and _is_old(record, records.wall_clock_ms()):
            await records.remove(fingerprint)


def _is_old(record: SuspectRecord, now_ms: int) -> bool:
    return now_ms - record.seen_ms > _ttl_ms(record)


def _ttl_ms(record: SuspectRecord) -> int:
    if not record.is_open:
        return _RECORD_TTL_MS
    is_first_round = record.suspicion.crash_rounds <= 1
    return _FIRST_ROUND_RECORD_TTL_MS if is_first_round else _OPEN_RECORD_TTL_MS
