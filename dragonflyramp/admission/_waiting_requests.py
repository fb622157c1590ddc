"""Hold requests until there is capacity, and wake them in order."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import TypeAlias

import attrs

from dragonflyramp.backends import RequestContext

#: Order in which requests wake; the least is the first.
Order: TypeAlias = tuple[tuple[int, int], float, float]
#: Requests of one front that wait at the same time. A front has about two
#: requests in progress; more are rejected at once.
_MAX_WAITING = 16
#: Waiting requests are considered together for the reports of this time,
#: because each search brings a report of each shard.
_WAKE_INTERVAL_SECONDS = 0.005


@attrs.define(eq=False)
class WaitingRequests:
    """Requests of this front that wait for capacity."""

    #: Returns the position of a request at a monotonic time.
    _order: Callable[[RequestContext, float], Order]
    #: Returns whether there is capacity for a request at a monotonic time.
    _has_capacity: Callable[[RequestContext, float], bool]
    _clock: Callable[[], float]
    is_stopped: bool = False
    _by_future: dict[asyncio.Future[bool], RequestContext] = attrs.field(
        factory=dict
    )
    _timer: asyncio.TimerHandle | None = None

    @property
    def is_full(self) -> bool:
        """Return whether no further request may wait."""
        return len(self._by_future) >= _MAX_WAITING

    async def wait(
        self, context: RequestContext, timeout_seconds: float
    ) -> bool:
        """Wait for capacity; return whether there is any."""
        future = asyncio.get_running_loop().create_future()
        self._by_future[future] = context
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._by_future.pop, future, None)
            cleanup.enter_context(contextlib.suppress(TimeoutError))
            async with asyncio.timeout(timeout_seconds):
                return bool(await future)
        return self._has_capacity(context, self._clock())

    def wake_soon(self) -> None:
        """Wake the requests for which there is capacity, after a moment."""
        if self._by_future and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_WAKE_INTERVAL_SECONDS, self._wake)

    def stop(self) -> None:
        """Wake all requests as those for which there is no capacity."""
        self.is_stopped = True
        for future in self._by_future:
            if not future.done():
                future.set_result(False)

    def _wake(self) -> None:
        self._timer = None
        now_seconds = self._clock()
        in_order = sorted(
            self._by_future.items(),
            key=lambda waiting: self._order(waiting[1], now_seconds),
        )
        for future, context in in_order:
            if not future.done() and self._has_capacity(context, now_seconds):
                future.set_result(True)
