"""Define what a relay needs of a client to one backend server."""

import enum
from collections.abc import Callable
from typing import Protocol, TypeAlias

import attrs
from returns.result import Result

from dragonflyramp.models import Snapshot
from dragonflyramp.results import ResultCode


def always() -> bool:
    """Allow every call."""
    return True


@attrs.frozen(kw_only=True)
class SearchCall:
    """Ask a backend server for the hits of one snapshot.

    `is_allowed` is asked once more immediately before the first byte.
    """

    snapshot_id: str
    deadline_ms: int
    attempt_id: str
    request_id: str
    body: bytes
    is_allowed: Callable[[], bool] = always


@attrs.frozen(kw_only=True)
class SubmitCall:
    """Ask a backend server to run a request that must not be repeated.

    `is_allowed` is asked once more immediately before the first byte.
    """

    idempotency_key: str
    deadline_ms: int
    attempt_id: str
    request_id: str
    body: bytes
    is_allowed: Callable[[], bool] = always


@attrs.frozen(kw_only=True)
class Reply:
    """Hold the outcome of one search or submit.

    `sent` is False only when no byte of the request left this process.
    """

    code: ResultCode
    sent: bool = True
    instance_id: str = ''
    load: float | None = None
    snapshot_id: str = ''
    documents: int = 0
    body: bytes = b''


@attrs.frozen(kw_only=True)
class Status:
    """Hold what a backend server says of itself."""

    instance_id: str
    load: float | None
    draining: bool
    snapshots: tuple[Snapshot, ...]


class StatusFailure(enum.Enum):
    """Name the ways in which reading the status fails."""

    refused = 'refused'
    lost = 'lost'
    bad_reply = 'bad_reply'
    #: This process, not the server, was too slow.
    stalled = 'stalled'


class BackendClient(Protocol):
    """Talk to one backend server over at most one connection.

    The calls have no time limit of their own; cancelling one closes the
    connection.
    """

    def is_open(self) -> bool:
        """Tell whether a connection was opened and is not known as lost."""

    async def status(self) -> Result[Status, StatusFailure]:
        """Read the status, on a new connection when none is open."""

    async def search(self, call: SearchCall) -> Reply:
        """Search on the open connection; unsent when it was lost."""

    async def submit(self, call: SubmitCall) -> Reply:
        """Submit on the open connection; unsent when it was lost."""

    async def close(self) -> None:
        """Close the connection; the next status opens another one."""


#: Makes the client of one address, given as host:port.
ClientFactory: TypeAlias = Callable[[str], BackendClient]
