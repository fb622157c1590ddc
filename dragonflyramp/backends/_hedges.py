"""Hedge the running works of a shard."""

import math
from collections.abc import Sequence

from dragonflyramp.backends._admissions import Admission
from dragonflyramp.backends._contexts import TierContext
from dragonflyramp.backends._handouts import Handout, Limited, holders
from dragonflyramp.backends._queues import ShardQueue
from dragonflyramp.backends._works import SendPurpose, Work
from dragonflyramp.metrics import counters


class Hedger:
    """Send a work that takes long to a second replica."""

    def __init__(
        self, queue: ShardQueue, admission: Admission, context: TierContext
    ) -> None:
        """Serve one shard."""
        self._queue = queue
        self._admission = admission
        self._context = context
        self._handout = Handout(queue, admission, context)

    def hedge(self, now_seconds: float) -> None:
        """Send each proven work whose hedge is due to a warm replica."""
        due = [
            work
            for work in self._queue.running
            if work.hedge_seconds <= now_seconds
            and work.fingerprint in self._context.fingerprints
        ]
        if not due:
            return
        current = self._admission.standing(now_seconds)
        usable = self._handout.usable(current, now_seconds)
        warm = [entry for entry in usable if entry.replica.is_warm]
        for proven in due:
            self._hedge(proven, warm, now_seconds)

    def next_due_seconds(self, now_seconds: float) -> float:
        """Give the next time at which a hedge is due.

        A hedge that is due already waits for a free slot.
        """
        times = [work.hedge_seconds for work in self._queue.running]
        later = [moment for moment in times if moment > now_seconds]
        return min(later, default=math.inf)

    def _hedge(
        self, work: Work, warm: Sequence[Limited], now_seconds: float
    ) -> None:
        untried = self._handout.untried(work, holders(warm, work))
        free = self._handout.free_now(untried, now_seconds)
        if not free:
            return
        work.hedge_seconds = math.inf
        budget = self._queue.terms.hedge_budget
        if self._context.policies.hedging.allows(budget):
            counters.add('hedges', 'handed_out')
            self._handout.hand_out(work, free, SendPurpose.hedge, now_seconds)
        else:
            counters.add('hedges', 'no_budget')
