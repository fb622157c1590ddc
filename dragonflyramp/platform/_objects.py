"""Define what the system needs of the platform's object API."""

from typing import Protocol

import attrs
from returns.result import Result

from dragonflyramp.results import ResultCode

#: Version that a write names to create an object.
ABSENT = 0
#: Largest body that the platform stores.
MAX_OBJECT_BYTES = 1024 * 1024


@attrs.frozen
class VersionedObject:
    """Hold one object as it was at one version; versions only grow."""

    name: str
    version: int
    body: bytes


class ObjectStore(Protocol):
    """Keep objects under names, with conditional updates and watches."""

    async def read(self, name: str) -> Result[VersionedObject, ResultCode]:
        """Read an object.

        Fail with object_missing, platform_down or bad_reply.
        """

    async def write(
        self, name: str, body: bytes, version: int
    ) -> Result[int, ResultCode]:
        """Write if the version still stands and return the new version.

        Fail with version_conflict when it does not stand, and with
        body_too_large above `MAX_OBJECT_BYTES`. After platform_down or
        bad_reply it is unknown whether the write took effect.
        """

    async def watch(
        self, name: str, version: int, timeout_seconds: float
    ) -> Result[VersionedObject | None, ResultCode]:
        """Wait for a version above the given one; None after the timeout.

        Fail with platform_down, or bad_reply when an older version comes.
        """
