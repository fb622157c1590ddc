"""Build a relay's backend side against the stand-in, in one process."""

import asyncio
import contextlib
import hashlib
import itertools
import random
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import attrs

from dragonflyramp import models
from dragonflyramp.backends import (
    BackendSettings,
    BackendTier,
    ClientFactory,
    PolicySet,
    ReplicaDescription,
    http_client_factory,
)
from dragonflyramp.messages import (
    Part,
    Query,
    ShardAttempt,
    Submit,
    SubmitOutcome,
)
from dragonflyramp.platform import VirtualMachine
from dragonflyramp.results import ResultCode
from tests.standins.backend_models import ServerSpec
from tests.standins.backends import Fleet
from tests.standins.fakes import (
    FakeConfigurationSource,
    FakeLeaseTable,
    FakeVmList,
)

#: Bounds waits that only guard against hanging.
GUARD_SECONDS = 20
SERVICE = 'desk'
SLICE = models.SliceId(f'{SERVICE}/0')
_query_numbers = itertools.count(1)


def quick_settings(**fields: Any) -> BackendSettings:
    """Make settings whose periods tests need not wait long for."""
    periods = {'status_period_seconds': 0.1, 'vm_poll_seconds': 0.05}
    return BackendSettings(**{**periods, **fields})


def configuration(
    shards: tuple[str, ...], number: int = 1, **service_fields: Any
) -> models.Configuration:
    """Make a configuration of one searched service over the shards."""
    services = {SERVICE: models.Service(name=SERVICE, depends_on=shards)}
    for shard in shards:
        fields = {'slots': 3, 'cold_requests_per_second': 2, **service_fields}
        services[shard] = models.Service(name=shard, **fields)
    return models.Configuration(
        number=number,
        user='test',
        failure_domains={'a': models.FailureDomain('a', 'r')},
        services=services,
        holds={},
    )


def machines(
    fleet: Fleet, state: models.VmState = models.VmState.live
) -> list[VirtualMachine]:
    """List the servers of a fleet as VMs."""
    return [
        VirtualMachine(
            replica=models.Replica(
                replica_id=server.spec.replica_id,
                shard=server.spec.shard,
                address=server.address,
                failure_domain=server.spec.failure_domain,
            ),
            state=state,
        )
        for server in fleet.servers.values()
    ]


@attrs.define
class JumpingClock:
    """Give monotonic seconds; a jump stands for a paused process."""

    offset_seconds: float = 0

    def __call__(self) -> float:
        """Give the time."""
        return time.monotonic() + self.offset_seconds


@attrs.define(kw_only=True)
class Harness:
    """Hold a running tier and everything around it."""

    fleet: Fleet
    tier: BackendTier
    leases: FakeLeaseTable
    source: FakeConfigurationSource
    vm_list: FakeVmList
    clock: 'JumpingClock'

    async def until(self, check: Callable[[], bool]) -> None:
        """Wait until a check holds; fail when it does not in time."""
        async with asyncio.timeout(GUARD_SECONDS):
            while not check():
                await asyncio.sleep(0.01)

    async def until_ready(self) -> None:
        """Wait until each replica has shown its snapshots."""
        await self.until(
            lambda: len(self.ready_replicas()) == len(self.fleet.servers)
        )

    def ready_replicas(self) -> list[str]:
        """List the replicas that have shown their snapshots."""
        return [
            replica.replica_id
            for replica in self.tier.describe()
            if replica.snapshot_ids
        ]

    def make_warm(self) -> None:
        """Load a table that says that every replica is warm."""
        entries = [
            models.WarmthEntry(
                replica_id=replica.replica_id,
                instance_id=replica.instance_id,
                warmth=models.Warmth.warm,
                limit=3,
                latency_ms=5,
            )
            for replica in self.tier.describe()
        ]
        self.tier.load_warmth(SLICE, entries)

    def query(self, *shards: str, body: bytes = b'{}', ms: int = 400) -> Query:
        """Make a query with one attempt for each shard."""
        number = next(_query_numbers)
        return Query(
            query_id=f'q{number}',
            request_id=f'r{number}',
            service=SERVICE,
            snapshot_id='s1',
            remaining_ms=ms,
            body=body,
            fingerprint=hashlib.sha256(body).hexdigest(),
            attempts=tuple(
                ShardAttempt(shard=shard, attempt_id=f'{number}/{shard}')
                for shard in shards
            ),
        )

    async def submit(self, key: str, *, ms: int = 400) -> SubmitOutcome:
        """Run a submit of the shard x."""
        submit = Submit(
            submit_id=key,
            request_id=f'r{key}',
            service='x',
            idempotency_key=key,
            remaining_ms=ms,
            body=b'{}',
            fingerprint=key,
        )
        async with asyncio.timeout(GUARD_SECONDS):
            return await self.tier.run_submit(submit)

    async def codes(self, count: int, **fields: Any) -> set[ResultCode]:
        """Run searches of the shard x at once, and give their codes."""
        found = await asyncio.gather(
            *(self.search(self.query('x', **fields)) for _ in range(count))
        )
        return {parts['x'].code for parts in found}

    def state(self, replica_id: str) -> str:
        """Give the state of a replica."""
        return self.described(replica_id).state

    def described(self, replica_id: str) -> ReplicaDescription:
        """Give the description of a replica."""
        return next(
            replica
            for replica in self.tier.describe()
            if replica.replica_id == replica_id
        )

    async def search(self, query: Query) -> dict[str, Part]:
        """Run a query and collect exactly one part per attempt."""
        outbox: asyncio.Queue[Part] = asyncio.Queue()
        self.tier.start_query(query, outbox)
        parts: dict[str, Part] = {}
        async with asyncio.timeout(GUARD_SECONDS):
            for _ in query.attempts:
                part = await outbox.get()
                assert part.attempt_id not in parts
                parts[part.attempt_id] = part
        assert outbox.empty()
        return {part.shard: part for part in parts.values()}


@contextlib.asynccontextmanager
async def running(
    specs: list[ServerSpec], **fields: Any
) -> AsyncIterator[Harness]:
    """Run servers and a relay whose lease holds all of them."""
    async with Fleet(specs) as fleet, relay(fleet, **fields) as harness:
        yield harness


@contextlib.asynccontextmanager
async def relay(
    fleet: Fleet,
    *,
    settings: BackendSettings | None = None,
    policies: PolicySet | None = None,
    make: ClientFactory | None = None,
    **service_fields: Any,
) -> AsyncIterator[Harness]:
    """Run the backend side of a relay for the servers of a fleet."""
    chosen = settings or quick_settings()
    servers = fleet.servers.values()
    shards = tuple(dict.fromkeys(server.spec.shard for server in servers))
    leases = FakeLeaseTable((SLICE,))
    source = FakeConfigurationSource(configuration(shards, **service_fields))
    vm_list = FakeVmList(machines(fleet))
    clock = JumpingClock()
    tier = BackendTier(
        client_factory=make or http_client_factory(chosen),
        lease_table=leases,
        source=source,
        vm_list=vm_list,
        policies=policies or PolicySet.ours(),
        relay_id=models.MemberId('relay'),
        failure_domain='a',
        settings=chosen,
        clock=clock,
        rng=random.Random(1),
    )
    harness = Harness(
        fleet=fleet,
        tier=tier,
        leases=leases,
        source=source,
        vm_list=vm_list,
        clock=clock,
    )
    async with contextlib.AsyncExitStack() as stack:
        task = asyncio.create_task(tier.run())
        stack.push_async_callback(_cancel, task)
        await harness.until_ready()
        yield harness


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
