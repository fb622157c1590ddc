"""Test the scatter streams over real gRPC on loopback."""

import asyncio
import contextlib
import random

import attrs
import pytest

from dragonflyramp.members import RelayLost
from dragonflyramp.members._codec_grpc import MAX_MESSAGE_BYTES, encode_front
from dragonflyramp.members._fronts import FrontLimits
from dragonflyramp.members._outboxes import OutboxLimits
from dragonflyramp.members._peer_links import LinkLimits, RelayPeer
from dragonflyramp.members.members_pb2 import FrontMessage, Query, ShardAttempt
from dragonflyramp.metrics import counters
from dragonflyramp.models import MemberId
from dragonflyramp.results import ResultCode
from tests import scatter_fakes as fakes
from tests.scatter_fakes import R1, SLICE, FakeServer, eventually


async def test_parts_reach_only_their_query() -> None:
    """Guards against parts that reach another caller's query."""
    fake = FakeServer()
    async with (
        fakes.running_relay(fake) as relay,
        fakes.running_front(relay.peer) as links,
    ):
        sent = {
            name: fakes.make_query(name, 'a', 'b', 'c') for name in ('q1', 'q2')
        }
        inboxes = {name: links.open_inbox(name) for name in sent}
        for query in sent.values():
            assert await links.send_query(R1, query)
        await eventually(lambda: len(fake.outboxes) == 2)
        parts = [
            fakes.make_part(name, shard) for name in sent for shard in 'abc'
        ]
        random.Random(2).shuffle(parts)
        for part in parts:
            fake.outboxes[part.query_id].put_nowait(part)
        for name, inbox in inboxes.items():
            received = [await inbox.get() for _ in range(3)]
            assert received == [part for part in parts if part.query_id == name]
            assert inbox.empty()


async def test_burst_of_parts_arrives_in_order() -> None:
    """Guards against parts that get lost, or pass the limit, when joined."""
    fake = FakeServer()
    shards = [f'shard-{number}' for number in range(100)]
    bodies = dict.fromkeys(shards, b'{}')
    bodies['shard-50'] = b'x' * 3_000_000
    async with (
        fakes.running_relay(fake) as relay,
        fakes.running_front(relay.peer) as links,
    ):
        inbox = links.open_inbox('q1')
        assert await links.send_query(R1, fakes.make_query('q1', *shards))
        await eventually(lambda: fake.outboxes)
        parts = [
            fakes.make_part('q1', shard, body) for shard, body in bodies.items()
        ]
        for part in parts:
            fake.outboxes['q1'].put_nowait(part)
        assert [await inbox.get() for _ in parts] == parts
        await eventually(lambda: inbox.empty())


async def test_relay_loss_is_told_once_to_each_query() -> None:
    """Guards against searches that wait for a relay that has stopped."""
    fake = FakeServer()
    async with (
        fakes.running_relay(fake) as relay,
        fakes.running_front(relay.peer) as links,
    ):
        inboxes = [links.open_inbox(name) for name in ('q1', 'q2', 'closed')]
        for name in ('q1', 'q2', 'closed'):
            assert await links.send_query(R1, fakes.make_query(name, 'a'))
        links.close_inbox('closed')
        await eventually(lambda: len(fake.outboxes) == 3)
        await relay.server.stop(0)
        await eventually(lambda: not links.candidates(SLICE))
        counts = [inbox.qsize() for inbox in inboxes]
        assert counts == [1, 1, 0]
        assert inboxes[0].get_nowait() == RelayLost(R1)
        assert not await links.send_query(R1, fakes.make_query('q3', 'a'))


async def test_other_process_is_not_the_relay() -> None:
    """Guards against a restarted relay taken for the holder of its leases."""
    async with contextlib.AsyncExitStack() as first:
        relay = await first.enter_async_context(
            fakes.running_relay(FakeServer())
        )
        async with fakes.running_front(relay.peer) as links:
            await first.aclose()
            successor = FakeServer(MemberId('r2'))
            seen = counters.get('relay_streams', 'other_relay')
            async with fakes.running_relay(successor, relay.port):
                await eventually(
                    lambda: counters.get('relay_streams', 'other_relay') > seen
                )
                assert not links.candidates(SLICE)
                peer = RelayPeer(MemberId('r2'), relay.peer.address)
                links.peers.set_peers([peer])
                await eventually(links.reports)
                assert links.reports()[0].relay_id == 'r2'


async def test_changed_report_reaches_every_front() -> None:
    """Guards against a front that keeps a relay's report from its start."""
    fake = FakeServer(slice_ids=())
    async with (
        fakes.running_relay(fake) as relay,
        fakes.running_front(relay.peer) as one,
        fakes.running_front(relay.peer) as other,
    ):
        fake.slice_ids = (SLICE,)
        fake.changed.set()
        await eventually(lambda: one.reports()[0].slice_ids == (SLICE,))
        await eventually(lambda: other.reports()[0].slice_ids == (SLICE,))


@pytest.mark.parametrize(
    ('raw', 'reason'),
    [
        (b'\xff\xff', 'malformed'),
        (b'', 'unknown_kind'),
        (b'\x7a\x02hi', 'unknown_kind'),
        (
            FrontMessage(query=Query(query_id='q')).SerializeToString(),
            'missing_field',
        ),
        (
            FrontMessage(
                query=Query(query_id='q', attempts=[ShardAttempt(shard='a')])
            ).SerializeToString(),
            'missing_field',
        ),
        (bytes(MAX_MESSAGE_BYTES + 1), 'too_large'),
    ],
)
async def test_bad_message_is_counted_and_skipped(
    raw: bytes, reason: str
) -> None:
    """Guards against a bad message that ends a stream or a daemon."""
    fake = FakeServer()
    seen = counters.get('bad_message', reason)
    async with (
        fakes.running_relay(fake) as relay,
        fakes.raw_call(relay) as call,
    ):
        await call.write(raw)
        await call.write(encode_front(fakes.make_query('good', 'a')))
        await eventually(lambda: 'good' in fake.outboxes)
    assert counters.get('bad_message', reason) == seen + 1


async def test_front_that_does_not_read_is_dropped() -> None:
    """Guards against a relay whose memory grows for a front that is stuck."""
    fake = FakeServer()
    limits = FrontLimits(outbox=OutboxLimits(messages=50))
    seen = counters.get('front_streams', 'not_reading')
    async with (
        fakes.running_relay(fake, limits=limits) as relay,
        fakes.raw_call(relay) as call,
    ):
        await call.write(encode_front(fakes.make_query('q1', 'a')))
        await eventually(lambda: 'q1' in fake.outboxes)
        outbox = fake.outboxes['q1']
        for _ in range(1000):
            outbox.put_nowait(fakes.make_part('q1', 'a', bytes(100_000)))
        assert outbox.qsize() <= 50
        await eventually(lambda: fake.cancelled == ['q1'])
    assert counters.get('front_streams', 'not_reading') == seen + 1


async def test_queries_of_a_lost_front_are_cancelled() -> None:
    """Guards against work for callers that nobody can answer any more."""
    fake = FakeServer()
    async with fakes.running_relay(fake) as relay:
        async with fakes.running_front(relay.peer) as links:
            for name in ('q1', 'q2'):
                links.open_inbox(name)
                await links.send_query(R1, fakes.make_query(name, 'a'))
            await links.cancel_query(R1, 'q1')
            await eventually(lambda: fake.cancelled == ['q1'])
        await eventually(lambda: fake.cancelled == ['q1', 'q2'])


async def test_drain_finishes_what_runs() -> None:
    """Guards against a planned stop that interrupts a request."""
    fake = FakeServer()
    async with (
        fakes.running_relay(fake) as relay,
        fakes.running_front(relay.peer) as links,
    ):
        inboxes = {name: links.open_inbox(name) for name in ('old', 'new')}
        await links.send_query(R1, fakes.make_query('old', 'a'))
        submit = asyncio.create_task(
            links.send_submit(R1, fakes.make_submit('s1'))
        )
        await eventually(lambda: fake.outboxes and fake.submits)
        drain = asyncio.create_task(relay.fronts.drain(20))
        await asyncio.sleep(0)
        await links.send_query(R1, fakes.make_query('new', 'a'))
        refused = [
            await inboxes['new'].get(),
            await links.send_submit(R1, fakes.make_submit('s2')),
        ]
        assert all(attrs.asdict(one)['code'] == 203 for one in refused)
        assert not drain.done()
        fake.outboxes['old'].put_nowait(fakes.make_part('old', 'a'))
        fake.finish_submits.set()
        assert await drain
        assert await inboxes['old'].get() == fakes.make_part('old', 'a')
        assert (await submit).code is ResultCode.ok


async def test_submit_whose_stream_closes_is_unknown() -> None:
    """Guards against an order that is reported as not run and sent again."""
    fake = FakeServer()
    async with (
        fakes.running_relay(fake) as relay,
        fakes.running_front(relay.peer) as links,
    ):
        submit = asyncio.create_task(
            links.send_submit(R1, fakes.make_submit('s1'))
        )
        await eventually(lambda: fake.submits)
        await relay.server.stop(0)
        assert (await submit).code is ResultCode.outcome_unknown
        unsent = await links.send_submit(R1, fakes.make_submit('s2'))
        assert unsent.code is ResultCode.no_relay
        assert fake.submits == ['s1']


async def test_leaving_relay_may_finish_its_queries() -> None:
    """Guards against a planned stop that loses the parts of its queries."""
    fake = FakeServer()
    async with (
        fakes.running_relay(fake) as relay,
        fakes.running_front(relay.peer) as links,
    ):
        inbox = links.open_inbox('q1')
        await links.send_query(R1, fakes.make_query('q1', 'a'))
        await eventually(lambda: fake.outboxes)
        links.peers.set_peers([])
        assert not links.candidates(SLICE)
        fake.outboxes['q1'].put_nowait(fakes.make_part('q1', 'a'))
        assert await inbox.get() == fakes.make_part('q1', 'a')
        links.close_inbox('q1')
        await eventually(lambda: not links.peers.all_open())


async def test_silent_connection_is_noticed() -> None:
    """Guards against searches that wait on a connection that is dead."""
    fake = FakeServer()
    async with (
        fakes.running_relay(fake) as relay,
        fakes.running_proxy(relay.port) as proxy,
    ):
        peer = RelayPeer(R1, f'127.0.0.1:{proxy.port}')
        # Only the pings of gRPC can notice it within the time of the test.
        limits = LinkLimits(close_silence_seconds=1000)
        async with fakes.running_front(peer, limits=limits) as links:
            inbox = links.open_inbox('q1')
            await links.send_query(R1, fakes.make_query('q1', 'a'))
            await eventually(lambda: fake.outboxes)
            proxy.passes.clear()
            assert await asyncio.wait_for(inbox.get(), 20) == RelayLost(R1)
            proxy.passes.set()
            await eventually(lambda: links.candidates(SLICE))


async def test_message_over_the_limit_fails_alone() -> None:
    """Guards against one long message that breaks the stream of others."""
    fake = FakeServer()
    body = bytes(MAX_MESSAGE_BYTES)
    long_query = attrs.evolve(fakes.make_query('q1', 'a'), body=body)
    async with (
        fakes.running_relay(fake) as relay,
        fakes.running_front(relay.peer) as links,
    ):
        inboxes = [links.open_inbox(name) for name in ('q1', 'q2')]
        await links.send_query(R1, long_query)
        await links.send_query(R1, fakes.make_query('q2', 'a', 'b'))
        assert await inboxes[0].get() == RelayLost(R1)
        await eventually(lambda: 'q2' in fake.outboxes)
        fake.outboxes['q2'].put_nowait(fakes.make_part('q2', 'a', body))
        fake.outboxes['q2'].put_nowait(fakes.make_part('q2', 'b'))
        failed = attrs.asdict(await inboxes[1].get())
        assert (failed['code'], failed['body']) == (ResultCode.bad_reply, b'')
        assert await inboxes[1].get() == fakes.make_part('q2', 'b')
