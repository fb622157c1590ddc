"""Act on one call of a stand-in at a chosen step of its handling."""

import asyncio
import os

import attrs
import cattrs
from aiohttp import web


@attrs.frozen(kw_only=True)
class Hook:
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
    hook: Hook | None = None


@attrs.define(eq=False)
class Hooks:
    """Hold the armed hook of a stand-in and count what it caught."""

    hook: Hook | None = None
    passed: int = 0
    caught: int = 0
    _released: asyncio.Event = attrs.field(factory=asyncio.Event)

    def arm(self, hook: Hook | None) -> None:
        """Replace the hook and release what the last one holds."""
        self._released.set()
        self._released = asyncio.Event()
        self.hook = hook
        self.passed = 0
        self.caught = 0

    async def run(self, step: str, name: str) -> Hook | None:
        """Return the hook if it caught this call, after signal and hold."""
        hook = self.hook
        if hook is None or (hook.step, hook.name) != (step, name):
            return None
        self.passed += 1
        if not hook.skip < self.passed <= hook.skip + hook.times:
            return None
        if hook.process_id:
            os.kill(hook.process_id, hook.signal_number)
        self.caught += 1
        if hook.hold:
            await self._released.wait()
        return hook

    def route(self) -> web.RouteDef:
        """Serve POST /hook: arm the hook in the body, and tell the count.

        The body says whether it changes the hook, and to which or none.
        """
        return web.post('/hook', self._control)

    async def _control(self, request: web.Request) -> web.Response:
        order = cattrs.structure(await request.json(), _Order)
        if order.is_change:
            self.arm(order.hook)
        return web.json_response({'caught': self.caught})


def reset(request: web.BaseRequest) -> None:
    """Close the connection of a request without a reply."""
    if request.transport is not None:
        request.transport.abort()
