"""Stand in for the platform's object API, with faults."""

import asyncio
from collections.abc import Callable

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.platform import ABSENT, VersionedObject
from dragonflyramp.results import ResultCode


class _Unwatched:
    async def watch(
        self, name: str, version: int, timeout_seconds: float
    ) -> Result[VersionedObject | None, ResultCode]:
        """Refuse, since a front watches nothing."""
        raise NotImplementedError


@attrs.define(eq=False)
class MemoryStore(_Unwatched):
    """Keep objects in memory; calls counts reads and writes."""

    stored: dict[str, VersionedObject] = attrs.field(factory=dict)
    calls: int = 0

    async def read(self, name: str) -> Result[VersionedObject, ResultCode]:
        """Read an object."""
        self.calls += 1
        found = self.stored.get(name)
        return Success(found) if found else Failure(ResultCode.object_missing)

    async def write(
        self, name: str, body: bytes, version: int
    ) -> Result[int, ResultCode]:
        """Write if the version still stands."""
        self.calls += 1
        return self.apply(name, body, version)

    def apply(
        self, name: str, body: bytes, version: int
    ) -> Result[int, ResultCode]:
        """Let a write take effect now if its version still stands."""
        found = self.stored.get(name)
        stands = found.version if found else ABSENT
        if stands != version:
            return Failure(ResultCode.version_conflict)
        self.stored[name] = VersionedObject(name, version + 1, body)
        return Success(version + 1)


@attrs.frozen(kw_only=True)
class Fault:
    """Describe what happens to one call."""

    delay_ms: float = 0
    #: How long the process is paused when the call begins.
    pause_ms: float = 0
    is_reply_lost: bool = False
    #: When a write whose reply is lost takes effect; None is never.
    effect_ms: float | None = 0


@attrs.define(eq=False)
class FaultyStore(_Unwatched):
    """Reach a store through calls that are slow, lost or late."""

    store: MemoryStore
    next_fault: Callable[[], Fault]

    async def read(self, name: str) -> Result[VersionedObject, ResultCode]:
        """Read an object, or lose the reply."""
        fault = self.next_fault()
        await asyncio.sleep(fault.delay_ms / 1000)
        if fault.is_reply_lost:
            return Failure(ResultCode.platform_down)
        return await self.store.read(name)

    async def write(
        self, name: str, body: bytes, version: int
    ) -> Result[int, ResultCode]:
        """Write an object, or lose the reply before or after the effect."""
        fault = self.next_fault()
        if not fault.is_reply_lost:
            await asyncio.sleep(fault.delay_ms / 1000)
            return await self.store.write(name, body, version)
        if fault.effect_ms is not None:
            asyncio.get_running_loop().call_later(
                fault.effect_ms / 1000, self.store.apply, name, body, version
            )
        await asyncio.sleep(fault.delay_ms / 1000)
        return Failure(ResultCode.platform_down)
