"""Run a front and loopback replicas in the process of the test."""

import contextlib
import functools
import itertools
import random
import time
from collections.abc import AsyncIterator, Iterable, Mapping, Sequence

import attrs

from dragonflyramp.backends import (
    BackendClient,
    BudgetBounds,
    Budgets,
    Fleet,
    Policies,
    ProvenSuccess,
    apply_peer_latency_ratios,
)
from dragonflyramp.callers import Front, Query, RelayedAnswer, RouteVersion
from dragonflyramp.messages import Reply, Request
from dragonflyramp.platform import ReplicaCodec
from dragonflyramp.replica_connections import (
    Connection,
    ReplyMemory,
)
from dragonflyramp.replica_connections._exchanges import ReplyOrigin
from dragonflyramp.replicas import ReplicaEntry, ReplicaState
from dragonflyramp.routes import (
    GatherSettings,
    Route,
    RoutingTable,
    ServicePolicy,
    WeightedService,
)
from dragonflyramp.runtime import TaskSet
from dragonflyramp.slow_replicas import SlowReplicaDetector
from tests.standins.replicas import ReplicaServer

RECORD_BYTES = 16


def make_route(
    name: str = 'route',
    *,
    gather: GatherSettings | None = None,
    is_idempotent: bool = True,
    target_ms: float = 400,
    timeout_ms: float = 3000,
    split: Sequence[WeightedService] = (WeightedService('a'),),
) -> Route:
    """Create a route whose path prefix is its name."""
    return Route(
        name=name,
        host='h',
        prefix=f'/{name}/',
        is_idempotent=is_idempotent,
        timeout_ms=timeout_ms,
        target_ms=target_ms,
        max_attempts=2,
        split=tuple(split) if gather is None else (),
        gather=gather,
    )


def make_table(*routes: Route, version: int = 1) -> RoutingTable:
    """Create a routing table with a policy for each service."""
    names = {name for route in routes for name in route.services}
    return RoutingTable(
        version=version,
        routes=routes,
        service_policies={
            name: ServicePolicy(name=name, max_connections=30) for name in names
        },
        max_body_bytes=1000,
    )


def make_replica_entry(
    server: ReplicaServer, service: str, domain: str = 'recife'
) -> ReplicaEntry:
    """Create a replica entry with the address of a stand-in."""
    return ReplicaEntry(
        replica_id=server.replica_id,
        service=service,
        address=server.address,
        failure_domain=domain,
        state=ReplicaState.ready,
        slots=3,
    )


def make_request(
    request_id: str = 'q1', *, method: str = 'GET', path: str = '/route/x'
) -> Request:
    """Create the request of a caller."""
    return Request(
        request_id=request_id,
        method=method,
        path_and_query=path,
        headers=(('Host', 'h'), ('Request-Id', request_id)),
    )


def make_proof(
    reply: Reply, request: Request | None = None, service: str = 'a'
) -> ProvenSuccess:
    """Create the proof of a success of a replica."""
    return ProvenSuccess(
        request=request or make_request(),
        reply=reply,
        service=service,
        replica_id=f'{service}-0',
        purpose='first',
        origin=ReplyOrigin(
            address='', connection=1, earlier_ids=(), is_close_delimited=False
        ),
    )


def make_relayed(reply: Reply, request: Request | None = None) -> RelayedAnswer:
    """Create the answer that relays a success of service `a`."""
    return RelayedAnswer(
        success=make_proof(reply, request),
        routed=RouteVersion(route=make_route(), version=1),
    )


@attrs.frozen
class StaticPeers:
    """Stand in for the daemons that share limits with the one under test."""

    count: int
    own_rank: int = 0

    def daemon_count(self) -> int:
        """Return the number of daemons."""
        return self.count

    def rank(self, key: str) -> int:
        """Return the same rank for every key."""
        return self.own_rank


@attrs.define(eq=False)
class FrontHarness:
    """Send requests to a front and count what its replicas ran."""

    front: Front
    servers: Mapping[str, list[ReplicaServer]]

    async def send(
        self, path: str = '/route/x', deadline_ms: float = 2000, **fields: str
    ) -> object:
        """Send a request to the front and return the answer."""
        return await self.front.serve(
            self.make_query(path, deadline_ms, **fields)
        )

    def make_query(self, path: str, deadline_ms: float, **fields: str) -> Query:
        """Create the query of a caller."""
        return Query(
            request=make_request(path=path, **fields),
            host='h',
            path=path,
            deadline_ms=deadline_ms,
            received_at_seconds=time.monotonic(),
        )

    def disconnect_count(self) -> int:
        """Return how many connections with hung requests the front closed."""
        return sum(server.disconnect_count for server in self.all_servers())

    def server(self, service: str, index: int) -> ReplicaServer:
        """Return a replica of a service."""
        return self.servers[service][index]

    def server_by_id(self, replica_id: str) -> ReplicaServer:
        """Return the replica with an id."""
        return next(
            server
            for server in self.all_servers()
            if server.replica_id == replica_id
        )

    def all_servers(self) -> list[ReplicaServer]:
        """Return the replicas of all services."""
        return [
            server for servers in self.servers.values() for server in servers
        ]

    def run_count(self, service: str) -> int:
        """Return how many requests the replicas of a service ran."""
        return sum(len(server.run_ids) for server in self.servers[service])


def make_front(  # noqa: WPS211 - all dependencies of a front
    table: RoutingTable,
    entries: Iterable[ReplicaEntry],
    tasks: TaskSet,
    *,
    budget_slack: float,
    policies: Policies,
    daemon_count: int = 1,
    memory: ReplyMemory | None = None,
) -> Front:
    """Create a front from a routing table and replica entries."""
    fleet = Fleet(
        create_connection=functools.partial(
            Connection,
            codec=ReplicaCodec(),
            clock=time.monotonic,
            memory=memory,
        ),
        tasks=tasks,
    )
    for replica_entry in entries:
        fleet.update(replica_entry.replica_id, replica_entry, time.monotonic())
    bounds = BudgetBounds(ratio=0.2, window_seconds=10, slack=budget_slack)
    backend_client = BackendClient(
        fleet=fleet,
        budgets=Budgets(bounds),
        clock=time.monotonic,
        rng=random.Random(1),
        failure_domain='recife',
        peers=StaticPeers(daemon_count),
        slow_replica_detector=SlowReplicaDetector(
            functools.partial(apply_peer_latency_ratios, fleet)
        ),
        policies=policies,
    )
    return Front(
        backend_client=backend_client,
        clock=time.monotonic,
        current_table=lambda: table,
        has_synced=lambda: True,
    )


@contextlib.asynccontextmanager
async def run_harness(
    table: RoutingTable,
    replica_count: int = 2,
    *,
    budget_slack: float = 50,
    policies: Policies | None = None,
    memory: ReplyMemory | None = None,
) -> AsyncIterator[FrontHarness]:
    """Run a front and the replicas of each service of a routing table."""
    servers = {
        name: [
            ReplicaServer(f'{name}-{index}') for index in range(replica_count)
        ]
        for name in table.service_policies
    }
    entries = []
    for name, service_servers in servers.items():
        for server in service_servers:
            await server.start()
            entries.append(make_replica_entry(server, name))
    tasks = TaskSet()
    front = make_front(
        table,
        entries,
        tasks,
        budget_slack=budget_slack,
        policies=policies or Policies(),
        memory=memory,
    )
    async with contextlib.AsyncExitStack() as cleanup:
        for running_server in itertools.chain.from_iterable(servers.values()):
            cleanup.push_async_callback(running_server.stop)
        cleanup.push_async_callback(tasks.cancel)
        yield FrontHarness(front, servers)
