"""Run one task for each shard: queue, dispatch, hedges, expiry."""

from dragonflyramp.backends._admissions import Admission
from dragonflyramp.backends._alarms import Alarm
from dragonflyramp.backends._completions import Completions
from dragonflyramp.backends._contexts import ShardTerms, TierContext
from dragonflyramp.backends._dispatches import Dispatcher
from dragonflyramp.backends._hedges import Hedger
from dragonflyramp.backends._queues import ShardQueue
from dragonflyramp.backends._shard_pools import ShardPools
from dragonflyramp.backends._tasks import TaskTable
from dragonflyramp.backends._works import Outcome, Work
from dragonflyramp.results import ResultCode


class Shard:
    """Own the queue of one shard; its task places and ends the works."""

    def __init__(
        self, context: TierContext, terms: ShardTerms, tasks: TaskTable
    ) -> None:
        """Start without replicas."""
        alarm = Alarm()
        queue = ShardQueue(terms=terms)
        admission = Admission(context, terms)
        self.queue = queue
        self.admission = admission
        self.wake = alarm.wake
        self.pools = ShardPools(queue, admission, context, tasks, alarm.wake)
        self._context = context
        self._alarm = alarm
        self._retired = False
        self._completions = Completions(queue, context)
        self._dispatcher = Dispatcher(queue, admission, context, alarm.wake)
        self._hedger = Hedger(queue, admission, context)

    def add(self, work: Work) -> None:
        """Queue a work, or refuse it at once."""
        if self._retired:
            work.finish(Outcome(code=ResultCode.not_owner))
        elif self.queue.is_full():
            work.finish(Outcome(code=ResultCode.queue_full))
        else:
            self.queue.waiting.append(work)
            self.wake()

    def cancel(self, query_id: str) -> None:
        """Drop what waits for a query, and close what runs for it."""
        for work in (*self.queue.waiting, *self.queue.running):
            if work.query_id == query_id:
                self.queue.refuse(work, ResultCode.cancelled)
                for send in work.sends:
                    send.give_up()

    def retire(self) -> None:
        """Refuse what waits, and end the task once nothing runs."""
        self._retired = True
        for work in tuple(self.queue.waiting):
            self.queue.refuse(work, ResultCode.not_owner)
        self.wake()

    async def run(self) -> None:
        """Work through the queue until retired and empty."""
        while not self._retired or self.queue.waiting or self.queue.running:
            now_seconds = self._context.clock()
            due_seconds = self._step(now_seconds)
            await self._alarm.wait(due_seconds - now_seconds)
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
