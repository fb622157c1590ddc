"""Decide when a read is sent to a second replica as well."""

import math
from typing import Protocol

import attrs

from dragonflyramp.backends._budgets import Budget
from dragonflyramp.backends._latencies import USUAL_QUANTILE, LatencyWindow


class HedgePolicy(Protocol):
    """Decide when a hedge is due and whether it may be sent."""

    def delay_seconds(self, latencies: LatencyWindow) -> float:
        """Give the time after the first send, infinity for no hedge."""

    def allows(self, budget: Budget) -> bool:
        """Spend the budget for one hedge if there is enough."""


@attrs.frozen(kw_only=True)
class QuantileHedge:
    """Hedge after a quantile of the service's own latencies."""

    quantile: float = USUAL_QUANTILE
    #: Fewer latencies give no usable quantile.
    min_latencies: int = 20

    def delay_seconds(self, latencies: LatencyWindow) -> float:
        """Give the quantile once there are enough latencies."""
        if len(latencies) < self.min_latencies:
            return math.inf
        quantile_seconds = latencies.quantile(self.quantile)
        return math.inf if quantile_seconds is None else quantile_seconds

    def allows(self, budget: Budget) -> bool:
        """Spend one send of the budget."""
        return budget.spend()


@attrs.frozen
class NoHedge:
    """Never hedge."""

    def delay_seconds(self, latencies: LatencyWindow) -> float:
        """Give infinity."""
        return math.inf

    def allows(self, budget: Budget) -> bool:
        """Allow none."""
        return False
