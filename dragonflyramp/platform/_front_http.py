"""Serve callers and the platform's readiness checks over HTTP."""

import asyncio
import contextlib
import functools
import math
from collections.abc import Callable
from http import HTTPStatus

import attrs
from aiohttp import web
from loguru import logger

from dragonflyramp.backends import UnprovenSuccessError
from dragonflyramp.callers import (
    INTERNAL_PORT_LIMITS,
    INTERNAL_REQUEST_LIMITS,
    ConnectionGuard,
    Front,
    GuardedRequestHandler,
    GuardedServer,
    Query,
    RunningQueries,
    check_connections,
    frontend_limits,
)
from dragonflyramp.machine_settings import VmLimits
from dragonflyramp.messages import Headers, Request
from dragonflyramp.metrics import counters, gauges
from dragonflyramp.platform import _headers as http_headers
from dragonflyramp.platform._answers_http import (
    CallerResponse,
    FailureResponse,
    encode_answer,
    encode_refusal,
    encode_unproven,
)
from dragonflyramp.platform._body_memory import BodyMemory
from dragonflyramp.platform._request_bodies_http import (
    BodyLimits,
    read_body,
    refuse_body,
)
from dragonflyramp.results import ResultCode
from dragonflyramp.routes import RequestLimits
from dragonflyramp.runtime import TaskSet

_SUPPORTED_UPGRADE = 'websocket'
_READINESS_PATH = '/api/ready'
#: Limit on a body before the first configuration.
_DEFAULT_MAX_BODY_BYTES = 1024 * 1024
_DEFAULT_LIMITS = RequestLimits()
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
    _vm_limits: VmLimits = VmLimits()
    _queries: RunningQueries = attrs.field(init=False)
    _body_memory: BodyMemory = attrs.field(factory=BodyMemory)
    _runner: web.ServerRunner | None = None
    _readiness_runner: web.ServerRunner | None = None
    _tasks: TaskSet = attrs.field(factory=TaskSet)

    def __attrs_post_init__(self) -> None:
        """Run the queries on the front."""
        self._queries = RunningQueries(self._front.serve)

    async def start(self, frontend: str, readiness: str) -> str:
        """Listen on both `IP:port` addresses; return the bound one for callers.

        Raise OSError if an address cannot be bound, ValueError if its port is
        not a number, and OverflowError if its port is above 65535.
        """
        guard = ConnectionGuard(
            'frontend',
            frontend_limits(self._vm_limits),
            functools.partial(_request_limits, self._front),
        )
        gauges.register('caller_connections', lambda: len(guard))
        gauges.register('caller_held_bytes', lambda: guard.held_bytes)
        gauges.register('caller_unsent_bytes', lambda: guard.unsent_bytes)
        self._runner = await _listen(self._handle_request, frontend, guard)
        readiness_guard = ConnectionGuard(
            'readiness', INTERNAL_PORT_LIMITS, lambda: INTERNAL_REQUEST_LIMITS
        )
        self._readiness_runner = await _listen(
            self._handle_readiness, readiness, readiness_guard
        )
        self._tasks.start(check_connections(guard), 'connection_checks')
        self._tasks.start(
            check_connections(readiness_guard), 'connection_checks'
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
        await self._tasks.cancel()
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
        body = await read_body(
            request,
            deadline_ms,
            BodyLimits(
                _DEFAULT_MAX_BODY_BYTES
                if table is None
                else table.max_body_bytes,
                self._body_memory,
            ),
        )
        if isinstance(body, ResultCode):
            refusal = encode_refusal(refuse_body(body))
            # The rest of the body is not read.
            refusal.force_close()
            return refusal
        query = _build_query(request, body, deadline_ms, received_at_seconds)
        try:
            answer = await self._queries.run(query)
        except UnprovenSuccessError as error:
            return encode_unproven(query.request, error)
        return encode_answer(answer, query.request)


def _read_delay_seconds(
    request: web.BaseRequest, received_at_seconds: float
) -> float:
    """Return how long a request has waited for the event loop.

    A request that follows another on its connection may have been polled with
    it, so that this is an upper bound.
    """
    protocol = request.protocol
    if not isinstance(protocol, GuardedRequestHandler):
        return 0
    return max(0, received_at_seconds - protocol.polled_at_seconds)


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
        read_delay_seconds=_read_delay_seconds(request, received_at_seconds),
        is_connection_kept=isinstance(request.protocol, GuardedRequestHandler)
        and request.protocol.has_answered,
        api_key=http_headers.parse_api_key(headers),
    )


async def _listen(
    handler: Callable[..., object],  # noqa: WPS110 - as in aiohttp
    address: str,
    guard: ConnectionGuard,
) -> web.ServerRunner:
    server = GuardedServer(
        handler,
        guard=guard,
        handler_cancellation=True,
        access_log=None,
        auto_decompress=False,
    )
    runner = web.ServerRunner(
        server, shutdown_timeout=_SHUTDOWN_TIMEOUT_SECONDS
    )
    await runner.setup()
    host, _, port = address.rpartition(':')
    await web.TCPSite(runner, host, int(port), backlog=1024).start()
    return runner


def _request_limits(front: Front) -> RequestLimits:
    table = front.current_table()
    return _DEFAULT_LIMITS if table is None else table.request_limits


def _decode_headers(request: web.BaseRequest) -> Headers:
    return tuple(
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in request.raw_headers
    )
