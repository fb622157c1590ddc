"""Build emulated deployments of fronts and replicas."""

import asyncio
import functools
import random
from collections.abc import Mapping

import attrs

from benchmarks.emulator._connections import (
    EmulatedConnection,
    EmulatedConnectionFactory,
)
from benchmarks.emulator._experiments import Experiment
from benchmarks.emulator._replicas import EmulatedReplica
from dragonflyramp.backends import (
    BackendClient,
    BudgetBounds,
    Budgets,
    Fleet,
    Policies,
    ReplicaOrder,
    apply_peer_latency_ratios,
)
from dragonflyramp.callers import CutoffPolicy, Front
from dragonflyramp.members import Cluster, Daemon, Membership
from dragonflyramp.replica_connections import (
    ConnectionHooks,
)
from dragonflyramp.replicas import ReplicaEntry, ReplicaState
from dragonflyramp.routes import (
    GatherSettings,
    Route,
    RoutingTable,
    ServicePolicy,
)
from dragonflyramp.runtime import TaskSet
from dragonflyramp.slow_replicas import SlowReplicaDetector

#: Interval at which fronts send latency samples and receive reports. It equals
#: the time for which a daemon's request to the primary hub waits for changes.
_REPORT_INTERVAL_SECONDS = 1.0
_BUDGET_WINDOW_SECONDS = 10


@attrs.frozen(kw_only=True)
class PolicySet:
    """Policies that all fronts use in a run."""

    client_policies: Policies = attrs.field(factory=Policies)
    cutoff_policy: CutoffPolicy
    #: Whether fronts learn of slow replicas from the samples of other fronts.
    has_latency_reports: bool = True


@attrs.define(eq=False, kw_only=True)
class EmulatedFront:
    """Front with the detector that collects its latency samples."""

    front: Front
    slow_replica_detector: SlowReplicaDetector
    name: str


@attrs.define(eq=False)
class EmulatedDeployment:
    """All fronts and replicas of a run."""

    experiment: Experiment
    #: Replicas by id.
    replicas: Mapping[str, EmulatedReplica]
    fronts: list[EmulatedFront]
    tasks: TaskSet

    async def exchange_latency_reports(self) -> None:
        """Send all samples to a hub and its report to all fronts.

        Repeat this at the report interval until cancelled.
        """
        loop = asyncio.get_running_loop()
        hub = SlowReplicaDetector()
        while True:
            await asyncio.sleep(_REPORT_INTERVAL_SECONDS)
            for emulated_front in self.fronts:
                hub.add_peer_samples(
                    emulated_front.slow_replica_detector.pop_unsent_samples(),
                    loop.time(),
                )
            report = hub.current_report(loop.time())
            for emulated_front in self.fronts:
                emulated_front.slow_replica_detector.apply_report(
                    'hub', report, loop.time()
                )


def build_deployment(
    experiment: Experiment, policy_set: PolicySet
) -> EmulatedDeployment:
    """Build a deployment without starting any task."""
    rng = random.Random(experiment.seed)
    replicas = {
        replica.replica_id: replica
        for shard_index in range(experiment.shards)
        for replica in _make_shard_replicas(experiment, shard_index, rng)
    }
    assign_faults(experiment, list(replicas.values()), rng)
    tasks = TaskSet()
    daemons = [
        Daemon(
            f'front-{index}',
            f'front-{index}',
            _failure_domain(experiment, index),
        )
        for index in range(experiment.fronts)
    ]
    routing_table = _make_routing_table(experiment)
    fronts = [
        make_front(
            experiment,
            policy_set,
            daemon,
            daemons,
            replicas,
            routing_table,
            tasks,
        )
        for daemon in daemons
    ]
    return EmulatedDeployment(experiment, replicas, fronts, tasks)


def _make_shard_replicas(
    experiment: Experiment, shard_index: int, rng: random.Random
) -> list[EmulatedReplica]:
    return [
        EmulatedReplica(
            replica_id=f'shard-{shard_index}-{index}',
            failure_domain=_failure_domain(experiment, index),
            experiment=experiment,
            rng=random.Random(rng.random()),
            speed=experiment.speeds[index % len(experiment.speeds)],
        )
        for index in range(experiment.replicas)
    ]


def assign_faults(
    experiment: Experiment,
    replicas: list[EmulatedReplica],
    rng: random.Random,
) -> None:
    """Give each fault to a random share of the replicas."""
    for fault in experiment.faults:
        faulty_replicas = rng.sample(
            replicas, round(fault.share * len(replicas))
        )
        for replica in faulty_replicas:
            replica.faults.append(fault)


def _failure_domain(experiment: Experiment, index: int) -> str:
    domain_index = index % experiment.failure_domains
    return f'domain-{domain_index}'


def _make_routing_table(experiment: Experiment) -> RoutingTable:
    shards = tuple(
        f'shard-{shard_index}' for shard_index in range(experiment.shards)
    )
    route = Route(
        name='search',
        host='h',
        prefix='/',
        is_idempotent=True,
        timeout_ms=experiment.timeout_ms,
        target_ms=experiment.target_ms,
        max_attempts=2,
        gather=GatherSettings(
            shards=shards, top_count=10, min_share=experiment.min_share
        ),
    )
    service_policies = {
        shard_name: ServicePolicy(
            name=shard_name, max_connections=experiment.connections
        )
        for shard_name in shards
    }
    return RoutingTable(
        version=1,
        routes=(route,),
        service_policies=service_policies,
        max_body_bytes=1,
    )


def make_front(  # noqa: WPS211 - all dependencies of a front
    experiment: Experiment,
    policy_set: PolicySet,
    daemon: Daemon,
    daemons: list[Daemon],
    replicas: Mapping[str, EmulatedReplica],
    routing_table: RoutingTable,
    tasks: TaskSet,
) -> EmulatedFront:
    """Create a front that knows all replicas and all other fronts."""
    loop_time = asyncio.get_running_loop().time
    membership = Membership(daemon)
    membership.update_registered(
        {peer.name: {'spec': peer.as_spec()} for peer in daemons}
    )
    fleet = Fleet(
        create_connection=_make_connection_factory(  # type: ignore[arg-type]
            experiment, daemon, replicas
        ),
        tasks=tasks,
        order=ReplicaOrder(
            daemon_name=daemon.name, failure_domain=daemon.failure_domain
        ),
    )
    for replica in replicas.values():
        fleet.update(replica.replica_id, _make_entry(replica), 0)
    detector = SlowReplicaDetector(
        functools.partial(apply_peer_latency_ratios, fleet)
    )
    backend_client = BackendClient(
        fleet=fleet,
        budgets=Budgets(
            BudgetBounds(
                ratio=experiment.budget_ratio,
                window_seconds=_BUDGET_WINDOW_SECONDS,
                slack=experiment.budget_slack,
            )
        ),
        clock=loop_time,
        rng=random.Random(f'{experiment.seed}/{daemon.name}'),
        failure_domain=daemon.failure_domain,
        peers=Cluster(membership),
        slow_replica_detector=detector,
        policies=policy_set.client_policies,
    )
    front = Front(
        backend_client=backend_client,
        clock=loop_time,
        current_table=lambda: routing_table,
        has_synced=lambda: True,
        cutoff_policy=policy_set.cutoff_policy,
    )
    return EmulatedFront(
        front=front, slow_replica_detector=detector, name=daemon.name
    )


def _make_entry(replica: EmulatedReplica) -> ReplicaEntry:
    return ReplicaEntry(
        replica_id=replica.replica_id,
        service=replica.replica_id.rpartition('-')[0],
        address=replica.replica_id,
        failure_domain=replica.failure_domain,
        state=ReplicaState.ready,
        slots=replica.experiment.slots,
    )


def _make_connection_factory(
    experiment: Experiment,
    daemon: Daemon,
    replicas: Mapping[str, EmulatedReplica],
) -> EmulatedConnectionFactory:
    def make_connection(  # noqa: WPS430 - closes over the front's daemon
        address: str, hooks: ConnectionHooks
    ) -> EmulatedConnection:
        replica = replicas[address]
        is_same_domain = replica.failure_domain == daemon.failure_domain
        one_way_ms = 0 if is_same_domain else experiment.cross_domain_ms / 2
        return EmulatedConnection(replica, hooks, one_way_ms / 1000)

    return make_connection
