"""Select the replica that is expected to answer first."""

import random
from collections.abc import Sequence
from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from dragonflyramp.backends import Replica

#: Minimum cost of another failure domain: the round trip, and billed traffic.
#: It exceeds that of a new connection, which is needed only once.
_MIN_CROSS_DOMAIN_COST_MS = 7
#: Cost of another failure domain as a share of the time that is left to the
#: latency target: a caller loses nothing by an answer before the target.
_CROSS_DOMAIN_SLACK_SHARE = 0.08
#: A new connection occupies a slot of the replica for about this long.
_CONNECT_COST_MS = 6
#: A cold replica is slower than a warm one by about this factor.
_COLD_LATENCY_FACTOR = 1.6
#: Weight of the failure rate, because a failed attempt also costs the time of
#: its retry.
_FAILURE_COST_FACTOR = 4
#: A request that has been outstanding for longer than this multiple of the
#: typical latency indicates a paused replica.
_STALL_FACTOR = 1.5
#: Random addition as a share of the typical latency, so that requests spread
#: over replicas with equal expected latency.
_JITTER_SHARE = 0.15
#: Expected latency up to which a replica is not compared with others, as a
#: multiple of the typical one.
_MAX_ACCEPTED_RATIO = 1.25


@attrs.frozen(kw_only=True)
class SelectionInputs:
    """Inputs of a selection besides the candidates."""

    #: Failure domain of this daemon.
    failure_domain: str
    #: Typical latency of the route.
    typical_ms: float
    #: Latency target of the route.
    target_ms: float
    now_seconds: float


class ReplicaSelector(Protocol):
    """Policy for selecting the replica of an attempt.

    The slowest shard determines the latency of a search over many shards, so
    a single bad selection delays the whole answer.
    """

    def select(
        self,
        candidates: Sequence['Replica'],
        inputs: SelectionInputs,
        rng: random.Random,
    ) -> 'Replica | None':
        """Return one of the candidates, or None if there are none."""

    def accept(
        self,
        first: 'Replica',
        second: 'Replica | None',
        inputs: SelectionInputs,
    ) -> float | None:
        """Return the expected latency of the first replica if it will do.

        It needs no comparison with others, of which `second` is the next one.
        Return None if it does, as by default.
        """
        latency_ms: float | None = None
        return latency_ms


@attrs.frozen
class LowestLatencySelector(ReplicaSelector):
    """Select by the lowest expected latency; avoid suspect replicas."""

    def select(
        self,
        candidates: Sequence['Replica'],
        inputs: SelectionInputs,
        rng: random.Random,
    ) -> 'Replica | None':
        """Return the candidate with the lowest expected latency plus jitter.

        A suspect replica is returned only if all candidates are suspect.
        """
        healthy = [
            replica
            for replica in candidates
            if not replica.is_suspect(inputs.now_seconds)
        ]
        jitter_ms = inputs.typical_ms * _JITTER_SHARE
        return min(
            healthy or candidates,
            key=lambda replica: (
                expected_latency_ms(replica, inputs) + jitter_ms * rng.random()
            ),
            default=None,
        )

    def accept(
        self,
        first: 'Replica',
        second: 'Replica | None',
        inputs: SelectionInputs,
    ) -> float | None:
        """Return the expected latency of the first replica if it is ready.

        It has an idle connection, is neither suspect nor cold, and about as
        fast as most, but for what another failure domain would cost.
        """
        now_seconds = inputs.now_seconds
        if (
            first.is_suspect(now_seconds)
            or first.is_cold(now_seconds)
            or not first.connections.has_idle(now_seconds)
        ):
            return None
        latency_ms = _work_latency_ms(first, inputs)
        excess_ms = latency_ms - inputs.typical_ms * _MAX_ACCEPTED_RATIO
        domain_cost_ms = _domain_cost_ms(first, inputs)
        if excess_ms > 0:
            if second is None:
                return None
            if excess_ms > _domain_cost_ms(second, inputs) - domain_cost_ms:
                return None
        return latency_ms + domain_cost_ms


@attrs.frozen
class RandomSelector(ReplicaSelector):
    """Select at random; a baseline for benchmarks."""

    def select(
        self,
        candidates: Sequence['Replica'],
        inputs: SelectionInputs,
        rng: random.Random,
    ) -> 'Replica | None':
        """Return a random candidate."""
        return rng.choice(candidates) if candidates else None


@attrs.frozen
class LeastOutstandingSelector(ReplicaSelector):
    """Select by the fewest outstanding requests; a baseline for benchmarks."""

    def select(
        self,
        candidates: Sequence['Replica'],
        inputs: SelectionInputs,
        rng: random.Random,
    ) -> 'Replica | None':
        """Return a candidate with the fewest outstanding requests."""
        return min(
            candidates,
            key=lambda replica: (
                replica.outstanding_request_count(inputs.now_seconds),
                rng.random(),
            ),
            default=None,
        )


@attrs.frozen
class TwoChoicesSelector(ReplicaSelector):
    """Select the less loaded of two random replicas; a baseline."""

    def select(
        self,
        candidates: Sequence['Replica'],
        inputs: SelectionInputs,
        rng: random.Random,
    ) -> 'Replica | None':
        """Return the one of two with fewer outstanding requests."""
        chosen = rng.sample(candidates, min(2, len(candidates)))
        return LeastOutstandingSelector().select(chosen, inputs, rng)


def expected_latency_ms(replica: 'Replica', inputs: SelectionInputs) -> float:
    """Estimate the latency in ms of a request that is sent now."""
    latency_ms = _work_latency_ms(replica, inputs)
    latency_ms += _domain_cost_ms(replica, inputs)
    if not replica.connections.has_idle(inputs.now_seconds):
        latency_ms += _CONNECT_COST_MS
    return latency_ms


def _work_latency_ms(replica: 'Replica', inputs: SelectionInputs) -> float:
    """Estimate the time at the replica, from its state and its load."""
    now_seconds = inputs.now_seconds
    slots = replica.entry.slots
    processing_ms = inputs.typical_ms * _latency_ratio_with_stall(
        replica, inputs
    )
    processing_ms *= replica.stats.load.work_time_ratio(now_seconds)
    if replica.is_cold(now_seconds):
        processing_ms *= _COLD_LATENCY_FACTOR
    outstanding_request_count = replica.outstanding_request_count(now_seconds)
    excess_request_count = max(0, outstanding_request_count + 1 - slots)
    latency_ms = processing_ms * (1 + excess_request_count / slots)
    latency_ms *= 1 + _FAILURE_COST_FACTOR * replica.health.failure_rate
    # While all replicas have free slots, the least loaded one is preferred.
    latency_ms += processing_ms * outstanding_request_count / (slots * slots)
    return latency_ms


def _domain_cost_ms(replica: 'Replica', inputs: SelectionInputs) -> float:
    if replica.entry.failure_domain == inputs.failure_domain:
        return 0
    return cross_domain_cost_ms(inputs)


def cross_domain_cost_ms(inputs: SelectionInputs) -> float:
    """Return how much slower a replica in the own domain may be, in ms.

    While the route's latency approaches its target, as under high load, this
    falls to the minimum.
    """
    slack_ms = inputs.target_ms - inputs.typical_ms
    return max(_MIN_CROSS_DOMAIN_COST_MS, slack_ms * _CROSS_DOMAIN_SLACK_SHARE)


def _latency_ratio_with_stall(
    replica: 'Replica', inputs: SelectionInputs
) -> float:
    """Return the latency ratio, raised to that of a stalled request."""
    latency_ratio = replica.stats.latency_ratio(inputs.now_seconds)
    if not replica.in_flight:
        return latency_ratio
    oldest_age_ms = (
        replica.oldest_request_age_seconds(inputs.now_seconds) * 1000
    )
    stall_ratio = oldest_age_ms / max(1, inputs.typical_ms)
    if stall_ratio > _STALL_FACTOR:
        return max(latency_ratio, stall_ratio)
    return latency_ratio
