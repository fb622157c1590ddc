"""Build deployments in which kinds of requests contend for replicas."""

import random
from collections.abc import Mapping

import attrs

from benchmarks.emulator._deployments import (
    EmulatedDeployment,
    EmulatedFront,
    PolicySet,
    assign_faults,
    make_front,
)
from benchmarks.emulator._experiments import Experiment
from benchmarks.emulator._replicas import EmulatedReplica
from dragonflyramp.admission import create_priority_admission
from dragonflyramp.callers import TargetCutoff
from dragonflyramp.members import Daemon
from dragonflyramp.routes import (
    GatherSettings,
    Route,
    RoutingTable,
    ServicePolicy,
    WeightedService,
)
from dragonflyramp.runtime import TaskSet
from dragonflyramp.tenants import Tenant, TenantDirectory

LOOKUP_SERVICE = 'lookup-0'


@attrs.frozen(kw_only=True)
class Kind:
    """Requests of one route and one tenant."""

    route: Route
    tenant: str
    requests_per_second: float
    work_ms: float


@attrs.frozen(kw_only=True)
class ContentionRun:
    """Deployment and load of one run."""

    experiment: Experiment
    lookup_experiment: Experiment
    kinds: tuple[Kind, ...]
    #: The API key of a tenant is its name.
    tenants: tuple[Tenant, ...] = ()
    has_admission: bool = True


def build_contention(run: ContentionRun) -> EmulatedDeployment:
    """Build a deployment of shards and a service of lookups."""
    experiment = run.experiment
    rng = random.Random(experiment.seed)
    replicas = _make_replicas(run, rng)
    assign_faults(experiment, replicas, rng)
    daemons = [
        Daemon(name, name, _failure_domain(experiment, index))
        for index, name in enumerate(
            f'front-{index}' for index in range(experiment.fronts)
        )
    ]
    tasks = TaskSet()
    by_id = {replica.replica_id: replica for replica in replicas}
    table = _make_table(run)
    policy_set = PolicySet(cutoff_policy=TargetCutoff())
    fronts = [
        make_front(experiment, policy_set, daemon, daemons, by_id, table, tasks)
        for daemon in daemons
    ]
    for emulated_front in fronts:
        if run.has_admission:
            _add_admission(emulated_front, experiment.seed)
    return EmulatedDeployment(experiment, by_id, fronts, tasks)


def _make_replicas(
    run: ContentionRun, rng: random.Random
) -> list[EmulatedReplica]:
    work_ms_by_path = {kind.route.prefix: kind.work_ms for kind in run.kinds}
    return [
        EmulatedReplica(
            f'{service}-{index}',
            _failure_domain(run.experiment, index),
            settings,
            random.Random(rng.random()),
            work_ms_by_path=work_ms_by_path,
        )
        for service, settings in _services(run).items()
        for index in range(settings.replicas)
    ]


def _failure_domain(experiment: Experiment, index: int) -> str:
    domain_index = index % experiment.failure_domains
    return f'domain-{domain_index}'


def _services(run: ContentionRun) -> Mapping[str, Experiment]:
    shards = {
        f'shard-{index}': run.experiment
        for index in range(run.experiment.shards)
    }
    return {**shards, LOOKUP_SERVICE: run.lookup_experiment}


def _add_admission(emulated_front: EmulatedFront, seed: int) -> None:
    front = emulated_front.front
    front.backend_client.fleet.capacity_events.is_by_priority = True
    front.admission = create_priority_admission(
        front.backend_client, random.Random(f'{seed}/{emulated_front.name}')
    )


def _make_table(run: ContentionRun) -> RoutingTable:
    routes = {kind.route.name: kind.route for kind in run.kinds}
    directory = TenantDirectory.create(
        (tenant, (tenant.name,)) for tenant in run.tenants
    )
    return RoutingTable(
        version=1,
        routes=tuple(routes.values()),
        service_policies={
            service: ServicePolicy(
                name=service, max_connections=settings.connections
            )
            for service, settings in _services(run).items()
        },
        max_body_bytes=1,
        tenants=directory if run.tenants else None,
    )


def make_search_route(
    experiment: Experiment, name: str, target_ms: float, priority: int
) -> Route:
    """Create a route that searches all shards."""
    return attrs.evolve(
        make_lookup_route(experiment, name, target_ms, priority),
        split=(),
        gather=GatherSettings(
            tuple(f'shard-{index}' for index in range(experiment.shards)),
            10,
            experiment.min_share,
        ),
    )


def make_lookup_route(
    experiment: Experiment, name: str, target_ms: float, priority: int
) -> Route:
    """Create a route to the service of lookups."""
    return Route(
        name=name,
        host='h',
        prefix=f'/{name}',
        is_idempotent=True,
        timeout_ms=experiment.timeout_ms,
        target_ms=target_ms,
        max_attempts=2,
        priority=priority,
        split=(WeightedService(LOOKUP_SERVICE),),
    )
