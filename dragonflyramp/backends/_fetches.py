"""Get one part from one service: send, hedge, send again."""

import asyncio
from typing import TYPE_CHECKING

import attrs

from dragonflyramp.backends._asks import Ask, Fetched, SendRecord
from dragonflyramp.backends._choice import Surroundings, expected_ms
from dragonflyramp.backends._connections_http import (
    Connection,
    Ending,
    Outcome,
    Send,
)
from dragonflyramp.backends._replicas import Replica
from dragonflyramp.messages import Reply
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode

if TYPE_CHECKING:
    from dragonflyramp.backends._tiers import Tier

#: Sends that may end without a byte written, each at another replica.
_MAX_UNSENT = 4
_FIRST = 'first'
_RETRY = 'retry'
_HEDGE = 'hedge'


@attrs.define(eq=False, kw_only=True)
class Attempt:
    """Hold one send, where it went and why."""

    send: Send
    replica: Replica
    connection: Connection
    purpose: str
    started_seconds: float
    expected_ms: float


@attrs.define(eq=False)
class Fetch:
    """Run the task that gets one part."""

    _tier: 'Tier'
    _ask: Ask
    _service: str
    #: Whether sends in use may go on for a while when the fetch is cancelled.
    may_linger: bool = False
    _running: dict[asyncio.Future[Outcome], Attempt] = attrs.field(factory=dict)
    _tried: set[str] = attrs.field(factory=set)
    _records: list[SendRecord] = attrs.field(factory=list)
    _written: int = 0
    _unsent: int = 0
    _may_have_run: bool = False
    _hedge_seconds: float | None = None
    _failure: ResultCode = ResultCode.no_replica
    _failed_reply: Reply | None = None

    async def run(self) -> Fetched:
        """Get the part; cancelling gives up the sends in use."""
        try:
            fetched = await self._run()
            self.may_linger = True
        finally:
            for attempt in tuple(self._running.values()):
                self._leave(attempt)
        return fetched

    async def _run(self) -> Fetched:
        if not await self._start_first():
            return self._failed(self._failure)
        while self._running:
            done = await self._next()
            now_seconds = self._tier.clock()
            if not done:
                if now_seconds >= self._ask.deadline_seconds:
                    return self._failed(ResultCode.deadline_exceeded)
                self._hedge(now_seconds)
            for future in done:
                reply = self._settle(future, now_seconds)
                if reply is not None:
                    return self._fetched(reply)
            if not self._running:
                self._retry(now_seconds)
        return self._failed(self._failure)

    async def _start_first(self) -> bool:
        """Start the first send, when there is room for it."""
        tier = self._tier
        until_seconds = tier.clock() + self._ask.room_seconds
        now_seconds = tier.clock()
        while not self._start(_FIRST, now_seconds):
            if not tier.fleet.usable(self._service):
                return False
            self._failure = ResultCode.queue_full
            if now_seconds >= until_seconds:
                return False
            await tier.fleet.wait_room(
                self._service, until_seconds - now_seconds
            )
            now_seconds = tier.clock()
        delay_ms = tier.hedge_delay_ms(self._ask.route)
        if delay_ms is not None and self._ask.route.is_idempotent:
            self._hedge_seconds = now_seconds + delay_ms / 1000
        return True

    async def _next(self) -> set[asyncio.Future[Outcome]]:
        """Wait for an outcome, the time to hedge, or the deadline."""
        wake_seconds = self._ask.deadline_seconds
        if self._hedge_seconds is not None:
            wake_seconds = min(wake_seconds, self._hedge_seconds)
        left_seconds = max(0, wake_seconds - self._tier.clock())
        done, _ = await asyncio.wait(
            self._running,
            timeout=left_seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
        return done

    def _start(self, purpose: str, now_seconds: float) -> bool:
        tier = self._tier
        around = Surroundings(
            failure_domain=tier.failure_domain,
            typical_ms=tier.latencies_of(self._ask.route).typical_ms,
            now_seconds=now_seconds,
        )
        replica = tier.choose(self._ask, self._service, self._tried, around)
        if replica is None:
            return False
        expected = expected_ms(replica, around)
        send = Send(
            request=self._ask.request,
            replica_id=replica.entry.replica_id,
            deadline_seconds=self._ask.deadline_seconds,
            outcome=asyncio.get_running_loop().create_future(),
        )
        replica.note_start(send, now_seconds)
        tier.fleet.note_send(replica, now_seconds)
        connection = replica.connections.take(send, now_seconds)
        self._running[send.outcome] = Attempt(
            send=send,
            replica=replica,
            connection=connection,
            purpose=purpose,
            started_seconds=now_seconds,
            expected_ms=expected,
        )
        self._tried.add(replica.entry.replica_id)
        return True

    def _may_send(self, purpose: str, now_seconds: float) -> bool:
        """Check the attempts and, after a written send, the budget."""
        written = self._written + sum(
            attempt.send.written_seconds is not None
            for attempt in self._running.values()
        )
        if written >= self._ask.route.max_attempts:
            return False
        if not written:
            return self._unsent < _MAX_UNSENT
        is_taken = self._tier.take_budget(
            self._service, now_seconds, is_hedge=purpose == _HEDGE
        )
        if not is_taken:
            counters.add('budget_refusals', purpose)
        return is_taken

    def _hedge(self, now_seconds: float) -> None:
        """Ask a second replica as well, or instead if nothing was written."""
        self._hedge_seconds = None
        for attempt in tuple(self._running.values()):
            if attempt.send.written_seconds is None:
                attempt.replica.note_failure(now_seconds)
                self._end(attempt, Ending.cancelled, now_seconds)
                attempt.connection.close()
        if self._may_send(_HEDGE, now_seconds):
            is_started = self._start(_HEDGE, now_seconds)
            counters.add('hedges', 'sent' if is_started else 'no_replica')

    def _retry(self, now_seconds: float) -> None:
        if now_seconds >= self._ask.deadline_seconds:
            self._failure = ResultCode.deadline_exceeded
            return
        if self._may_have_run and not self._ask.route.is_idempotent:
            return
        if self._may_send(_RETRY, now_seconds):
            counters.add('retries', self._failure.name)
            self._start(_RETRY, now_seconds)

    def _settle(
        self, future: asyncio.Future[Outcome], now_seconds: float
    ) -> Reply | None:
        """Learn from an outcome; give the reply that ends the fetch."""
        attempt = self._running[future]
        outcome = future.result()
        self._end(attempt, outcome.ending, now_seconds)
        if attempt.send.written_seconds is not None:
            self._written += 1
        if outcome.reply is not None:
            return self._settle_reply(attempt, outcome.reply, now_seconds)
        self._failure = _CODES[outcome.ending]
        if attempt.send.written_seconds is None:
            self._unsent += 1
        else:
            self._may_have_run = True
        if outcome.ending is not Ending.unsent:
            self._tier.note_failure(attempt, outcome.ending, now_seconds)
        return None

    def _settle_reply(
        self, attempt: Attempt, reply: Reply, now_seconds: float
    ) -> Reply | None:
        self._tier.note_reply(attempt, reply, self._ask, now_seconds)
        is_whole = bool(reply.stamp) or self._ask.route.gather is None
        if reply.is_success and is_whole:
            return reply
        if reply.is_misdirected or reply.is_not_run:
            self._failure = ResultCode.shed
            return None
        self._may_have_run = True
        self._failure = ResultCode.backend_error
        self._failed_reply = reply
        return None

    def _end(
        self, attempt: Attempt, ending: Ending, now_seconds: float
    ) -> None:
        self._running.pop(attempt.send.outcome, None)
        attempt.replica.note_end(attempt.send)
        received_seconds = self._ask.received_seconds
        self._records.append(
            SendRecord(
                replica_id=attempt.send.replica_id,
                purpose=attempt.purpose,
                started_ms=_ms(attempt.started_seconds - received_seconds),
                expected_ms=round(attempt.expected_ms, 1),
                ended_ms=_ms(now_seconds - received_seconds),
                ending=ending.value,
            )
        )

    def _leave(self, attempt: Attempt) -> None:
        """Give up a send that is no longer waited for."""
        now_seconds = self._tier.clock()
        self._end(attempt, Ending.cancelled, now_seconds)
        self._tier.leave(
            attempt, self._ask, now_seconds, may_linger=self.may_linger
        )

    def _fetched(self, reply: Reply) -> Fetched:
        return Fetched(
            service=self._service,
            code=ResultCode.ok,
            reply=reply,
            may_have_run=True,
            records=tuple(self._records),
        )

    def _failed(self, code: ResultCode) -> Fetched:
        may_have_run = self._may_have_run or any(
            attempt.send.written_seconds is not None
            for attempt in self._running.values()
        )
        reply = self._failed_reply if code is self._failure else None
        return Fetched(
            service=self._service,
            code=code,
            reply=reply,
            may_have_run=may_have_run,
            records=tuple(self._records),
        )


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)


_CODES = {  # noqa: WPS407 - never changed
    Ending.unsent: ResultCode.connection_reset,
    Ending.unreachable: ResultCode.connection_reset,
    Ending.lost: ResultCode.connection_reset,
    Ending.garbled: ResultCode.bad_reply,
    Ending.cancelled: ResultCode.cancelled,
}
