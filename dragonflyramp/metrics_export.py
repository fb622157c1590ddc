"""Render the metrics with OpenTelemetry in the text format of Prometheus.

Importing OpenTelemetry takes longer than the rest of the start-up, so this
module is imported at the first scrape.
"""

import functools
import itertools
from collections.abc import Callable, Iterable, Iterator

from opentelemetry import metrics as otel
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

from dragonflyramp.metrics import (
    BUCKET_BOUNDS_MS,
    Histogram,
    counters,
    gauges,
    latencies,
)

_PREFIX = 'dragonflyramp_'
_REASON_LABEL = 'reason'
_BOUND_LABEL = 'le'
_ROUTE_LABEL = 'route'

_Observe = Callable[[otel.CallbackOptions], Iterable[otel.Observation]]


class _Exporter:
    """Register each metric at its first scrape, and render all metrics."""

    def __init__(self) -> None:
        """Connect OpenTelemetry to the registry of Prometheus."""
        reader = PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False
        )
        provider = MeterProvider(metric_readers=[reader])
        self._meter = provider.get_meter('dragonflyramp')
        self._registered: set[str] = set()

    def render(self) -> bytes:
        """Register new metrics and render all of them."""
        for name in counters.as_dict():
            self._register_counter(
                name, functools.partial(_observe_counter, name)
            )
        for name in latencies.by_name:
            observe = functools.partial(_observe_latency, name)
            self._register_counter(f'{name}_latency_ms_bucket', observe)
        for name in gauges.by_name:
            self._register_gauge(name, functools.partial(_observe_gauge, name))
        return generate_latest(REGISTRY)

    def _register_counter(self, name: str, observe: _Observe) -> None:
        if name not in self._registered:
            self._registered.add(name)
            self._meter.create_observable_counter(
                f'{_PREFIX}{name}', callbacks=[observe]
            )

    def _register_gauge(self, name: str, observe: _Observe) -> None:
        if name not in self._registered:
            self._registered.add(name)
            self._meter.create_observable_gauge(
                f'{_PREFIX}{name}', callbacks=[observe]
            )


def _observe_counter(
    name: str, options: otel.CallbackOptions
) -> list[otel.Observation]:
    return [
        otel.Observation(count, {_REASON_LABEL: reason})
        for reason, count in counters.as_dict()[name].items()
    ]


def _observe_latency(
    name: str, options: otel.CallbackOptions
) -> list[otel.Observation]:
    by_route = latencies.by_name.get(name, {})
    return [
        observation
        for route, histogram in by_route.items()
        for observation in _observe_buckets(route, histogram)
    ]


def _observe_buckets(
    route: str, histogram: Histogram
) -> Iterator[otel.Observation]:
    labels = {_ROUTE_LABEL: route} if route else {}
    bounds = (*map(str, BUCKET_BOUNDS_MS), '+Inf')
    cumulative_counts = itertools.accumulate(histogram.bucket_counts)
    for bound, count in zip(bounds, cumulative_counts, strict=True):
        yield otel.Observation(count, {_BOUND_LABEL: bound, **labels})


def _observe_gauge(
    name: str, options: otel.CallbackOptions
) -> list[otel.Observation]:
    return [otel.Observation(gauges.by_name[name]())]


_EXPORTER = _Exporter()


def render() -> bytes:
    """Render all metrics in the text format of Prometheus."""
    return _EXPORTER.render()
