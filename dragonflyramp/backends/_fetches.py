"""Fetch one part from one service, with retries and hedges."""

import asyncio
import contextlib
from typing import TYPE_CHECKING

import attrs

from dragonflyramp.backends._attempts import (
    Attempts,
    FailureSummary,
)
from dragonflyramp.backends._contexts import RequestContext
from dragonflyramp.backends._crash_watches import CrashRetries
from dragonflyramp.backends._fetch_steps import FetchSteps
from dragonflyramp.backends._outcome_handlers import OutcomeHandler
from dragonflyramp.backends._requests import FetchResult
from dragonflyramp.backends._schedulers import AttemptScheduler
from dragonflyramp.results import ResultCode

if TYPE_CHECKING:
    from dragonflyramp.backends._clients import BackendClient


@attrs.define(eq=False)
class Fetch:
    """Fetch one part from one service.

    The reply to a request without scatter-gather is its only part.
    """

    _client: 'BackendClient'
    _context: RequestContext
    service: str
    _scheduler: AttemptScheduler
    _crash_retries: CrashRetries
    _outcomes: OutcomeHandler
    #: Steps that the caller may take before `run`, or in place of it.
    steps: FetchSteps
    #: Whether a cancelled fetch keeps the connections of written requests for a
    #: short time, so that late replies are still read.
    accepts_late_replies: bool = False

    def release(self) -> None:
        """Release the attempts of a fetch whose result nobody waits for."""
        self._outcomes.release(
            self._client.clock(),
            accepts_late_replies=self.accepts_late_replies,
            is_answered=False,
        )

    async def run(self) -> FetchResult:
        """Return the result; always release the attempts still in flight."""
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._crash_retries.release)
            try:
                fetch_result = await self._run()
            except asyncio.CancelledError:
                self.release()
                raise
            self._outcomes.release(
                self._client.clock(),
                accepts_late_replies=True,
                is_answered=fetch_result.is_answered,
            )
        return fetch_result

    def cancelled_result(self) -> FetchResult:
        """Return the result of a fetch that is about to be cancelled."""
        attempts = self._scheduler.attempts
        return FetchResult(
            service=self.service,
            code=ResultCode.cancelled,
            may_have_run=attempts.written_count > 0,
            records=attempts.all_records(self._client.clock()),
        )

    async def _run(self) -> FetchResult:
        scheduler = self._scheduler
        if not scheduler.is_started and not await scheduler.start_first():
            return self._outcomes.failure_summary.failed_result(
                _unavailable_code(self._client, self.service),
                self._client.clock(),
            )
        while scheduler.attempts.in_flight:
            fetch_result = await self._advance(scheduler)
            if fetch_result is not None:
                return fetch_result
        return self._outcomes.failure_summary.failed_result(
            self._outcomes.failure_summary.failure_code, self._client.clock()
        )

    async def _advance(self, scheduler: AttemptScheduler) -> FetchResult | None:
        """Handle the next outcomes, and start the attempts that follow.

        Return the result, if the fetch has ended.
        """
        done = await scheduler.wait()
        now_seconds = self._client.clock()
        for future in done:
            fetch_result = self._outcomes.record(future, now_seconds)
            if fetch_result is not None:
                return fetch_result
        if now_seconds >= self._context.deadline_at_seconds:
            return self._outcomes.failure_summary.failed_result(
                ResultCode.deadline_exceeded, now_seconds
            )
        is_idempotent = self._context.route.is_idempotent
        if not await self._crash_retries.allows_next(
            needs_retry=is_idempotent and not scheduler.attempts.in_flight,
            deadline_at_seconds=self._context.deadline_at_seconds,
        ):
            return self._outcomes.failure_summary.failed_result(
                self._outcomes.failure_summary.failure_code,
                self._client.clock(),
            )
        scheduler.retry_or_hedge(
            self._client.clock(),
            may_have_run=self._outcomes.failure_summary.may_have_run,
        )
        if scheduler.attempts.in_flight:
            self._context.crash_watch.record_retry()
        return None


def create_fetch(
    client: 'BackendClient', context: RequestContext, service: str
) -> Fetch:
    """Create a fetch of one part from a service; `Fetch.run` starts it."""
    attempts = Attempts()
    watch = context.crash_watch
    crash_retries = CrashRetries(watch, service, watch.suspicion)
    scheduler = AttemptScheduler(client, context, service, attempts)
    outcomes = OutcomeHandler(
        client,
        context,
        service,
        attempts,
        crash_retries,
        FailureSummary(service, attempts),
    )
    return Fetch(
        client,
        context,
        service,
        scheduler,
        crash_retries,
        outcomes,
        FetchSteps(client, context, scheduler, outcomes),
    )


def _unavailable_code(client: 'BackendClient', service: str) -> ResultCode:
    """Return the code of a fetch that found no replica with capacity."""
    if client.fleet.usable_replicas(service, client.clock()):
        return ResultCode.queue_full
    return ResultCode.no_replica
