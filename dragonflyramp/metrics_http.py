"""Serve the metrics over HTTP."""

import asyncio
import importlib
from http import HTTPStatus

import attrs
from aiohttp import web
from aiohttp.typedefs import Handler

from dragonflyramp.callers import (
    INTERNAL_PORT_LIMITS,
    INTERNAL_REQUEST_LIMITS,
    ConnectionGuard,
    GuardedAppRunner,
    check_connections,
)
from dragonflyramp.metrics import counters
from dragonflyramp.runtime import TaskSet


@attrs.define(eq=False, kw_only=True)
class MetricsServer:
    """Serve `/metrics` over HTTP."""

    #: Header that all requests of callers have, and no scrape. Callers get here
    #: if the port was one of a front that has ended.
    caller_header: str
    _runner: web.AppRunner | None = attrs.field(init=False, default=None)
    _tasks: TaskSet = attrs.field(init=False, factory=TaskSet)

    async def start(self, host: str, port: int) -> str:
        """Listen and return the bound `IP:port`.

        Raise OSError if the address cannot be bound.
        """
        application = web.Application(middlewares=[self._refuse_caller])
        application.add_routes([web.get('/metrics', _handle_scrape)])
        guard = ConnectionGuard(
            'metrics', INTERNAL_PORT_LIMITS, lambda: INTERNAL_REQUEST_LIMITS
        )
        self._runner = GuardedAppRunner(application, guard, access_log=None)
        self._tasks.start(check_connections(guard), 'connection_checks')
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()
        bound_host, bound_port = self._runner.addresses[0][:2]
        return f'{bound_host}:{bound_port}'

    async def stop(self) -> None:
        """Close the port and the open connections."""
        await self._tasks.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _refuse_caller(
        self,
        request: web.Request,
        handler: Handler,  # noqa: WPS110 - as in aiohttp
    ) -> web.StreamResponse:
        """Tell a caller that its request has not run; pass on a scrape."""
        if self.caller_header in request.headers:
            counters.add('misdirected_requests', 'metrics')
            return web.Response(status=HTTPStatus.MISDIRECTED_REQUEST)
        return await handler(request)


async def _handle_scrape(request: web.Request) -> web.Response:
    # The first import takes 0.1 s, which would block the event loop.
    export = await asyncio.to_thread(
        importlib.import_module, 'dragonflyramp.metrics_export'
    )
    return web.Response(
        body=export.render(), content_type='text/plain', charset='utf-8'
    )
