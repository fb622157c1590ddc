"""Run one task for each shard: queue, dispatch, hedges, expiry."""

from dragonflyramp import traces
from dragonflyramp.backends._admissions import Admission
from dragonflyramp.backends._completions import Completions
from dragonflyramp.backends._contexts import ShardTerms, TierContext
from dragonflyramp.backends._dispatches import Dispatcher
from dragonflyramp.backends._hedges import Hedger
from dragonflyramp.backends._jobs import Job, Outcome
from dragonflyramp.backends._queues import ShardQueue
from dragonflyramp.backends._shard_pools import ShardPools
from dragonflyramp.backends._tasks import TaskTable
from dragonflyramp.backends._timed_events import TimedEvent
from dragonflyramp.backends._traced_admissions import TracedAdmission
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode


class Shard:
    """Own the queue of one shard; its task places and ends the jobs."""

    def __init__(
        self, context: TierContext, terms: ShardTerms, tasks: TaskTable
    ) -> None:
        """Start without replicas."""
        wake_event = TimedEvent()
        queue = ShardQueue(terms=terms)
        kind = TracedAdmission if traces.decisions.is_on else Admission
        admission = kind(context, terms)
        self.queue = queue
        self.admission = admission
        self.wake = wake_event.wake
        self.pools = ShardPools(
            queue, admission, context, tasks, wake_event.wake
        )
        self._context = context
        self._wake_event = wake_event
        self._retired = False
        self._completions = Completions(queue, context)
        self._dispatcher = Dispatcher(
            queue, admission, context, wake_event.wake
        )
        self._hedger = Hedger(queue, admission, context)

    def add(self, job: Job) -> None:
        """Queue a job, or refuse it at once."""
        if self._retired:
            job.finish(Outcome(code=ResultCode.not_owner))
        elif self.queue.is_full():
            job.finish(Outcome(code=ResultCode.queue_full))
        else:
            self.queue.waiting.append(job)
            self.wake()

    def cancel(self, query_id: str) -> None:
        """Drop what waits for a query, and close what runs for it."""
        for job in (*self.queue.waiting, *self.queue.running):
            if job.query_id == query_id:
                self.queue.refuse(job, ResultCode.cancelled)
                for send in job.sends:
                    counters.add('cancelled_sends', 'query')
                    send.give_up()

    def retire(self) -> None:
        """Refuse what waits, and end the task once nothing runs."""
        self._retired = True
        for job in tuple(self.queue.waiting):
            self.queue.refuse(job, ResultCode.not_owner)
        self.wake()

    async def run(self) -> None:
        """Job through the queue until retired and empty."""
        while not self._retired or self.queue.waiting or self.queue.running:
            now_seconds = self._context.clock()
            due_seconds = self._step(now_seconds)
            await self._wake_event.wait(due_seconds - now_seconds)
        self.pools.set_replicas(())

    def _step(self, now_seconds: float) -> float:
        """Do what is due, and give the next due time."""
        while self.queue.ended:
            self._completions.take(self.queue.ended.popleft(), now_seconds)
        self._dispatcher.dispatch(now_seconds)
        self._hedger.hedge(now_seconds)
        return min(
            self._dispatcher.next_due_seconds(now_seconds),
            self._hedger.next_due_seconds(now_seconds),
        )
