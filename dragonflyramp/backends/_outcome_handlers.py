"""Handle the outcomes of the attempts of one fetch."""

import asyncio
from typing import TYPE_CHECKING

import attrs

from dragonflyramp.backends._attempts import Attempt, Attempts, FailureSummary
from dragonflyramp.backends._contexts import RequestContext
from dragonflyramp.backends._crash_watches import CrashRetries
from dragonflyramp.backends._proofs import ProvenSuccess
from dragonflyramp.backends._reply_checks import ReplyVerdict, check_reply
from dragonflyramp.backends._requests import FetchResult
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
class OutcomeHandler:
    """Record the outcomes of attempts, and make the result of a success."""

    _client: 'BackendClient'
    _context: RequestContext
    _service: str
    _attempts: Attempts
    _crash_retries: CrashRetries
    failure_summary: FailureSummary

    def record(
        self, future: asyncio.Future[Outcome], now_seconds: float
    ) -> FetchResult | None:
        """Record an outcome; return the result if the attempt succeeded."""
        fetch_result = self.record_success(future, now_seconds)
        if fetch_result is not None:
            return fetch_result
        attempt = self._attempts.in_flight[future]
        outcome = future.result()
        if outcome.reply is None:
            self._handle_missing_reply(attempt, outcome.kind, now_seconds)
        else:
            self._handle_failure(attempt, outcome.reply, now_seconds)
        return None

    def record_success(
        self, future: asyncio.Future[Outcome], now_seconds: float
    ) -> FetchResult | None:
        """Record a success and return the result; do nothing otherwise."""
        outcome = future.result()
        reply = outcome.reply
        if reply is None or outcome.origin is None:
            return None
        if self._check_reply(reply) is not ReplyVerdict.success:
            return None
        return self._succeed(
            self._attempts.in_flight[future], reply, outcome.origin, now_seconds
        )

    def release(
        self,
        now_seconds: float,
        *,
        accepts_late_replies: bool,
        is_answered: bool,
    ) -> None:
        """Cancel the attempts in flight, or accept their late replies."""
        for attempt in tuple(self._attempts.in_flight.values()):
            if not is_answered:
                self._crash_retries.remember_unanswered(attempt, now_seconds)
            self._attempts.finish(attempt, OutcomeKind.cancelled, now_seconds)
            if accepts_late_replies and attempt.exchange.is_written:
                self._client.recorder.accept_late_reply(
                    attempt, self._context, now_seconds
                )
            else:
                attempt.close()

    def _handle_missing_reply(
        self, attempt: Attempt, kind: OutcomeKind, now_seconds: float
    ) -> None:
        self._attempts.finish(attempt, kind, now_seconds)
        self.failure_summary.add_missing_reply(attempt, kind)
        if kind is OutcomeKind.lost:
            self._crash_retries.record_lost(attempt)
        self._client.recorder.record_missing_reply(
            attempt, kind, self._context, now_seconds
        )

    def _handle_failure(
        self, attempt: Attempt, reply: Reply, now_seconds: float
    ) -> None:
        """Record a reply that is no success."""
        verdict = self._check_reply(reply)
        self._attempts.finish(
            attempt,
            OutcomeKind.invalid if verdict.is_invalid else OutcomeKind.replied,
            now_seconds,
        )
        self._client.recorder.record_reply(
            attempt, reply, verdict, self._context, now_seconds
        )
        if verdict is not ReplyVerdict.not_run:
            self._crash_retries.record_reply(now_seconds, is_success=False)
        self.failure_summary.add_reply(reply, verdict)

    def _check_reply(self, reply: Reply) -> ReplyVerdict:
        return check_reply(
            reply,
            # The records of a part are read from its body.
            accepts_content_coding=self._context.request.accepts_content_coding
            and self._context.route.gather is None,
        )

    def _succeed(
        self,
        attempt: Attempt,
        reply: Reply,
        origin: ReplyOrigin,
        now_seconds: float,
    ) -> FetchResult:
        self._attempts.finish(attempt, OutcomeKind.replied, now_seconds)
        polled_at_seconds = origin.polled_at_seconds
        self._client.recorder.record_success(
            attempt,
            reply,
            self._context,
            now_seconds if polled_at_seconds is None else polled_at_seconds,
        )
        self._crash_retries.record_reply(now_seconds, is_success=True)
        return FetchResult(
            service=self._service,
            code=ResultCode.ok,
            success=ProvenSuccess(
                request=attempt.exchange.request,
                reply=reply,
                service=self._service,
                replica_id=attempt.exchange.replica_id,
                purpose=attempt.purpose,
                origin=origin,
            ),
            may_have_run=True,
            records=tuple(self._attempts.records),
        )
