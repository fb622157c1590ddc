"""Serve callers and the platform's readiness checks over HTTP."""

import asyncio
import contextlib
import math
from collections.abc import Callable
from http import HTTPStatus

import attrs
from aiohttp import web
from loguru import logger

from dragonflyramp.backends import UnprovenSuccessError
from dragonflyramp.callers import Front, Query, Refusal, RunningQueries
from dragonflyramp.messages import Headers, Request
from dragonflyramp.metrics import counters
from dragonflyramp.platform import _headers as http_headers
from dragonflyramp.platform._answers_http import (
    CallerResponse,
    FailureResponse,
    encode_answer,
    encode_refusal,
    encode_unproven,
)
from dragonflyramp.platform._body_memory import BodyMemory
from dragonflyramp.platform._servers_http import CallerServer
from dragonflyramp.results import ResultCode

_SUPPORTED_UPGRADE = 'websocket'
_READINESS_PATH = '/api/ready'
#: Callers may keep connections idle for this long; closing an idle connection
#: earlier could race with its next request.
_KEEP_ALIVE_TIMEOUT_SECONDS = 75.0
#: Limit on the request line and on each header; it equals the platform's limit
#: on all headers together.
_MAX_LINE_BYTES = 16384
#: Limit on a body before the first configuration.
_DEFAULT_MAX_BODY_BYTES = 1024 * 1024
#: Timeout for reading a body when the caller sends no deadline.
_BODY_TIMEOUT_SECONDS = 10.0
#: Retry delay for callers whose bodies do not fit into the memory.
_MEMORY_RETRY_AFTER_SECONDS = 0.2
#: Interval between checks for running requests while draining.
_DRAIN_POLL_INTERVAL_SECONDS = 0.05
#: Consecutive checks without a running request that complete the drain.
_MIN_IDLE_POLLS = 3
#: Time that handlers have to finish after the server begins to shut down.
_SHUTDOWN_TIMEOUT_SECONDS = 0.3


@attrs.define(eq=False)
class FrontServer:
    """Serve callers and readiness checks."""

    _front: Front
    _clock: Callable[[], float]
    _queries: RunningQueries = attrs.field(init=False)
    _body_memory: BodyMemory = attrs.field(factory=BodyMemory)
    _runner: web.ServerRunner | None = None
    _readiness_runner: web.ServerRunner | None = None

    def __attrs_post_init__(self) -> None:
        """Run the queries on the front."""
        self._queries = RunningQueries(self._front.serve)

    async def start(self, frontend: str, readiness: str) -> str:
        """Listen on both `IP:port` addresses; return the bound one for callers.

        Raise OSError if an address cannot be bound, ValueError if its port is
        not a number, and OverflowError if its port is above 65535.
        """
        self._runner = await _listen(self._handle_request, frontend)
        self._readiness_runner = await _listen(
            self._handle_readiness, readiness
        )
        host, port = self._runner.addresses[0][:2]
        return f'{host}:{port}'

    async def drain(self, timeout_seconds: float) -> None:
        """Stop accepting connections and wait for running requests to end.

        Requests that still run after the timeout are answered with a failure.
        """
        assert self._runner is not None
        for site in tuple(self._runner.sites):
            await site.stop()
        ends_at_seconds = self._clock() + timeout_seconds
        logger.bind(
            drain_seconds=round(timeout_seconds, 1),
            running=self._front.in_flight.count,
        ).info('front drains')
        self._front.drain_ends_at_seconds = ends_at_seconds
        idle_polls = 0
        # One idle check is not enough, because a request may still arrive on a
        # connection that was just opened.
        while idle_polls < _MIN_IDLE_POLLS and self._clock() < ends_at_seconds:
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_SECONDS)
            is_idle = not self._front.in_flight.count
            idle_polls = idle_polls + 1 if is_idle else 0
        # Nothing that arrives from now on would be answered.
        self._front.drain_ends_at_seconds = -math.inf
        self._queries.end()

    async def stop(self) -> None:
        """Close the ports and the open connections."""
        for runner in (self._runner, self._readiness_runner):
            if runner is not None:
                await runner.cleanup()

    async def _handle_readiness(self, request: web.BaseRequest) -> web.Response:
        if http_headers.REQUEST_ID in request.headers:
            # The port may be a former one of a front. The request has not run.
            counters.add('misdirected_requests', 'readiness')
            return web.Response(status=HTTPStatus.MISDIRECTED_REQUEST)
        is_ready = self._front.is_ready() and request.path == _READINESS_PATH
        status = HTTPStatus.SERVICE_UNAVAILABLE
        return web.Response(status=HTTPStatus.OK if is_ready else status)

    async def _handle_request(self, request: web.BaseRequest) -> CallerResponse:
        try:
            with contextlib.ExitStack() as cleanup:
                cleanup.callback(self._body_memory.release, id(request))
                response = await self._answer_request(request)
        except Exception:
            counters.add('task_failures', 'request')
            logger.exception(
                'unhandled exception in the request to {}', request.path
            )
            response = FailureResponse(HTTPStatus.INTERNAL_SERVER_ERROR)
        if self._front.is_stopping or _offers_dropped_upgrade(request):
            response.force_close()
        return response

    async def _answer_request(self, request: web.BaseRequest) -> CallerResponse:
        received_at_seconds = self._clock()
        deadline_ms = http_headers.parse_number(
            request.headers.get(http_headers.DEADLINE_MS)
        )
        table = self._front.current_table()
        body = await _read_body(
            request,
            deadline_ms,
            _BodyLimits(
                _DEFAULT_MAX_BODY_BYTES
                if table is None
                else table.max_body_bytes,
                self._body_memory,
            ),
        )
        if isinstance(body, ResultCode):
            refusal = encode_refusal(_refuse_body(body))
            # The rest of the body is not read.
            refusal.force_close()
            return refusal
        query = _build_query(request, body, deadline_ms, received_at_seconds)
        try:
            answer = await self._queries.run(query)
        except UnprovenSuccessError as error:
            return encode_unproven(query.request, error)
        return encode_answer(answer, query.request)


def _offers_dropped_upgrade(request: web.BaseRequest) -> bool:
    """Return whether aiohttp may have dropped what follows a request.

    It drops the rest of the read bytes after an offer of an upgrade that it
    does not support.
    """
    offered = request.headers.get('Upgrade', '')
    is_supported = offered.isascii() and offered.lower() == _SUPPORTED_UPGRADE
    options = http_headers.connection_options(_decode_headers(request))
    return bool(offered) and 'upgrade' in options and not is_supported


def _build_query(
    request: web.BaseRequest,
    body: bytes,
    deadline_ms: float | None,
    received_at_seconds: float,
) -> Query:
    raw_path = request.raw_path
    headers = _decode_headers(request)
    forwarded = tuple(http_headers.end_to_end_headers(headers))
    return Query(
        request=Request(
            request_id=http_headers.first_value(
                headers, http_headers.REQUEST_ID
            ),
            method=request.method,
            path_and_query=raw_path,
            headers=forwarded,
            headers_without_tenant=tuple(
                http_headers.without_tenant_headers(forwarded)
            ),
            body=body,
            has_body=request.body_exists,
            accepts_content_coding=http_headers.accepts_content_coding(headers),
        ),
        host=request.headers.get('Host', '').partition(':')[0].lower(),
        path=raw_path.partition('?')[0],
        deadline_ms=deadline_ms,
        received_at_seconds=received_at_seconds,
        api_key=http_headers.parse_api_key(headers),
    )


async def _listen(
    handler: Callable[..., object],  # noqa: WPS110 - as in aiohttp
    address: str,
) -> web.ServerRunner:
    server = CallerServer(
        handler,  # type: ignore[arg-type]
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=_KEEP_ALIVE_TIMEOUT_SECONDS,
        max_line_size=_MAX_LINE_BYTES,
        max_field_size=_MAX_LINE_BYTES,
        auto_decompress=False,
    )
    runner = web.ServerRunner(
        server, shutdown_timeout=_SHUTDOWN_TIMEOUT_SECONDS
    )
    await runner.setup()
    host, _, port = address.rpartition(':')
    await web.TCPSite(runner, host, int(port), backlog=1024).start()
    return runner


@attrs.frozen
class _BodyLimits:
    """Limits on the body of one request, and on those of all together."""

    max_bytes: int
    memory: BodyMemory


def _refuse_body(code: ResultCode) -> Refusal:
    if code is ResultCode.queue_full:
        counters.add('refusals', code.name)
        return Refusal(
            code=code, retry_after_seconds=_MEMORY_RETRY_AFTER_SECONDS
        )
    return Refusal(code=code)


async def _read_body(
    request: web.BaseRequest, deadline_ms: float | None, limits: _BodyLimits
) -> bytes | ResultCode:
    """Read the body.

    Return body_too_large, bad_request, or queue_full if the bodies of all
    requests take too much memory.
    """
    if not request.body_exists:
        return b''
    if (request.content_length or 0) > limits.max_bytes:
        return ResultCode.body_too_large
    timeout_seconds = (
        _BODY_TIMEOUT_SECONDS if deadline_ms is None else deadline_ms / 1000
    )
    try:
        async with asyncio.timeout(timeout_seconds):
            return await _read_pieces(request, limits)
    except (TimeoutError, web.RequestPayloadError) as error:
        # The text of the error may quote what the caller sent.
        logger.bind(reason=type(error).__name__).info(
            'failed to read the request body'
        )
        return ResultCode.bad_request


async def _read_pieces(
    request: web.BaseRequest, limits: _BodyLimits
) -> bytes | ResultCode:
    body = bytearray()
    async for piece in request.content.iter_any():
        body.extend(piece)
        if len(body) > limits.max_bytes:
            return ResultCode.body_too_large
        if not limits.memory.try_hold(id(request), len(body)):
            return ResultCode.queue_full
    return bytes(body)


def _decode_headers(request: web.BaseRequest) -> Headers:
    return tuple(
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in request.raw_headers
    )
