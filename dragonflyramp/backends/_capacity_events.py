"""Wake requests that wait for a replica with capacity."""

import asyncio
import contextlib

import attrs


@attrs.define(eq=False)
class CapacityEvents:
    """Wake the tasks that wait for a connection to a service."""

    _events: dict[str, asyncio.Event] = attrs.field(factory=dict)

    async def wait(self, service: str, timeout_seconds: float) -> None:
        """Wait until a connection may be free, or until the timeout."""
        event = self._events.setdefault(service, asyncio.Event())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                await event.wait()

    def notify(self, service: str) -> None:
        """Wake all tasks that wait for a service."""
        event = self._events.pop(service, None)
        if event is not None:
            event.set()
