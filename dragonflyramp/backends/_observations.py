"""Learn from the end of each send: ramp, latencies, snapshots, crashes."""

import math

from dragonflyramp.backends._connections import EndedSend
from dragonflyramp.backends._contexts import TierContext
from dragonflyramp.backends._jobs import Send
from dragonflyramp.backends._latencies import RequestKind, lower_median
from dragonflyramp.backends._leaving import LeavingSignal
from dragonflyramp.backends._queues import ShardQueue
from dragonflyramp.backends._ramp import Completion, Verdict
from dragonflyramp.backends._replicas import ReplicaState, log_warmth
from dragonflyramp.backends._statuses import STALL_SECONDS
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode

#: Codes of complete replies to a request that the server ran.
_RAN = frozenset(
    (
        ResultCode.ok,
        ResultCode.backend_error,
        ResultCode.bad_reply,
    )
)
#: Codes of complete replies, each of which is a sign of life.
_ANSWERED = _RAN | {
    ResultCode.shed,
    ResultCode.draining,
    ResultCode.snapshot_gone,
}
_REFUSED_LOAD = frozenset((ResultCode.shed, ResultCode.connection_reset))
_NO_ANSWER = frozenset(
    (
        ResultCode.connection_silent,
        ResultCode.deadline_exceeded,
    )
)
_GIVEN_UP = _NO_ANSWER | {ResultCode.cancelled}
# Timers may fire a little early.
_BLAME_SHARE = 0.95


class SendObserver:
    """Take the end of a send into the state of its replica and service."""

    def __init__(self, queue: ShardQueue, context: TierContext) -> None:
        """Serve one shard."""
        self._queue = queue
        self._context = context

    def learn(self, ended: EndedSend, now_seconds: float) -> None:
        """Take in one end; the order matters, an instance comes first."""
        send = ended.send
        send.replica.running -= 1
        self._learn_fingerprint(ended, now_seconds)
        if not ended.reply.sent:
            return
        self._learn_reply(ended, now_seconds)
        self._learn_ramp(ended, now_seconds)
        self._learn_latency(ended, now_seconds)

    def _learn_fingerprint(self, ended: EndedSend, now_seconds: float) -> None:
        fingerprints = self._context.fingerprints
        fingerprint = ended.send.job.fingerprint
        code = ended.reply.code
        if code is ResultCode.connection_reset:
            send = ended.send
            sent_seconds = send.called_seconds
            fingerprints.crash(
                fingerprint,
                send.replica.replica.replica_id,
                now_seconds,
                sent_seconds=-math.inf
                if sent_seconds is None
                else sent_seconds,
            )
        else:
            fingerprints.end(fingerprint, completed=code in _RAN)

    def _learn_reply(self, ended: EndedSend, now_seconds: float) -> None:
        reply = ended.reply
        replica = ended.send.replica
        observer = self._context.observer
        if reply.code in _ANSWERED:
            observer.note_instance(replica, reply.instance_id, now_seconds)
            observer.note_load(replica, reply.load, now_seconds)
        if reply.code is ResultCode.draining:
            observer.note_leaving(replica, LeavingSignal.drain_sign)
        elif reply.code is ResultCode.snapshot_gone:
            snapshot_id = ended.send.job.snapshot_id
            replica.snapshots.note_missing(snapshot_id, now_seconds)
        elif reply.code is ResultCode.ok:
            leaving = self._context.policies.leaving
            leaving.note_instance(replica.leaving, reply.instance_id)
            if reply.snapshot_id:
                replica.snapshots.note_shown(reply.snapshot_id, reply.documents)

    def _learn_ramp(self, ended: EndedSend, now_seconds: float) -> None:
        replica = ended.send.replica
        if ended.reply.instance_id in replica.former_instances:
            return
        completion = self._completion(ended, now_seconds)
        warmth = replica.ramp.warmth
        ramp = self._context.policies.ramp
        ramp.note_end(replica.ramp, completion, now_seconds)
        if replica.ramp.warmth is not warmth:
            log_warmth(replica, ended.reply.code.name)

    def _learn_latency(self, ended: EndedSend, now_seconds: float) -> None:
        send = ended.send
        seconds = ended.latency_seconds
        replica_latency = send.replica.latencies[send.job.kind]
        service_latency = self._queue.terms.latencies[send.job.kind]
        if ended.reply.code is ResultCode.ok:
            replica_latency.add(seconds, now_seconds)
            if send.replica.is_warm:
                service_latency.add(seconds, now_seconds)
        elif ended.reply.code in _GIVEN_UP:
            replica_latency.add_at_least(seconds, now_seconds)
            if send.replica.is_warm:
                service_latency.add_at_least(seconds)

    def _completion(self, ended: EndedSend, now_seconds: float) -> Completion:
        """Compare with the warm peers, or with what was usual before.

        The peers come first: when all replicas slow down together, none of
        them turned cold.
        """
        send = ended.send
        kind = send.job.kind
        peers = _warm_latencies(self._queue, kind, send.replica)
        started_seconds = now_seconds - ended.latency_seconds
        baseline_seconds = lower_median([seconds for seconds, _ in peers])
        if baseline_seconds is None:
            service_latency = self._queue.terms.latencies[kind]
            baseline_seconds = service_latency.remembered_seconds(now_seconds)
        return Completion(
            verdict=_verdict(ended),
            started_seconds=started_seconds,
            latency_seconds=ended.latency_seconds,
            baseline_seconds=baseline_seconds,
            baseline_is_current=not peers
            or any(updated >= started_seconds for _, updated in peers),
        )


def _warm_latencies(
    queue: ShardQueue, kind: RequestKind, without: ReplicaState
) -> list[tuple[float, float]]:
    """List latency and time of it for each other warm replica."""
    peers = [
        pool.replica.latencies[kind]
        for pool in queue.pools.values()
        if pool.replica is not without and pool.replica.is_warm
    ]
    return [
        (peer.seconds, peer.updated_seconds)
        for peer in peers
        if peer.seconds is not None
    ]


def _verdict(ended: EndedSend) -> Verdict:
    code = ended.reply.code
    if code in _REFUSED_LOAD:
        return Verdict.failed
    if code in _NO_ANSWER and _is_to_blame(ended):
        return Verdict.failed
    if code is ResultCode.ok and not _is_older_than_cold(ended.send):
        return Verdict.completed
    return Verdict.neutral


def _is_to_blame(ended: EndedSend) -> bool:
    """Tell whether the replica had enough time, and this process did too.

    When the timer fired late, this process was paused or overloaded, and the
    reply may have been waiting to be read.
    """
    send = ended.send
    if send.called_seconds is None:
        return False
    ended_seconds = send.called_seconds + ended.latency_seconds
    if ended_seconds - send.due_seconds > STALL_SECONDS:
        counters.add('unblamed_timeouts', 'stalled')
        return False
    return ended.latency_seconds >= _BLAME_SHARE * send.blame_after_seconds


def _is_older_than_cold(send: Send) -> bool:
    """Tell whether the request started before the replica turned cold."""
    if send.called_seconds is None:
        return True
    demoted_seconds = send.replica.ramp.demoted_seconds
    return send.called_seconds < demoted_seconds
