"""Serve the streams of fronts at a relay, free of any encoding."""

import asyncio
import contextlib
from typing import cast

import attrs
from loguru import logger

from dragonflyramp.members._links import QueryServer
from dragonflyramp.members._outboxes import (
    MAX_JOINED,
    Outbox,
    OutboxLimits,
    join_parts,
)
from dragonflyramp.members._pending import Pending
from dragonflyramp.members._streams import (
    Cancel,
    FrontMessage,
    FrontStream,
    Hello,
    KeepAlive,
    RelayMessage,
)
from dragonflyramp.messages import Part, Query, Report, Submit, SubmitOutcome
from dragonflyramp.metrics import counters
from dragonflyramp.models import MemberId
from dragonflyramp.results import ResultCode
from dragonflyramp.runtime import TaskSet, run_until_first


@attrs.frozen(kw_only=True)
class FrontLimits:
    """Set the bounds and periods of the streams of fronts."""

    outbox: OutboxLimits = OutboxLimits()
    # Below the second after which a front expects to have heard something.
    keepalive_seconds: float = 0.9
    # A burst of changes, as in a ramp, goes out as one report.
    report_gap_seconds: float = 0.1
    submits: int = 1024


@attrs.define(eq=False)
class Intake:
    """Take the requests of all fronts; refuse new ones while draining."""

    server: QueryServer
    submit_limit: int
    draining: bool = False
    submits: TaskSet = attrs.field(factory=TaskSet)

    def start_query(self, query: Query, outbox: Outbox[RelayMessage]) -> bool:
        """Start a query whose parts go to the outbox; False if refused."""
        if self.draining:
            counters.add('refusals', ResultCode.stopping.name)
            for refused in _refused_parts(query):
                outbox.put_nowait(refused)
        else:
            # The server only puts parts, and the queue takes every message.
            self.server.start_query(query, cast('asyncio.Queue[Part]', outbox))
        return not self.draining

    def start_submit(
        self, submit: Submit, outbox: Outbox[RelayMessage]
    ) -> bool:
        """Start a submit whose outcome goes to the outbox; False if refused.

        It runs to its end even if the front's stream closes before.
        """
        code = self._submit_refusal()
        if code is None:
            self.submits.start(self._run_submit(submit, outbox), 'submit')
            return True
        counters.add('refusals', code.name)
        outbox.put_nowait(
            SubmitOutcome(submit_id=submit.submit_id, code=code, body=b'')
        )
        return False

    def _submit_refusal(self) -> ResultCode | None:
        if self.draining:
            return ResultCode.stopping
        if len(self.submits) >= self.submit_limit:
            return ResultCode.queue_full
        return None

    async def _run_submit(
        self, submit: Submit, outbox: Outbox[RelayMessage]
    ) -> None:
        outbox.put_nowait(await self.server.run_submit(submit))


@attrs.define(eq=False, kw_only=True)
class FrontSession:
    """Exchange messages with one front until its stream closes."""

    intake: Intake
    stream: FrontStream
    outbox: Outbox[RelayMessage]
    keepalive_seconds: float
    front_id: MemberId = MemberId('')
    pending: Pending = attrs.field(factory=Pending)

    async def read_all(self) -> None:
        """Handle the messages of the front until its stream closes."""
        while True:
            message = await self.stream.receive()
            if message is None:
                return
            self._accept(message)

    async def write_all(self) -> None:
        """Write what waits in the outbox until the stream closes."""
        is_open = True
        while is_open:
            first = await self._next()
            waiting = self.outbox.get_waiting(MAX_JOINED - 1)
            wanted = filter(self._is_wanted, (first, *waiting))
            for message in join_parts(wanted):
                is_open = is_open and await self.stream.send(message)
                self.pending.settle(message)

    def cancel_query(self, query_id: str) -> None:
        """Cancel a query of this front if it still runs."""
        if query_id in self.pending.parts:
            self.pending.forget_query(query_id)
            self.intake.server.cancel_query(query_id)

    def _accept(self, message: FrontMessage) -> None:
        match message:
            case Query():
                self.pending.add_query(message)
                if self.intake.start_query(message, self.outbox):
                    self.pending.accept(message.query_id)
            case Cancel():
                self.cancel_query(message.query_id)
            case Submit():
                if self.intake.start_submit(message, self.outbox):
                    self.pending.accept(message.submit_id)
            case Hello():
                self.front_id = message.front_id
                logger.info('front {} connected', message.front_id)

    def _is_wanted(self, message: RelayMessage) -> bool:
        is_wanted = self.pending.is_wanted(message)
        if not is_wanted:
            counters.add('dropped_parts', 'cancelled')
        return is_wanted

    async def _next(self) -> RelayMessage:
        if not self.outbox.empty():
            return self.outbox.get_nowait()
        try:
            async with asyncio.timeout(self.keepalive_seconds):
                return await self.outbox.get()
        except TimeoutError:
            return KeepAlive()


def _create_intake(fronts: 'Fronts') -> Intake:
    return Intake(fronts.server, fronts.limits.submits)


@attrs.define(eq=False)
class Fronts:
    """Serve all fronts that open a stream to this relay."""

    server: QueryServer
    limits: FrontLimits = FrontLimits()
    _intake: Intake = attrs.field(
        init=False, default=attrs.Factory(_create_intake, takes_self=True)
    )
    _sessions: set[FrontSession] = attrs.field(init=False, factory=set)
    _latest: Report | None = attrs.field(init=False, default=None)
    _closing: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)

    async def run(self) -> None:
        """Send a report to every front at start and on change.

        This is the only caller of the server's report methods, because they
        compare with the last report that anyone took.
        """
        while True:
            self._publish(self.server.report())
            await asyncio.sleep(self.limits.report_gap_seconds)
            await self.server.wait_report_change()

    async def serve(self, stream: FrontStream) -> None:
        """Serve one front until its stream closes or it stops reading."""
        session = self._open(stream)
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._end, session)
            await run_until_first(
                session.read_all(),
                session.write_all(),
                session.outbox.overflowed.wait(),
                self._closing.wait(),
            )

    async def drain(self, timeout_seconds: float) -> bool:
        """Refuse new requests; True when all running ones have finished."""
        self._intake.draining = True
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._intake.submits.wait()
                for session in tuple(self._sessions):
                    await session.pending.idle.wait()
        except TimeoutError:
            counters.add('drains', 'timed_out')
            return False
        return True

    async def close(self) -> None:
        """End every stream; what still runs is cancelled."""
        self._closing.set()
        await self._intake.submits.cancel()

    def _open(self, stream: FrontStream) -> FrontSession:
        session = FrontSession(
            intake=self._intake,
            stream=stream,
            outbox=Outbox(self.limits.outbox),
            keepalive_seconds=self.limits.keepalive_seconds,
        )
        self._sessions.add(session)
        if self._latest is not None:
            session.outbox.put_nowait(self._latest)
        return session

    def _publish(self, report: Report) -> None:
        self._latest = report
        for session in self._sessions:
            session.outbox.put_nowait(report)

    def _end(self, session: FrontSession) -> None:
        self._sessions.discard(session)
        is_slow = session.outbox.overflowed.is_set()
        counters.add('front_streams', 'not_reading' if is_slow else 'closed')
        logger.info('front {} disconnected', session.front_id)
        for query_id in tuple(session.pending.parts):
            session.cancel_query(query_id)
        session.pending.idle.set()


def _refused_parts(query: Query) -> list[Part]:
    return [
        Part(
            query_id=query.query_id,
            shard=wanted.shard,
            attempt_id=wanted.attempt_id,
            snapshot_id=query.snapshot_id,
            code=ResultCode.stopping,
            documents=0,
            body=b'',
        )
        for wanted in query.attempts
    ]
