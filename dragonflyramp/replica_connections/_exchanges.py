"""Define the exchange of one request and reply with a replica."""

import asyncio
import enum

import attrs

from dragonflyramp.messages import Reply, Request


class OutcomeKind(enum.Enum):
    """Kind of outcome of an exchange."""

    replied = 'replied'
    #: No byte was written, because the connection was closed or the deadline
    #: had passed.
    unsent = 'unsent'
    #: No connection could be opened.
    unreachable = 'unreachable'
    #: The connection closed after the request was written and before the reply
    #: was complete.
    lost = 'lost'
    #: The received bytes are not a valid reply, or belong to another request.
    garbled = 'garbled'
    #: The reply is complete, but no caller may get it.
    invalid = 'invalid'
    #: This daemon no longer waits for the reply.
    cancelled = 'cancelled'


class ConnectionEnd(enum.Enum):
    """Why a connection to a replica ended."""

    #: The replica, or the network, ended it.
    peer_idle = 'peer_idle'
    peer_busy = 'peer_busy'
    #: It was idle for longer than the replica keeps connections open.
    expired = 'expired'
    #: The replica asked for it in its reply.
    asked = 'asked'
    #: Its request was given up, and no reply came in time.
    abandoned = 'abandoned'
    #: It is beyond this daemon's share of the replica's connections.
    over_share = 'over_share'
    #: It made room for a request that it could not carry.
    no_room = 'no_room'
    #: The replica gets no more requests.
    retired = 'retired'
    #: Bytes that belong to no request, or a copy that would not be recognized.
    unusable = 'unusable'
    #: The task of the connection ended.
    stopped = 'stopped'


@attrs.frozen(kw_only=True)
class ReplyOrigin:
    """Exchange in which a reply was received."""

    address: str
    #: Number of the connection, unique in this process.
    connection: int
    #: Ids of the requests that the connection carried before, the last ones.
    earlier_ids: tuple[str, ...]
    #: The body has no length and ended when the connection closed.
    is_close_delimited: bool
    #: Monotonic time at which the event loop found the last bytes of the reply,
    #: before it handled them; None if unknown.
    polled_at_seconds: float | None = None


@attrs.frozen
class Outcome:
    """Outcome of an exchange; `replied` has the reply and its origin."""

    kind: OutcomeKind
    reply: Reply | None = None
    origin: ReplyOrigin | None = None

    def __attrs_post_init__(self) -> None:
        """Raise ValueError for a reply without its origin, or the reverse."""
        if (self.reply is None) is not (self.origin is None):
            raise ValueError(f'reply and origin belong together: {self.kind}')


@attrs.define(eq=False, kw_only=True)
class Exchange:
    """One request to one replica and its future outcome."""

    request: Request
    replica_id: str
    deadline_at_seconds: float
    outcome: asyncio.Future[Outcome]
    #: Tenant of the caller, '' without one; None if no tenants are configured.
    tenant_name: str | None = None
    #: Monotonic time at which the request was written; None before.
    written_at_seconds: float | None = None

    @property
    def is_written(self) -> bool:
        """Return whether the replica may have received the request."""
        return self.written_at_seconds is not None

    def finish(self, outcome: Outcome) -> None:
        """Set the outcome; a later one is ignored."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)
