"""Keep suspicions by fingerprint, with the versions of their changes."""

import random

import attrs

from dragonflyramp.suspects._suspicions import (
    NO_SUSPICION,
    Suspicion,
    SuspicionReport,
)

#: Limit on the suspicions of a daemon, besides those in the store.
_MAX_SUSPICIONS = 1024
#: Limit on the suspicions in one message between daemons.
MAX_REPORTED_SUSPICIONS = 64
#: Version of a daemon that takes no reports, as one of an earlier release.
NOT_REPORTED_VERSION = -1
#: A suspicion that is not in the store expires this long after its last change
#: or the last refusal of its request.
_FIRST_ROUND_TTL_SECONDS = 120
_TTL_SECONDS = 900
_MAX_FIRST_VERSION = 1_000_000_000_000


@attrs.define(kw_only=True)
class SuspicionEntry:
    """Suspicion of a request, and when it changed."""

    suspicion: Suspicion
    touched_at_seconds: float
    #: Version of the table at the last change; None while the other daemons are
    #: not told.
    version: int | None = None

    @property
    def rank(self) -> tuple[int, float]:
        """Return the key by which the first suspicions are dropped."""
        return (self.suspicion.crash_rounds, self.touched_at_seconds)


@attrs.define(eq=False)
class SuspicionTable:
    """Suspicions of a daemon; a later one replaces an earlier one."""

    #: Fingerprints of records in the store. Their suspicions neither expire nor
    #: give way to others.
    stored: set[str] = attrs.field(factory=set)
    #: The first version differs from process to process, so that a daemon that
    #: has started again sends and gets everything anew.
    first_version: int = attrs.field(
        factory=lambda: random.randrange(1, _MAX_FIRST_VERSION)
    )
    version: int = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda table: table.first_version, takes_self=True
        ),
    )
    entries: dict[str, SuspicionEntry] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of suspicions, cleared ones included."""
        return len(self.entries)

    def find(self, fingerprint: str) -> Suspicion:
        """Return the suspicion of a request."""
        entry = self.entries.get(fingerprint)
        return NO_SUSPICION if entry is None else entry.suspicion

    def update(
        self, fingerprint: str, suspicion: Suspicion, now_seconds: float
    ) -> bool:
        """Keep the later one of two suspicions; return whether it is new."""
        entry = self.entries.get(fingerprint)
        if suspicion.order <= self.find(fingerprint).order:
            return False
        self.entries[fingerprint] = SuspicionEntry(
            suspicion=suspicion, touched_at_seconds=now_seconds
        )
        if entry is not None and entry.version is not None:
            self.share(fingerprint)
        self._make_room()
        return True

    def share(self, fingerprint: str) -> bool:
        """Let other daemons know of a suspicion; return whether it is news."""
        entry = self.entries.get(fingerprint)
        if entry is None or entry.version is not None:
            return False
        self.version += 1
        entry.version = self.version
        return True

    def discard_unshared(self, fingerprint: str) -> bool:
        """Drop a suspicion that no other daemon knows; return if it was."""
        entry = self.entries.get(fingerprint)
        if entry is None or entry.version is not None:
            return False
        self.entries.pop(fingerprint)
        return True

    def touch(self, fingerprint: str, now_seconds: float) -> None:
        """Keep the suspicion of a request that has come again."""
        entry = self.entries.get(fingerprint)
        if entry is not None:
            entry.touched_at_seconds = now_seconds

    def _make_room(self) -> None:
        """Drop the suspicion with the fewest rounds that is the oldest."""
        candidates = self.entries.keys() - self.stored
        if len(candidates) > _MAX_SUSPICIONS:
            dropped = min(
                candidates,
                key=lambda fingerprint: self.entries[fingerprint].rank,
            )
            self.entries.pop(dropped)


def count_suspicions(table: SuspicionTable, min_rounds: int) -> int:
    """Return how many requests have at least this many rounds."""
    return sum(
        entry.suspicion.crash_rounds >= min_rounds
        for entry in table.entries.values()
    )


def expire_suspicions(table: SuspicionTable, now_seconds: float) -> None:
    """Drop suspicions of requests that have not come again."""
    for fingerprint, entry in tuple(table.entries.items()):
        is_first_round = entry.suspicion.crash_rounds <= 1
        ttl_seconds = (
            _FIRST_ROUND_TTL_SECONDS if is_first_round else _TTL_SECONDS
        )
        is_expired = now_seconds - entry.touched_at_seconds > ttl_seconds
        if is_expired and fingerprint not in table.stored:
            table.entries.pop(fingerprint)


def has_changes_after(table: SuspicionTable, version: int) -> bool:
    """Return whether a daemon that knows a version lacks a change."""
    if version == NOT_REPORTED_VERSION:
        return False
    return bool(table.entries) and version != table.version


def report_after(table: SuspicionTable, version: int) -> SuspicionReport:
    """Return the changes after a version, the oldest ones first.

    A version of an earlier process counts as none, and so does that of an empty
    table.
    """
    if not table.entries:
        return SuspicionReport()
    if not table.first_version <= version <= table.version:
        version = 0
    changed = sorted(
        (entry.version, fingerprint, entry.suspicion)
        for fingerprint, entry in table.entries.items()
        if entry.version is not None and entry.version > version
    )[:MAX_REPORTED_SUSPICIONS]
    is_complete = len(changed) < MAX_REPORTED_SUSPICIONS
    return SuspicionReport(
        table.version if is_complete else changed[-1][0],
        {fingerprint: suspicion for _, fingerprint, suspicion in changed},
    )
