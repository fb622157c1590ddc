"""Track the median latency of each service's parts."""

import collections
import statistics

import attrs

#: Enough for a stable median, few enough to follow a change in seconds.
_SAMPLES = 63


def _samples() -> collections.deque[float]:
    return collections.deque(maxlen=_SAMPLES)


@attrs.define(eq=False)
class Medians:
    """Hold the last part latencies of each service, in seconds."""

    _by_service: collections.defaultdict[str, collections.deque[float]] = (
        attrs.field(
            factory=lambda: collections.defaultdict(_samples), init=False
        )
    )

    def add(self, service: str, latency_seconds: float) -> None:
        """Add the latency of one merged part of a configured service."""
        self._by_service[service].append(latency_seconds)

    def median(self, service: str) -> float | None:
        """Return the median in seconds, or None before the first part."""
        samples = self._by_service.get(service)
        return statistics.median(samples) if samples else None
