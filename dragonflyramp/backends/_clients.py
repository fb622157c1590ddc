"""Send requests to services, with state that all fetches share."""

import asyncio
import random
from collections.abc import Callable

import attrs

from dragonflyramp.backends._attempts import FIRST, RETRY, Attempt
from dragonflyramp.backends._budgets import Budgets, rounding_offset
from dragonflyramp.backends._contexts import RequestContext
from dragonflyramp.backends._crash_detectors import CrashDetector
from dragonflyramp.backends._fetches import Fetch, create_fetch
from dragonflyramp.backends._fleets import Fleet
from dragonflyramp.backends._hedging import HedgingPolicy, QuantileHedging
from dragonflyramp.backends._latencies import LatenciesByRoute
from dragonflyramp.backends._limits import Peers
from dragonflyramp.backends._recorders import OutcomeRecorder
from dragonflyramp.placement import (
    LowestLatencySelector,
    ReplicaSelector,
    SelectionInputs,
    expected_latency_ms,
)
from dragonflyramp.replica_connections import Exchange
from dragonflyramp.rollouts import Sending
from dragonflyramp.routes import Route, ServicePolicy
from dragonflyramp.slow_replicas import SlowReplicaDetector

#: Orders the daemons for the rounding of their budgets.
_BUDGET_RANK_KEY = 'budget'
#: Connections per replica of a service without a configured limit.
_DEFAULT_MAX_CONNECTIONS = 8


@attrs.frozen(kw_only=True)
class Policies:
    """Selection and hedging policies; benchmarks replace them."""

    selector: ReplicaSelector = attrs.field(factory=LowestLatencySelector)
    hedging: HedgingPolicy = attrs.field(factory=QuantileHedging)


@attrs.define(eq=False, kw_only=True)
class BackendClient:
    """Send requests to the replicas of services."""

    fleet: Fleet
    budgets: Budgets
    #: Returns the monotonic time in seconds.
    clock: Callable[[], float]
    rng: random.Random
    #: Failure domain of this daemon.
    failure_domain: str
    #: Daemons that share the limits with this one.
    peers: Peers
    slow_replica_detector: SlowReplicaDetector
    policies: Policies = attrs.field(factory=Policies)
    latencies: LatenciesByRoute = attrs.field(factory=LatenciesByRoute)
    recorder: OutcomeRecorder = attrs.field(init=False)
    crash_detector: CrashDetector = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Hear of processes of replicas that ended."""
        self.fleet.on_process_end = self.crash_detector.record_process_end

    def create_fetch(self, context: RequestContext, service: str) -> Fetch:
        """Create a fetch of one part from a service; `Fetch.run` starts it."""
        return create_fetch(self, context, service)

    def hedge_delay_ms(self, route: Route) -> float | None:
        """Return the hedge delay of a route in ms, or None for no hedge."""
        return self.policies.hedging.delay_ms(self.latencies.for_route(route))

    def spend_budget(
        self, service: str, now_seconds: float, *, is_hedge: bool
    ) -> bool:
        """Spend one extra request; return False if the budget is exhausted."""
        daemon_count = self.peers.daemon_count()
        rank = self.peers.rank(_BUDGET_RANK_KEY)
        return self.budgets.for_service(service).try_spend(
            daemon_count,
            now_seconds,
            is_hedge=is_hedge,
            rounding_offset=rounding_offset(service, rank, daemon_count),
        )

    def start_attempt(
        self,
        context: RequestContext,
        service: str,
        tried_replica_ids: set[str],
        purpose: str,
        now_seconds: float,
    ) -> Attempt | None:
        """Start an attempt on the replica that the policy selects.

        Return None if no candidate is left. A retry reuses a replica that was
        already tried if there is no other; a hedge does not.
        """
        inputs = SelectionInputs(
            failure_domain=self.failure_domain,
            typical_ms=self.latencies.for_route(context.route).typical_ms,
            target_ms=context.route.target_ms,
            now_seconds=now_seconds,
        )
        policy = context.table.service_policies.get(service) or ServicePolicy(
            name=service, max_connections=_DEFAULT_MAX_CONNECTIONS
        )
        sending = Sending(
            service=service,
            route=context.route.name,
            is_first=purpose == FIRST,
        )
        candidates = self.fleet.versions.narrow(
            self.fleet.candidates(policy, self.peers, now_seconds),
            sending,
            now_seconds,
        )
        untried = [
            replica
            for replica in candidates
            if replica.entry.replica_id not in tried_replica_ids
        ]
        if untried or purpose != RETRY:
            candidates = untried
        replica = self.policies.selector.select(candidates, inputs, self.rng)
        if replica is None:
            return None
        exchange = Exchange(
            request=context.request,
            replica_id=replica.entry.replica_id,
            deadline_at_seconds=context.deadline_at_seconds,
            outcome=asyncio.get_running_loop().create_future(),
            tenant_name=context.tenant_name,
        )
        self.fleet.cold_limiter.record_send(replica, now_seconds)
        self.fleet.versions.record_start(replica.entry, sending, now_seconds)
        return Attempt(
            is_connection_new=not replica.connections.has_idle(now_seconds),
            exchange=exchange,
            replica=replica,
            expected_latency_ms=expected_latency_ms(replica, inputs),
            connection=replica.connections.start(exchange, now_seconds),
            purpose=purpose,
            started_at_seconds=now_seconds,
        )

    @crash_detector.default
    def _create_crash_detector(self) -> CrashDetector:
        return CrashDetector(tasks=self.fleet.tasks, clock=self.clock)

    @recorder.default
    def _create_recorder(self) -> OutcomeRecorder:
        return OutcomeRecorder(
            self.latencies, self.slow_replica_detector, self.fleet.versions
        )
