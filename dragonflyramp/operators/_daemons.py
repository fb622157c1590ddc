"""Define what operators and daemons exchange, free of any encoding."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Generic, Protocol, TypeAlias, TypeVar

import attrs
from returns.result import Result

from dragonflyramp.operators._roots import Root
from dragonflyramp.results import ResultCode

_Reply = TypeVar('_Reply')

#: A JSON object; each daemon decides what it shows.
Status: TypeAlias = Mapping[str, Any]


@attrs.frozen
class Offer:
    """Hand a root to a daemon, with the parts that the change added."""

    root: Root
    parts: Mapping[str, bytes]


@attrs.frozen
class OfferReply:
    """Answer an offer with the number that the daemon holds."""

    code: ResultCode
    number: int


@attrs.frozen(kw_only=True)
class DaemonView:
    """Give the status interface what it shows and where offers go."""

    status: Callable[[], Status]
    #: ok when ready, else the code of what is missing.
    readiness: Callable[[], ResultCode]
    offer: Callable[[Offer], Awaitable[OfferReply]]
    metrics: Callable[[], bytes]


@attrs.frozen
class DaemonAnswer(Generic[_Reply]):
    """Pair a daemon's address with its answer or the failure."""

    address: str
    outcome: Result[_Reply, ResultCode]


class DaemonClient(Protocol):
    """Reach the status interface of daemons."""

    async def status(self, address: str) -> Result[Status, ResultCode]:
        """Read the status; fail with daemon_unreachable or bad_message."""

    async def offer(
        self, address: str, offer: Offer
    ) -> Result[OfferReply, ResultCode]:
        """Hand over a root; fail with daemon_unreachable or bad_message."""
