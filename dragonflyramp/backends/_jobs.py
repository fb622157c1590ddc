"""Define the jobs of a shard, and the sends of a job."""

import asyncio
import enum
import math
from collections.abc import Callable

import attrs

from dragonflyramp.backends._latencies import RequestKind
from dragonflyramp.backends._replicas import ReplicaState
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode, RunState


class SendPurpose(enum.Enum):
    """Name why a job is sent."""

    first = 'first'
    retry = 'retry'
    hedge = 'hedge'


@attrs.frozen(kw_only=True)
class Outcome:
    """Hold what becomes of a job."""

    code: ResultCode
    documents: int = 0
    body: bytes = b''


@attrs.define(kw_only=True, eq=False)
class Job:
    """Follow one attempt or submit until its outcome is delivered."""

    kind: RequestKind
    query_id: str
    attempt_id: str
    request_id: str
    snapshot_id: str = ''
    idempotency_key: str = ''
    fingerprint: str
    body: bytes
    arrived_seconds: float
    deadline_seconds: float
    deliver: Callable[[Outcome], None]
    not_before_seconds: float = -math.inf
    hedge_seconds: float = math.inf
    retries: int = 0
    tried: set[str] = attrs.field(factory=set)
    sends: list['Send'] = attrs.field(factory=list)
    last_code: ResultCode | None = None
    ran_code: ResultCode | None = None
    waits_code: ResultCode = ResultCode.queue_expired
    finished: bool = False

    @property
    def may_hedge(self) -> bool:
        """Tell whether a second replica may run the job at once."""
        return self.kind is RequestKind.search and self.retries == 0

    def note_code(self, code: ResultCode) -> None:
        """Remember the first code of a send that may have been run."""
        if self.ran_code is None and code.meaning.run is not RunState.not_run:
            self.ran_code = code

    def finish(self, outcome: Outcome) -> None:
        """Deliver the outcome once; later calls change nothing.

        A job that may have been run is never reported as not run.
        """
        if self.finished:
            return
        self.finished = True
        if outcome.code.meaning.run is RunState.not_run and self.ran_code:
            outcome = Outcome(code=self.ran_code)
        counters.add('outcomes', outcome.code.name)
        self.deliver(outcome)


@attrs.define(kw_only=True, eq=False)
class Send:
    """Follow one send of a job to one replica."""

    job: Job
    replica: ReplicaState
    purpose: SendPurpose
    scope: asyncio.Timeout | None = None
    given_up: bool = False
    called_seconds: float | None = None
    #: Time at which the call is given up.
    due_seconds: float = math.inf
    #: A replica that gave no answer for this time is to blame.
    blame_after_seconds: float = math.inf

    def give_up(self) -> None:
        """Cancel the send; its connection is closed."""
        self.given_up = True
        scope = self.scope
        if scope is not None and not scope.expired():
            scope.reschedule(asyncio.get_running_loop().time())
