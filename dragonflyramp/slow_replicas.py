"""Detect slow replicas from latencies that daemons share.

With many daemons, each sends few requests to a replica. From its own samples
alone, a daemon would detect a slow replica only after a part of a request was
late, and the sample would expire before its next request to the replica.
"""

import math
from collections.abc import Callable, Iterable, Mapping

import attrs

#: Time constant of the exponential decay; a replica that has become slow stays
#: slow for some seconds.
_DECAY_TIME_CONSTANT_SECONDS = 1.5
#: Fewer samples may all come from a single pause of the replica of 150 to
#: 200 ms.
_MIN_SLOW_SAMPLES = 3
#: Multiple of the typical latency from which a replica counts as slow.
_MIN_SLOW_RATIO = 2
#: Aggregates up to this ratio are left out of reports, to keep them small.
_MIN_REPORTED_RATIO = 1.4
#: A hub that responds to many daemons reuses its report for this long.
_REPORT_TTL_SECONDS = 0.25
#: The samples of an older report have decayed, and its daemon may be no hub any
#: more.
_HUB_REPORT_TTL_SECONDS = 60
#: A daemon that cannot send its samples to a hub drops them when they are from
#: this many replicas, which bounds their memory.
_MAX_UNSENT_REPLICAS = 4096


@attrs.frozen
class LatencyAggregate:
    """Count and sum of latency ratios, both with exponential decay.

    A ratio is a latency divided by the typical latency of its route.
    """

    count: float = 0
    ratio_sum: float = 0
    updated_at_seconds: float = 0

    @property
    def mean_ratio(self) -> float:
        """Return the mean ratio, or 1 without samples."""
        return self.ratio_sum / self.count if self.count else 1

    def decayed(self, now_seconds: float) -> 'LatencyAggregate':
        """Return the aggregate decayed to a later time."""
        factor = _decay_factor(now_seconds - self.updated_at_seconds)
        return LatencyAggregate(
            self.count * factor, self.ratio_sum * factor, now_seconds
        )

    def merge(self, other: 'LatencyAggregate') -> 'LatencyAggregate':
        """Return the sum of two aggregates of the same time."""
        return LatencyAggregate(
            self.count + other.count,
            self.ratio_sum + other.ratio_sum,
            max(self.updated_at_seconds, other.updated_at_seconds),
        )


#: Aggregates by replica id.
LatencyAggregates = Mapping[str, LatencyAggregate]


@attrs.frozen
class _HubReport:
    aggregates: LatencyAggregates
    received_at_seconds: float


def _ignore_slow_replicas(
    slow_ratios: Mapping[str, float], now_seconds: float
) -> None:
    """Do nothing, for a detector that only collects samples."""


@attrs.define(eq=False)
class SlowReplicaDetector:
    """Detect slow replicas from the latencies of all daemons.

    Each daemon sends its samples to a hub, and all hubs send reports to each
    daemon.
    """

    #: Called with the mean ratios of slow replicas by id, and the time.
    on_slow: Callable[[Mapping[str, float], float], None] = (
        _ignore_slow_replicas
    )
    #: Samples of this daemon that have not been sent to a hub yet.
    _unsent_samples: dict[str, LatencyAggregate] = attrs.field(factory=dict)
    #: Samples of this daemon and of those that send it requests.
    _collected_samples: dict[str, LatencyAggregate] = attrs.field(factory=dict)
    #: The last report of each hub by its name.
    _hub_reports: dict[str, _HubReport] = attrs.field(factory=dict)
    _cached_report: LatencyAggregates = attrs.field(factory=dict)
    _cached_at_seconds: float = -math.inf

    def record(self, replica_id: str, ratio: float, now_seconds: float) -> None:
        """Record the latency ratio of a request of this daemon."""
        if len(self._unsent_samples) >= _MAX_UNSENT_REPLICAS:
            self._unsent_samples = {}
            self._decay_and_report(now_seconds)
        _add_sample(self._unsent_samples, replica_id, ratio, now_seconds)
        _add_sample(self._collected_samples, replica_id, ratio, now_seconds)

    def pop_unsent_samples(self) -> LatencyAggregates:
        """Return and clear the samples that have not been sent to a hub yet."""
        unsent = self._unsent_samples
        self._unsent_samples = {}
        return unsent

    def add_peer_samples(
        self, samples: LatencyAggregates, now_seconds: float
    ) -> None:
        """Add the samples in a request from another daemon."""
        for replica_id, aggregate in samples.items():
            _add(
                self._collected_samples,
                replica_id,
                attrs.evolve(aggregate, updated_at_seconds=now_seconds),
            )

    def current_report(self, now_seconds: float) -> LatencyAggregates:
        """Return this daemon's report: replicas that are slow or nearly so.

        A recent report is reused.
        """
        if now_seconds - self._cached_at_seconds >= _REPORT_TTL_SECONDS:
            self._cached_at_seconds = now_seconds
            self._cached_report = self._decay_and_report(now_seconds)
        return self._cached_report

    def apply_report(
        self, hub_name: str, report: LatencyAggregates, now_seconds: float
    ) -> None:
        """Store a hub's report and call `on_slow` for slow replicas in it."""
        aggregates = {
            replica_id: attrs.evolve(aggregate, updated_at_seconds=now_seconds)
            for replica_id, aggregate in report.items()
        }
        self._hub_reports = {
            name: hub_report
            for name, hub_report in self._hub_reports.items()
            if now_seconds - hub_report.received_at_seconds
            < _HUB_REPORT_TTL_SECONDS
        }
        self._hub_reports[hub_name] = _HubReport(aggregates, now_seconds)
        # Expires old samples even if this daemon receives no requests.
        self.current_report(now_seconds)
        slow_ratios = self._compute_slow_ratios(report, now_seconds)
        if slow_ratios:
            self.on_slow(slow_ratios, now_seconds)

    def _decay_and_report(self, now_seconds: float) -> LatencyAggregates:
        """Decay all aggregates, drop expired ones, and return the report."""
        decayed = {
            replica_id: aggregate.decayed(now_seconds)
            for replica_id, aggregate in self._collected_samples.items()
        }
        self._collected_samples = {
            replica_id: aggregate
            for replica_id, aggregate in decayed.items()
            if aggregate.count > _MIN_RETAINED_COUNT
        }
        return {
            replica_id: aggregate
            for replica_id, aggregate in self._collected_samples.items()
            if aggregate.mean_ratio > _MIN_REPORTED_RATIO
        }

    def _compute_slow_ratios(
        self, replica_ids: Iterable[str], now_seconds: float
    ) -> dict[str, float]:
        slow_ratios = {}
        for replica_id in replica_ids:
            total = LatencyAggregate(updated_at_seconds=now_seconds)
            for report in self._hub_reports.values():
                aggregate = report.aggregates.get(replica_id)
                if aggregate is not None:
                    total = total.merge(aggregate.decayed(now_seconds))
            if (
                total.count >= _MIN_SLOW_SAMPLES
                and total.mean_ratio >= _MIN_SLOW_RATIO
            ):
                slow_ratios[replica_id] = total.mean_ratio
        return slow_ratios


def _add_sample(
    aggregates: dict[str, LatencyAggregate],
    replica_id: str,
    ratio: float,
    now_seconds: float,
) -> None:
    """Add one sample, the newest one, to the aggregate of a replica."""
    earlier = aggregates.get(replica_id, _NO_SAMPLES)
    factor = _decay_factor(now_seconds - earlier.updated_at_seconds)
    aggregates[replica_id] = LatencyAggregate(
        earlier.count * factor + 1,
        earlier.ratio_sum * factor + ratio,
        now_seconds,
    )


def _decay_factor(elapsed_seconds: float) -> float:
    return math.exp(-max(0, elapsed_seconds) / _DECAY_TIME_CONSTANT_SECONDS)


_NO_SAMPLES = LatencyAggregate()


def _add(
    aggregates: dict[str, LatencyAggregate],
    replica_id: str,
    aggregate: LatencyAggregate,
) -> None:
    previous = aggregates.get(replica_id)
    if previous is not None:
        aggregate = previous.decayed(aggregate.updated_at_seconds).merge(
            aggregate
        )
    aggregates[replica_id] = aggregate


#: Aggregates with a lower count expire; one sample does after about 7 s.
_MIN_RETAINED_COUNT = 0.01
