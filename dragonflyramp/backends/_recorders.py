"""Update replica and route statistics from the outcomes of attempts."""

import asyncio
import functools
from collections.abc import Callable
from typing import TypeAlias

import attrs

from dragonflyramp.backends._attempts import FIRST, Attempt
from dragonflyramp.backends._contexts import RequestContext
from dragonflyramp.backends._latencies import LatenciesByRoute, RouteLatencies
from dragonflyramp.backends._reply_checks import ReplyVerdict
from dragonflyramp.deferred_calls import CallQueue, ImmediateCalls
from dragonflyramp.messages import Load, Reply
from dragonflyramp.metrics import counters
from dragonflyramp.metrics import latencies as latency_metrics
from dragonflyramp.replica_connections import OutcomeKind
from dragonflyramp.replicas import ReplicaEntry
from dragonflyramp.rollouts import AnswerKind, VersionPolicy
from dragonflyramp.slow_replicas import SlowReplicaDetector

#: How long a cancelled attempt may still be answered. A reply in this time
#: keeps the connection open. Until then, the age of the request shows the
#: selector how slow the replica is.
_LATE_REPLY_TIMEOUT_SECONDS = 0.25
#: Multiples of the typical latency beyond which a reply counts as slow, and an
#: attempt that was given up: another attempt was faster, or the deadline came.
_SLOW_RATIO = 2.5
_SLOW_CANCELLED_RATIO = 1.5
#: A version that is tested has few replicas, most of them in other failure
#: domains: what the round trip and a new connection add is not its own time.
_ROUND_TRIP_MS = 3
_NEW_CONNECTION_MS = 6
#: Resolution of the times of polls.
_POLL_RESOLUTION_SECONDS = 0.001

#: Called with a replica and the load that it reports, the fast latency of the
#: route in ms, and the monotonic time.
LoadListener: TypeAlias = Callable[[ReplicaEntry, Load, float, float], None]


def _ignore_load(
    entry: ReplicaEntry, load: Load, fast_ms: float, now_seconds: float
) -> None:
    """Do nothing, for clients without admission control."""


@attrs.define(eq=False)
class OutcomeRecorder:
    """Record replies and failures in replica and route statistics."""

    _latencies: LatenciesByRoute
    _slow_replica_detector: SlowReplicaDetector
    _versions: VersionPolicy
    on_load: LoadListener = _ignore_load
    #: Runs what no answer waits for.
    calls: CallQueue = attrs.field(factory=ImmediateCalls)

    def record_success(
        self,
        attempt: Attempt,
        reply: Reply,
        context: RequestContext,
        now_seconds: float,
    ) -> None:
        """Record a success, after the next answer has been sent."""
        self.calls.add(
            functools.partial(
                self.record_reply,
                attempt,
                reply,
                ReplyVerdict.success,
                context,
                now_seconds,
            )
        )

    def record_reply(
        self,
        attempt: Attempt,
        reply: Reply,
        verdict: ReplyVerdict,
        context: RequestContext,
        now_seconds: float,
    ) -> None:
        """Record a reply, its reported load and its latency."""
        replica = attempt.replica
        latencies = self._latencies.for_route(context.route)
        if reply.load is not None:
            replica.stats.record_load(reply.load, now_seconds)
            self.on_load(
                replica.entry, reply.load, latencies.fast_ms, now_seconds
            )
        if reply.is_misdirected:
            replica.health.record_misdirected(now_seconds)
        elif verdict is ReplyVerdict.success:
            replica.health.record_success()
            is_slow = _is_slow(
                attempt, latencies.typical_ms, _SLOW_RATIO, now_seconds
            )
            self._record_latency(attempt, latencies, now_seconds)
            kind = AnswerKind.slow if is_slow else AnswerKind.good
            self._record_answer(attempt, context, kind)
        else:
            self._record_failure(attempt, verdict, context)

    def record_missing_reply(
        self,
        attempt: Attempt,
        kind: OutcomeKind,
        context: RequestContext,
        now_seconds: float,
    ) -> None:
        """Record an attempt that ended without a reply."""
        if kind is not OutcomeKind.unsent:
            self._record_answer(attempt, context, AnswerKind.failed)
        if kind is OutcomeKind.unreachable:
            attempt.replica.health.record_unreachable(now_seconds)
        elif kind is not OutcomeKind.unsent:
            attempt.replica.health.record_error()
        if kind is OutcomeKind.lost:
            counters.add('lost_attempts', attempt.purpose)

    def accept_late_reply(
        self, attempt: Attempt, context: RequestContext, now_seconds: float
    ) -> None:
        """Keep a cancelled attempt in flight until its reply or a timeout.

        The age of its request is recorded as a latency.
        """
        latencies = self._latencies.for_route(context.route)
        if _is_slow(
            attempt, latencies.typical_ms, _SLOW_CANCELLED_RATIO, now_seconds
        ):
            self._record_answer(attempt, context, AnswerKind.slow)
        self._record_latency(attempt, latencies, now_seconds)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(_LATE_REPLY_TIMEOUT_SECONDS, attempt.close)
        attempt.replica.in_flight[attempt.exchange] = attempt.started_at_seconds
        attempt.exchange.outcome.add_done_callback(
            lambda _: _finish_late_reply(attempt, timer)
        )

    def _record_failure(
        self, attempt: Attempt, verdict: ReplyVerdict, context: RequestContext
    ) -> None:
        attempt.replica.health.record_error()
        if verdict is not ReplyVerdict.not_run:
            self._record_answer(attempt, context, AnswerKind.failed)
        if verdict.is_invalid:
            counters.add('invalid_replies', verdict.value)

    def _record_answer(
        self, attempt: Attempt, context: RequestContext, kind: AnswerKind
    ) -> None:
        self._versions.record_answer(
            attempt.replica.entry, context.route.name, kind
        )

    def _record_latency(
        self, attempt: Attempt, latencies: RouteLatencies, now_seconds: float
    ) -> None:
        written_at_seconds = attempt.exchange.written_at_seconds
        if written_at_seconds is None:
            return
        latency_ms = max(0, now_seconds - written_at_seconds) * 1000
        ratio = latency_ms / max(1, latencies.typical_ms)
        if _was_waiting(attempt, now_seconds):
            ratio = min(1, ratio)
        # A replica that was slow for a moment is not a slow replica.
        ratio /= attempt.replica.stats.load.work_time_ratio(now_seconds)
        latency_metrics.record('parts', latency_ms)
        attempt.replica.stats.record_latency(ratio, now_seconds)
        self._slow_replica_detector.record(
            attempt.exchange.replica_id, ratio, now_seconds
        )
        if attempt.purpose == FIRST:
            latencies.record(latency_ms)


def _is_slow(
    attempt: Attempt, typical_ms: float, max_ratio: float, now_seconds: float
) -> bool:
    """Return whether an attempt took much longer than its route does."""
    written_at_seconds = attempt.exchange.written_at_seconds
    if written_at_seconds is None:
        return False
    limit_ms = _ROUND_TRIP_MS + max_ratio * max(1, typical_ms)
    if attempt.is_connection_new:
        limit_ms += _NEW_CONNECTION_MS
    return (now_seconds - written_at_seconds) * 1000 > limit_ms


def _was_waiting(attempt: Attempt, now_seconds: float) -> bool:
    """Return whether a reply was there when replies were first read.

    Before, the daemon was sending the other parts, so that it cannot tell how
    long the replica took.
    """
    sends = attempt.first_sends
    if sends is None:
        return False
    return now_seconds < sends.ended_at_seconds + _POLL_RESOLUTION_SECONDS


def _finish_late_reply(attempt: Attempt, timer: asyncio.TimerHandle) -> None:
    timer.cancel()
    attempt.replica.in_flight.pop(attempt.exchange, None)
