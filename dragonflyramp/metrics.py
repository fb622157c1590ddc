"""Collect counters, latency histograms and gauges.

Counts are plain integers, because adding to an OpenTelemetry counter for each
part of a search would cost more than the event that it counts.
`metrics_export` exports the metrics at each scrape.

>>> counters = Counters()
>>> counters.add('refusals', 'queue_full')
>>> counters.add('refusals', 'queue_full', 2)
>>> counters.get('refusals', 'queue_full')
3
"""

import bisect
import collections
from collections.abc import Callable

import attrs

_SHORT_BOUNDS_MS = (1, 2, 3, 5, 10, 15, 20, 25, 30, 40, 50)
_LONG_BOUNDS_MS = (100, 150, 200, 300, 500, 1000, 3000)
#: Upper bounds of the buckets of every latency histogram.
BUCKET_BOUNDS_MS = (*_SHORT_BOUNDS_MS, *_LONG_BOUNDS_MS)
#: Routes that a latency is counted for separately; further ones share an entry.
_MAX_ROUTES = 32
_OTHER_ROUTES = 'other'


class Counters:
    """Counts of events by counter name and reason."""

    def __init__(self) -> None:
        """Start with every counter at zero."""
        self._counts: dict[str, collections.Counter[str]] = {}

    def add(self, name: str, reason: str, amount: int = 1) -> None:
        """Increase the counter of a name and reason by an amount."""
        if name not in self._counts:
            self._counts[name] = collections.Counter()
        self._counts[name][reason] += amount

    def get(self, name: str, reason: str) -> int:
        """Return the count of a name and reason."""
        return self._counts.get(name, collections.Counter())[reason]

    def as_dict(self) -> dict[str, dict[str, int]]:
        """Return all counts, by name and then by reason."""
        return {
            name: dict(by_reason) for name, by_reason in self._counts.items()
        }


def _zero_counts() -> list[int]:
    bucket_count = len(BUCKET_BOUNDS_MS) + 1
    return [0 for _ in range(bucket_count)]


@attrs.define(eq=False)
class Histogram:
    """Latencies counted by bucket; the last bucket has no upper bound."""

    bucket_counts: list[int] = attrs.field(factory=_zero_counts)
    total_ms: float = 0

    def record(self, latency_ms: float) -> None:
        """Count one latency in milliseconds."""
        self.bucket_counts[
            bisect.bisect_left(BUCKET_BOUNDS_MS, latency_ms)
        ] += 1
        self.total_ms += latency_ms


@attrs.define(eq=False)
class Latencies:
    """Latency histograms by name, such as requests, and by route.

    The route is empty for latencies that belong to none.
    """

    by_name: dict[str, dict[str, Histogram]] = attrs.field(factory=dict)

    def record(self, name: str, latency_ms: float, route: str = '') -> None:
        """Count one latency in milliseconds under a name."""
        if name not in self.by_name:
            self.by_name[name] = {}
        by_route = self.by_name[name]
        if route not in by_route and len(by_route) >= _MAX_ROUTES:
            route = _OTHER_ROUTES
        histogram = by_route.get(route)
        if histogram is None:
            histogram = Histogram()
            by_route[route] = histogram
        histogram.record(latency_ms)


@attrs.define(eq=False)
class Gauges:
    """Functions that return current values, such as ages, by gauge name."""

    by_name: dict[str, Callable[[], float]] = attrs.field(factory=dict)

    def register(self, name: str, read: Callable[[], float]) -> None:
        """Register a function that is called for its value at each scrape."""
        self.by_name[name] = read


counters = Counters()
latencies = Latencies()
gauges = Gauges()
