"""Compute the delay after which a hedge is sent to a second replica."""

import math
from typing import Protocol

import attrs

from dragonflyramp.backends._latencies import RouteLatencies
from dragonflyramp.routes import answer_due_ms

#: A hedge is sent by this share of the latency target, whatever the latencies.
_MIN_LATEST_TARGET_SHARE = 0.42
#: Time that is left to a hedge before the answer is due, as a multiple of the
#: typical latency.
_HEDGE_TIME_TYPICAL_FACTOR = 1.3
#: Half of the replies come sooner than the time that is allowed for a hedge.
_MAX_OVERRUN_FACTOR = 1.2
#: The replica of a hedge often has no idle connection.
_CONNECT_MS = 6
#: Minimum hedge delay as a multiple of the typical latency.
_MIN_DELAY_TYPICAL_FACTOR = 1.4
#: Minimum hedge delay. A shorter wait may be caused by a busy event loop or a
#: new connection.
_MIN_DELAY_MS = 8


class HedgingPolicy(Protocol):
    """Policy for the hedge delay.

    Hedges limit the effect of pauses and slow replicas on the search latency:
    if each replica is paused for 4% of the time, a third of the searches over
    ten shards have a part on a paused replica.
    """

    def delay_ms(self, latencies: RouteLatencies) -> float | None:
        """Return the delay after the first attempt in ms; None for no hedge."""

    def latest_ms(
        self, latencies: RouteLatencies, remaining_ms: float
    ) -> float:
        """Return the latest delay with which a hedge is still in time.

        `remaining_ms` is the time until the answer is due, counted like the
        delay. Without a limit, as by default, return infinity.
        """
        return math.inf


@attrs.frozen
class QuantileHedging(HedgingPolicy):
    """Hedge a part that takes longer than nearly all parts of its route."""

    def delay_ms(self, latencies: RouteLatencies) -> float:
        """Return the tail latency, as long as a hedge then is in time.

        Where the latencies are high, as with slow links, an earlier hedge would
        spend the budget on parts that are not stalled.
        """
        min_delay_ms = latencies.typical_ms * _MIN_DELAY_TYPICAL_FACTOR
        hedge_time_ms = latencies.typical_ms * _HEDGE_TIME_TYPICAL_FACTOR
        max_delay_ms = max(
            latencies.target_ms * _MIN_LATEST_TARGET_SHARE,
            answer_due_ms(latencies.target_ms) - hedge_time_ms,
        )
        delay_ms = max(min_delay_ms, latencies.tail_ms, _MIN_DELAY_MS)
        return min(delay_ms, max_delay_ms)

    def latest_ms(
        self, latencies: RouteLatencies, remaining_ms: float
    ) -> float:
        """Return when a hedge has to leave that may open a connection.

        There is no limit if no hedge of a slow part can be in time.
        """
        hedge_time_ms = (
            latencies.typical_ms * _HEDGE_TIME_TYPICAL_FACTOR + _CONNECT_MS
        )
        min_delay_ms = max(
            latencies.typical_ms * _MIN_DELAY_TYPICAL_FACTOR, _MIN_DELAY_MS
        )
        if min_delay_ms + hedge_time_ms > remaining_ms * _MAX_OVERRUN_FACTOR:
            return math.inf
        return max(min_delay_ms, remaining_ms - hedge_time_ms)


@attrs.frozen
class NoHedging(HedgingPolicy):
    """Never hedge; a baseline for benchmarks."""

    def delay_ms(self, latencies: RouteLatencies) -> None:
        """Return None, which disables hedging."""
