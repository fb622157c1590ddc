"""Provide a query server, relays and fronts for the tests of streams."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable

import attrs
from grpc import aio

from dragonflyramp.members._channels_grpc import MemberServer
from dragonflyramp.members._fronts import FrontLimits, Fronts
from dragonflyramp.members._peer_links import LinkLimits, LinkTools, RelayPeer
from dragonflyramp.members._peers import PeerLinks, RelayPeers
from dragonflyramp.members._scatter_grpc import (
    GrpcStreamOpener,
    ScatterService,
)
from dragonflyramp.messages import (
    Part,
    Query,
    Report,
    ShardAttempt,
    Submit,
    SubmitOutcome,
)
from dragonflyramp.models import MemberId, SliceId
from dragonflyramp.results import ResultCode

R1 = MemberId('r1')
SLICE = SliceId('desk/0')


def make_query(query_id: str, *shards: str) -> Query:
    """Create a query with one attempt for each shard."""
    return Query(
        query_id=query_id,
        request_id='request',
        service='desk',
        snapshot_id='s1',
        remaining_ms=1000,
        body=b'{}',
        fingerprint='f',
        attempts=tuple(
            ShardAttempt(shard=shard, attempt_id=f'{query_id}/{shard}')
            for shard in shards
        ),
    )


def make_part(query_id: str, shard: str, body: bytes = b'{}') -> Part:
    """Create the part that answers one attempt of make_query."""
    return Part(
        query_id=query_id,
        shard=shard,
        attempt_id=f'{query_id}/{shard}',
        snapshot_id='s1',
        code=ResultCode.ok,
        documents=1,
        body=body,
    )


def make_submit(submit_id: str, remaining_ms: int = 10000) -> Submit:
    """Create a submit."""
    return Submit(
        submit_id=submit_id,
        request_id='request',
        service='office',
        idempotency_key='key',
        remaining_ms=remaining_ms,
        body=b'{}',
        fingerprint='f',
    )


async def eventually(condition: Callable[[], object]) -> None:
    """Wait until a condition holds; the bound only guards against hanging."""
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.005)


@attrs.define(eq=False)
class FakeServer:
    """Record what a relay receives; the test decides what it answers."""

    relay_id: MemberId = R1
    slice_ids: tuple[SliceId, ...] = (SLICE,)
    outboxes: dict[str, 'asyncio.Queue[Part]'] = attrs.field(factory=dict)
    cancelled: list[str] = attrs.field(factory=list)
    submits: list[str] = attrs.field(factory=list)
    finish_submits: asyncio.Event = attrs.field(factory=asyncio.Event)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def start_query(self, query: Query, outbox: 'asyncio.Queue[Part]') -> None:
        """Keep the outbox for the test."""
        self.outboxes[query.query_id] = outbox

    def cancel_query(self, query_id: str) -> None:
        """Record the cancellation."""
        self.cancelled.append(query_id)

    async def run_submit(self, submit: Submit) -> SubmitOutcome:
        """Answer when the test allows it."""
        self.submits.append(submit.submit_id)
        await self.finish_submits.wait()
        return SubmitOutcome(
            submit_id=submit.submit_id, code=ResultCode.ok, body=b'done'
        )

    def report(self) -> Report:
        """Report the slices."""
        self.changed.clear()
        return Report(
            relay_id=self.relay_id, slice_ids=self.slice_ids, shards=()
        )

    async def wait_report_change(self) -> None:
        """Wait until the test sets `changed`."""
        await self.changed.wait()


@attrs.define(eq=False)
class RunningRelay:
    """Hold one relay that listens on loopback."""

    fronts: Fronts
    server: MemberServer
    port: int

    @property
    def peer(self) -> RelayPeer:
        """Name the relay as a front's group record would."""
        return RelayPeer(R1, f'127.0.0.1:{self.port}')


@contextlib.asynccontextmanager
async def running_relay(
    fake: FakeServer, port: int = 0, limits: FrontLimits | None = None
) -> AsyncIterator[RunningRelay]:
    """Run a relay over real gRPC for the length of the block."""
    fronts = Fronts(fake, limits or FrontLimits())
    server = MemberServer()
    chosen = server.bind(f'127.0.0.1:{port}')
    await server.start(ScatterService(fronts))
    reporting = asyncio.create_task(fronts.run())
    async with contextlib.AsyncExitStack() as cleanup:
        cleanup.push_async_callback(server.stop, 0)
        cleanup.push_async_callback(fronts.close)
        cleanup.callback(reporting.cancel)
        yield RunningRelay(fronts, server, chosen)


@contextlib.asynccontextmanager
async def running_front(
    *peers: RelayPeer, limits: LinkLimits | None = None
) -> AsyncIterator[PeerLinks]:
    """Run the links of a front, and wait until every peer is connected."""
    tools = LinkTools(
        front_id=MemberId('f1'),
        opener=GrpcStreamOpener(),
        clock=asyncio.get_running_loop().time,
        rng=random.Random(1),
        limits=limits or LinkLimits(),
    )
    relay_ids = tuple(peer.member_id for peer in peers)
    links = PeerLinks(RelayPeers(tools), lambda slice_id: relay_ids)
    links.peers.set_peers(peers)
    async with contextlib.AsyncExitStack() as cleanup:
        cleanup.push_async_callback(links.peers.close)
        await eventually(lambda: len(links.reports()) == len(peers))
        yield links


@contextlib.asynccontextmanager
async def raw_call(
    relay: RunningRelay,
) -> AsyncIterator['aio.StreamStreamCall[bytes, bytes]']:
    """Open a scatter stream that carries any bytes, without our limits."""
    async with aio.insecure_channel(relay.peer.address) as channel:
        scatter = channel.stream_stream(
            '/dragonflyramp.v1.Relay/Scatter', None, None
        )
        call = scatter(None)
        yield call
        call.cancel()


@attrs.define(eq=False)
class Proxy:
    """Forward connections to a port, or hold every byte back."""

    target_port: int
    port: int = 0
    connections: int = 0
    passes: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection in both directions."""
        self.connections += 1
        target = await asyncio.open_connection('127.0.0.1', self.target_port)
        with contextlib.suppress(ConnectionError):
            await asyncio.gather(
                self._copy(reader, target[1]), self._copy(target[0], writer)
            )
        self.connections -= 1

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while chunk := await reader.read(1 << 16):
            await self.passes.wait()
            writer.write(chunk)
        writer.close()


@contextlib.asynccontextmanager
async def running_proxy(target_port: int) -> AsyncIterator[Proxy]:
    """Run a proxy that passes bytes until the test clears `passes`."""
    proxy = Proxy(target_port)
    proxy.passes.set()
    server = await asyncio.start_server(proxy.serve, '127.0.0.1', 0)
    proxy.port = server.sockets[0].getsockname()[1]
    async with contextlib.AsyncExitStack() as cleanup:
        cleanup.callback(server.close)
        yield proxy
        proxy.passes.set()
        await eventually(lambda: not proxy.connections)
