"""Reach the relays of the group from a front."""

import asyncio
import functools
from collections.abc import Callable, Iterable

import attrs

from dragonflyramp.members._connections import Connection
from dragonflyramp.members._links import RelayEvent
from dragonflyramp.members._peer_links import LinkTools, PeerLink, RelayPeer
from dragonflyramp.members._submits import not_sent
from dragonflyramp.messages import Query, Report, Submit, SubmitOutcome
from dragonflyramp.metrics import counters
from dragonflyramp.models import MemberId, SliceId
from dragonflyramp.runtime import TaskSet


@attrs.define(eq=False)
class RelayPeers:
    """Run one task for each relay of the group."""

    tools: LinkTools
    _links: dict[MemberId, PeerLink] = attrs.field(init=False, factory=dict)
    _retired: set[PeerLink] = attrs.field(init=False, factory=set)
    _tasks: TaskSet = attrs.field(init=False, factory=TaskSet)

    def set_peers(self, peers: Iterable[RelayPeer]) -> None:
        """Keep links to exactly these relays.

        The stream to a relay that is no longer listed stays until nobody
        waits for it any more, because a leaving relay finishes its queries.
        """
        wanted = {peer.member_id: peer for peer in peers}
        for link in tuple(self._links.values()):
            if wanted.get(link.peer.member_id) != link.peer:
                self._retired.add(self._links.pop(link.peer.member_id))
                link.retire()
        for peer in wanted.values():
            if peer.member_id not in self._links:
                self._start(peer)

    def ready(self, relay_id: MemberId) -> Connection | None:
        """Return the connection of a listed relay if it takes requests."""
        link = self._links.get(relay_id)
        connection = link.connection if link else None
        return connection if connection and connection.report else None

    def all_ready(self) -> list[Connection]:
        """List the connections of listed relays that take requests."""
        return list(filter(None, map(self.ready, self._links)))

    def all_open(self) -> list[Connection]:
        """List every connection, those of retired links included."""
        links = (*self._links.values(), *self._retired)
        return [link.connection for link in links if link.connection]

    async def close(self) -> None:
        """Close every stream; all who wait are told."""
        await self._tasks.cancel()

    def _start(self, peer: RelayPeer) -> None:
        link = PeerLink(peer, self.tools)
        self._links[peer.member_id] = link
        task = self._tasks.start(link.run(), 'relay_link')
        task.add_done_callback(functools.partial(self._end, link))

    def _end(self, link: PeerLink, task: asyncio.Task[object]) -> None:
        self._retired.discard(link)


def order_candidates(
    slice_id: SliceId,
    ready: Iterable[Connection],
    silence_seconds: float,
    now_seconds: float,
) -> tuple[MemberId, ...]:
    """Put relays that report the slice first and silent ones last."""
    rank = functools.partial(_rank, slice_id, now_seconds - silence_seconds)
    return tuple(connection.relay_id for connection in sorted(ready, key=rank))


def _rank(
    slice_id: SliceId, silent_since_seconds: float, connection: Connection
) -> tuple[bool, bool]:
    is_silent = connection.last_heard_seconds <= silent_since_seconds
    report = connection.report
    return is_silent, report is None or slice_id not in report.slice_ids


@attrs.define(eq=False)
class PeerLinks:
    """Implement RelayLinks over the streams to the relays of the group.

    `slice_members` lists the members of a slice: holder, then deputies.
    """

    peers: RelayPeers
    slice_members: Callable[[SliceId], tuple[MemberId, ...]]

    def candidates(self, slice_id: SliceId) -> tuple[MemberId, ...]:
        """List connected relays for a slice, the best choice first."""
        tools = self.peers.tools
        members = map(self.peers.ready, self.slice_members(slice_id))
        return order_candidates(
            slice_id,
            filter(None, members),
            tools.limits.peer_silence_seconds,
            tools.clock(),
        )

    def reports(self) -> tuple[Report, ...]:
        """List the latest report of each connected relay."""
        reports = (ready.report for ready in self.peers.all_ready())
        return tuple(filter(None, reports))

    def open_inbox(self, query_id: str) -> asyncio.Queue[RelayEvent]:
        """Create the queue that receives the events of one query."""
        return self.peers.tools.inboxes.open(query_id)

    def close_inbox(self, query_id: str) -> None:
        """Drop the queue; what arrives later is counted as late."""
        self.peers.tools.inboxes.close(query_id)
        for connection in self.peers.all_open():
            connection.forget_query(query_id)

    async def send_query(self, relay_id: MemberId, query: Query) -> bool:
        """Send a query; False when nothing was sent.

        True means that a RelayLost follows if the stream closes.
        """
        connection = self.peers.ready(relay_id)
        if connection is None:
            counters.add('unsent_messages', 'not_connected')
            return False
        return connection.send_query(query)

    async def cancel_query(self, relay_id: MemberId, query_id: str) -> None:
        """Ask a relay to stop working on a query."""
        for connection in self.peers.all_open():
            if connection.relay_id == relay_id:
                connection.cancel_query(query_id)

    async def send_submit(
        self, relay_id: MemberId, submit: Submit
    ) -> SubmitOutcome:
        """Send a submit once and wait for its outcome.

        The code is no_relay when nothing was sent, and outcome_unknown when
        the stream closed or the time ran out after the write began.
        """
        connection = self.peers.ready(relay_id)
        if connection is None:
            counters.add('unsent_messages', 'not_connected')
            return not_sent(submit.submit_id)
        return await connection.send_submit(submit)
