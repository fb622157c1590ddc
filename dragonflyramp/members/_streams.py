"""Define the scatter stream between a front and a relay, without encoding."""

from typing import Protocol, TypeAlias

import attrs

from dragonflyramp.messages import Part, Query, Report, Submit, SubmitOutcome
from dragonflyramp.models import MemberId


@attrs.frozen
class Hello:
    """Name the front that opened a stream."""

    front_id: MemberId


@attrs.frozen
class Cancel:
    """Ask a relay to stop working on a query."""

    query_id: str


@attrs.frozen
class KeepAlive:
    """Show that a relay runs; its last report stays in force."""


@attrs.frozen
class Parts:
    """Carry several parts, of the same or of different queries."""

    parts: tuple[Part, ...]


FrontMessage: TypeAlias = Hello | Query | Cancel | Submit
RelayMessage: TypeAlias = Report | KeepAlive | Part | Parts | SubmitOutcome


class RelayStream(Protocol):
    """Exchange messages with one relay, at the front."""

    async def send(self, message: FrontMessage) -> bool:
        """Write a message; False when it was certainly not written."""

    async def receive(self) -> RelayMessage | None:
        """Read the next message; None when the stream has closed."""

    async def close(self) -> None:
        """Close the stream and its connection."""


class StreamOpener(Protocol):
    """Open streams to relays."""

    def open(self, address: str) -> RelayStream:
        """Open a stream on a new connection to an IP:port."""


class FrontStream(Protocol):
    """Exchange messages with one front, at the relay."""

    async def send(self, message: RelayMessage) -> bool:
        """Write a message; False when the stream has closed."""

    async def receive(self) -> FrontMessage | None:
        """Read the next message; None when the stream has closed."""
