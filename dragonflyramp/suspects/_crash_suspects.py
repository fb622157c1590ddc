"""Change suspicions by ends of replicas, successes, reports and the store."""

from collections.abc import Callable

import attrs

from dragonflyramp.runtime import Broadcast
from dragonflyramp.suspects._suspicions import (
    Suspicion,
    SuspicionReport,
    Suspicions,
)
from dragonflyramp.suspects._tables import SuspicionTable


def _ignore_change() -> None:
    """Do nothing, for suspects that are not shared."""


@attrs.define(eq=False)
class CrashSuspects:
    """Requests that ended replicas, as all daemons know them."""

    #: Called when the other daemons have to be told.
    on_change: Callable[[], None] = _ignore_change
    table: SuspicionTable = attrs.field(factory=SuspicionTable)
    #: Wakes tasks that wait for a change of any suspicion.
    changes: Broadcast = attrs.field(factory=Broadcast)

    def record_crash(
        self, fingerprint: str, suspicion: Suspicion, now_seconds: float
    ) -> bool:
        """Record an end of a replica, with the suspicion that follows.

        Return whether the other daemons are told: not of the first round,
        because a retry may clear it at once; `share` tells them.
        """
        is_news = self.table.update(fingerprint, suspicion, now_seconds)
        self.changes.wake()
        if not is_news or suspicion.crash_rounds == 1:
            return False
        self.table.share(fingerprint)
        self.on_change()
        return True

    def share(self, fingerprint: str) -> None:
        """Tell the other daemons of a suspicion that no retry has cleared."""
        if self.table.share(fingerprint):
            self.on_change()

    def record_success(self, fingerprint: str, now_seconds: float) -> None:
        """Clear the suspicion of a request that a replica has answered."""
        suspicion = self.table.find(fingerprint)
        if not suspicion.crash_rounds:
            return
        if not self.table.discard_unshared(fingerprint):
            self.table.update(fingerprint, suspicion.cleared(), now_seconds)
            self.on_change()
        self.changes.wake()

    def apply_report(self, report: SuspicionReport, now_seconds: float) -> None:
        """Apply the report of another daemon."""
        self._apply(report.suspicions, now_seconds)

    def apply_stored(
        self, fingerprint: str, suspicion: Suspicion, now_seconds: float
    ) -> None:
        """Apply the suspicion of a record in the store."""
        self.table.stored.add(fingerprint)
        self._apply({fingerprint: suspicion}, now_seconds)

    def apply_removal(
        self, fingerprint: str, suspicion: Suspicion, now_seconds: float
    ) -> None:
        """Clear the suspicion whose record was removed from the store."""
        self.table.stored.discard(fingerprint)
        self._apply({fingerprint: suspicion.cleared()}, now_seconds)

    def _apply(self, suspicions: Suspicions, now_seconds: float) -> None:
        news = [
            fingerprint
            for fingerprint, suspicion in suspicions.items()
            if self.table.update(fingerprint, suspicion, now_seconds)
        ]
        for fingerprint in news:
            self.table.share(fingerprint)
        if news:
            self.on_change()
            self.changes.wake()
