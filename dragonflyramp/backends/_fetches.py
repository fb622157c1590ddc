"""Get one part from one service: send, hedge, send again."""

import asyncio
from typing import TYPE_CHECKING

import attrs

from dragonflyramp.backends._asks import Ask, Fetched
from dragonflyramp.backends._attempts import Attempts, Verdict
from dragonflyramp.backends._senders import Sender
from dragonflyramp.backends._sends import Ending, Outcome
from dragonflyramp.results import ResultCode

if TYPE_CHECKING:
    from dragonflyramp.backends._tiers import Tier


@attrs.define(eq=False)
class Fetch:
    """Run the task that gets one part."""

    _tier: 'Tier'
    _ask: Ask
    service: str
    #: Whether sends in use may go on for a while when the fetch is cancelled.
    may_linger: bool = False
    _verdict: Verdict = attrs.field(factory=Verdict)
    _sender: Sender = attrs.field(init=False)

    async def run(self) -> Fetched:
        """Get the part; cancelling gives up the sends in use."""
        try:
            fetched = await self._run()
        except asyncio.CancelledError:
            self._leave(may_linger=self.may_linger)
            raise
        self._leave(may_linger=True)
        return fetched

    def left_out(self) -> Fetched:
        """Describe a fetch that is not waited for any longer."""
        attempts = self._sender.attempts
        return Fetched(
            service=self.service,
            code=ResultCode.cancelled,
            may_have_run=attempts.written > 0,
            records=attempts.all_records(self._tier.clock()),
        )

    async def _run(self) -> Fetched:
        sender = self._sender
        if not await sender.start_first():
            return self._failed(_no_room(self._tier, self.service))
        while sender.attempts.running:
            done = await sender.wait()
            now_seconds = self._tier.clock()
            for future in done:
                fetched = self._settle(future, now_seconds)
                if fetched is not None:
                    return fetched
            if now_seconds >= self._ask.deadline_seconds:
                return self._failed(ResultCode.deadline_exceeded)
            may_have_run = self._verdict.may_have_run
            sender.send_again(now_seconds, may_have_run=may_have_run)
        return self._failed(self._verdict.failure)

    def _settle(
        self, future: asyncio.Future[Outcome], now_seconds: float
    ) -> Fetched | None:
        """Learn from an outcome; give the end of the fetch if it is one."""
        attempt = self._sender.attempts.running[future]
        outcome = future.result()
        self._sender.attempts.end(attempt, outcome.ending, now_seconds)
        reply = outcome.reply
        if reply is None:
            self._verdict.take_loss(attempt, outcome.ending)
            self._tier.learning.note_failure(
                attempt, outcome.ending, now_seconds
            )
            return None
        self._tier.learning.note_reply(attempt, reply, self._ask, now_seconds)
        is_part = bool(reply.stamp) or self._ask.route.gather is None
        if not reply.is_success or not is_part:
            self._verdict.take_reply(reply)
            return None
        return Fetched(
            service=self.service,
            code=ResultCode.ok,
            reply=reply,
            may_have_run=True,
            records=tuple(self._sender.attempts.records),
        )

    def _leave(self, *, may_linger: bool) -> None:
        """Give up the sends that are no longer waited for."""
        now_seconds = self._tier.clock()
        for attempt in tuple(self._sender.attempts.running.values()):
            self._sender.attempts.end(attempt, Ending.cancelled, now_seconds)
            if may_linger and attempt.send.is_written:
                self._tier.learning.let_linger(attempt, self._ask, now_seconds)
            else:
                attempt.close()

    def _failed(self, code: ResultCode) -> Fetched:
        return self._verdict.failed(
            self.service, code, self._sender.attempts, self._tier.clock()
        )

    @_sender.default
    def _new_sender(self) -> Sender:
        attempts = Attempts(self._ask.received_seconds)
        return Sender(self._tier, self._ask, self.service, attempts)


def _no_room(tier: 'Tier', service: str) -> ResultCode:
    if tier.fleet.usable(service):
        return ResultCode.queue_full
    return ResultCode.no_replica
