"""Model several fronts that decide on suspect requests, and their store."""

import functools
import math
import types
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.backends import (
    Crash,
    CrashDetector,
    CrashWatch,
    ProbeOutcome,
)
from dragonflyramp.backends._contexts import RequestContext
from dragonflyramp.backends._crash_watches import CrashRetries
from dragonflyramp.callers import (
    Answer,
    Refusal,
    SuspectGuard,
    TrialClaims,
)
from dragonflyramp.members import (
    SUSPECTS_KIND,
    Cluster,
    Daemon,
    Membership,
    StoredSuspectRecords,
    SuspectObjects,
)
from dragonflyramp.messages import Reply
from dragonflyramp.results import ResultCode
from dragonflyramp.runtime import TaskSet
from dragonflyramp.suspects import (
    CrashSuspects,
    report_after,
)
from dragonflyramp.views import Listing, View
from tests.front_harnesses import (
    make_relayed,
    make_request,
    make_route,
    make_table,
)
from tests.standins.stores import Store

FRONT_COUNT = 4
#: Arrivals are counted once a request has ended this many replicas.
CRASH_LIMIT = 3


@attrs.define(eq=False)
class ModelStore:
    """Store whose calls can fail."""

    store: Store = attrs.field(factory=Store)
    is_down: bool = False

    async def create(
        self, kind: str, name: str, spec: Any
    ) -> Result[Any, ResultCode]:
        """Create an object unless it exists."""
        if self.is_down:
            return Failure(ResultCode.platform_down)
        if name in self.store.objects_by_kind.get(kind, {}):
            return Failure(ResultCode.version_conflict)
        return Success(self.store.put(kind, name, spec))

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> Result[Any, ResultCode]:
        """Replace an object at a revision."""
        if self.is_down:
            return Failure(ResultCode.platform_down)
        current = self.store.objects_by_kind.get(kind, {}).get(name)
        if current is None:
            return Failure(ResultCode.object_missing)
        if current['meta']['rev'] != revision:
            return Failure(ResultCode.version_conflict)
        return Success(self.store.put(kind, name, spec))

    async def delete(self, kind: str, name: str) -> Result[Any, ResultCode]:
        """Delete an object."""
        if self.is_down:
            return Failure(ResultCode.platform_down)
        if name not in self.store.objects_by_kind.get(kind, {}):
            return Failure(ResultCode.object_missing)
        return Success(self.store.remove(kind, name))


class ModelFront:
    """Decisions of one front process, without connections."""

    def __init__(self, name: str, world: 'World') -> None:
        """Start without any knowledge."""
        self.is_synced = False
        #: Whether the front hears of the store or of other fronts.
        self.is_informed = True
        self._world = world
        self.suspects = CrashSuspects()
        tasks = TaskSet()
        self.suspect_objects = SuspectObjects(
            store=world.model_store,  # type: ignore[arg-type]
            view=View(SUSPECTS_KIND),
            suspects=self.suspects,
            clock=world.clock,
        )
        records = StoredSuspectRecords(
            suspect_objects=self.suspect_objects,
            cluster=Cluster(Membership(Daemon(name, '', ''))),
            wall_clock_ms=world.wall_clock_ms,
        )
        self.detector = CrashDetector(
            tasks=tasks,
            clock=world.clock,
            suspects=self.suspects,
            probe=_refuse_connection,
            is_informed=lambda now_seconds: self.is_informed,
        )
        self.detector.on_crash = functools.partial(
            world.save_crash, self, records
        )
        self.claims = TrialClaims(
            detector=self.detector,
            records=records,
            wall_clock_ms=world.wall_clock_ms,
        )
        self._guard = SuspectGuard(detector=self.detector, claims=self.claims)

    async def send(
        self, path: str, replica_ends: list[bool], *, needs_retry: bool = True
    ) -> Answer:
        """Send a request; the list says which attempts end their replicas."""
        request = make_request(path=f'/{path}')
        route = make_route(target_ms=self._world.target_ms)
        context = RequestContext(
            request=request,
            route=route,
            table=make_table(route),
            received_at_seconds=0,
            deadline_at_seconds=1000,
            capacity_wait_seconds=1,
            crash_watch=CrashWatch(detector=self.detector, request=request),
        )
        answer = await self._guard.run(
            context,
            functools.partial(
                self._execute, replica_ends, needs_retry=needs_retry
            ),
        )
        await self.detector.tasks.wait()
        return answer

    async def _execute(
        self,
        replica_ends: list[bool],
        context: RequestContext,
        *,
        needs_retry: bool,
    ) -> Answer:
        watch = context.crash_watch
        retries = CrashRetries(watch, 'a', watch.suspicion)
        answer: Answer = Refusal(
            code=ResultCode.connection_reset, may_have_run=True
        )
        for has_ended in replica_ends:
            if watch.last_crash is not None:
                watch.record_retry()
            self._world.record_arrival(self, has_ended=has_ended)
            if not has_ended:
                retries.record_reply(self._world.clock(), is_success=True)
                answer = make_relayed(_make_reply(), context.request)
                break
            retries.record_lost(_ATTEMPT)
            if not await retries.allows_next(
                needs_retry=needs_retry, deadline_at_seconds=math.inf
            ):
                break
        retries.release()
        return answer


async def _refuse_connection(address: str) -> ProbeOutcome:
    return ProbeOutcome.refused


def _make_reply() -> Reply:
    return Reply(status=200, headers=(), body=b'', stamp='s')


_ATTEMPT: Any = types.SimpleNamespace(
    replica=types.SimpleNamespace(
        entry=types.SimpleNamespace(address='', software_version='')
    ),
    exchange=types.SimpleNamespace(replica_id='r'),
)


class World:  # noqa: WPS230 - the state of a whole deployment
    """Fronts, the store, the time, and what reached the replicas."""

    def __init__(self, front_count: int = FRONT_COUNT) -> None:
        """Start fronts that have read an empty store."""
        self.model_store = ModelStore()
        #: Latency target, which bounds the wait for a trial elsewhere.
        self.target_ms: float = 2
        self.now_ms = 1_000_000_000_000
        self.pending_saves: list[tuple[ModelFront, Any]] = []
        self.crash_count = 0
        #: Arrivals after the limit, from fronts that are informed.
        self.later_arrival_count = 0
        self.fronts = [
            ModelFront(f'front-{index}', self) for index in range(front_count)
        ]
        for front in self.fronts:
            self.read_store(front)

    def save_crash(
        self, front: ModelFront, records: StoredSuspectRecords, crash: Crash
    ) -> None:
        """Save a crash as a front does."""
        save = functools.partial(
            records.save, crash.fingerprint, crash.suspicion, ''
        )
        self.pending_saves.append((front, save))

    def clock(self) -> float:
        """Return the monotonic time in seconds."""
        return self.now_ms / 1000

    def wall_clock_ms(self) -> int:
        """Return the Unix time in ms."""
        return self.now_ms

    def record_arrival(self, front: ModelFront, *, has_ended: bool) -> None:
        """Count an arrival at a replica."""
        if self.crash_count >= CRASH_LIMIT and front.is_informed:
            self.later_arrival_count += 1
        self.crash_count += has_ended

    async def deliver_messages(self) -> None:
        """Deliver the writes and messages of fronts that are informed."""
        await self.complete_saves()
        for _ in range(2):
            for sender in self.fronts:
                self.read_store(sender)
                for receiver in self.fronts:
                    self.exchange(sender, receiver)

    async def complete_saves(self) -> None:
        """Complete the writes under way, unless the store is down.

        A front that is cut off from the store completes them later.
        """
        if self.model_store.is_down:
            return
        pending = self.pending_saves
        self.pending_saves = []
        for front, save in pending:
            if front.is_informed:
                # A front in a conflict waits until it has read the record.
                self.read_store(front)
                await save()
            else:
                self.pending_saves.append((front, save))

    def read_store(self, front: ModelFront) -> None:
        """Let a front read all records."""
        if self.model_store.is_down or not front.is_informed:
            return
        store = self.model_store.store
        records = store.objects_by_kind.get(SUSPECTS_KIND, {})
        names = front.suspect_objects.view.replace(
            Listing(store.revision, dict(records)), self.clock()
        )
        front.suspect_objects.apply_changes(names)
        front.is_synced = True

    def exchange(self, sender: ModelFront, receiver: ModelFront) -> None:
        """Let one front report its suspicions to another."""
        if sender.is_informed and receiver.is_informed:
            receiver.suspects.apply_report(
                report_after(sender.suspects.table, 0), self.clock()
            )
