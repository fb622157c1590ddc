"""Keep what is known of the crashes of each request."""

import asyncio
import collections

import attrs

from dragonflyramp.callers._settings import QuarantineSettings

#: The first crash may be chance, the second quarantines the request.
MAX_CRASHES = 2


@attrs.frozen(kw_only=True)
class Exposure:
    """Identify one attempt of a request on one shard."""

    fingerprint: str
    shard: str
    attempt_id: str
    sent_seconds: float
    until_seconds: float


@attrs.define(eq=False)
class Suspicion:
    """Count the crashes and the running attempts of one request."""

    crashes: int = 0
    crashed_shard: str = ''
    first_crash_seconds: float = 0
    admitted: dict[str, float] = attrs.field(factory=dict)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def exposed(self, now_seconds: float) -> int:
        """Count crashes and attempts that may still end in one."""
        running = sum(until > now_seconds for until in self.admitted.values())
        return self.crashes + running

    def complete(self, exposure: Exposure) -> bool:
        """Take a completed attempt; tell whether it proves the request.

        Only attempts sent after a crash tell anything about it, and only
        one on the crashed shard shows that the crash was chance.
        """
        if not self._is_telling(exposure):
            return False
        if self.crashed_shard == exposure.shard:
            self.crashes = 0
            self.crashed_shard = ''
        return True

    def crash(self, exposure: Exposure, now_seconds: float) -> None:
        """Count a crash.

        Attempts that were running when the first crash was seen are part
        of it: the death of a failure domain resets many at once.
        """
        is_telling = self._is_telling(exposure)
        if not self.crashes:
            self.crashes = 1
            self.crashed_shard = exposure.shard
            self.first_crash_seconds = now_seconds
        elif is_telling:
            self.crashes += 1

    def wake(self) -> None:
        """Wake the searches that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def _is_telling(self, exposure: Exposure) -> bool:
        was_admitted = self.admitted.pop(exposure.attempt_id, None)
        return bool(
            was_admitted or exposure.sent_seconds > self.first_crash_seconds
        )


@attrs.define(eq=False)
class SuspicionTable:
    """Find suspicions by fingerprint within a bound of memory."""

    settings: QuarantineSettings
    _by_fingerprint: dict[str, Suspicion] = attrs.field(
        factory=dict, init=False
    )

    def find(self, fingerprint: str, now_seconds: float) -> Suspicion | None:
        """Return a suspicion unless there is none or it ended."""
        suspicion = self._by_fingerprint.get(fingerprint)
        if suspicion is None or not suspicion.crashes:
            return suspicion
        limit_seconds = self.settings.quarantine_seconds
        if now_seconds < suspicion.first_crash_seconds + limit_seconds:
            return suspicion
        self._by_fingerprint.pop(fingerprint).wake()
        return None

    def obtain(self, fingerprint: str, now_seconds: float) -> Suspicion:
        """Return a suspicion, a new one if there is none."""
        suspicion = self.find(fingerprint, now_seconds)
        if suspicion is not None:
            return suspicion
        if len(self._by_fingerprint) >= self.settings.max_suspects:
            self._by_fingerprint.pop(next(iter(self._by_fingerprint)))
        return self._by_fingerprint.setdefault(fingerprint, Suspicion())

    def settle(self, fingerprint: str) -> None:
        """Wake who waits for a change and drop a suspicion without cause."""
        suspicion = self._by_fingerprint.get(fingerprint)
        if suspicion is None:
            return
        suspicion.wake()
        if not suspicion.crashes and not suspicion.admitted:
            self._by_fingerprint.pop(fingerprint)


@attrs.define(eq=False)
class ProvenRequests:
    """Remember which fingerprints completed lately."""

    settings: QuarantineSettings
    _until_seconds: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict, init=False
    )

    def add(self, fingerprint: str, now_seconds: float) -> None:
        """Remember a completion and forget the oldest beyond the bound."""
        until_seconds = now_seconds + self.settings.proven_seconds
        self._until_seconds[fingerprint] = until_seconds
        self._until_seconds.move_to_end(fingerprint)
        if len(self._until_seconds) > self.settings.max_proven:
            self._until_seconds.popitem(last=False)

    def discard(self, fingerprint: str) -> None:
        """Forget a fingerprint that crashed a backend server."""
        self._until_seconds.pop(fingerprint, None)

    def contains(self, fingerprint: str, now_seconds: float) -> bool:
        """Tell whether the fingerprint completed lately."""
        return self._until_seconds.get(fingerprint, 0) > now_seconds
