"""Start the sends of one fetch: the first, a hedge, a retry."""

import asyncio
from typing import TYPE_CHECKING

import attrs

from dragonflyramp.backends._asks import Ask
from dragonflyramp.backends._attempts import FIRST, HEDGE, RETRY, Attempts
from dragonflyramp.backends._sends import Outcome
from dragonflyramp.metrics import counters, latencies

if TYPE_CHECKING:
    from dragonflyramp.backends._tiers import Tier

#: Sends that may end without a byte written, each at another replica.
_MAX_UNSENT = 4


@attrs.define(eq=False)
class Sender:
    """Decide on each send of one fetch and start it."""

    _tier: 'Tier'
    _ask: Ask
    _service: str
    attempts: Attempts
    _hedge_seconds: float | None = None

    async def start_first(self) -> bool:
        """Start the first send; wait a while for a replica with room."""
        tier = self._tier
        now_seconds = tier.clock()
        until_seconds = now_seconds + self._ask.room_seconds
        while not self._start(FIRST, now_seconds):
            if now_seconds >= until_seconds:
                return False
            if not tier.fleet.usable(self._service):
                return False
            left_seconds = until_seconds - now_seconds
            await tier.fleet.rooms.wait(self._service, left_seconds)
            waited_seconds = tier.clock() - now_seconds
            latencies.record('room_waits', waited_seconds * 1000)
            now_seconds = tier.clock()
        delay_ms = tier.hedge_delay_ms(self._ask.route)
        if delay_ms is not None and self._ask.route.is_idempotent:
            self._hedge_seconds = now_seconds + delay_ms / 1000
        return True

    async def wait(self) -> set[asyncio.Future[Outcome]]:
        """Wait for an outcome, the time to hedge, or the deadline."""
        wake_seconds = self._ask.deadline_seconds
        if self._hedge_seconds is not None:
            wake_seconds = min(wake_seconds, self._hedge_seconds)
        left_seconds = max(0, wake_seconds - self._tier.clock())
        done, _ = await asyncio.wait(
            self.attempts.running,
            timeout=left_seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
        return done

    def send_again(self, now_seconds: float, *, may_have_run: bool) -> None:
        """Send once more after a failure, or when the hedge is due."""
        if not self.attempts.running:
            if self._ask.route.is_idempotent or not may_have_run:
                self._try(RETRY, now_seconds)
            return
        hedge_seconds = self._hedge_seconds
        if hedge_seconds is not None and now_seconds >= hedge_seconds:
            self._hedge_seconds = None
            self._hedge(now_seconds)

    def _start(self, purpose: str, now_seconds: float) -> bool:
        attempt = self._tier.start(
            self._ask,
            self._service,
            self.attempts.tried,
            purpose,
            now_seconds,
        )
        if attempt is None:
            return False
        self.attempts.add(attempt)
        return True

    def _hedge(self, now_seconds: float) -> None:
        """Ask another replica as well, or instead if nothing was written."""
        unwritten = [
            attempt
            for attempt in self.attempts.running.values()
            if not attempt.send.is_written
        ]
        self._try(HEDGE, now_seconds)
        if len(self.attempts.running) > len(unwritten):
            self.attempts.give_up(unwritten, now_seconds)

    def _try(self, purpose: str, now_seconds: float) -> None:
        """Check the attempts and, after a written send, the budget."""
        written = self.attempts.written
        is_spent = self.attempts.unsent >= _MAX_UNSENT
        if is_spent or written >= self._ask.route.max_attempts:
            return
        if written:
            is_taken = self._tier.take_budget(
                self._service, now_seconds, is_hedge=purpose == HEDGE
            )
            if not is_taken:
                counters.add('budget_refusals', purpose)
                return
        is_started = self._start(purpose, now_seconds)
        counters.add('extra_sends', purpose if is_started else 'no_replica')
