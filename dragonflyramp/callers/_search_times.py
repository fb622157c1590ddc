"""Split the time of a search into stages."""

from collections.abc import Callable, Iterator, Sequence

import attrs

from dragonflyramp.backends import AttemptRecord, FetchResult, RequestContext
from dragonflyramp.metrics import latencies


@attrs.frozen(kw_only=True)
class SearchTimes:
    """Ends of the stages of a search, in ms from the arrival of its request.

    A stage that the search did not reach is None.
    """

    #: How long the request had waited in this process when it was read.
    read_delay_ms: float
    #: When the checks of the request ended, such as that of the quota.
    admitted_ms: float
    first_written_ms: float | None = None
    #: When the first attempts at all parts were written.
    last_written_ms: float | None = None
    #: When the last part of the answer was received.
    last_part_ms: float | None = None
    #: When the search stopped waiting for parts.
    ended_ms: float
    #: When the answer was merged.
    merged_ms: float
    #: First attempts that had to open a connection.
    new_connection_count: int = 0

    def record(self, route_name: str) -> None:
        """Count the stages in the histograms of a route."""
        latencies.record('search_reads', self.read_delay_ms, route_name)
        latencies.record('search_admissions', self.admitted_ms, route_name)
        latencies.record(
            'search_merges', self.merged_ms - self.ended_ms, route_name
        )
        if self.first_written_ms is not None:
            latencies.record(
                'search_first_writes', self.first_written_ms, route_name
            )
        if self.last_written_ms is not None:
            latencies.record(
                'search_last_writes', self.last_written_ms, route_name
            )
        if self.last_part_ms is not None:
            latencies.record('search_last_parts', self.last_part_ms, route_name)

    def describe(self) -> dict[str, float]:
        """Return the stages that were reached, rounded for a log line."""
        return {
            name: round(stage, 1)
            for name, stage in attrs.asdict(self).items()
            if stage is not None
        }


@attrs.frozen(kw_only=True)
class SearchPhases:
    """Monotonic times at which a search began and ended."""

    admitted_at_seconds: float
    ended_at_seconds: float
    merged_at_seconds: float


def measure_search(
    context: RequestContext,
    succeeded: Sequence[FetchResult],
    fetch_results: Sequence[FetchResult],
    phases: SearchPhases,
) -> SearchTimes:
    """Return the stages of a search with its results."""
    first_attempts = list(_first_attempts(fetch_results))
    written_times = [
        attempt.written_at_seconds
        for attempt in first_attempts
        if attempt.written_at_seconds is not None
    ]
    part_times = [part.records[-1].ended_at_seconds for part in succeeded]
    arrived_at_seconds = context.received_at_seconds
    return SearchTimes(
        read_delay_ms=context.read_delay_seconds * _MS_PER_SECOND,
        admitted_ms=elapsed_ms(phases.admitted_at_seconds, arrived_at_seconds),
        first_written_ms=_stage_ms(written_times, min, arrived_at_seconds),
        last_written_ms=_stage_ms(written_times, max, arrived_at_seconds),
        last_part_ms=_stage_ms(part_times, max, arrived_at_seconds),
        ended_ms=elapsed_ms(phases.ended_at_seconds, arrived_at_seconds),
        merged_ms=elapsed_ms(phases.merged_at_seconds, arrived_at_seconds),
        new_connection_count=sum(
            attempt.is_connection_new for attempt in first_attempts
        ),
    )


def elapsed_ms(at_seconds: float, since_seconds: float) -> float:
    """Return the time between two monotonic times in ms."""
    return (at_seconds - since_seconds) * _MS_PER_SECOND


def _first_attempts(
    fetch_results: Sequence[FetchResult],
) -> Iterator[AttemptRecord]:
    for fetch_result in fetch_results:
        if fetch_result.records:
            yield fetch_result.records[0]


def _stage_ms(
    times_seconds: Sequence[float],
    select: Callable[[Sequence[float]], float],
    since_seconds: float,
) -> float | None:
    if not times_seconds:
        return None
    return elapsed_ms(select(times_seconds), since_seconds)


_MS_PER_SECOND = 1000
