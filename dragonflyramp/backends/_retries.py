"""Decide whether and when a read is sent again after a failure."""

import random
from typing import Protocol

import attrs

from dragonflyramp.backends._budgets import Budget
from dragonflyramp.results import ResultCode

#: A reset while a read runs is missing: the request may have crashed the
#: server, and the front decides whether it is tried on a second one.
SAFE_CODES = frozenset(
    (
        ResultCode.shed,
        ResultCode.draining,
        ResultCode.no_replica,
        ResultCode.connection_silent,
        ResultCode.backend_error,
        ResultCode.bad_reply,
    )
)


@attrs.frozen(kw_only=True)
class FailedSend:
    """Describe a send that failed, and what is left for another one."""

    code: ResultCode
    retries: int
    remaining_seconds: float


class RetryPolicy(Protocol):
    """Decide whether and when to send again."""

    def delay_seconds(
        self, failed: FailedSend, budget: Budget, rng: random.Random
    ) -> float | None:
        """Give the time to wait, or None to give up.

        Spend the budget when a time is given.
        """

    def may_repeat_replica(self) -> bool:
        """Tell whether the next send may go to the same replica."""


@attrs.frozen(kw_only=True)
class JitteredRetry:
    """Retry safe failures within a budget, after full jitter."""

    base_seconds: float = 0.004
    max_seconds: float = 0.05
    max_retries: int = 3

    def delay_seconds(
        self, failed: FailedSend, budget: Budget, rng: random.Random
    ) -> float | None:
        """Draw a time up to a bound that doubles with each retry."""
        if failed.code not in SAFE_CODES or failed.retries >= self.max_retries:
            return None
        bound = self.base_seconds * 2**failed.retries
        delay = rng.uniform(0, min(bound, self.max_seconds))
        if delay >= failed.remaining_seconds or not budget.spend():
            return None
        return delay

    def may_repeat_replica(self) -> bool:
        """Go to another replica."""
        return False


@attrs.frozen(kw_only=True)
class ImmediateRetry:
    """Retry safe failures at once, without a budget, on any replica."""

    max_retries: int = 3

    def delay_seconds(
        self, failed: FailedSend, budget: Budget, rng: random.Random
    ) -> float | None:
        """Give no time to wait until the retries are used up."""
        if failed.code in SAFE_CODES and failed.retries < self.max_retries:
            return 0
        return None

    def may_repeat_replica(self) -> bool:
        """Go to any replica."""
        return True
