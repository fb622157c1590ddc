"""Serve and reach the status interface of a daemon over HTTP."""

import contextlib
import socket
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any

import attrs
from aiohttp import ClientError, ClientSession, ClientTimeout, web
from returns.result import Failure, Result, Success

from dragonflyramp.converters import decode_json, encode_json
from dragonflyramp.metrics import counters
from dragonflyramp.operators._daemons import (
    DaemonClient,
    DaemonView,
    Offer,
    OfferReply,
    Status,
)
from dragonflyramp.operators._roots import Root
from dragonflyramp.results import ResultCode

#: A root and the parts that one change added.
MAX_OFFER_BYTES = 4194304
_METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


@attrs.frozen
class _OfferBody:
    root: Root
    parts: dict[str, str]


@attrs.frozen
class _ReplyBody:
    code: int
    number: int


def status_application(view: DaemonView) -> web.Application:
    """Create the application that serves the status interface."""
    handlers = _Handlers(view)
    application = web.Application(client_max_size=MAX_OFFER_BYTES)
    application.add_routes(
        [
            web.get('/status', handlers.status),
            web.get('/healthz', handlers.health),
            web.get('/readyz', handlers.readiness),
            web.get('/metrics', handlers.metrics),
            web.post('/offer', handlers.offer),
        ]
    )
    return application


@attrs.frozen(eq=False)
class StatusServer:
    """Hold the listening status interface."""

    _runner: web.AppRunner

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()


async def serve_status(
    view: DaemonView, listener: socket.socket
) -> StatusServer:
    """Serve the status interface on a socket that listens."""
    runner = web.AppRunner(status_application(view), access_log=None)
    await runner.setup()
    await web.SockSite(runner, listener).start()
    return StatusServer(runner)


class _Handlers:
    def __init__(self, view: DaemonView) -> None:
        self._view = view

    async def status(self, _: web.Request) -> web.Response:
        return web.json_response(dict(self._view.status()))

    async def health(self, _: web.Request) -> web.Response:
        return web.Response(text='ok\n')

    async def readiness(self, _: web.Request) -> web.Response:
        return _coded(self._view.readiness())

    async def metrics(self, _: web.Request) -> web.Response:
        return web.Response(
            body=self._view.metrics(), headers={'Content-Type': _METRICS_TYPE}
        )

    async def offer(self, request: web.Request) -> web.Response:
        body = decode_json(await request.read(), _OfferBody)
        if isinstance(body, Failure):
            counters.add('refusals', 'offer_bad_message')
            return _coded(body.failure())
        offered = body.unwrap()
        parts = {
            # A part that is no valid text then fails its digest.
            key: part.encode(errors='replace')
            for key, part in offered.parts.items()
        }
        reply = await self._view.offer(Offer(offered.root, parts))
        answer = _ReplyBody(reply.code.value, reply.number)
        return web.Response(
            body=encode_json(answer), content_type='application/json'
        )


def _coded(code: ResultCode) -> web.Response:
    meaning = code.meaning
    return web.json_response(
        {'code': code.value, 'name': code.name, 'sentence': meaning.sentence},
        status=meaning.http_status,
    )


class HttpDaemonClient(DaemonClient):
    """Reach the status interface of daemons, each call with a timeout."""

    def __init__(self, session: ClientSession, timeout_seconds: float) -> None:
        """Use a session that the caller closes."""
        self._session = session
        self._timeout = ClientTimeout(total=timeout_seconds)

    async def status(self, address: str) -> Result[Status, ResultCode]:
        """Read the status; fail as `DaemonClient` states."""
        body = await self._call('GET', f'http://{address}/status')
        return body.bind(_decoded_status)

    async def offer(
        self, address: str, offer: Offer
    ) -> Result[OfferReply, ResultCode]:
        """Hand over a root; fail as `DaemonClient` states."""
        parts = {key: part.decode() for key, part in offer.parts.items()}
        sent = encode_json(_OfferBody(offer.root, parts))
        body = await self._call('POST', f'http://{address}/offer', sent)
        return body.bind(_decoded_reply)

    async def _call(
        self, method: str, url: str, body: bytes | None = None
    ) -> Result[bytes, ResultCode]:
        try:
            return await self._send(method, url, body)
        except (ClientError, OSError, ValueError):
            # A ValueError is an address that is none.
            return Failure(ResultCode.daemon_unreachable)

    async def _send(
        self, method: str, url: str, body: bytes | None
    ) -> Result[bytes, ResultCode]:
        request = self._session.request(
            method,
            url,
            data=body,
            timeout=self._timeout,
            allow_redirects=False,
        )
        async with request as reply:
            if reply.status != HTTPStatus.OK:
                return Failure(ResultCode.bad_message)
            return Success(await reply.read())


@contextlib.asynccontextmanager
async def open_daemons(timeout_seconds: float) -> AsyncIterator[DaemonClient]:
    """Open a client for the length of the context."""
    async with ClientSession() as session:
        yield HttpDaemonClient(session, timeout_seconds)


def _decoded_status(body: bytes) -> Result[Status, ResultCode]:
    return decode_json(body, dict[str, Any]).map(_as_status)


def _as_status(found: dict[str, Any]) -> Status:
    return found


def _decoded_reply(body: bytes) -> Result[OfferReply, ResultCode]:
    return decode_json(body, _ReplyBody).bind(_as_reply)


def _as_reply(body: _ReplyBody) -> Result[OfferReply, ResultCode]:
    codes = {code.value: code for code in ResultCode}
    if body.code not in codes:
        return Failure(ResultCode.bad_message)
    return Success(OfferReply(codes[body.code], body.number))
