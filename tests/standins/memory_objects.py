"""Keep objects in memory as the platform's object API does, with faults."""

import asyncio
import collections

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.members._repeats import wait_at_most
from dragonflyramp.platform import VersionedObject
from dragonflyramp.results import ResultCode

_DOWN: Failure[ResultCode] = Failure(ResultCode.platform_down)


@attrs.define
class Faults:
    """Say what goes wrong for one client of the store.

    `lose_replies` counts the writes still to take effect without a reply,
    `stale_reads` the reads still to be answered with the first version.
    Silent watches are accepted and never answered.
    """

    is_down: bool = False
    delay_seconds: float = 0
    lose_replies: int = 0
    stale_reads: int = 0
    has_silent_watches: bool = False


@attrs.define
class MemoryPlatform:
    """Hold the objects that all clients share."""

    versions: dict[str, list[VersionedObject]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def read(self, name: str) -> Result[VersionedObject, ResultCode]:
        """Return the newest version of an object."""
        versions = self.versions[name]
        if not versions:
            return Failure(ResultCode.object_missing)
        return Success(versions[-1])

    def write(
        self, name: str, body: bytes, version: int
    ) -> Result[int, ResultCode]:
        """Write if the version still stands."""
        versions = self.versions[name]
        present = versions[-1].version if versions else 0
        if present != version:
            return Failure(ResultCode.version_conflict)
        versions.append(VersionedObject(name, version + 1, body))
        self.changed.set()
        self.changed = asyncio.Event()
        return Success(version + 1)


@attrs.define
class MemoryObjects:
    """Implement ObjectStore for one client with its own faults."""

    platform: MemoryPlatform
    faults: Faults = attrs.field(factory=Faults)

    async def read(self, name: str) -> Result[VersionedObject, ResultCode]:
        """Read an object."""
        await asyncio.sleep(self.faults.delay_seconds)
        if self.faults.is_down:
            return _DOWN
        found = self.platform.read(name)
        if self.faults.stale_reads > 0:
            self.faults.stale_reads -= 1
            return found.map(lambda _: self.platform.versions[name][0])
        return found

    async def write(
        self, name: str, body: bytes, version: int
    ) -> Result[int, ResultCode]:
        """Write an object conditionally."""
        await asyncio.sleep(self.faults.delay_seconds)
        if self.faults.is_down:
            return _DOWN
        written = self.platform.write(name, body, version)
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            return _DOWN
        return written

    async def watch(
        self, name: str, version: int, timeout_seconds: float
    ) -> Result[VersionedObject | None, ResultCode]:
        """Wait for a newer version."""
        if self.faults.has_silent_watches:
            await asyncio.Event().wait()
        deadline = asyncio.get_running_loop().time() + timeout_seconds
        while not self.faults.is_down:
            versions = self.platform.versions[name]
            if versions and versions[-1].version > version:
                return Success(versions[-1])
            left_seconds = deadline - asyncio.get_running_loop().time()
            if left_seconds <= 0:
                return Success(None)
            await self._wait_change(left_seconds)
        return _DOWN

    async def _wait_change(self, timeout_seconds: float) -> None:
        # An outage that starts during a watch ends it within this time.
        timeout_seconds = min(timeout_seconds, 0.05)
        await wait_at_most(self.platform.changed.wait(), timeout_seconds)
