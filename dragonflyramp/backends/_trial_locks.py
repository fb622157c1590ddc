"""Let one attempt at a suspect request run at a time."""

import asyncio
from collections.abc import Callable

import attrs


@attrs.define(eq=False)
class _CountedLock:
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    #: Tasks that hold the lock or wait for it.
    user_count: int = 0


def _do_nothing() -> None:
    """Do nothing, for a lock that was released."""


@attrs.define(eq=False)
class HeldTrialLock:
    """Lock of a request, held by one task."""

    _release: Callable[[], None]

    def release(self) -> None:
        """Release the lock; later calls do not release that of another task."""
        release = self._release
        self._release = _do_nothing
        release()


@attrs.define(eq=False)
class TrialLocks:
    """Locks by the fingerprints of requests; unused ones are dropped."""

    _locks: dict[str, _CountedLock] = attrs.field(factory=dict)

    async def try_acquire(
        self, fingerprint: str, timeout_seconds: float
    ) -> HeldTrialLock | None:
        """Take the lock of a request; return None if another task keeps it."""
        counted = self._locks.setdefault(fingerprint, _CountedLock())
        counted.user_count += 1
        is_acquired = False
        try:
            async with asyncio.timeout(max(0, timeout_seconds)):
                is_acquired = await counted.lock.acquire()
        except TimeoutError:
            return None
        finally:
            if not is_acquired:
                self._discard(fingerprint, counted)
        return HeldTrialLock(lambda: self._release(fingerprint, counted))

    def _release(self, fingerprint: str, counted: _CountedLock) -> None:
        counted.lock.release()
        self._discard(fingerprint, counted)

    def _discard(self, fingerprint: str, counted: _CountedLock) -> None:
        counted.user_count -= 1
        if not counted.user_count:
            self._locks.pop(fingerprint)
