"""Define the calls between members, apart from how they are carried."""

from typing import Protocol

from returns.result import Result

from dragonflyramp.members import _messages as messages
from dragonflyramp.results import ResultCode


class MemberCalls(Protocol):
    """Call other members by address.

    Each call ends within its timeout and fails with member_unreachable,
    or with bad_message when the reply is malformed. After a failure it is
    unknown whether the member acted on the request.
    """

    async def heartbeat(
        self, address: str, request: messages.Heartbeat, timeout_seconds: float
    ) -> Result[messages.HeartbeatReply, ResultCode]:
        """Report to the writer, or ask who that is."""

    async def promise(
        self, address: str, request: messages.Promise, timeout_seconds: float
    ) -> Result[messages.PromiseReply, ResultCode]:
        """Ask a deputy for its promise."""

    async def handover(
        self, address: str, request: messages.Handover, timeout_seconds: float
    ) -> Result[messages.HandoverReply, ResultCode]:
        """Give warmth tables to a successor."""

    async def offer(
        self, address: str, request: messages.Offer, timeout_seconds: float
    ) -> Result[messages.OfferReply, ResultCode]:
        """Offer a configuration."""

    async def fetch(
        self, address: str, request: messages.Fetch, timeout_seconds: float
    ) -> Result[messages.FetchReply, ResultCode]:
        """Ask for the newest configuration."""


class MembershipServer(Protocol):
    """Answer the calls on membership and leases."""

    async def heartbeat(
        self, request: messages.Heartbeat
    ) -> messages.HeartbeatReply:
        """Answer once a write covers the heartbeat, or refuse."""

    async def promise(self, request: messages.Promise) -> messages.PromiseReply:
        """Promise not to renounce tenures and load their warmth."""

    async def handover(
        self, request: messages.Handover
    ) -> messages.HandoverReply:
        """Load the warmth of slices that this member is to get."""


class SpreadServer(Protocol):
    """Answer the calls on configuration."""

    async def offer(self, request: messages.Offer) -> messages.OfferReply:
        """Adopt an offered configuration if its number is higher."""

    async def fetch(self, request: messages.Fetch) -> messages.FetchReply:
        """Give the adopted configuration if its number is higher."""
