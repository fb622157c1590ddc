"""Wait for an event or for a due time, whichever comes first."""

import asyncio
import math

# A timer may fire this much early, and the wait must not turn into a loop.
_SHORTEST_WAIT_SECONDS = 0.001


class TimedEvent:
    """Wake one task."""

    def __init__(self) -> None:
        """Start unset."""
        self._event = asyncio.Event()

    def wake(self) -> None:
        """End the wait, or the next one."""
        self._event.set()

    async def wait(self, delay_seconds: float) -> None:
        """Wait for a wake, at most the delay, which may be infinite."""
        timer = None
        if not self._event.is_set() and delay_seconds < math.inf:
            timer = asyncio.get_running_loop().call_later(
                max(delay_seconds, _SHORTEST_WAIT_SECONDS), self._event.set
            )
        await self._event.wait()
        self._event.clear()
        if timer is not None:
            timer.cancel()
