"""Run coroutines in virtual time: nothing waits, and runs repeat exactly."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_Outcome = TypeVar('_Outcome')


class _Clock:
    """Hold the virtual time."""

    def __init__(self) -> None:
        self.now_seconds: float = 0


class _JumpingSelector(selectors.SelectSelector):
    """Let the clock jump where a selector would wait."""

    def __init__(self, clock: _Clock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> Any:
        """Jump over the time to the next timer."""
        if timeout is None:
            raise RuntimeError('every task waits for another one')
        self._clock.now_seconds += max(0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Take the time from a clock that jumps to the next timer."""

    def __init__(self) -> None:
        """Start at zero."""
        self._virtual = _Clock()
        super().__init__(_JumpingSelector(self._virtual))

    def time(self) -> float:
        """Tell the virtual time in seconds."""
        return self._virtual.now_seconds


def run_virtually(main: Coroutine[Any, Any, _Outcome]) -> _Outcome:
    """Run a coroutine on a loop of its own."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
