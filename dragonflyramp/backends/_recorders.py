"""Update replica and route statistics from the outcomes of attempts."""

import asyncio
from collections.abc import Callable
from typing import TypeAlias

import attrs

from dragonflyramp.backends._attempts import FIRST, Attempt
from dragonflyramp.backends._contexts import RequestContext
from dragonflyramp.backends._latencies import LatenciesByRoute
from dragonflyramp.backends._replicas import Replica
from dragonflyramp.backends._reply_checks import ReplyVerdict
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

    def record_reply(
        self,
        attempt: Attempt,
        reply: Reply,
        verdict: ReplyVerdict,
        context: RequestContext,
        now_seconds: float,
    ) -> None:
        """Record a reply, its reported load and its latency."""
        if verdict.is_invalid:
            counters.add('invalid_replies', verdict.value)
        replica = attempt.replica
        if reply.load is not None:
            self._record_load(replica, reply.load, context, now_seconds)
        if reply.is_misdirected:
            replica.health.record_misdirected(now_seconds)
        elif verdict is ReplyVerdict.success:
            replica.health.record_success()
            is_slow = self._is_slow(attempt, context, _SLOW_RATIO, now_seconds)
            self._record_latency(attempt, context, now_seconds)
            self._record_answer(
                attempt,
                context,
                AnswerKind.slow if is_slow else AnswerKind.good,
            )
        else:
            replica.health.record_error()
            if verdict is not ReplyVerdict.not_run:
                self._record_answer(attempt, context, AnswerKind.failed)

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
        if self._is_slow(attempt, context, _SLOW_CANCELLED_RATIO, now_seconds):
            self._record_answer(attempt, context, AnswerKind.slow)
        self._record_latency(attempt, context, now_seconds)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(_LATE_REPLY_TIMEOUT_SECONDS, attempt.close)
        attempt.replica.in_flight[attempt.exchange] = attempt.started_at_seconds
        attempt.exchange.outcome.add_done_callback(
            lambda _: _finish_late_reply(attempt, timer)
        )

    def _record_answer(
        self, attempt: Attempt, context: RequestContext, kind: AnswerKind
    ) -> None:
        self._versions.record_answer(
            attempt.replica.entry, context.route.name, kind
        )

    def _is_slow(
        self,
        attempt: Attempt,
        context: RequestContext,
        max_ratio: float,
        now_seconds: float,
    ) -> bool:
        """Return whether an attempt took much longer than its route does."""
        written_at_seconds = attempt.exchange.written_at_seconds
        if written_at_seconds is None:
            return False
        limit_ms = _ROUND_TRIP_MS + max_ratio * max(
            1, self._latencies.for_route(context.route).typical_ms
        )
        if attempt.is_connection_new:
            limit_ms += _NEW_CONNECTION_MS
        return (now_seconds - written_at_seconds) * 1000 > limit_ms

    def _record_load(
        self,
        replica: Replica,
        load: Load,
        context: RequestContext,
        now_seconds: float,
    ) -> None:
        replica.stats.record_load(load, now_seconds)
        fast_ms = self._latencies.for_route(context.route).fast_ms
        self.on_load(replica.entry, load, fast_ms, now_seconds)

    def _record_latency(
        self, attempt: Attempt, context: RequestContext, now_seconds: float
    ) -> None:
        written_at_seconds = attempt.exchange.written_at_seconds
        if written_at_seconds is None:
            return
        latencies = self._latencies.for_route(context.route)
        latency_ms = (now_seconds - written_at_seconds) * 1000
        ratio = latency_ms / max(1, latencies.typical_ms)
        # A replica that was slow for a moment is not a slow replica.
        ratio /= attempt.replica.stats.load.work_time_ratio(now_seconds)
        latency_metrics.record('parts', latency_ms)
        attempt.replica.stats.record_latency(ratio, now_seconds)
        self._slow_replica_detector.record(
            attempt.exchange.replica_id, ratio, now_seconds
        )
        if attempt.purpose == FIRST:
            latencies.record(latency_ms)


def _finish_late_reply(attempt: Attempt, timer: asyncio.TimerHandle) -> None:
    timer.cancel()
    attempt.replica.in_flight.pop(attempt.exchange, None)
