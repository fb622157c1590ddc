"""Run the fetches of the parts of one search."""

import asyncio
from collections.abc import Callable, Iterable

import attrs
from loguru import logger

from dragonflyramp.backends import (
    BackendClient,
    Fetch,
    FetchResult,
    FirstSends,
    RequestContext,
)
from dragonflyramp.metrics import counters
from dragonflyramp.replica_connections import Outcome
from dragonflyramp.results import ResultCode


@attrs.define(eq=False)
class PartFetch:
    """Fetch of one part.

    It has a task of its own only after an attempt has failed, or if the first
    one has found no replica with capacity.
    """

    fetch: Fetch
    _client: BackendClient
    #: Called once with the result, unless the part is released before.
    _on_result: Callable[['PartFetch', FetchResult], None]
    _is_finished: bool = False
    _task: asyncio.Task[None] | None = None

    def send_first(self, sends: FirstSends) -> None:
        """Send the first attempt, or start a task that waits for capacity."""
        is_sent = False
        try:
            is_sent = self.fetch.steps.try_start(sends, self._take_result)
        except Exception:
            self._finish(_log_exception(self.fetch))
        if not is_sent and not self._is_finished:
            self._start_task()

    def hedge(self, now_seconds: float) -> None:
        """Send a hedge if it is due and no task does so."""
        if self._task is not None:
            return
        try:
            self.fetch.steps.hedge(now_seconds, self._take_result)
        except Exception:
            self._finish(_log_exception(self.fetch))

    def release(self) -> None:
        """Cancel the part.

        Unless late replies are accepted, its connections are closed at once.
        """
        self._is_finished = True
        if self._task:
            self._task.cancel()
        elif self.fetch.accepts_late_replies:
            self._client.calls.add(self.fetch.release)
        else:
            self.fetch.release()

    def _take_result(self, future: asyncio.Future[Outcome]) -> None:
        """Handle the outcome of an attempt, unless a task does."""
        is_handled = self._is_finished or self._task is not None
        if is_handled or not self.fetch.steps.waits_for(future):
            return
        try:
            fetch_result = self.fetch.steps.take_success(
                future, self._client.clock()
            )
        except Exception:
            fetch_result = _log_exception(self.fetch)
        if fetch_result is None:
            self._start_task()
        else:
            self._finish(fetch_result)

    def _start_task(self) -> None:
        self._task = asyncio.create_task(self._run(), name='shard')

    async def _run(self) -> None:
        try:
            fetch_result = await self.fetch.run()
        except Exception:
            fetch_result = _log_exception(self.fetch)
        self._finish(fetch_result)

    def _finish(self, fetch_result: FetchResult) -> None:
        self._is_finished = True
        self._on_result(self, fetch_result)


@attrs.define(eq=False)
class PartFetches:
    """Unfinished fetches of the parts of a search."""

    _client: BackendClient
    _context: RequestContext
    #: Called with the result of each part.
    _on_result: Callable[[FetchResult], None]
    #: In the order of their shards.
    _unfinished: dict[PartFetch, None] = attrs.field(factory=dict)
    _sends: FirstSends = attrs.field(factory=FirstSends)
    _hedge_timer: asyncio.TimerHandle | None = None

    def start(self, fetches: Iterable[Fetch]) -> None:
        """Send the first attempts at all parts before anything else."""
        parts = [
            PartFetch(fetch, self._client, self._remove) for fetch in fetches
        ]
        self._unfinished = dict.fromkeys(parts)
        started_at_seconds = self._client.clock()
        self._sends = self._client.plan_first_sends(
            self._context.route, self._context.remaining_ms(started_at_seconds)
        )
        for part in parts:
            part.send_first(self._sends)
        self._sends.ended_at_seconds = self._client.clock()
        if self._sends.hedge_delay_ms is not None:
            self._start_hedge_timer(
                self._sends.hedge_delay_ms / _MS_PER_SECOND
                - (self._sends.ended_at_seconds - started_at_seconds)
            )

    def give_up(self) -> tuple[FetchResult, ...]:
        """Return the results of the unfinished parts, which are cancelled.

        Their late replies are still read.
        """
        for part in self._unfinished:
            part.fetch.accepts_late_replies = True
        return tuple(
            unfinished.fetch.cancelled_result()
            for unfinished in self._unfinished
        )

    def release(self) -> None:
        """Cancel the unfinished parts."""
        if self._hedge_timer is not None:
            self._hedge_timer.cancel()
        for part in self._unfinished:
            part.release()
        self._unfinished.clear()

    def _hedge(self) -> None:
        """Send the hedges that are due, and come back for the others.

        The delay counts from the first attempt, so that those which were sent
        last are due later. A timer may also run a little early.
        """
        now_seconds = self._client.clock()
        for part in tuple(self._unfinished):
            part.hedge(now_seconds)
        delay_ms = self._sends.hedge_delay_ms
        if delay_ms is not None:
            last_at_seconds = (
                self._sends.ended_at_seconds + delay_ms / _MS_PER_SECOND
            )
            if now_seconds < last_at_seconds:
                self._start_hedge_timer(last_at_seconds - now_seconds)

    def _start_hedge_timer(self, delay_seconds: float) -> None:
        self._hedge_timer = asyncio.get_running_loop().call_later(
            max(0, delay_seconds), self._hedge
        )

    def _remove(self, part: PartFetch, fetch_result: FetchResult) -> None:
        self._unfinished.pop(part, None)
        self._on_result(fetch_result)


def _log_exception(fetch: Fetch) -> FetchResult:
    """Log the exception that is handled now; return the result of the fetch."""
    counters.add('task_failures', 'shard')
    logger.exception(
        'unhandled exception in the fetch from service {}', fetch.service
    )
    return FetchResult(
        service=fetch.service,
        code=ResultCode.internal_error,
        may_have_run=True,
    )


_MS_PER_SECOND = 1000
