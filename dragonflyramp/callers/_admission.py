"""Bound the requests in flight and refuse new ones while stopping."""

import asyncio
import contextlib
import math
from collections.abc import Iterator

import attrs

from dragonflyramp.results import ResultCode


@attrs.define(eq=False)
class Stopping:
    """Hold when a front began to stop; it accepts during the notice time."""

    notice_seconds: float
    _since_seconds: float = attrs.field(default=math.inf, init=False)

    def start(self, now_seconds: float) -> None:
        """Begin to stop; a second call changes nothing."""
        self._since_seconds = min(self._since_seconds, now_seconds)

    def is_announced(self) -> bool:
        """Tell whether the front is not ready because it stops."""
        return self._since_seconds < math.inf

    def refuses(self, now_seconds: float) -> bool:
        """Tell whether the notice time has passed."""
        return now_seconds >= self.refuses_from()

    def refuses_from(self) -> float:
        """Return the monotonic time at which the notice time ends."""
        return self._since_seconds + self.notice_seconds


@attrs.define(eq=False)
class Admission:
    """Count the requests in flight of one kind, up to a limit."""

    limit: int
    stopping: Stopping
    _count: int = attrs.field(default=0, init=False)
    _idle: asyncio.Event = attrs.field(factory=asyncio.Event, init=False)

    def refusal(self, now_seconds: float) -> ResultCode | None:
        """Return why a new request is refused, or None."""
        if self.stopping.refuses(now_seconds):
            return ResultCode.stopping
        return ResultCode.front_full if self._count >= self.limit else None

    @contextlib.contextmanager
    def enter(self) -> Iterator[None]:
        """Count a request while it runs."""
        with contextlib.ExitStack() as stack:
            self._count += 1
            stack.callback(self._leave)
            yield

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        while self._count:
            self._idle.clear()
            await self._idle.wait()

    def _leave(self) -> None:
        self._count -= 1
        self._idle.set()
