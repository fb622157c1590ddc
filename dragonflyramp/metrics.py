"""Count what the daemons do, by reason, with OpenTelemetry.

>>> counters = Counters()
>>> counters.add('refusals', 'queue_full')
>>> counters.add('refusals', 'queue_full', 2)
>>> counters.get('refusals', 'queue_full')
3
"""

import collections

from opentelemetry import metrics as otel
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

_PREFIX = 'dragonflyramp_'


class Counters:
    """Count events by counter name and reason.

    Counts are kept in plain integers and read by OpenTelemetry when it
    exports, because an OpenTelemetry add costs more than the event itself
    on the path of each part.
    """

    def __init__(self) -> None:
        """Start with every counter at zero."""
        self._counts: dict[str, collections.Counter[str]] = {}

    def add(self, name: str, reason: str, amount: int = 1) -> None:
        """Add to the counter of a name and reason."""
        by_reason = self._counts.get(name)
        if by_reason is None:
            by_reason = collections.Counter()
            self._counts[name] = by_reason
            self._register(name)
        by_reason[reason] += amount

    def get(self, name: str, reason: str) -> int:
        """Return the count of a name and reason."""
        return self._counts.get(name, collections.Counter())[reason]

    def as_dict(self) -> dict[str, dict[str, int]]:
        """Return all counts, by name and then by reason."""
        return {
            name: dict(by_reason) for name, by_reason in self._counts.items()
        }

    def _register(self, name: str) -> None:
        def observe(  # noqa: WPS430 - OpenTelemetry takes a callback per name
            options: otel.CallbackOptions,
        ) -> list[otel.Observation]:
            return [
                otel.Observation(count, {'reason': reason})
                for reason, count in self._counts[name].items()
            ]

        otel.get_meter('dragonflyramp').create_observable_counter(
            f'{_PREFIX}{name}', callbacks=[observe]
        )


counters = Counters()


def start_export() -> None:
    """Connect OpenTelemetry to the registry that /metrics prints."""
    otel.set_meter_provider(
        MeterProvider(metric_readers=[PrometheusMetricReader()])
    )


def render() -> bytes:
    """Render all metrics in the text format of Prometheus."""
    return generate_latest(REGISTRY)
