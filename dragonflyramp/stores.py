"""Define what the product needs of the platform's store."""

from typing import Any, Protocol

from returns.result import Result

from dragonflyramp.results import ResultCode
from dragonflyramp.views import Changes, Fields, Listing


class KeyedStore(Protocol):
    """Keep objects by kind and name, with conditional writes.

    Every call may also fail with platform_down or bad_reply; after these it
    is unknown whether a write took effect.
    """

    async def read(self, kind: str, name: str) -> Result[Fields, ResultCode]:
        """Read one; fail with object_missing if there is none."""

    async def create(
        self, kind: str, name: str, spec: Any
    ) -> Result[Fields, ResultCode]:
        """Create; fail with version_conflict if it exists."""

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> Result[Fields, ResultCode]:
        """Replace; fail with version_conflict if it changed."""

    async def delete(self, kind: str, name: str) -> Result[Fields, ResultCode]:
        """Remove; fail with object_missing if there is none."""


class WatchedStore(Protocol):
    """List and watch objects by kind."""

    async def list_objects(
        self, kind: str, *, allow_stale: bool = False
    ) -> Result[Listing, ResultCode]:
        """Read all; fail with platform_down or bad_reply.

        A stale list may lack the changes of some seconds and costs less.
        """

    async def watch(
        self, kind: str, revision: int, wait_seconds: float
    ) -> Result[Changes, ResultCode]:
        """Wait for changes.

        Fail with history_gone, platform_down or bad_reply.
        """


class Store(KeyedStore, WatchedStore, Protocol):
    """Offer both."""
