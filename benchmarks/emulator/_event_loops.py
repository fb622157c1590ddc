"""Run coroutines in virtual time: reproducibly, and without waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_Returned = TypeVar('_Returned')


class _VirtualClock:
    """Virtual time, shared by an event loop and its selector."""

    def __init__(self) -> None:
        self.now_seconds: float = 0


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advance a virtual clock instead of waiting for timers."""

    def __init__(self, clock: _VirtualClock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> Any:
        """Advance the clock to the next timer.

        Raise RuntimeError if there is none.
        """
        if timeout is None:
            raise RuntimeError(
                'deadlock: every task is waiting and no timer is pending'
            )
        self._clock.now_seconds += max(0, timeout)
        return super().select(0)


class VirtualTimeEventLoop(asyncio.SelectorEventLoop):
    """Run timers in virtual time, without waiting for them."""

    def __init__(self) -> None:
        """Create an event loop whose virtual time is 0."""
        self._virtual_clock = _VirtualClock()
        super().__init__(_VirtualTimeSelector(self._virtual_clock))

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_clock.now_seconds


def run_in_virtual_time(coroutine: Coroutine[Any, Any, _Returned]) -> _Returned:
    """Run a coroutine on a new event loop that starts at 0 s."""
    with asyncio.Runner(loop_factory=VirtualTimeEventLoop) as runner:
        return runner.run(coroutine)
