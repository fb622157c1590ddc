"""Let one attempt at a suspect request run at a time."""

import asyncio

import attrs


@attrs.define(eq=False)
class _CountedLock:
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    #: Tasks that hold the lock or wait for it.
    user_count: int = 0


@attrs.define(eq=False)
class TrialLocks:
    """Locks by the fingerprints of requests; unused ones are dropped."""

    _locks: dict[str, _CountedLock] = attrs.field(factory=dict)

    async def try_acquire(
        self, fingerprint: str, timeout_seconds: float
    ) -> bool:
        """Take the lock of a request; return False if another task keeps it."""
        counted = self._locks.setdefault(fingerprint, _CountedLock())
        counted.user_count += 1
        is_acquired = False
        try:
            async with asyncio.timeout(max(0, timeout_seconds)):
                is_acquired = await counted.lock.acquire()
        except TimeoutError:
            return False
        finally:
            if not is_acquired:
                self._discard(fingerprint, counted)
        return True

    def release(self, fingerprint: str) -> None:
        """Release the lock of a request."""
        counted = self._locks[fingerprint]
        counted.lock.release()
        self._discard(fingerprint, counted)

    def _discard(self, fingerprint: str, counted: _CountedLock) -> None:
        counted.user_count -= 1
        if not counted.user_count:
            self._locks.pop(fingerprint)
