"""Take the usual steps of a fetch without a task of its own."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeAlias

import attrs

from dragonflyramp.backends._attempts import FirstSends
from dragonflyramp.backends._contexts import RequestContext
from dragonflyramp.backends._outcome_handlers import OutcomeHandler
from dragonflyramp.backends._requests import FetchResult
from dragonflyramp.backends._schedulers import AttemptScheduler
from dragonflyramp.replica_connections import Outcome

if TYPE_CHECKING:
    from dragonflyramp.backends._clients import BackendClient

#: Called with the outcome of an attempt.
OutcomeListener: TypeAlias = Callable[[asyncio.Future[Outcome]], None]


@attrs.frozen
class FetchSteps:
    """Send and hedge the first attempt of a fetch, and take its success.

    `Fetch.run` goes on from there in all other cases.
    """

    _client: 'BackendClient'
    _context: RequestContext
    _scheduler: AttemptScheduler
    _outcomes: OutcomeHandler

    def try_start(
        self, first_sends: FirstSends, on_outcome: OutcomeListener
    ) -> bool:
        """Send the first attempt; return False if no replica has capacity."""
        is_started = self._scheduler.try_start_first(
            self._client.clock(), first_sends
        )
        for outcome in self._scheduler.attempts.in_flight:
            outcome.add_done_callback(on_outcome)
        return is_started

    def hedge(self, now_seconds: float, on_outcome: OutcomeListener) -> None:
        """Send a hedge if its delay has passed."""
        may_have_run = self._outcomes.failure_summary.may_have_run
        attempt = self._scheduler.retry_or_hedge(
            now_seconds, may_have_run=may_have_run
        )
        if attempt is not None:
            self._context.crash_watch.record_retry()
            attempt.exchange.outcome.add_done_callback(on_outcome)

    def waits_for(self, future: asyncio.Future[Outcome]) -> bool:
        """Return whether an outcome is that of an attempt in flight."""
        return future in self._scheduler.attempts.in_flight

    def take_success(
        self, future: asyncio.Future[Outcome], now_seconds: float
    ) -> FetchResult | None:
        """Return the result if an attempt is a success, else None."""
        fetch_result = self._outcomes.record_success(future, now_seconds)
        if fetch_result is not None and self._scheduler.attempts.in_flight:
            self._outcomes.release(
                now_seconds, accepts_late_replies=True, is_answered=True
            )
        return fetch_result
