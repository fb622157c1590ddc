"""Send requests to services, with state that all fetches share."""

import asyncio
import random
from collections.abc import Callable

import attrs

from dragonflyramp.backends._attempts import Attempt, FirstSends
from dragonflyramp.backends._budgets import Budgets, rounding_offset
from dragonflyramp.backends._contexts import RequestContext
from dragonflyramp.backends._crash_detectors import CrashDetector
from dragonflyramp.backends._fetches import Fetch, create_fetch
from dragonflyramp.backends._fleets import Fleet
from dragonflyramp.backends._hedging import HedgingPolicy, QuantileHedging
from dragonflyramp.backends._latencies import LatenciesByRoute
from dragonflyramp.backends._limits import Peers
from dragonflyramp.backends._recorders import OutcomeRecorder
from dragonflyramp.backends._selections import (
    ReplicaChooser,
    describe_sending,
)
from dragonflyramp.deferred_calls import CallQueue, ImmediateCalls
from dragonflyramp.placement import LowestLatencySelector, ReplicaSelector
from dragonflyramp.replica_connections import Exchange
from dragonflyramp.routes import Route
from dragonflyramp.slow_replicas import SlowReplicaDetector

#: Orders the daemons for the rounding of their budgets.
_BUDGET_RANK_KEY = 'budget'


@attrs.frozen(kw_only=True)
class Policies:
    """Selection and hedging policies; benchmarks replace them."""

    selector: ReplicaSelector = attrs.field(factory=LowestLatencySelector)
    hedging: HedgingPolicy = attrs.field(factory=QuantileHedging)


def _create_chooser(client: 'BackendClient') -> ReplicaChooser:
    return ReplicaChooser(
        fleet=client.fleet,
        peers=client.peers,
        failure_domain=client.failure_domain,
        selector=client.policies.selector,
        rng=client.rng,
    )


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
    #: Runs what no answer waits for.
    calls: CallQueue = attrs.field(factory=ImmediateCalls)
    recorder: OutcomeRecorder = attrs.field(init=False)
    crash_detector: CrashDetector = attrs.field(init=False)
    _chooser: ReplicaChooser = attrs.field(
        init=False, default=attrs.Factory(_create_chooser, takes_self=True)
    )

    def __attrs_post_init__(self) -> None:
        """Hear of processes of replicas that ended."""
        self.fleet.on_process_end = self.crash_detector.record_process_end

    def create_fetch(self, context: RequestContext, service: str) -> Fetch:
        """Create a fetch of one part from a service; `Fetch.run` starts it."""
        return create_fetch(self, context, service)

    def plan_first_sends(self, route: Route, remaining_ms: float) -> FirstSends:
        """Return when first attempts that are sent now are hedged.

        `remaining_ms` is the time until the answer is due.
        """
        latencies = self.latencies.for_route(route)
        hedging = self.policies.hedging
        delay_ms = hedging.delay_ms(latencies)
        if delay_ms is not None:
            delay_ms = min(delay_ms, hedging.latest_ms(latencies, remaining_ms))
        return FirstSends(hedge_delay_ms=delay_ms)

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
        sending = describe_sending(context, service, purpose)
        selection = self._chooser.choose(
            context,
            sending,
            tried_replica_ids,
            self.latencies.for_route(context.route).typical_ms,
            now_seconds,
        )
        if selection is None:
            return None
        replica = selection.replica
        self.fleet.requested_at_seconds[service] = now_seconds
        exchange = Exchange(
            request=context.request,
            replica_id=replica.entry.replica_id,
            deadline_at_seconds=context.deadline_at_seconds,
            outcome=asyncio.get_running_loop().create_future(),
            tenant_name=context.tenant_name,
        )
        if now_seconds < replica.warm_at_seconds:
            self.fleet.cold_limiter.record_send(replica, now_seconds)
        self.fleet.versions.record_start(replica.entry, sending, now_seconds)
        return Attempt(
            is_connection_new=not selection.has_idle_connection,
            exchange=exchange,
            replica=replica,
            expected_latency_ms=selection.expected_latency_ms,
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
            self.latencies,
            self.slow_replica_detector,
            self.fleet.versions,
            calls=self.calls,
        )
