"""Run aiohttp servers whose connections are guarded."""

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from loguru import logger

from dragonflyramp.callers._connection_guards import (
    CHECK_INTERVAL_SECONDS,
    ConnectionGuard,
)
from dragonflyramp.callers._guarded_http import GuardedRequestHandler
from dragonflyramp.metrics import counters


class GuardedServer(web.Server):
    """Server whose connections are guarded."""

    def __init__(
        self,
        handler: Any,  # noqa: WPS110 - as in aiohttp
        *,
        guard: ConnectionGuard,
        **kwargs: Any,
    ) -> None:
        """Create a server."""
        super().__init__(handler, **kwargs)
        self.guard = guard

    def __call__(self) -> RequestHandler:
        """Create the handler of one connection."""
        return GuardedRequestHandler(
            self, self.guard, loop=self._loop, **self._kwargs
        )


class GuardedAppRunner(web.AppRunner):
    """Runner of an application whose connections are guarded."""

    def __init__(
        self, app: web.Application, guard: ConnectionGuard, **kwargs: Any
    ) -> None:
        """Create a runner."""
        super().__init__(app, **kwargs)
        self._guard = guard

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return GuardedServer(
            server.request_handler,
            guard=self._guard,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,  # noqa: SLF001, WPS437 - no public accessor
        )


async def check_connections(guard: ConnectionGuard) -> None:
    """Close overdue connections until cancelled."""
    loop = asyncio.get_running_loop()
    while True:  # noqa: WPS457 - ends when cancelled
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        try:
            guard.check(loop.time())
        except Exception:
            counters.add('task_failures', 'connection_checks')
            logger.exception('check of connections failed')
