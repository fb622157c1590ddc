"""Hold the jobs of one shard, and the connections they may use."""

from collections import deque

import attrs

from dragonflyramp.backends._connections import EndedSend
from dragonflyramp.backends._contexts import ShardTerms
from dragonflyramp.backends._jobs import Job, Outcome
from dragonflyramp.backends._pools import ConnectionPool
from dragonflyramp.results import ResultCode


@attrs.define(kw_only=True, eq=False)
class ShardQueue:
    """Hold what one shard's task works on; only that task changes it."""

    terms: ShardTerms
    pools: dict[str, ConnectionPool] = attrs.field(factory=dict)
    waiting: list[Job] = attrs.field(factory=list)
    running: list[Job] = attrs.field(factory=list)
    ended: deque[EndedSend] = attrs.field(factory=deque)

    def is_full(self) -> bool:
        """Tell whether the bound of the waiting jobs is reached."""
        return len(self.waiting) >= self.terms.service.queue_length

    def put_back(self, job: Job) -> None:
        """Let a job that was handed out wait again, before the others."""
        self.running.remove(job)
        self.waiting.insert(0, job)

    def finish(self, job: Job, outcome: Outcome) -> None:
        """Deliver an outcome and forget the job."""
        for jobs in (self.waiting, self.running):
            if job in jobs:
                jobs.remove(job)
        job.finish(outcome)

    def refuse(self, job: Job, code: ResultCode) -> None:
        """Finish a job without a reply."""
        self.finish(job, Outcome(code=code))
