"""Define the interfaces to the platform's store, and track its era."""

import math
from typing import Any, Protocol

import attrs
from loguru import logger
from returns.result import Result

from dragonflyramp.metrics import counters
from dragonflyramp.replicas import ReplicaEntry
from dragonflyramp.results import ResultCode
from dragonflyramp.runtime import Broadcast
from dragonflyramp.views import ChangeBatch, Fields, Listing

#: Version to pass to a write that creates an object.
ABSENT_VERSION = 0
#: Maximum size of a body that the platform stores.
MAX_OBJECT_BYTES = 1024 * 1024
#: By this time after a daemon has noticed a restore, the daemons in touch have
#: noticed it too, and have written their claims again: a poll of a hub takes up
#: to 2.6 s.
_REWRITE_SECONDS = 5


@attrs.define(eq=False)
class StoreEra:
    """Newest era of the store that this process has heard of.

    The era rises by one each time the store is restored from an older copy.
    What was written after that copy is gone then.
    """

    number: int = 0
    #: Restores that this process has noticed.
    restore_count: int = 0
    _restored: Broadcast = attrs.field(factory=Broadcast)
    _is_known: bool = False
    _restored_at_seconds: float = -math.inf

    def observe(self, number: int, now_seconds: float) -> bool:
        """Record an era of the store; return whether it is the newest.

        The first one is no restore. An older one comes from an answer that was
        under way during a restore, or from elsewhere.
        """
        if number < self.number:
            return False
        previous = self.number
        was_known = self._is_known
        self.number = number
        self._is_known = True
        if number > previous:
            # A process that has just started may have missed a restore.
            self._restored_at_seconds = now_seconds
        if was_known and number > previous:
            self.restore_count += 1
            counters.add('store_restores', 'noticed')
            logger.bind(era=number, previous_era=previous).warning(
                'store restored from an older copy; listing again'
            )
            self._restored.wake()
        return True

    async def wait_for_later(self, number: int) -> None:
        """Wait until an era after a number is known."""
        while self.number <= number:
            await self._restored.wait()

    def rewrite_ends_in_seconds(self, now_seconds: float) -> float:
        """Return how long claims may be missing that are written again."""
        return max(
            0, self._restored_at_seconds + _REWRITE_SECONDS - now_seconds
        )


class KeyedStore(Protocol):
    """Store of JSON objects by kind and name, with conditional writes.

    A `spec` is any value that can be encoded as JSON.

    Every call may also fail with platform_down or bad_reply. A write that
    failed with one of these may have taken effect.
    """

    async def read(self, kind: str, name: str) -> Result[Fields, ResultCode]:
        """Return an object; fail with object_missing if it does not exist."""

    async def create(
        self, kind: str, name: str, spec: Any
    ) -> Result[Fields, ResultCode]:
        """Create an object and return it as stored.

        Fail with version_conflict if it exists.
        """

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> Result[Fields, ResultCode]:
        """Replace an object's spec and return the object as stored.

        Fail with version_conflict if the object is at another revision, and
        with object_missing if it does not exist.
        """

    async def delete(self, kind: str, name: str) -> Result[Fields, ResultCode]:
        """Delete an object; fail with object_missing if it does not exist."""


class WatchedStore(Protocol):
    """Store whose objects can be listed and watched by kind."""

    async def list_objects(
        self, kind: str, *, allow_stale: bool = False
    ) -> Result[Listing, ResultCode]:
        """Return all objects of a kind as of one revision.

        A stale listing may lack the changes of the last few seconds; the
        platform serves it at lower cost. Fail with platform_down, bad_reply or
        history_gone; after the last, only a current listing may succeed.
        """

    async def watch(
        self, kind: str, revision: int, wait_seconds: float
    ) -> Result[ChangeBatch, ResultCode]:
        """Wait up to `wait_seconds` for changes after a revision; return them.

        Fail with history_gone, platform_down or bad_reply.
        """


@attrs.frozen
class VersionedObject:
    """Object at one version; versions only increase."""

    name: str
    version: int
    body: bytes


class ObjectStore(Protocol):
    """Store of byte strings by name, with conditional writes."""

    async def read(self, name: str) -> Result[VersionedObject, ResultCode]:
        """Return an object.

        Fail with object_missing, platform_down or bad_reply.
        """

    def current_era(self) -> int:
        """Return the newest era that an answer had; 0 without eras."""
        return 0

    async def write(
        self, name: str, body: bytes, version: int
    ) -> Result[int, ResultCode]:
        """Write an object that is at the version; return its new version.

        `ABSENT_VERSION` creates the object. Fail with version_conflict if it
        is at another version, with object_missing if it no longer exists, and
        with body_too_large if the body exceeds `MAX_OBJECT_BYTES`. A write that
        failed with platform_down or bad_reply may have taken effect.
        """


class ReplicaLister(Protocol):
    """Client that lists the replicas registered in the platform's store."""

    async def list_replicas(
        self,
    ) -> Result[tuple[ReplicaEntry, ...], ResultCode]:
        """Return all replicas; fail with platform_down or bad_reply."""
