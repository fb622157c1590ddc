"""Select the replica of an attempt, with or without a comparison."""

import random

import attrs

from dragonflyramp.backends._attempts import FIRST, RETRY
from dragonflyramp.backends._contexts import RequestContext
from dragonflyramp.backends._fleets import Fleet
from dragonflyramp.backends._limits import Peers
from dragonflyramp.backends._replica_lookups import first_replicas
from dragonflyramp.backends._replicas import Replica
from dragonflyramp.metrics import counters
from dragonflyramp.placement import (
    ReplicaSelector,
    SelectionInputs,
    expected_latency_ms,
)
from dragonflyramp.rollouts import Sending
from dragonflyramp.routes import ServicePolicy

#: Connections per replica of a service without a configured limit.
_DEFAULT_MAX_CONNECTIONS = 8


@attrs.frozen(kw_only=True)
class Selection:
    """Replica that was selected for an attempt."""

    replica: Replica
    expected_latency_ms: float
    has_idle_connection: bool


@attrs.frozen(kw_only=True)
class ReplicaChooser:
    """Choose replicas among those of the fleet."""

    fleet: Fleet
    #: Daemons that share the limits with this one.
    peers: Peers
    #: Failure domain of this daemon.
    failure_domain: str
    selector: ReplicaSelector
    rng: random.Random

    def choose(
        self,
        context: RequestContext,
        sending: Sending,
        tried_replica_ids: set[str],
        typical_ms: float,
        now_seconds: float,
    ) -> Selection | None:
        """Return the replica of an attempt, or None if no candidate is left.

        `typical_ms` is the typical latency of the route.
        """
        inputs = SelectionInputs(
            failure_domain=self.failure_domain,
            typical_ms=typical_ms,
            target_ms=context.route.target_ms,
            now_seconds=now_seconds,
        )
        if not tried_replica_ids:
            accepted = self._accept_first(sending, inputs)
            if accepted is not None:
                return accepted
        counters.add(
            'replica_comparisons', 'first' if sending.is_first else 'extra'
        )
        policy = context.table.service_policies.get(
            sending.service
        ) or ServicePolicy(
            name=sending.service, max_connections=_DEFAULT_MAX_CONNECTIONS
        )
        return self._compare(policy, sending, tried_replica_ids, inputs)

    def _accept_first(
        self, sending: Sending, inputs: SelectionInputs
    ) -> Selection | None:
        """Return the first replica in this daemon's order, if it will do.

        It usually has an idle connection, and the daemons differ in their
        orders, so that the requests spread without a comparison for each.
        """
        if self.fleet.versions.divides_requests(sending.service):
            return None
        first, second = first_replicas(
            self.fleet, sending.service, inputs.now_seconds
        )
        if first is None:
            return None
        latency_ms = self.selector.accept(first, second, inputs)
        if latency_ms is None:
            return None
        return Selection(
            replica=first,
            expected_latency_ms=latency_ms,
            has_idle_connection=True,
        )

    def _compare(
        self,
        policy: ServicePolicy,
        sending: Sending,
        tried_replica_ids: set[str],
        inputs: SelectionInputs,
    ) -> Selection | None:
        """Return the replica that the selector prefers to all candidates."""
        now_seconds = inputs.now_seconds
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
        if untried or not sending.may_repeat_replica:
            candidates = untried
        replica = self.selector.select(candidates, inputs, self.rng)
        if replica is None:
            return None
        return Selection(
            replica=replica,
            expected_latency_ms=expected_latency_ms(replica, inputs),
            has_idle_connection=replica.connections.has_idle(now_seconds),
        )


def describe_sending(
    context: RequestContext, service: str, purpose: str
) -> Sending:
    """Return what the version policy has to know of an attempt."""
    return Sending(
        service=service,
        route=context.route.name,
        is_first=purpose == FIRST,
        may_repeat_replica=purpose == RETRY,
    )
