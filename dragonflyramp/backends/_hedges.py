"""Hedge the running jobs of a shard."""

import math
from collections.abc import Sequence

from dragonflyramp.backends._admissions import Admission
from dragonflyramp.backends._assignments import Assigner, LimitedPool, holders
from dragonflyramp.backends._contexts import TierContext
from dragonflyramp.backends._jobs import Job, SendPurpose
from dragonflyramp.backends._queues import ShardQueue
from dragonflyramp.metrics import counters


class Hedger:
    """Send a job that takes long to a second replica."""

    def __init__(
        self, queue: ShardQueue, admission: Admission, context: TierContext
    ) -> None:
        """Serve one shard."""
        self._queue = queue
        self._admission = admission
        self._context = context
        self._assigner = Assigner(queue, admission, context)

    def hedge(self, now_seconds: float) -> None:
        """Send each proven job whose hedge is due to a warm replica."""
        due = [
            job
            for job in self._queue.running
            if job.hedge_seconds <= now_seconds
            and job.fingerprint in self._context.fingerprints
        ]
        if not due:
            return
        current = self._admission.lease_rights(now_seconds)
        usable = self._assigner.usable(current, now_seconds)
        warm = [entry for entry in usable if entry.replica.is_warm]
        for proven in due:
            self._hedge(proven, warm, now_seconds)

    def next_due_seconds(self, now_seconds: float) -> float:
        """Give the next time at which a hedge is due.

        A hedge that is due already waits for a free slot.
        """
        times = [job.hedge_seconds for job in self._queue.running]
        later = [moment for moment in times if moment > now_seconds]
        return min(later, default=math.inf)

    def _hedge(
        self, job: Job, warm: Sequence[LimitedPool], now_seconds: float
    ) -> None:
        untried = self._assigner.untried(job, holders(warm, job))
        free = self._assigner.free_now(job, untried, now_seconds)
        if not free:
            return
        job.hedge_seconds = math.inf
        budget = self._queue.terms.hedge_budget
        if self._context.policies.hedging.allows(budget):
            counters.add('hedges', 'handed_out')
            self._assigner.assign(job, free, SendPurpose.hedge, now_seconds)
        else:
            counters.add('hedges', 'no_budget')
