"""Estimate the load of a replica from its last report."""

import math
from collections.abc import Iterable

import attrs

from dragonflyramp.messages import Load

#: Older reports are ignored. About the duration of a few requests.
_LOAD_TTL_SECONDS = 0.3
#: Time constant with which a reported work time fades, because it changes many
#: times a second.
_WORK_TIME_CONSTANT_SECONDS = 0.15


@attrs.define(eq=False)
class LoadEstimate:
    """Load of a replica as it reported it last."""

    _load: Load | None = None
    _reported_at_seconds: float = -math.inf

    def record(self, load: Load, now_seconds: float) -> None:
        """Record a report."""
        self._load = load
        self._reported_at_seconds = now_seconds

    def outstanding_count(
        self, start_times: Iterable[float], now_seconds: float
    ) -> float:
        """Return the running and waiting requests; 0 if none are known.

        `start_times` are those of this daemon's requests in flight. With a
        report of the work time, the requests sent since then count as well.
        """
        age_seconds = now_seconds - self._reported_at_seconds
        load = self._load
        if load is None or age_seconds > _LOAD_TTL_SECONDS:
            return 0
        reported_count = load.running + load.waiting
        if load.work_time_ratio is None:
            return reported_count
        sent_count = sum(
            started_at_seconds > self._reported_at_seconds
            for started_at_seconds in start_times
        )
        remaining_share = 1 - age_seconds / _LOAD_TTL_SECONDS
        return reported_count * remaining_share + sent_count

    def work_time_ratio(self, now_seconds: float) -> float:
        """Return how long work takes now, as a multiple of the usual."""
        load = self._load
        if load is None or load.work_time_ratio is None:
            return 1
        age_seconds = max(0, now_seconds - self._reported_at_seconds)
        fading = math.exp(-age_seconds / _WORK_TIME_CONSTANT_SECONDS)
        return 1 + (load.work_time_ratio - 1) * fading
