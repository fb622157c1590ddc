"""Track the attempts of one fetch and derive its failure from them."""

import asyncio
import math
from collections.abc import Iterable

import attrs

from dragonflyramp.backends._replicas import Replica
from dragonflyramp.backends._reply_checks import ReplyVerdict
from dragonflyramp.backends._requests import AttemptRecord, FetchResult
from dragonflyramp.messages import Reply
from dragonflyramp.replica_connections import (
    Connection,
    ConnectionEnd,
    Exchange,
    Outcome,
    OutcomeKind,
)
from dragonflyramp.results import ResultCode

#: Purposes of an attempt, as written to logs and metrics.
FIRST = 'first'
RETRY = 'retry'
HEDGE = 'hedge'


@attrs.define(eq=False, kw_only=True)
class FirstSends:
    """First attempts at the parts of a search, which are sent together."""

    #: Delay of a hedge after its first attempt; None for no hedge.
    hedge_delay_ms: float | None = None
    #: Monotonic time at which all were sent. No reply is read before.
    ended_at_seconds: float = -math.inf


@attrs.define(eq=False, kw_only=True)
class Attempt:
    """One request of a fetch, to one replica."""

    exchange: Exchange
    replica: Replica
    connection: Connection
    purpose: str
    started_at_seconds: float
    expected_latency_ms: float
    #: Whether the connection was opened for this attempt.
    is_connection_new: bool = False
    #: The attempts that are sent together with this one, if there are any.
    first_sends: FirstSends | None = None

    def close(self) -> None:
        """Close the connection unless the attempt already has an outcome.

        After the outcome, the connection may serve another request.
        """
        if not self.exchange.outcome.done():
            self.connection.close(ConnectionEnd.abandoned)


@attrs.define(eq=False)
class Attempts:
    """Attempts of one fetch: in flight, and records of finished ones."""

    in_flight: dict[asyncio.Future[Outcome], Attempt] = attrs.field(
        factory=dict
    )
    tried_replica_ids: set[str] = attrs.field(factory=set)
    #: Finished attempts whose request was not written.
    unwritten_count: int = 0
    records: list[AttemptRecord] = attrs.field(factory=list)
    #: Finished attempts whose request was written.
    _finished_written_count: int = 0

    @property
    def written_count(self) -> int:
        """Return the number of attempts whose request was written.

        Attempts in flight count too.
        """
        in_flight = self.in_flight.values()
        return self._finished_written_count + sum(
            attempt.exchange.is_written for attempt in in_flight
        )

    def add(self, attempt: Attempt) -> None:
        """Add an attempt that has just started."""
        self.in_flight[attempt.exchange.outcome] = attempt
        self.tried_replica_ids.add(attempt.exchange.replica_id)
        attempt.replica.in_flight[attempt.exchange] = attempt.started_at_seconds

    def cancel_unwritten(
        self, attempts: Iterable[Attempt], now_seconds: float
    ) -> None:
        """Cancel unwritten attempts; their replicas count as unreachable."""
        for attempt in attempts:
            attempt.replica.health.record_unreachable(now_seconds)
            attempt.close()
            self.finish(attempt, OutcomeKind.cancelled, now_seconds)

    def finish(
        self, attempt: Attempt, kind: OutcomeKind, now_seconds: float
    ) -> None:
        """Remove an attempt from those in flight and record its outcome."""
        self.in_flight.pop(attempt.exchange.outcome, None)
        attempt.replica.in_flight.pop(attempt.exchange, None)
        if attempt.exchange.is_written:
            self._finished_written_count += 1
        else:
            self.unwritten_count += 1
        if kind is OutcomeKind.unsent:
            # The server may have closed an idle connection. The replica has
            # not failed, so another attempt may use it.
            self.tried_replica_ids.discard(attempt.exchange.replica_id)
        self.records.append(self._record(attempt, kind, now_seconds))

    def all_records(self, now_seconds: float) -> tuple[AttemptRecord, ...]:
        """Return all records, with attempts in flight recorded as cancelled."""
        in_flight = [
            self._record(attempt, OutcomeKind.cancelled, now_seconds)
            for attempt in self.in_flight.values()
        ]
        return (*self.records, *in_flight)

    def _record(
        self, attempt: Attempt, kind: OutcomeKind, now_seconds: float
    ) -> AttemptRecord:
        return AttemptRecord(
            replica_id=attempt.exchange.replica_id,
            purpose=attempt.purpose,
            started_at_seconds=attempt.started_at_seconds,
            expected_latency_ms=attempt.expected_latency_ms,
            ended_at_seconds=now_seconds,
            outcome=kind,
            written_at_seconds=attempt.exchange.written_at_seconds,
            is_connection_new=attempt.is_connection_new,
        )


@attrs.define(eq=False)
class FailureSummary:
    """Failure of a fetch; its last unsuccessful attempt sets the code."""

    _service: str
    _attempts: Attempts
    failure_code: ResultCode = ResultCode.no_replica
    may_have_run: bool = False
    _failed_reply: Reply | None = None

    def add_reply(self, reply: Reply, verdict: ReplyVerdict) -> None:
        """Set the failure code from a reply that is no success."""
        if verdict is ReplyVerdict.not_run:
            self.failure_code = ResultCode.shed
            return
        self.may_have_run = True
        if verdict.is_invalid:
            self.failure_code = ResultCode.bad_reply
            return
        self.failure_code = ResultCode.backend_error
        self._failed_reply = reply

    def add_missing_reply(self, attempt: Attempt, kind: OutcomeKind) -> None:
        """Set the failure code from an attempt that ended without a reply."""
        self.failure_code = ResultCode.connection_reset
        if kind is OutcomeKind.garbled:
            self.failure_code = ResultCode.bad_reply
        self.may_have_run = self.may_have_run or attempt.exchange.is_written

    def failed_result(
        self, code: ResultCode, now_seconds: float
    ) -> FetchResult:
        """Return the result for `code`, with any reply that caused it."""
        in_flight = self._attempts.in_flight.values()
        may_have_run = self.may_have_run or any(
            attempt.exchange.is_written for attempt in in_flight
        )
        reply = self._failed_reply if code is self.failure_code else None
        return FetchResult(
            service=self._service,
            code=code,
            failure=reply,
            may_have_run=may_have_run,
            records=self._attempts.all_records(now_seconds),
        )
