"""Test the front's side of a stream against a stream under test control."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyramp.members import RelayLost
from dragonflyramp.members._connections import Connection
from dragonflyramp.members._exchanges import exchange
from dragonflyramp.members._inboxes import Inboxes
from dragonflyramp.members._outboxes import Outbox, OutboxLimits
from dragonflyramp.members._peer_links import LinkLimits, retry_delay_seconds
from dragonflyramp.members._peers import order_candidates
from dragonflyramp.members._streams import FrontMessage, RelayMessage
from dragonflyramp.messages import Part, Report
from dragonflyramp.metrics import counters
from dragonflyramp.models import MemberId, SliceId
from dragonflyramp.results import ResultCode
from tests import scatter_fakes as fakes
from tests.scatter_fakes import R1, SLICE


@attrs.define(eq=False)
class FakeStream:
    """Let the test decide when a write ends and what the relay sends."""

    may_write: asyncio.Event = attrs.field(factory=asyncio.Event)
    accepts: bool = True
    writing: list[FrontMessage] = attrs.field(factory=list)
    incoming: 'asyncio.Queue[RelayMessage | None]' = attrs.field(
        factory=asyncio.Queue
    )

    async def send(self, message: FrontMessage) -> bool:
        """Begin a write, which ends when the test allows it."""
        if not self.accepts:
            return False
        self.writing.append(message)
        await self.may_write.wait()
        return True

    async def receive(self) -> RelayMessage | None:
        """Return what the test put in."""
        return await self.incoming.get()

    async def close(self) -> None:
        """Nothing to close."""


def make_connection(
    stream: FakeStream,
    relay_id: MemberId = R1,
    slice_ids: tuple[SliceId, ...] = (SLICE,),
    last_heard_seconds: float = 0,
) -> Connection:
    """Create a connection that has received a report."""
    return Connection(
        relay_id=relay_id,
        stream=stream,
        inboxes=Inboxes(),
        outbox=Outbox(OutboxLimits()),
        last_heard_seconds=last_heard_seconds,
        report=Report(relay_id=relay_id, slice_ids=slice_ids, shards=()),
    )


@contextlib.asynccontextmanager
async def exchanging(connection: Connection) -> AsyncIterator[None]:
    """Run the tasks of a connection for the length of the block."""
    task = asyncio.create_task(exchange(connection, float, 1000))
    yield
    task.cancel()
    await asyncio.wait([task])


_WRITE_STATES = pytest.mark.parametrize(
    ('is_blocked', 'code'),
    [
        # Another message blocks the stream, so the write never began.
        (True, ResultCode.no_relay),
        # The write began and did not end.
        (False, ResultCode.outcome_unknown),
    ],
)


@_WRITE_STATES
async def test_submit_whose_stream_closes(
    is_blocked: bool, code: ResultCode
) -> None:
    """Guards against "not run" for an order that may have been sent."""
    stream = FakeStream()
    connection = make_connection(stream)
    if is_blocked:
        connection.send_query(fakes.make_query('q1', 'a'))
    async with exchanging(connection):
        submit = connection.send_submit(fakes.make_submit('s1'))
        waiting = asyncio.create_task(submit)
        await fakes.eventually(lambda: stream.writing)
        stream.incoming.put_nowait(None)
        assert (await waiting).code is code


@_WRITE_STATES
async def test_submit_whose_time_runs_out(
    is_blocked: bool, code: ResultCode
) -> None:
    """Guards against an order sent after its caller was told "not run"."""
    stream = FakeStream()
    connection = make_connection(stream)
    if is_blocked:
        connection.send_query(fakes.make_query('q1', 'a'))
    submit = fakes.make_submit('s1', remaining_ms=1000)
    async with exchanging(connection):
        assert (await connection.send_submit(submit)).code is code
        stream.may_write.set()
        connection.cancel_query('q1')
        await fakes.eventually(connection.outbox.empty)
    assert stream.writing.count(submit) == int(not is_blocked)


async def test_submit_that_the_stream_refuses() -> None:
    """Guards against "outcome unknown" for an order that is too large."""
    stream = FakeStream(accepts=False)
    connection = make_connection(stream)
    connection.send_query(fakes.make_query('q1', 'a'))
    inbox = connection.inboxes.open('q1')
    async with exchanging(connection):
        outcome = await connection.send_submit(fakes.make_submit('s1'))
        assert outcome.code is ResultCode.no_relay
        assert inbox.get_nowait() == RelayLost(R1)


@pytest.mark.parametrize(
    ('part', 'reason'),
    [
        (fakes.make_part('closed', 'a'), 'late'),
        (fakes.make_part('never sent here', 'a'), 'late'),
        (fakes.make_part('q1', 'a'), 'inbox_full'),
    ],
)
async def test_unexpected_parts_are_dropped(part: Part, reason: str) -> None:
    """Guards against parts that fill the memory or reach another query."""
    stream = FakeStream()
    connection = make_connection(stream)
    inboxes = {
        name: connection.inboxes.open(name)
        for name in ('q1', 'closed', 'never sent here')
    }
    for name in ('q1', 'closed'):
        connection.send_query(fakes.make_query(name, 'a'))
    connection.inboxes.close('closed')
    connection.forget_query('closed')
    seen = counters.get('dropped_parts', reason)
    async with exchanging(connection):
        for _ in range(50):
            stream.incoming.put_nowait(part)
        await fakes.eventually(stream.incoming.empty)
    assert counters.get('dropped_parts', reason) > seen
    assert inboxes['never sent here'].empty()
    assert inboxes['q1'].qsize() <= 20


async def test_silent_stream_is_closed() -> None:
    """Guards against a stream that stays open to a relay that hangs."""
    connection = make_connection(FakeStream())
    inbox = connection.inboxes.open('q1')
    connection.send_query(fakes.make_query('q1', 'a'))
    await exchange(connection, lambda: 6.0, 6)
    assert inbox.get_nowait() == RelayLost(R1)
    assert not connection.send_query(fakes.make_query('q2', 'a'))


@pytest.mark.parametrize(
    ('relays', 'order'),
    [
        # Each relay: its id, whether it reports the slice, when heard.
        ([('r1', True, 9), ('r2', True, 9)], ('r1', 'r2')),
        ([('r1', False, 9), ('r2', True, 9)], ('r2', 'r1')),
        ([('r1', True, 7), ('r2', False, 9)], ('r2', 'r1')),
        ([('r1', True, 7), ('r2', False, 7)], ('r1', 'r2')),
    ],
)
async def test_order_of_candidates(
    relays: list[tuple[str, bool, float]], order: tuple[str, ...]
) -> None:
    """Guards against a silent relay that is asked before one that answers."""
    ready = [
        make_connection(
            FakeStream(), MemberId(name), (SLICE,) if reports else (), heard
        )
        for name, reports, heard in relays
    ]
    assert order_candidates(SLICE, ready, 2, 9.5) == order


@given(st.integers(0, 10_000), st.integers())
@settings(derandomize=True, deadline=None)
def test_retry_delay_is_capped(failures: int, seed: int) -> None:
    """Guards against an overflow, or an endless wait, in a long outage."""
    limits = LinkLimits()
    delay = retry_delay_seconds(failures, limits, random.Random(seed))
    assert 0 <= delay <= limits.longest_retry_seconds
