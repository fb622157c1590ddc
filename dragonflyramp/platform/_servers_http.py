"""Serve HTTP without quoting a malformed head in the answer.

A head may hold an API key.
"""

from aiohttp import web

from dragonflyramp.metrics import counters


class _RequestHandler(web.RequestHandler):
    """Connection of a caller, whose failures have no text."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that cannot be parsed, and close the connection."""
        counters.add('malformed_heads', str(status))
        response = super().handle_error(request, status, exc, message)
        if isinstance(response, web.Response):
            response.text = ''
        return response


class CallerServer(web.Server):
    """Server for callers."""

    def __call__(self) -> web.RequestHandler:
        """Create the handler of one connection."""
        return _RequestHandler(self, loop=self._loop, **self._kwargs)
