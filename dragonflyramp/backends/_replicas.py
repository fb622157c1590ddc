"""Track the load, latency and failures of one replica."""

import math

import attrs

from dragonflyramp.messages import Load
from dragonflyramp.placement import LoadEstimate
from dragonflyramp.replica_connections import (
    ConnectionPool,
    Exchange,
    Outcome,
    OutcomeKind,
)
from dragonflyramp.replicas import ReplicaEntry, ReplicaState

#: Weight of the newest sample in the exponential moving averages. The averages
#: reflect the start and the end of a 150 ms pause within one or two samples.
_EWMA_WEIGHT = 0.35
#: Time constant with which the latency ratio decays to 1 without samples, so
#: that a slow replica receives a request and is measured again.
_DECAY_TIME_CONSTANT_SECONDS = 1.5
#: A sample of this daemon overrides the reports of other daemons for this long.
_OWN_SAMPLE_TTL_SECONDS = 0.3
#: Initial and maximum time for which an unreachable replica is avoided.
_INITIAL_BACKOFF_SECONDS = 0.2
_MAX_BACKOFF_SECONDS = 2


@attrs.define(eq=False)
class ReplicaStats:
    """Latency and load estimates of a replica."""

    #: Latency relative to the typical latency of the route.
    _latency_ratio: float = 1
    _latency_ratio_at_seconds: float = -math.inf
    #: Latency ratio as reported by other daemons.
    _peer_latency_ratio: float = 1
    _peer_latency_ratio_at_seconds: float = -math.inf
    load: LoadEstimate = attrs.field(factory=LoadEstimate)

    def latency_ratio(self, now_seconds: float) -> float:
        """Return the estimated latency as a multiple of the typical one."""
        age_seconds = now_seconds - self._latency_ratio_at_seconds
        own_ratio = _decayed(
            self._latency_ratio, age_seconds, _DECAY_TIME_CONSTANT_SECONDS
        )
        if (
            self._peer_latency_ratio == 1
            or age_seconds < _OWN_SAMPLE_TTL_SECONDS
        ):
            return own_ratio
        peer_age_seconds = now_seconds - self._peer_latency_ratio_at_seconds
        return max(
            own_ratio,
            _decayed(
                self._peer_latency_ratio,
                peer_age_seconds,
                _DECAY_TIME_CONSTANT_SECONDS,
            ),
        )

    def record_latency(self, ratio: float, now_seconds: float) -> None:
        """Add a latency sample as a multiple of the typical latency."""
        age_seconds = now_seconds - self._latency_ratio_at_seconds
        current_ratio = _decayed(
            self._latency_ratio, age_seconds, _DECAY_TIME_CONSTANT_SECONDS
        )
        self._latency_ratio = current_ratio + _EWMA_WEIGHT * (
            ratio - current_ratio
        )
        self._latency_ratio_at_seconds = now_seconds

    def record_peer_latency_ratio(
        self, ratio: float, now_seconds: float
    ) -> None:
        """Record a latency ratio that other daemons measured."""
        self._peer_latency_ratio = ratio
        self._peer_latency_ratio_at_seconds = now_seconds

    def record_load(self, load: Load, now_seconds: float) -> None:
        """Record the load that the replica reported."""
        self.load.record(load, now_seconds)


@attrs.define(eq=False)
class Health:
    """Recent failures of a replica, with exponential backoff."""

    #: Moving average of failed requests, from 0 to 1.
    failure_rate: float = 0
    _backoff_until_seconds: float = -math.inf
    _backoff_seconds: float = 0

    @property
    def needs_probe(self) -> bool:
        """Return whether no request succeeded since the last backoff began."""
        return self._backoff_seconds > 0

    def is_backing_off(self, now_seconds: float) -> bool:
        """Return whether a backoff is in progress."""
        return now_seconds < self._backoff_until_seconds

    def record_success(self) -> None:
        """Lower the failure rate and reset the backoff."""
        self.failure_rate *= 1 - _EWMA_WEIGHT
        self._backoff_seconds = 0
        self._backoff_until_seconds = -math.inf

    def record_error(self) -> None:
        """Count a failed request in the failure rate."""
        self.failure_rate += _EWMA_WEIGHT * (1 - self.failure_rate)

    def record_unreachable(self, now_seconds: float) -> None:
        """Record an unreachable replica; start or double its backoff."""
        self.record_error()
        if self.is_backing_off(now_seconds):
            return
        self._backoff_seconds = min(
            _MAX_BACKOFF_SECONDS,
            max(_INITIAL_BACKOFF_SECONDS, 2 * self._backoff_seconds),
        )
        self._backoff_until_seconds = now_seconds + self._backoff_seconds

    def record_misdirected(self, now_seconds: float) -> None:
        """Back off from a replica whose address now belongs to another."""
        self._backoff_seconds = _MAX_BACKOFF_SECONDS
        self._backoff_until_seconds = now_seconds + _MAX_BACKOFF_SECONDS


@attrs.define(eq=False)
class Replica:
    """State of one replica as seen by this daemon."""

    entry: ReplicaEntry
    #: Monotonic time until which the replica is cold.
    warm_at_seconds: float
    connections: ConnectionPool
    stats: ReplicaStats = attrs.field(factory=ReplicaStats)
    health: Health = attrs.field(factory=Health)
    #: Monotonic start time of each exchange without an outcome.
    in_flight: dict[Exchange, float] = attrs.field(factory=dict)

    @property
    def is_ready(self) -> bool:
        """Return whether the replica reports the ready state."""
        return self.entry.state is ReplicaState.ready

    def is_suspect(self, now_seconds: float) -> bool:
        """Return whether to avoid the replica because of failures.

        After the backoff, one request at a time is sent as a probe.
        """
        if not self.health.needs_probe:
            return False
        return self.health.is_backing_off(now_seconds) or bool(self.in_flight)

    def is_cold(self, now_seconds: float) -> bool:
        """Return whether the replica is still warming up."""
        return now_seconds < self.warm_at_seconds

    def stop_requests(self) -> None:
        """Send nothing more; requests that were written may be answered."""
        self.connections.retire()
        self.withdraw_unwritten()

    def withdraw_unwritten(self) -> None:
        """End the exchanges that still wait for a connection, unsent."""
        for exchange in tuple(self.in_flight):
            if not exchange.is_written:
                exchange.finish(Outcome(OutcomeKind.unsent))

    def oldest_request_age_seconds(self, now_seconds: float) -> float:
        """Return the age of the oldest request without an outcome."""
        return now_seconds - min(self.in_flight.values(), default=now_seconds)

    def outstanding_request_count(self, now_seconds: float) -> float:
        """Estimate how many requests are running or queued at the replica."""
        return max(
            len(self.in_flight),
            self.stats.load.outstanding_count(
                self.in_flight.values(), now_seconds
            ),
        )


def _decayed(
    ratio: float, age_seconds: float, time_constant_seconds: float
) -> float:
    decay_factor = math.exp(-max(0, age_seconds) / time_constant_seconds)
    return 1 + (ratio - 1) * decay_factor
