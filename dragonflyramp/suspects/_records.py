"""Define the records of suspect requests in the platform's store.

A record survives the loss of all VMs. It is also the claim that lets one daemon
try a suspect request while all others refuse it.
"""

import enum
import math
from collections.abc import Set as AbstractSet
from typing import Protocol

import attrs

from dragonflyramp.suspects._suspicions import MAX_CRASH_ROUNDS, Suspicion

#: A request that is not sent any more is tried again this long after its record
#: changed, in case what made replicas end is gone.
_TRIAL_INTERVAL_MS = 900_000
#: A trial has ended after this time, even with a long deadline.
_MAX_TRIAL_MS = 10_000
#: Limit on the trials after `MAX_CRASH_ROUNDS` rounds. With the last round they
#: are at most three arrivals at replicas.
_MAX_LATE_TRIALS = 2


@attrs.frozen(kw_only=True)
class SuspectRecord:
    """Suspicion in the store."""

    suspicion: Suspicion
    #: Software version of the replica that ended last; empty if unknown.
    software_version: str = ''
    #: Daemon that tries the request, or that ended before it knew the outcome;
    #: empty without a trial.
    claimed_by: str = ''
    #: Trials since the request reached `MAX_CRASH_ROUNDS`.
    late_trial_count: int = 0
    #: Unix time of the last round or trial.
    changed_ms: int = 0
    #: Unix time at which a caller last sent the request, about.
    seen_ms: int = 0

    @property
    def is_open(self) -> bool:
        """Return whether a daemon may claim a trial at any time."""
        is_below_limit = self.suspicion.crash_rounds < MAX_CRASH_ROUNDS
        return is_below_limit and not self.claimed_by

    def is_tried(self, now_ms: float) -> bool:
        """Return whether a trial may be under way now."""
        return bool(self.claimed_by) and (
            now_ms - self.changed_ms < _MAX_TRIAL_MS
        )

    def trial_delay_ms(
        self, software_versions: AbstractSet[str], now_ms: float
    ) -> float:
        """Return the time until a daemon may claim a trial; 0 for now.

        Return infinity if only an operator can release the request. A trial is
        due at once when the service runs other versions of its software.
        """
        if self.is_open:
            return 0
        if self.late_trial_count >= _MAX_LATE_TRIALS:
            return math.inf
        is_replaced = bool(software_versions) and (
            self.software_version not in software_versions
        )
        if self.software_version and is_replaced:
            return 0
        return max(0, self.changed_ms + _TRIAL_INTERVAL_MS - now_ms)

    def claimed(
        self, daemon_name: str, software_version: str, now_ms: int
    ) -> 'SuspectRecord':
        """Return the record while a daemon tries the request."""
        return attrs.evolve(
            self,
            claimed_by=daemon_name,
            software_version=software_version or self.software_version,
            late_trial_count=self.late_trial_count + (not self.is_open),
            changed_ms=now_ms,
            seen_ms=now_ms,
        )


class ClaimOutcome(enum.Enum):
    """Outcome of a claim of a trial."""

    granted = 'granted'
    #: Another daemon has claimed it, or may have.
    taken = 'taken'
    #: The store is not available, or has no room for a record.
    unavailable = 'unavailable'


class SuspectRecords(Protocol):
    """Records of suspect requests that all daemons share."""

    def find(self, fingerprint: str) -> SuspectRecord | None:
        """Return the record of a request, if there is one."""

    async def save(
        self, fingerprint: str, suspicion: Suspicion, software_version: str
    ) -> None:
        """Record a suspicion; a later one in the store stays."""

    async def claim_trial(
        self, fingerprint: str, suspicion: Suspicion, software_version: str
    ) -> ClaimOutcome:
        """Claim a trial, which one daemon gets at a time."""

    async def end_trial(self, fingerprint: str, suspicion: Suspicion) -> None:
        """Give up the claim of this daemon, and record the suspicion."""

    async def remove(self, fingerprint: str) -> None:
        """Remove the record of a request that is no longer suspect."""

    async def record_seen(self, fingerprint: str) -> None:
        """Keep the record of a request that callers still send."""


class LocalSuspectRecords(SuspectRecords):
    """Grant all claims, for a front without other daemons."""

    def find(self, fingerprint: str) -> SuspectRecord | None:
        """Return None."""

    async def save(
        self, fingerprint: str, suspicion: Suspicion, software_version: str
    ) -> None:
        """Do nothing."""

    async def claim_trial(
        self, fingerprint: str, suspicion: Suspicion, software_version: str
    ) -> ClaimOutcome:
        """Grant a trial below the limit of rounds."""
        if suspicion.crash_rounds < MAX_CRASH_ROUNDS:
            return ClaimOutcome.granted
        return ClaimOutcome.unavailable

    async def end_trial(self, fingerprint: str, suspicion: Suspicion) -> None:
        """Do nothing."""

    async def remove(self, fingerprint: str) -> None:
        """Do nothing."""

    async def record_seen(self, fingerprint: str) -> None:
        """Do nothing."""
