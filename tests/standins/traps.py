"""Act on one call of a stand-in at a chosen step of its handling."""

import asyncio
import os

import attrs
import cattrs
from aiohttp import web


@attrs.frozen(kw_only=True)
class Trap:
    """Describe one call by step and name, and what happens to it.

    A signal reaches its process before the call goes on. `drop` resets the
    connection at once, `refuse` asks the stand-in to refuse the call,
    `down` starts an outage, and `hold` waits for a release.
    """

    step: str
    name: str
    #: Calls of the step and name that pass first.
    skip: int = 0
    #: Calls that are caught.
    times: int = 1
    process_id: int = 0
    signal_number: int = 0
    drop: bool = False
    refuse: bool = False
    down: bool = False
    hold: bool = False


@attrs.frozen
class _Order:
    is_change: bool = False
    trap: Trap | None = None


@attrs.define(eq=False)
class Traps:
    """Hold the armed trap of a stand-in and count what it caught."""

    trap: Trap | None = None
    passed: int = 0
    caught: int = 0
    _released: asyncio.Event = attrs.field(factory=asyncio.Event)

    def arm(self, trap: Trap | None) -> None:
        """Replace the trap and release what the last one holds."""
        self._released.set()
        self._released = asyncio.Event()
        self.trap = trap
        self.passed = 0
        self.caught = 0

    async def spring(self, step: str, name: str) -> Trap | None:
        """Return the trap if it caught this call, after signal and hold."""
        trap = self.trap
        if trap is None or (trap.step, trap.name) != (step, name):
            return None
        self.passed += 1
        if not trap.skip < self.passed <= trap.skip + trap.times:
            return None
        if trap.process_id:
            os.kill(trap.process_id, trap.signal_number)
        self.caught += 1
        if trap.hold:
            await self._released.wait()
        return trap

    def route(self) -> web.RouteDef:
        """Serve POST /trap: arm the trap in the body, and tell the count.

        The body says whether it changes the trap, and to which or none.
        """
        return web.post('/trap', self._control)

    async def _control(self, request: web.Request) -> web.Response:
        order = cattrs.structure(await request.json(), _Order)
        if order.is_change:
            self.arm(order.trap)
        return web.json_response({'caught': self.caught})


def reset(request: web.BaseRequest) -> None:
    """Close the connection of a request without a reply."""
    if request.transport is not None:
        request.transport.abort()
