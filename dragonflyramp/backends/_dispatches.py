"""Place the waiting jobs of a shard."""

import math
from collections.abc import Sequence

from dragonflyramp.backends._admissions import Admission
from dragonflyramp.backends._assignments import Assigner, LimitedPool, holders
from dragonflyramp.backends._contexts import TierContext
from dragonflyramp.backends._fingerprints import Wake, is_refused
from dragonflyramp.backends._jobs import Job, SendPurpose
from dragonflyramp.backends._queues import ShardQueue
from dragonflyramp.models import LeaseState
from dragonflyramp.results import ResultCode


class Dispatcher:
    """Give each waiting job a replica, a reason to wait, or a refusal."""

    def __init__(
        self,
        queue: ShardQueue,
        admission: Admission,
        context: TierContext,
        wake: Wake,
    ) -> None:
        """Serve one shard; `wake` leads to another dispatch."""
        self._queue = queue
        self._admission = admission
        self._context = context
        self._wake = wake
        self._assigner = Assigner(queue, admission, context)

    def dispatch(self, now_seconds: float) -> None:
        """Refuse what is too late, and place what is due."""
        for job in tuple(self._queue.waiting):
            if job.deadline_seconds <= now_seconds:
                self._queue.refuse(job, job.waits_code)
        if not self._queue.waiting:
            return
        current = self._admission.lease_rights(now_seconds)
        refusal = _refusal(
            current.state, self._context.source.is_isolated(now_seconds)
        )
        usable = self._assigner.usable(current, now_seconds)
        for due in tuple(self._queue.waiting):
            if refusal is not None:
                self._queue.refuse(due, refusal)
            elif due.not_before_seconds <= now_seconds:
                self._place(due, usable, now_seconds)

    def next_due_seconds(self, now_seconds: float) -> float:
        """Give the next time at which a waiting job needs a look.

        What is due already waits for an event instead, such as a free slot.
        """
        times: list[float] = []
        for job in self._queue.waiting:
            times.append(job.deadline_seconds)
            times.append(job.not_before_seconds)
        if times:
            times.extend(
                self._admission.free_from_seconds(pool.replica)
                for pool in self._queue.pools.values()
            )
        later = [moment for moment in times if moment > now_seconds]
        return min(later, default=math.inf)

    def _place(
        self, job: Job, usable: Sequence[LimitedPool], now_seconds: float
    ) -> None:
        fingerprints = self._context.fingerprints
        if is_refused(fingerprints, job.fingerprint, now_seconds):
            self._queue.refuse(job, ResultCode.quarantined)
            return
        holding = holders(usable, job)
        untried = self._assigner.untried(job, holding)
        if not untried:
            code = job.last_code
            if code is None:
                code = self._code_without(usable, holding, now_seconds)
            self._queue.refuse(job, code)
            return
        free = self._assigner.free_now(job, untried, now_seconds)
        if not free:
            self._wait_for_slot(job, untried, now_seconds)
            return
        if fingerprints.may_run(job.fingerprint, job.arrived_seconds):
            self._start(job, free, now_seconds)
        else:
            fingerprints.wake_later(job.fingerprint, self._wake)

    def _code_without(
        self,
        usable: Sequence[LimitedPool],
        holding: Sequence[LimitedPool],
        now_seconds: float,
    ) -> ResultCode:
        """Tell why there is no replica for a job."""
        if usable and not holding:
            return ResultCode.snapshot_gone
        available = [
            pool
            for pool in self._queue.pools.values()
            if self._admission.is_available(pool.replica, now_seconds)
        ]
        if available and not usable:
            return ResultCode.no_lease
        return ResultCode.no_replica

    def _wait_for_slot(
        self, job: Job, untried: Sequence[LimitedPool], now_seconds: float
    ) -> None:
        """Let a job wait, unless cold replicas have no capacity in time."""
        job.waits_code = ResultCode.queue_expired
        if any(entry.replica.is_warm for entry in untried):
            return
        job.waits_code = ResultCode.replica_cold
        if not self._assigner.is_free_in_time(job, untried, now_seconds):
            self._queue.refuse(job, ResultCode.replica_cold)

    def _start(
        self, job: Job, free: Sequence[LimitedPool], now_seconds: float
    ) -> None:
        self._queue.waiting.remove(job)
        self._queue.running.append(job)
        purpose = SendPurpose.retry if job.tried else SendPurpose.first
        self._assigner.assign(job, free, purpose, now_seconds)
        terms = self._queue.terms
        if purpose is SendPurpose.first:
            terms.hedge_budget.earn()
            terms.retry_budget.earn()
        delay_seconds = self._context.policies.hedging.delay_seconds(
            terms.latencies[job.kind].window
        )
        if job.may_hedge:
            job.hedge_seconds = now_seconds + delay_seconds


def _refusal(state: LeaseState, isolated: bool) -> ResultCode | None:
    if isolated:
        return ResultCode.isolated
    return ResultCode.not_owner if state is LeaseState.foreign else None
