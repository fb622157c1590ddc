"""Stand in for what a front is given: relays, configuration, objects."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Iterable

import attrs

from dragonflyramp.members import RelayEvent, RelayLost
from dragonflyramp.messages import (
    Part,
    Query,
    Report,
    ShardReport,
    Submit,
    SubmitOutcome,
)
from dragonflyramp.models import (
    Configuration,
    MemberId,
    Service,
    SliceId,
    Snapshot,
)
from dragonflyramp.results import ResultCode

DESK = Service(name='desk', deadline_ms=400)


def configuration(shards: int, desk: Service = DESK) -> Configuration:
    """Configure one searched service over shards s0, s1 and so on."""
    names = [f's{number}' for number in range(shards)]
    services = {desk.name: attrs.evolve(desk, depends_on=tuple(names))}
    services.update((name, Service(name=name)) for name in names)
    return Configuration(
        number=1, user='test', failure_domains={}, services=services, holds={}
    )


def snapshot(
    name: str, *, generation: int = 1, total: int | None = None
) -> Snapshot:
    """Describe a snapshot with 10 documents in each shard."""
    return Snapshot(
        snapshot_id=name,
        generation=generation,
        documents=10,
        total_documents=total,
    )


def report(
    relay_id: str, shards: Iterable[str], *snapshots: Snapshot
) -> Report:
    """Report the same snapshots for each shard."""
    return Report(
        relay_id=MemberId(relay_id),
        slice_ids=(),
        shards=tuple(
            ShardReport(shard=shard, snapshots=snapshots) for shard in shards
        ),
    )


@attrs.define
class FakeSource:
    """Give a configuration."""

    current: Configuration | None
    isolated: bool = False

    async def wait_change(self, number: int) -> Configuration:
        """Never change."""
        raise NotImplementedError

    def is_isolated(self, now_seconds: float) -> bool:
        """Tell what the test set."""
        return self.isolated


def desk_source(shards: int, desk: Service = DESK) -> FakeSource:
    """Give the configuration of one searched service."""
    return FakeSource(configuration(shards, desk))


@attrs.frozen(kw_only=True)
class Reply:
    """Script a relay's answer to one attempt."""

    code: ResultCode = ResultCode.ok
    delay_ms: float = 1
    documents: int = 10
    score: float = 1
    loses_relay: bool = False


@attrs.frozen
class Asked:
    """Hold what a relay was asked for one shard."""

    relay_id: MemberId
    query: Query
    shard: str
    attempt_id: str


Sent = tuple[str, Query]
Inbox = asyncio.Queue[RelayEvent]
#: Decides the answer to an attempt; None stays silent.
Behaviour = Callable[[Asked], Reply | None]


def answer_all(asked: Asked) -> Reply | None:
    """Answer every attempt."""
    return Reply()


OnSubmit = Callable[[Submit], Awaitable[SubmitOutcome]]


async def run_submit(submit: Submit) -> SubmitOutcome:
    """Run a submit at once."""
    return SubmitOutcome(
        submit_id=submit.submit_id, code=ResultCode.ok, body=b'{"booked": 1}'
    )


@attrs.define(eq=False)
class FakeRelays:
    """Stand in for the links to relays; every relay serves every slice."""

    current: tuple[Report, ...]
    behaviour: Behaviour = answer_all
    unreachable: set[str] = attrs.field(factory=set)
    inboxes: dict[str, Inbox] = attrs.field(factory=dict)
    queries: list[Sent] = attrs.field(factory=list)
    on_submit: OnSubmit = run_submit
    cancelled: list[tuple[str, str]] = attrs.field(factory=list)

    def candidates(self, slice_id: SliceId) -> tuple[MemberId, ...]:
        """List the relays in the order of their reports."""
        return tuple(one.relay_id for one in self.current)

    def reports(self) -> tuple[Report, ...]:
        """List the reports that the test set."""
        return self.current

    def open_inbox(self, query_id: str) -> Inbox:
        """Create the queue of a query."""
        return self.inboxes.setdefault(query_id, asyncio.Queue())

    def close_inbox(self, query_id: str) -> None:
        """Drop the queue of a query."""
        self.inboxes.pop(query_id)

    async def send_query(self, relay_id: MemberId, query: Query) -> bool:
        """Schedule the scripted answers."""
        if relay_id in self.unreachable:
            return False
        self.queries.append((relay_id, query))
        for attempt in query.attempts:
            asked = Asked(relay_id, query, attempt.shard, attempt.attempt_id)
            reply = self.behaviour(asked)
            if reply is not None:
                self._deliver_later(asked, reply)
        return True

    async def cancel_query(self, relay_id: MemberId, query_id: str) -> None:
        """Record the cancellation; a query without its inbox is forgotten."""
        if query_id in self.inboxes:
            self.cancelled.append((relay_id, query_id))

    async def send_submit(
        self, relay_id: MemberId, submit: Submit
    ) -> SubmitOutcome:
        """Give the scripted outcome."""
        return await self.on_submit(submit)

    def asked(self) -> list[str]:
        """List each message as the relay and its shards."""
        listed = []
        for relay_id, query in self.queries:
            shards = ','.join(attempt.shard for attempt in query.attempts)
            listed.append(f'{relay_id}:{shards}')
        return listed

    def _deliver_later(self, asked: Asked, reply: Reply) -> None:
        asyncio.get_running_loop().call_later(
            reply.delay_ms / 1000,
            self._deliver,
            asked.query.query_id,
            _event(asked, reply),
        )

    def _deliver(self, query_id: str, event: RelayEvent) -> None:
        inbox = self.inboxes.get(query_id)
        if inbox is not None:
            inbox.put_nowait(event)


def _event(asked: Asked, reply: Reply) -> RelayEvent:
    if reply.loses_relay:
        return RelayLost(asked.relay_id)
    query = asked.query
    hits = [
        {'snapshot': query.snapshot_id, 'id': asked.shard, 'score': reply.score}
    ]
    body = {'snapshot': query.snapshot_id, 'documents': 10, 'hits': hits}
    return Part(
        query_id=query.query_id,
        shard=asked.shard,
        attempt_id=asked.attempt_id,
        snapshot_id=query.snapshot_id,
        code=reply.code,
        documents=reply.documents,
        body=json.dumps(body).encode(),
    )
