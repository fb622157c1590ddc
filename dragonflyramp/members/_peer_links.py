"""Keep a stream from a front to one relay open."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import attrs

from dragonflyramp.members._connections import Connection
from dragonflyramp.members._exchanges import exchange
from dragonflyramp.members._inboxes import Inboxes
from dragonflyramp.members._outboxes import Outbox, OutboxLimits
from dragonflyramp.members._streams import Hello, StreamOpener
from dragonflyramp.models import MemberId

# An unbounded power of two overflows a float in a long outage.
_MAX_DOUBLINGS = 16


@attrs.frozen(kw_only=True)
class LinkLimits:
    """Set the bounds and periods of the streams to relays."""

    outbox: OutboxLimits = OutboxLimits()
    # A relay that shows nothing for this long is the last choice.
    peer_silence_seconds: float = 2
    # A stream that shows nothing for this long is closed and opened anew.
    close_silence_seconds: float = 6
    first_retry_seconds: float = 0.1
    longest_retry_seconds: float = 2


@attrs.frozen
class RelayPeer:
    """Name a relay process and the IP:port at which it listens."""

    member_id: MemberId
    address: str


@attrs.frozen(kw_only=True)
class LinkTools:
    """Hold what all links of a front share."""

    front_id: MemberId
    opener: StreamOpener
    clock: Callable[[], float]
    rng: random.Random
    limits: LinkLimits = LinkLimits()
    inboxes: Inboxes = attrs.field(factory=Inboxes)


@attrs.define(eq=False)
class PeerLink:
    """Keep a stream to one relay open until the link is retired."""

    peer: RelayPeer
    tools: LinkTools
    connection: Connection | None = None
    retired: bool = False

    async def run(self) -> None:
        """Exchange messages, and connect anew whenever the stream closes."""
        failures = 0
        limits = self.tools.limits
        while not self.retired:
            started_seconds = self.tools.clock()
            await self._exchange()
            lasted_seconds = self.tools.clock() - started_seconds
            is_stable = lasted_seconds >= limits.longest_retry_seconds
            failures = 0 if is_stable else failures + 1
            delay_seconds = retry_delay_seconds(
                failures, limits, self.tools.rng
            )
            await asyncio.sleep(delay_seconds)

    def retire(self) -> None:
        """Close the stream once nobody waits for the relay any more."""
        self.retired = True
        if self.connection is not None:
            self.connection.retire()

    async def _exchange(self) -> None:
        with contextlib.ExitStack() as cleanup:
            # gRPC keeps the TCP connection while the call is referenced.
            cleanup.callback(setattr, self, 'connection', None)
            connection = connect(self.peer, self.tools)
            self.connection = connection
            # exchange() logs and counts a failure; the link goes on.
            cleanup.enter_context(contextlib.suppress(Exception))
            await exchange(
                connection,
                self.tools.clock,
                self.tools.limits.close_silence_seconds,
            )


def connect(peer: RelayPeer, tools: LinkTools) -> Connection:
    """Open a stream to a relay, with the greeting as its first message."""
    connection = Connection(
        relay_id=peer.member_id,
        stream=tools.opener.open(peer.address),
        inboxes=tools.inboxes,
        outbox=Outbox(tools.limits.outbox),
        last_heard_seconds=tools.clock(),
    )
    connection.outbox.put_nowait(Hello(tools.front_id))
    return connection


def retry_delay_seconds(
    failures: int, limits: LinkLimits, rng: random.Random
) -> float:
    """Choose the wait before the next connection, with full jitter.

    >>> limits = LinkLimits(first_retry_seconds=1, longest_retry_seconds=4)
    >>> retry_delay_seconds(1000, limits, random.Random(1)) <= 4
    True
    """
    doublings = min(failures, _MAX_DOUBLINGS)
    longest_seconds = limits.first_retry_seconds * 2**doublings
    return rng.uniform(0, min(longest_seconds, limits.longest_retry_seconds))
