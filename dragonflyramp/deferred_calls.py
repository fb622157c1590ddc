"""Put off work that no answer needs until the answers are sent."""

import asyncio
from collections.abc import Callable
from typing import Protocol, TypeAlias

import attrs
from loguru import logger

from dragonflyramp.metrics import counters

Call: TypeAlias = Callable[[], None]

#: An answer passes through some turns of the event loop before it is written.
_SEND_SECONDS = 0.002
#: Statistics of replicas are of use for some tenths of a second.
_MAX_DELAY_SECONDS = 0.05
#: Calls refer to the replies that they count, which take memory.
_MAX_CALLS = 1024


class CallQueue(Protocol):
    """Policy for when calls run that no answer waits for."""

    def add(self, call: Call) -> None:
        """Run a call, now or soon."""

    def run_soon(self) -> None:
        """Run the calls after the answer that has just been made is sent."""

    def run_all(self) -> None:
        """Run the calls that wait."""


@attrs.frozen
class ImmediateCalls(CallQueue):
    """Run each call at once."""

    def add(self, call: Call) -> None:
        """Run a call."""
        call()

    def run_soon(self) -> None:
        """Do nothing, because no call waits."""

    def run_all(self) -> None:
        """Do nothing, because no call waits."""


@attrs.define(eq=False)
class DeferredCalls(CallQueue):
    """Run calls after the next answer, or after a short time without one."""

    _calls: list[Call] = attrs.field(factory=list)
    _timer: asyncio.TimerHandle | None = None

    def add(self, call: Call) -> None:
        """Run a call soon, or all calls now if too many wait."""
        self._calls.append(call)
        if len(self._calls) >= _MAX_CALLS:
            self.run_all()
        elif self._timer is None:
            self._start_timer(_MAX_DELAY_SECONDS)

    def run_soon(self) -> None:
        """Run the calls after the answer that has just been made is sent."""
        if self._timer is not None:
            self._timer.cancel()
            self._start_timer(_SEND_SECONDS)

    def run_all(self) -> None:
        """Run the calls that wait; the failure of one does not end others."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        calls = self._calls
        self._calls = []
        for call in calls:
            try:
                call()
            except Exception:
                counters.add('task_failures', 'deferred_call')
                logger.exception('unhandled exception in a deferred call')

    def _start_timer(self, delay_seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_seconds, self.run_all)
