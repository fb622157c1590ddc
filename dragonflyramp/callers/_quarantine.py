"""Refuse requests that crashed backend servers, for a time."""

import hashlib

import attrs
from loguru import logger

from dragonflyramp.callers._settings import QuarantineSettings
from dragonflyramp.metrics import counters

#: Entries that end sooner are not passed on: the delay of a heartbeat
#: would bring them back at a member where they just ended, in circles.
_LEAST_LISTED_MS = 1000


def fingerprint_of(service: str, body: bytes) -> str:
    """Identify equal requests: the service and the digest of the body."""
    digest = hashlib.sha256(body).hexdigest()
    return f'{service}:{digest}'


@attrs.frozen
class QuarantineEntry:
    """Name a quarantined fingerprint and the time that is left."""

    fingerprint: str
    remaining_ms: int


@attrs.define(eq=False)
class Quarantine:
    """Hold the fingerprints that no front runs for now."""

    settings: QuarantineSettings = QuarantineSettings()
    _until_seconds: dict[str, float] = attrs.field(factory=dict, init=False)

    def contains(self, fingerprint: str, now_seconds: float) -> bool:
        """Tell whether the fingerprint is quarantined."""
        return self._until_seconds.get(fingerprint, 0) > now_seconds

    def add(
        self, fingerprint: str, remaining_ms: float, now_seconds: float
    ) -> None:
        """Quarantine a fingerprint; a running quarantine is not extended.

        Members pass entries on to each other, and an extension at each
        exchange would keep an entry for ever.
        """
        if remaining_ms <= 0 or self.contains(fingerprint, now_seconds):
            return
        limit_seconds = self.settings.quarantine_seconds
        remaining_seconds = min(remaining_ms / 1000, limit_seconds)
        self._make_room(now_seconds)
        self._until_seconds[fingerprint] = now_seconds + remaining_seconds
        counters.add('quarantine', 'added')
        logger.warning('fingerprint {} is quarantined', fingerprint)

    def start(self, fingerprint: str, now_seconds: float) -> None:
        """Quarantine a fingerprint for the whole time."""
        limit_ms = self.settings.quarantine_seconds * 1000
        self.add(fingerprint, limit_ms, now_seconds)

    def entries(self, now_seconds: float) -> tuple[QuarantineEntry, ...]:
        """List the entries to pass on to other members."""
        listed = (
            QuarantineEntry(fingerprint, int((until - now_seconds) * 1000))
            for fingerprint, until in self._until_seconds.items()
        )
        return tuple(
            entry for entry in listed if entry.remaining_ms >= _LEAST_LISTED_MS
        )

    def _make_room(self, now_seconds: float) -> None:
        ended = [
            fingerprint
            for fingerprint, until in self._until_seconds.items()
            if until <= now_seconds
        ]
        for fingerprint in ended:
            self._until_seconds.pop(fingerprint)
        if len(self._until_seconds) >= self.settings.max_quarantined:
            first = min(
                self._until_seconds, key=self._until_seconds.__getitem__
            )
            self._until_seconds.pop(first)
            counters.add('quarantine', 'evicted')
