"""Count what became of the searches of a load."""

import collections
import math
from collections.abc import Iterable, Mapping
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

_LONGEST_MICROSECONDS = 60_000_000
_DIGITS = 3
_MICROSECONDS = 1_000_000
_MICROSECONDS_PER_MS = 1000
OK = 'ok'


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, _LONGEST_MICROSECONDS, _DIGITS)


@attrs.define(kw_only=True)
class Tally:
    """Count answers; a latency starts at the intended arrival.

    `codes` counts refusals by the name of their code, `missing` the shards
    that answers lack by their code, `completed` the answers that reached the
    coverage target of their service.
    """

    latencies: HdrHistogram = attrs.field(factory=_new_histogram)
    codes: collections.Counter[str] = attrs.field(factory=collections.Counter)
    missing: collections.Counter[str] = attrs.field(factory=collections.Counter)
    coverage_sum: float = 0
    lowest_coverage: float = math.inf
    unknown_coverage: int = 0
    completed: int = 0
    #: How late the load generator itself sent, at worst.
    largest_lag_seconds: float = 0
    #: Processor time of the load generator.
    processor_seconds: float = 0

    @property
    def arrived(self) -> int:
        """Count all searches."""
        return self.codes.total()

    @property
    def answered(self) -> int:
        """Count the searches that were answered."""
        return self.codes[OK]

    @property
    def coverage(self) -> float:
        """Give the mean coverage of all searches; a refusal covers nothing."""
        return self.coverage_sum / max(1, self.arrived)

    def latency_ms(self, percentile: float) -> float:
        """Give a percentile of the answers' latencies."""
        found = self.latencies.get_value_at_percentile(percentile)
        return float(found) / _MICROSECONDS_PER_MS

    def refused(self) -> dict[str, int]:
        """Count the searches that were not answered, by code."""
        return {
            name: count
            for name, count in self.codes.most_common()
            if name != OK and count
        }

    def add_answer(
        self, latency_seconds: float, fraction: float | None, target: float
    ) -> None:
        """Count an answer."""
        self.codes[OK] += 1
        microseconds = int(latency_seconds * _MICROSECONDS)
        self.latencies.record_value(min(microseconds, _LONGEST_MICROSECONDS))
        if fraction is None:
            self.unknown_coverage += 1
            self.lowest_coverage = 0
            return
        self.coverage_sum += fraction
        self.lowest_coverage = min(self.lowest_coverage, fraction)
        self.completed += fraction >= target


def add_up(tallies: Iterable[Tally]) -> Tally:
    """Add tallies of several runs."""
    total = Tally()
    for tally in tallies:
        total.latencies.add(tally.latencies)
        total.codes.update(tally.codes)
        total.missing.update(tally.missing)
        total.coverage_sum += tally.coverage_sum
        total.lowest_coverage = min(
            total.lowest_coverage, tally.lowest_coverage
        )
        total.unknown_coverage += tally.unknown_coverage
        total.completed += tally.completed
        total.largest_lag_seconds = max(
            total.largest_lag_seconds, tally.largest_lag_seconds
        )
        total.processor_seconds += tally.processor_seconds
    return total


def encode_tally(tally: Tally) -> dict[str, Any]:
    """Give a form that JSON can carry."""
    fields = attrs.asdict(tally, recurse=False)
    return {**fields, 'latencies': tally.latencies.encode().decode()}


def decode_tally(encoded: Mapping[str, Any]) -> Tally:
    """Read the encoded form."""
    return Tally(
        **{
            **encoded,
            'latencies': HdrHistogram.decode(encoded['latencies']),
            'codes': collections.Counter(encoded['codes']),
            'missing': collections.Counter(encoded['missing']),
        }
    )
