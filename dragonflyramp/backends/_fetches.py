"""Fetch one part from one service, with retries and hedges."""

import asyncio
import contextlib
from typing import TYPE_CHECKING

import attrs

from dragonflyramp.backends._attempts import (
    Attempt,
    Attempts,
    FailureSummary,
)
from dragonflyramp.backends._contexts import RequestContext
from dragonflyramp.backends._crash_watches import CrashRetries
from dragonflyramp.backends._proofs import ProvenSuccess
from dragonflyramp.backends._reply_checks import ReplyVerdict, check_reply
from dragonflyramp.backends._requests import FetchResult
from dragonflyramp.backends._schedulers import AttemptScheduler
from dragonflyramp.messages import Reply
from dragonflyramp.replica_connections import (
    Outcome,
    OutcomeKind,
    ReplyOrigin,
)
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
    _failure_summary: FailureSummary
    #: Whether a cancelled fetch keeps the connections of written requests for a
    #: short time, so that late replies are still read.
    accepts_late_replies: bool = False

    async def run(self) -> FetchResult:
        """Return the result; always release the attempts still in flight."""
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._crash_retries.release)
            try:
                fetch_result = await self._run()
            except asyncio.CancelledError:
                self._release_attempts(
                    accepts_late_replies=self.accepts_late_replies,
                    is_answered=False,
                )
                raise
            self._release_attempts(
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
        if not await scheduler.start_first():
            return self._failure_summary.failed_result(
                _unavailable_code(self._client, self.service),
                self._client.clock(),
            )
        while scheduler.attempts.in_flight:
            fetch_result = await self._advance(scheduler)
            if fetch_result is not None:
                return fetch_result
        return self._failure_summary.failed_result(
            self._failure_summary.failure_code, self._client.clock()
        )

    async def _advance(self, scheduler: AttemptScheduler) -> FetchResult | None:
        """Handle the next outcomes, and start the attempts that follow.

        Return the result, if the fetch has ended.
        """
        done = await scheduler.wait()
        now_seconds = self._client.clock()
        for future in done:
            fetch_result = self._handle_outcome(future, now_seconds)
            if fetch_result is not None:
                return fetch_result
        if now_seconds >= self._context.deadline_at_seconds:
            return self._failure_summary.failed_result(
                ResultCode.deadline_exceeded, now_seconds
            )
        is_idempotent = self._context.route.is_idempotent
        if not await self._crash_retries.allows_next(
            needs_retry=is_idempotent and not scheduler.attempts.in_flight,
            deadline_at_seconds=self._context.deadline_at_seconds,
        ):
            return self._failure_summary.failed_result(
                self._failure_summary.failure_code, self._client.clock()
            )
        scheduler.retry_or_hedge(
            self._client.clock(),
            may_have_run=self._failure_summary.may_have_run,
        )
        if scheduler.attempts.in_flight:
            self._context.crash_watch.record_retry()
        return None

    def _handle_outcome(
        self, future: asyncio.Future[Outcome], now_seconds: float
    ) -> FetchResult | None:
        """Record an outcome; return the result if the attempt succeeded."""
        attempt = self._scheduler.attempts.in_flight[future]
        outcome = future.result()
        if outcome.reply is not None and outcome.origin is not None:
            return self._handle_reply(
                attempt, outcome.reply, outcome.origin, now_seconds
            )
        self._scheduler.attempts.finish(attempt, outcome.kind, now_seconds)
        self._failure_summary.add_missing_reply(attempt, outcome.kind)
        if outcome.kind is OutcomeKind.lost:
            self._crash_retries.record_lost(attempt)
        self._client.recorder.record_missing_reply(
            attempt, outcome.kind, self._context, now_seconds
        )
        return None

    def _handle_reply(
        self,
        attempt: Attempt,
        reply: Reply,
        origin: ReplyOrigin,
        now_seconds: float,
    ) -> FetchResult | None:
        """Record a reply; return the result if it is a success."""
        verdict = check_reply(
            reply,
            # The records of a part are read from its body.
            accepts_content_coding=self._context.request.accepts_content_coding
            and self._context.route.gather is None,
        )
        self._scheduler.attempts.finish(
            attempt,
            OutcomeKind.invalid if verdict.is_invalid else OutcomeKind.replied,
            now_seconds,
        )
        self._client.recorder.record_reply(
            attempt, reply, verdict, self._context, now_seconds
        )
        is_success = verdict is ReplyVerdict.success
        if verdict is not ReplyVerdict.not_run:
            self._crash_retries.record_reply(now_seconds, is_success=is_success)
        if not is_success:
            self._failure_summary.add_reply(reply, verdict)
            return None
        return FetchResult(
            service=self.service,
            code=ResultCode.ok,
            success=ProvenSuccess(
                request=attempt.exchange.request,
                reply=reply,
                service=self.service,
                replica_id=attempt.exchange.replica_id,
                purpose=attempt.purpose,
                origin=origin,
            ),
            may_have_run=True,
            records=tuple(self._scheduler.attempts.records),
        )

    def _release_attempts(
        self, *, accepts_late_replies: bool, is_answered: bool
    ) -> None:
        """Cancel the attempts in flight, or accept their late replies."""
        now_seconds = self._client.clock()
        for attempt in tuple(self._scheduler.attempts.in_flight.values()):
            if not is_answered:
                self._crash_retries.remember_unanswered(attempt, now_seconds)
            self._scheduler.attempts.finish(
                attempt, OutcomeKind.cancelled, now_seconds
            )
            if accepts_late_replies and attempt.exchange.is_written:
                self._client.recorder.accept_late_reply(
                    attempt, self._context, now_seconds
                )
            else:
                attempt.close()


def create_fetch(
    client: 'BackendClient', context: RequestContext, service: str
) -> Fetch:
    """Create a fetch of one part from a service; `Fetch.run` starts it."""
    attempts = Attempts()
    watch = context.crash_watch
    return Fetch(
        client,
        context,
        service,
        AttemptScheduler(client, context, service, attempts),
        CrashRetries(watch, service, watch.suspicion),
        FailureSummary(service, attempts),
    )


def _unavailable_code(client: 'BackendClient', service: str) -> ResultCode:
    """Return the code of a fetch that found no replica with capacity."""
    if client.fleet.usable_replicas(service, client.clock()):
        return ResultCode.queue_full
    return ResultCode.no_replica
