"""Keep the latencies of a service: recent quantiles and a baseline."""

import bisect
import collections
import enum
from collections.abc import Iterable

import attrs

_WINDOW = 256
#: Quantile that counts as a usual, though long, latency of a service.
USUAL_QUANTILE = 0.95
_REMEMBERED_WEIGHT = 0.02
_REMEMBERED_SECONDS = 30


class RequestKind(enum.Enum):
    """Name the kinds of request, whose latencies are kept apart."""

    search = 'search'
    submit = 'submit'


@attrs.define
class LatencyWindow:
    """Keep the latest latencies, and keep them in order of size.

    >>> window = LatencyWindow(3)
    >>> for latency in (0.9, 0.1, 0.2, 0.3):
    ...     window.add(latency)
    >>> window.quantile(0.5)
    0.2
    """

    size: int = _WINDOW
    _latest: collections.deque[float] = attrs.field(factory=collections.deque)
    _ordered: list[float] = attrs.field(factory=list)

    def __len__(self) -> int:
        """Count the latencies kept."""
        return len(self._ordered)

    def add(self, latency_seconds: float) -> None:
        """Add a latency; the oldest one leaves a full window."""
        if len(self._latest) == self.size:
            oldest = self._latest.popleft()
            self._ordered.pop(bisect.bisect_left(self._ordered, oldest))
        self._latest.append(latency_seconds)
        bisect.insort(self._ordered, latency_seconds)

    def quantile(self, fraction: float) -> float | None:
        """Give a quantile, or None while the window is empty."""
        if not self._ordered:
            return None
        rank = int(fraction * len(self._ordered))
        return self._ordered[min(rank, len(self._ordered) - 1)]


@attrs.define(kw_only=True)
class SmoothedLatency:
    """Follow a latency with an exponentially weighted mean."""

    weight: float
    seconds: float | None = None
    updated_seconds: float = 0

    def add(self, latency_seconds: float, now_seconds: float) -> None:
        """Move the mean towards a completed request's latency."""
        if self.seconds is None:
            self.seconds = latency_seconds
        self.seconds += self.weight * (latency_seconds - self.seconds)
        self.updated_seconds = now_seconds

    def add_at_least(self, elapsed_seconds: float, now_seconds: float) -> None:
        """Take in a request that was given up; it may only raise the mean."""
        if self.seconds is None or elapsed_seconds > self.seconds:
            self.add(elapsed_seconds, now_seconds)


def lower_median(latencies: Iterable[float]) -> float | None:
    """Give the median, the lower one of an even number, None of nothing.

    >>> lower_median([0.4, 0.1, 0.3, 0.2])
    0.2
    """
    ordered = sorted(latencies)
    if not ordered:
        return None
    return ordered[(len(ordered) - 1) // 2]


@attrs.define
class ServiceLatency:
    """Keep the latencies of one service, over all its replicas."""

    window: LatencyWindow = attrs.field(factory=LatencyWindow)
    remembered: SmoothedLatency = attrs.field(
        factory=lambda: SmoothedLatency(weight=_REMEMBERED_WEIGHT)
    )

    def add(self, latency_seconds: float, now_seconds: float) -> None:
        """Take in a completed request to a warm replica."""
        self.window.add(latency_seconds)
        self.remembered.add(latency_seconds, now_seconds)

    def add_at_least(self, elapsed_seconds: float) -> None:
        """Take in a request that was given up after its usual time.

        Leaving these out would lower the quantiles, and one given up early
        says nothing.
        """
        usual_seconds = self.window.quantile(USUAL_QUANTILE)
        if usual_seconds is not None and elapsed_seconds >= usual_seconds:
            self.window.add(elapsed_seconds)

    def remembered_seconds(self, now_seconds: float) -> float | None:
        """Give the usual latency until it is too old to tell."""
        age_seconds = now_seconds - self.remembered.updated_seconds
        if age_seconds > _REMEMBERED_SECONDS:
            return None
        return self.remembered.seconds
