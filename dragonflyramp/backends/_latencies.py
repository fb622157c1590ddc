"""Measure the latencies of the parts of each route."""

import collections

import attrs

from dragonflyramp.bounded_maps import use_entry
from dragonflyramp.routes import Route

#: Enough samples for quantiles up to the 95th percentile, which includes the
#: tail quantile, from a few seconds of light traffic.
_MAX_SAMPLES = 256
#: The quantiles are recomputed after this many samples.
_REFRESH_SAMPLES = 16
#: With fewer samples, the initial estimates from the target are better.
_MIN_SAMPLES = 24
#: Typical latency assumed until there are enough samples, as a share of the
#: target.
_INITIAL_TYPICAL_SHARE = 0.2
_TYPICAL_QUANTILE = 0.5
#: Fast latency as a share of the typical one until there are enough samples.
_INITIAL_FAST_SHARE = 0.5
_FAST_QUANTILE = 0.1
_TAIL_QUANTILE = 0.93
#: Limit on the routes whose latencies are kept, those of earlier
#: configurations included.
_MAX_ROUTES = 1024


@attrs.define(eq=False)
class RouteLatencies:
    """Recent latencies of the parts of one route and their quantiles."""

    target_ms: float
    #: Median latency.
    typical_ms: float = attrs.field(init=False)
    #: Low quantile: the latency with little or no queueing.
    fast_ms: float = attrs.field(init=False)
    #: High quantile, which few parts exceed.
    tail_ms: float = attrs.field(init=False)
    _samples: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_SAMPLES)
    )
    _new_sample_count: int = 0

    def __attrs_post_init__(self) -> None:
        """Derive initial estimates from the target."""
        self.typical_ms = self.target_ms * _INITIAL_TYPICAL_SHARE
        self.fast_ms = self.typical_ms * _INITIAL_FAST_SHARE
        self.tail_ms = 2 * self.typical_ms

    def record(self, latency_ms: float) -> None:
        """Add the latency of a part, or the age of a cancelled request."""
        self._samples.append(latency_ms)
        self._new_sample_count += 1
        if (
            self._new_sample_count < _REFRESH_SAMPLES
            or len(self._samples) < _MIN_SAMPLES
        ):
            return
        self._new_sample_count = 0
        ordered = sorted(self._samples)
        self.typical_ms = ordered[int(len(ordered) * _TYPICAL_QUANTILE)]
        self.fast_ms = ordered[int(len(ordered) * _FAST_QUANTILE)]
        self.tail_ms = ordered[int(len(ordered) * _TAIL_QUANTILE)]


@attrs.define(eq=False)
class LatenciesByRoute:
    """Latencies of all routes by name."""

    _by_route: dict[str, RouteLatencies] = attrs.field(factory=dict)

    def for_route(self, route: Route) -> RouteLatencies:
        """Return the latencies of a route, created on first use."""
        return use_entry(
            self._by_route,
            route.name,
            lambda: RouteLatencies(route.target_ms),
            _MAX_ROUTES,
        )

    def fast_ms(self, route: Route) -> float:
        """Return the latency in ms of a part of a route without queueing."""
        return self.for_route(route).fast_ms
