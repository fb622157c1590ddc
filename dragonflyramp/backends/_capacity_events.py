"""Wake requests that wait for a replica with capacity."""

import asyncio
import contextlib
from typing import TypeAlias

import attrs

#: Waiting requests with their priorities, in the order of their arrival.
_Waiters: TypeAlias = dict[asyncio.Future[None], tuple[int, int]]


@attrs.define(eq=False)
class CapacityEvents:
    """Wake the tasks that wait for a connection to a service."""

    #: Whether tasks wake by priority; otherwise in the order of their arrival.
    is_by_priority: bool = False
    _by_service: dict[str, _Waiters] = attrs.field(factory=dict)

    async def wait(
        self, service: str, timeout_seconds: float, priority: tuple[int, int]
    ) -> None:
        """Wait until a connection may be free, or until the timeout."""
        waiters = self._by_service.setdefault(service, {})
        future = asyncio.get_running_loop().create_future()
        waiters[future] = priority
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._discard, service, waiters, future)
            cleanup.enter_context(contextlib.suppress(TimeoutError))
            async with asyncio.timeout(timeout_seconds):
                await future

    def notify(self, service: str) -> None:
        """Wake all tasks that wait for a service, the most urgent one first.

        All are woken, because a task may be unable to use the connection. They
        run in the order in which they are woken.
        """
        waiters = self._by_service.pop(service, None)
        if not waiters:
            return
        futures = list(waiters)
        if self.is_by_priority:
            futures.sort(key=waiters.__getitem__)
        for future in futures:
            if not future.done():
                future.set_result(None)

    def _discard(
        self, service: str, waiters: _Waiters, future: asyncio.Future[None]
    ) -> None:
        waiters.pop(future, None)
        if not waiters and self._by_service.get(service) is waiters:
            self._by_service.pop(service)
