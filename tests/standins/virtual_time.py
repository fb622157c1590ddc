"""Run coroutines on an event loop whose clock jumps instead of waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_Returned = TypeVar('_Returned')


class _JumpingSelector(selectors.DefaultSelector):
    """Advance the time of the loop where a selector would wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now_seconds = 1000.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError('every task waits and no timer is set')
        self.now_seconds += max(0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Hold virtual time; it serves no sockets."""

    def __init__(self) -> None:
        self.jumping = _JumpingSelector()
        super().__init__(self.jumping)

    def time(self) -> float:
        return self.jumping.now_seconds


def clock() -> float:
    """Return the virtual time of the running loop in seconds."""
    return asyncio.get_running_loop().time()


def run_virtual(main: Coroutine[Any, Any, _Returned]) -> _Returned:
    """Run a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
