"""Schedule the attempts of one fetch: the first, retries and a hedge."""

import asyncio
from typing import TYPE_CHECKING

import attrs

from dragonflyramp.backends._attempts import (
    FIRST,
    HEDGE,
    RETRY,
    Attempt,
    Attempts,
    FirstSends,
)
from dragonflyramp.backends._contexts import RequestContext
from dragonflyramp.metrics import counters, latencies
from dragonflyramp.replica_connections import Outcome

if TYPE_CHECKING:
    from dragonflyramp.backends._clients import BackendClient

#: Maximum attempts that end before a byte is written, normally on different
#: replicas. They do not count towards the `max_attempts` of the route.
_MAX_UNWRITTEN_ATTEMPTS = 4


@attrs.define(eq=False)
class AttemptScheduler:
    """Start the attempts of one fetch."""

    _client: 'BackendClient'
    _context: RequestContext
    _service: str
    attempts: Attempts
    is_started: bool = False
    _hedge_at_seconds: float | None = None

    def try_start_first(
        self, now_seconds: float, first_sends: FirstSends
    ) -> bool:
        """Start the first attempt if a replica has capacity now."""
        attempt = self._start(FIRST, now_seconds)
        if attempt is None:
            return False
        attempt.first_sends = first_sends
        self.is_started = True
        delay_ms = first_sends.hedge_delay_ms
        if delay_ms is not None and self._context.route.is_idempotent:
            self._hedge_at_seconds = now_seconds + delay_ms / 1000
        return True

    async def start_first(self) -> bool:
        """Start the first attempt, waiting for a replica with capacity.

        Return False if the capacity wait of the request expires first or the
        service has no usable replica.
        """
        client = self._client
        now_seconds = client.clock()
        timeout_at_seconds = now_seconds + self._context.capacity_wait_seconds
        while not self.try_start_first(
            now_seconds,
            client.plan_first_sends(
                self._context.route, self._context.remaining_ms(now_seconds)
            ),
        ):
            if now_seconds >= timeout_at_seconds:
                return False
            if not client.fleet.usable_replicas(self._service, now_seconds):
                return False
            remaining_seconds = timeout_at_seconds - now_seconds
            await client.fleet.capacity_events.wait(
                self._service, remaining_seconds, self._context.priority
            )
            waited_seconds = client.clock() - now_seconds
            latencies.record('room_waits', waited_seconds * 1000)
            now_seconds = client.clock()
        return True

    async def wait(self) -> set[asyncio.Future[Outcome]]:
        """Wait for an outcome, the hedge delay or the deadline.

        Return the futures that are done; none after a timeout.
        """
        wake_at_seconds = self._context.deadline_at_seconds
        if self._hedge_at_seconds is not None:
            wake_at_seconds = min(wake_at_seconds, self._hedge_at_seconds)
        remaining_seconds = max(0, wake_at_seconds - self._client.clock())
        done, _ = await asyncio.wait(
            self.attempts.in_flight,
            timeout=remaining_seconds,
            return_when=asyncio.FIRST_COMPLETED,
        )
        return done

    def retry_or_hedge(
        self, now_seconds: float, *, may_have_run: bool
    ) -> Attempt | None:
        """Start a retry if all attempts failed, or a hedge after its delay.

        A request that is not idempotent and may have run is not retried.
        """
        if not self.attempts.in_flight:
            if self._context.route.is_idempotent or not may_have_run:
                return self._start_extra(RETRY, now_seconds)
            return None
        hedge_at_seconds = self._hedge_at_seconds
        if hedge_at_seconds is None or now_seconds < hedge_at_seconds:
            return None
        self._hedge_at_seconds = None
        if not self._context.crash_watch.allows_hedges:
            return None
        return self._start_hedge(now_seconds)

    def _start(self, purpose: str, now_seconds: float) -> Attempt | None:
        attempt = self._client.start_attempt(
            self._context,
            self._service,
            self.attempts.tried_replica_ids,
            purpose,
            now_seconds,
        )
        if attempt is not None:
            self.attempts.add(attempt)
        return attempt

    def _start_hedge(self, now_seconds: float) -> Attempt | None:
        """Start a hedge; cancel earlier attempts that are still unwritten.

        They are kept if they are the only attempts in flight.
        """
        unwritten = [
            attempt
            for attempt in self.attempts.in_flight.values()
            if not attempt.exchange.is_written
        ]
        hedge = self._start_extra(HEDGE, now_seconds)
        if len(self.attempts.in_flight) > len(unwritten):
            self.attempts.cancel_unwritten(unwritten, now_seconds)
        return hedge

    def _start_extra(self, purpose: str, now_seconds: float) -> Attempt | None:
        """Start an attempt if the limits allow it.

        The budget is spent only if a request was already written: without one,
        no replica had load from this fetch.
        """
        written_count = self.attempts.written_count
        is_exhausted = self.attempts.unwritten_count >= _MAX_UNWRITTEN_ATTEMPTS
        if is_exhausted or written_count >= self._context.route.max_attempts:
            return None
        if written_count:
            is_allowed = self._client.spend_budget(
                self._service, now_seconds, is_hedge=purpose == HEDGE
            )
            if not is_allowed:
                counters.add('budget_refusals', purpose)
                return None
        attempt = self._start(purpose, now_seconds)
        counters.add('extra_sends', purpose if attempt else 'no_replica')
        return attempt
