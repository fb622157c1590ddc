"""Write records of suspect requests again after a restore of the store."""

import asyncio

import attrs
from loguru import logger

from dragonflyramp.members._clusters import Cluster
from dragonflyramp.members._suspect_objects import SuspectObjects
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode

#: The daemon of the next rank writes a record that is not back by then.
_RANK_DELAY_SECONDS = 3
#: How often the records that are due are written, and the longest delay while
#: the store is not available.
_WRITE_INTERVAL_SECONDS = 0.5
_MAX_BACKOFF_SECONDS = 30
#: After this time, lost records are given up. Daemons still tell each other of
#: the suspicions.
_MAX_REWRITE_SECONDS = 600


@attrs.define(eq=False, kw_only=True)
class SuspectRestorer:
    """Write the records that a restored store has forgotten again.

    The daemons share this work by their ranks. What only one daemon knows, it
    writes itself.
    """

    suspect_objects: SuspectObjects
    cluster: Cluster
    #: Records whose removal was requested since the last restore.
    _removed: set[str] = attrs.field(factory=set)

    async def run(self) -> None:
        """Write lost records after each restore, until cancelled."""
        view = self.suspect_objects.view
        written_era = view.position.era
        while True:
            while view.position.era == written_era:
                await view.new_era.wait()
            written_era = view.position.era
            self._removed.clear()
            # No object may have changed.
            self.suspect_objects.apply_changes(())
            await self._write_lost()

    async def write_due(self, elapsed_seconds: float) -> bool:
        """Write and remove what is due this long after a restore.

        Return false if the store is not available.
        """
        for fingerprint in self._pending():
            if elapsed_seconds < self._delay_seconds(fingerprint):
                continue
            code = await self._reconcile(fingerprint)
            counters.add('suspect_rewrites', code.name)
            if code in {ResultCode.platform_down, ResultCode.bad_reply}:
                return False
        return True

    async def _write_lost(self) -> None:
        started_at_seconds = self.suspect_objects.clock()
        delay_seconds: float = _WRITE_INTERVAL_SECONDS
        elapsed_seconds: float = 0
        while self._pending():
            if elapsed_seconds > _MAX_REWRITE_SECONDS:
                logger.bind(count=len(self.suspect_objects.lost)).warning(
                    'records of suspect requests cannot be written again'
                )
                self.suspect_objects.lost.clear()
                return
            is_available = await self.write_due(elapsed_seconds)
            delay_seconds = (
                _WRITE_INTERVAL_SECONDS
                if is_available
                else min(_MAX_BACKOFF_SECONDS, 2 * delay_seconds)
            )
            await asyncio.sleep(delay_seconds)
            elapsed_seconds = self.suspect_objects.clock() - started_at_seconds

    def _pending(self) -> tuple[str, ...]:
        """Return the records to write again, and those to remove again."""
        suspect_objects = self.suspect_objects
        for lost_fingerprint in tuple(suspect_objects.lost):
            if self._is_cleared(lost_fingerprint):
                suspect_objects.lost.pop(lost_fingerprint)
        returned = (
            fingerprint
            for fingerprint in suspect_objects.by_fingerprint
            if fingerprint not in self._removed
            and self._is_cleared(fingerprint)
        )
        return (*suspect_objects.lost, *returned)

    def _is_cleared(self, fingerprint: str) -> bool:
        """Return whether a success has cleared what a record says."""
        record = self.suspect_objects.find(fingerprint)
        suspicion = self.suspect_objects.suspects.table.find(fingerprint)
        return record is not None and (
            suspicion.order > record.suspicion.order
            and not suspicion.crash_rounds
        )

    def _delay_seconds(self, fingerprint: str) -> float:
        lost = self.suspect_objects.lost.get(fingerprint)
        if lost is not None and lost.is_own:
            return 0
        return self.cluster.rank(fingerprint) * _RANK_DELAY_SECONDS

    async def _reconcile(self, fingerprint: str) -> ResultCode:
        lost = self.suspect_objects.lost.get(fingerprint)
        if lost is not None:
            return await self.suspect_objects.write(fingerprint, lost.record)
        self._removed.add(fingerprint)
        await self.suspect_objects.remove(fingerprint)
        return ResultCode.ok
