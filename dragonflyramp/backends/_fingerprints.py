"""Keep bodies that may crash backend servers to one server at a time."""

from collections import OrderedDict
from collections.abc import Callable
from typing import TypeAlias

import attrs

from dragonflyramp.metrics import counters

Wake: TypeAlias = Callable[[], None]


@attrs.define
class _Crashes:
    """Remember where and when a body crashed a backend server."""

    first_seconds: float
    latest_seconds: float
    replica_ids: set[str] = attrs.field(factory=set)
    #: A send that began after the first crash was seen crashed as well.
    is_repeated: bool = False


@attrs.define
class Suspects:
    """Remember the bodies that crashed a backend server, for some time."""

    keep_seconds: float
    _crashes: dict[str, _Crashes] = attrs.field(factory=dict)

    def add(
        self,
        fingerprint: str,
        replica_id: str,
        now_seconds: float,
        *,
        sent_seconds: float,
    ) -> None:
        """Add a crash of a send that began then, and forget old ones."""
        oldest = now_seconds - self.keep_seconds
        self._crashes = {
            known: crashes
            for known, crashes in self._crashes.items()
            if crashes.latest_seconds > oldest
        }
        crashes = self._crashes.setdefault(
            fingerprint, _Crashes(now_seconds, now_seconds)
        )
        crashes.latest_seconds = now_seconds
        if sent_seconds > crashes.first_seconds:
            crashes.is_repeated = True
        crashes.replica_ids.add(replica_id)

    def clear(self, fingerprint: str) -> None:
        """Forget a body that completed."""
        self._crashes.pop(fingerprint, None)

    def replica_ids(self, fingerprint: str) -> frozenset[str]:
        """List the replicas that crashed while they ran the body."""
        crashes = self._crashes.get(fingerprint)
        return frozenset(crashes.replica_ids if crashes else ())

    def is_repeated(self, fingerprint: str, now_seconds: float) -> bool:
        """Tell whether the body crashed a second server after the first.

        Sends that were running when the first crash was seen do not count:
        the death of a failure domain resets many at once.
        """
        crashes = self._crashes.get(fingerprint)
        if crashes is None or not crashes.is_repeated:
            return False
        return now_seconds < crashes.latest_seconds + self.keep_seconds

    def crashed_since(self, fingerprint: str, since_seconds: float) -> bool:
        """Tell whether the body crashed a server at that time or later."""
        crashes = self._crashes.get(fingerprint)
        return crashes is not None and crashes.latest_seconds >= since_seconds


@attrs.define(kw_only=True)
class Fingerprints:
    """Follow the bodies that run, that completed, and that crashed a server.

    A body that has not completed yet runs on one server at a time. After a
    crash the jobs that waited with it stay waiting until the body completes
    somewhere; only a job that arrives later, which is the front's decision,
    may run it again. After a second crash no job may: each front counts the
    crashes of its own attempts only, and all fronts together could crash
    two servers each. Without `alone` any body may run at any time.
    """

    max_proven: int
    suspects: Suspects
    alone: bool = True
    _proven: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    _running: set[str] = attrs.field(factory=set)
    _waiting: dict[str, list[Wake]] = attrs.field(factory=dict)

    def __contains__(self, fingerprint: str) -> bool:
        """Tell whether the body completed on some server."""
        return fingerprint in self._proven

    def may_run(self, fingerprint: str, arrived_seconds: float) -> bool:
        """Tell whether a job that arrived then may run the body now."""
        if fingerprint in self._proven or not self.alone:
            return True
        if fingerprint in self._running:
            return False
        return not self.suspects.crashed_since(fingerprint, arrived_seconds)

    def wake_later(self, fingerprint: str, wake: Wake) -> None:
        """Call when the body has run, so that a waiting job is looked at."""
        wakes = self._waiting.setdefault(fingerprint, [])
        if wake not in wakes:
            wakes.append(wake)

    def begin(self, fingerprint: str) -> None:
        """Note that the body is sent to a server."""
        if fingerprint not in self._proven:
            self._running.add(fingerprint)

    def end(self, fingerprint: str, *, completed: bool) -> None:
        """Note that the body no longer runs, and wake who waits for it."""
        self._running.discard(fingerprint)
        if completed:
            self.suspects.clear(fingerprint)
            self._proven[fingerprint] = None
            self._proven.move_to_end(fingerprint)
        if len(self._proven) > self.max_proven:
            self._proven.popitem(last=False)
        for wake in self._waiting.pop(fingerprint, ()):
            wake()

    def crash(
        self,
        fingerprint: str,
        replica_id: str,
        now_seconds: float,
        *,
        sent_seconds: float,
    ) -> None:
        """Note that a server's connection reset while it ran the body."""
        counters.add('crash_suspects', 'connection_reset')
        self._proven.pop(fingerprint, None)
        self.suspects.add(
            fingerprint, replica_id, now_seconds, sent_seconds=sent_seconds
        )
        self.end(fingerprint, completed=False)
        self._forget_unused_wakes()

    def _forget_unused_wakes(self) -> None:
        """Drop the wakes of jobs that ended while their body was held back."""
        for fingerprint in tuple(self._waiting):
            suspected = self.suspects.replica_ids(fingerprint)
            if not suspected and fingerprint not in self._running:
                self._waiting.pop(fingerprint)


def is_refused(
    fingerprints: Fingerprints, fingerprint: str, now_seconds: float
) -> bool:
    """Tell whether the body crashed a second server."""
    return fingerprints.alone and fingerprints.suspects.is_repeated(
        fingerprint, now_seconds
    )
