"""Take in how sends ended: learn, deliver, or send again."""

import math

import attrs

from dragonflyramp.backends._connections import EndedSend
from dragonflyramp.backends._contexts import TierContext
from dragonflyramp.backends._jobs import (
    Job,
    Outcome,
    Send,
    SendPurpose,
)
from dragonflyramp.backends._latencies import RequestKind
from dragonflyramp.backends._observations import SendObserver
from dragonflyramp.backends._queues import ShardQueue
from dragonflyramp.backends._retries import FailedSend
from dragonflyramp.backends._senders import NOT_PERMITTED
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode


class Completions:
    """Decide what follows the end of a send."""

    def __init__(self, queue: ShardQueue, context: TierContext) -> None:
        """Serve one shard."""
        self._queue = queue
        self._context = context
        self._observer = SendObserver(queue, context)

    def take(self, ended: EndedSend, now_seconds: float) -> None:
        """Learn from a send that ended and take its job further."""
        checked = _checked(ended)
        self._observer.learn(checked, now_seconds)
        send = ended.send
        job = send.job
        job.sends.remove(send)
        if job.finished:
            return
        reply = checked.reply
        if reply.code is ResultCode.ok:
            self._deliver(checked)
        elif ended.reply is NOT_PERMITTED:
            self._put_back(job, send)
        else:
            self._fail(checked, now_seconds)

    def _deliver(self, ended: EndedSend) -> None:
        reply = ended.reply
        outcome = Outcome(
            code=reply.code, documents=reply.documents, body=reply.body
        )
        if ended.send.purpose is SendPurpose.hedge:
            counters.add('hedges', 'won')
        job = ended.send.job
        self._queue.finish(job, outcome)
        for loser in job.sends:
            # A cold replica that is always cancelled would never get warm.
            if loser.replica.is_warm:
                counters.add('cancelled_sends', 'lost_hedge')
                loser.give_up()

    def _put_back(self, job: Job, send: Send) -> None:
        """Place a job anew whose send was not allowed to start."""
        counters.add('not_permitted', send.purpose.name)
        if not job.sends:
            job.tried.discard(send.replica.replica.replica_id)
            self._queue.put_back(job)

    def _fail(self, ended: EndedSend, now_seconds: float) -> None:
        """Send a failed job again, wait for its other send, or give up."""
        job = ended.send.job
        reply = ended.reply
        job.last_code = reply.code
        if reply.sent:
            job.note_code(reply.code)
        if job.sends:
            return
        delay_seconds = self._retry_delay(ended, now_seconds)
        if delay_seconds is None:
            counters.add('not_retried', reply.code.name)
            self._queue.refuse(job, reply.code)
            return
        counters.add('retries', reply.code.name)
        job.retries += 1
        job.hedge_seconds = math.inf
        job.not_before_seconds = now_seconds + delay_seconds
        self._queue.put_back(job)

    def _retry_delay(
        self, ended: EndedSend, now_seconds: float
    ) -> float | None:
        job = ended.send.job
        if job.kind is RequestKind.submit and ended.reply.sent:
            return None
        if job.ran_code is ResultCode.connection_reset:
            # The front decides whether a request that may crash servers
            # is tried on a second one.
            return None
        if ended.reply.code is ResultCode.snapshot_gone:
            # The server ran nothing, and each replica is asked once.
            return 0
        failed = FailedSend(
            code=ended.reply.code,
            retries=job.retries,
            remaining_seconds=job.deadline_seconds - now_seconds,
        )
        return self._context.policies.retries.delay_seconds(
            failed, self._queue.terms.retry_budget, self._context.rng
        )


def _checked(ended: EndedSend) -> EndedSend:
    """Replace a reply that must not reach the front.

    A reply from another snapshot would mix two states of the index.
    """
    reply = ended.reply
    wanted = ended.send.job.snapshot_id
    if reply.code is ResultCode.ok and reply.snapshot_id != wanted:
        counters.add('bad_replies', 'wrong_snapshot')
        bad = attrs.evolve(reply, code=ResultCode.bad_reply, body=b'')
        return attrs.evolve(ended, reply=bad)
    if reply.code is ResultCode.connection_reset and not reply.sent:
        unsent = attrs.evolve(reply, code=ResultCode.no_replica)
        return attrs.evolve(ended, reply=unsent)
    return ended
