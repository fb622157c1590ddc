"""Hold the works of one shard, and the connections they may use."""

from collections import deque

import attrs

from dragonflyramp.backends._connections import Ended
from dragonflyramp.backends._contexts import ShardTerms
from dragonflyramp.backends._pools import ConnectionPool
from dragonflyramp.backends._works import Outcome, Work
from dragonflyramp.results import ResultCode


@attrs.define(kw_only=True, eq=False)
class ShardQueue:
    """Hold what one shard's task works on; only that task changes it."""

    terms: ShardTerms
    pools: dict[str, ConnectionPool] = attrs.field(factory=dict)
    waiting: list[Work] = attrs.field(factory=list)
    running: list[Work] = attrs.field(factory=list)
    ended: deque[Ended] = attrs.field(factory=deque)

    def is_full(self) -> bool:
        """Tell whether the bound of the waiting works is reached."""
        return len(self.waiting) >= self.terms.service.queue_length

    def put_back(self, work: Work) -> None:
        """Let a work that was handed out wait again, before the others."""
        self.running.remove(work)
        self.waiting.insert(0, work)

    def finish(self, work: Work, outcome: Outcome) -> None:
        """Deliver an outcome and forget the work."""
        for works in (self.waiting, self.running):
            if work in works:
                works.remove(work)
        work.finish(outcome)

    def refuse(self, work: Work, code: ResultCode) -> None:
        """Finish a work without a reply."""
        self.finish(work, Outcome(code=code))
