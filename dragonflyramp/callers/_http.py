"""Encode the callers' HTTP protocol; all decisions are in the front."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus

import attrs
from aiohttp import web
from loguru import logger
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dragonflyramp import metrics
from dragonflyramp.callers._fronts import Front
from dragonflyramp.callers._json_values import decode_json
from dragonflyramp.callers._requests import (
    Coverage,
    Refusal,
    SearchAnswer,
    SearchRequest,
    SubmitAnswer,
    SubmitRequest,
)
from dragonflyramp.results import ResultCode

_MAX_ID_LENGTH = 200
#: More digits are no deadline; the service's own bound is far below.
_MAX_DEADLINE_DIGITS = 12
_REQUEST_ID_BYTES = 16

_Endpoint = Callable[[web.Request], Awaitable[web.StreamResponse]]


@attrs.frozen(eq=False)
class CallersServer:
    """Hold a listening HTTP server and its port."""

    port: int
    _runner: web.AppRunner

    async def stop(self) -> None:
        """Close the port and idle connections, and wait for the others."""
        await self._runner.cleanup()


async def start_server(front: Front, host: str, port: int) -> CallersServer:
    """Listen for callers; port 0 lets the kernel choose.

    Raise OSError when the address cannot be bound. A caller that goes away
    cancels the handler of its request.
    """
    runner = web.AppRunner(
        create_application(front), handler_cancellation=True, access_log=None
    )
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return CallersServer(runner.addresses[0][1], runner)


def create_application(front: Front) -> web.Application:
    """Create the application; it needs handler cancellation."""
    settings = front.parts.settings
    handlers = _Handlers(front, settings.body_timeout_seconds)
    application = web.Application(
        middlewares=[_answer_errors],
        client_max_size=settings.max_body_bytes,
    )
    application.add_routes(
        [
            web.post('/search/{service}', handlers.search),
            web.post('/submit/{service}', handlers.submit),
            web.get('/healthz', handlers.healthz),
            web.get('/readyz', handlers.readyz),
            web.get('/metrics', handlers.metrics),
        ]
    )
    return application


@attrs.frozen
class _Handlers:
    front: Front
    body_timeout_seconds: float

    async def search(self, request: web.Request) -> web.Response:
        """Run one search in the task of the connection."""
        request_id = _request_id(request)
        received_seconds = self.front.parts.clock()
        read = await _read_request(request, self.body_timeout_seconds)
        if not is_successful(read):
            return _malformed(read.failure(), request_id)
        message = read.unwrap()
        found = await self.front.search(
            SearchRequest(
                request_id=request_id,
                service=request.match_info['service'],
                body=message.body,
                deadline_ms=message.deadline_ms,
                received_seconds=received_seconds,
            )
        )
        if is_successful(found):
            return web.json_response(_search_json(found.unwrap()))
        return _refused(found.failure(), request_id)

    async def submit(self, request: web.Request) -> web.Response:
        """Run one submit; it goes on if the caller goes away."""
        request_id = _request_id(request)
        received_seconds = self.front.parts.clock()
        read = await _read_request(request, self.body_timeout_seconds)
        if not is_successful(read):
            return _malformed(read.failure(), request_id)
        message = read.unwrap()
        key = request.headers.get('Idempotency-Key', '')
        found = await self.front.submit(
            SubmitRequest(
                request_id=request_id,
                service=request.match_info['service'],
                body=message.body,
                deadline_ms=message.deadline_ms,
                received_seconds=received_seconds,
                idempotency_key=key if _is_id(key) else '',
            )
        )
        if is_successful(found):
            return web.json_response(_submit_json(found.unwrap()))
        return _refused(found.failure(), request_id)

    async def healthz(self, request: web.Request) -> web.Response:
        """Tell that the process serves."""
        return web.Response(text='ok\n')

    async def readyz(self, request: web.Request) -> web.Response:
        """Tell a load balancer whether to send requests."""
        if self.front.is_ready(self.front.parts.clock()):
            return web.Response(text='ready\n')
        return web.Response(
            text='not ready\n', status=HTTPStatus.SERVICE_UNAVAILABLE
        )

    async def metrics(self, request: web.Request) -> web.Response:
        """Print all counters for Prometheus."""
        return web.Response(
            body=metrics.render(), content_type='text/plain', charset='utf-8'
        )


@attrs.frozen
class _Message:
    deadline_ms: int
    body: bytes


@web.middleware
async def _answer_errors(
    request: web.Request,
    handler: _Endpoint,  # noqa: WPS110 - aiohttp passes it by this name
) -> web.StreamResponse:
    try:
        return await handler(request)
    except web.HTTPException:
        raise
    except Exception:
        logger.exception('the request to {} failed', request.path)
        return _malformed(ResultCode.internal_error, _request_id(request))


async def _read_request(
    request: web.Request, timeout_seconds: float
) -> Result[_Message, ResultCode]:
    digits = request.headers.get('X-Deadline-Ms', '')
    is_number = digits.isascii() and digits.isdecimal()
    if not is_number or len(digits) > _MAX_DEADLINE_DIGITS:
        return Failure(ResultCode.bad_deadline)
    deadline_ms = int(digits)
    try:
        async with asyncio.timeout(min(deadline_ms / 1000, timeout_seconds)):
            body = await request.read()
    except web.HTTPRequestEntityTooLarge:
        return Failure(ResultCode.body_too_large)
    except (TimeoutError, web.RequestPayloadError):
        return Failure(ResultCode.bad_request)
    if _is_json(body):
        return Success(_Message(deadline_ms, body))
    return Failure(ResultCode.bad_request)


def _is_json(body: bytes) -> bool:
    try:
        decode_json(body)
    except ValueError:
        return False
    return True


def _request_id(request: web.Request) -> str:
    given = request.headers.get('X-Request-Id', '')
    return given if _is_id(given) else secrets.token_hex(_REQUEST_ID_BYTES)


def _is_id(text: str) -> bool:
    return 0 < len(text) <= _MAX_ID_LENGTH and text.isprintable()


def _malformed(code: ResultCode, request_id: str) -> web.Response:
    metrics.counters.add('refusals', code.name)
    return _refused(Refusal(code), request_id)


def _refused(refusal: Refusal, request_id: str) -> web.Response:
    meaning = refusal.code.meaning
    return web.json_response(
        {
            'code': refusal.code.value,
            'name': refusal.code.name,
            'sentence': meaning.sentence,
            'run': refusal.run.value,
            'request_id': request_id,
        },
        status=meaning.http_status,
    )


def _search_json(answer: SearchAnswer) -> Mapping[str, object]:
    return {
        'request_id': answer.request_id,
        'snapshot': answer.snapshot_id,
        'hits': [hit.fields for hit in answer.hits],
        'coverage': _coverage_json(answer.coverage),
    }


def _submit_json(answer: SubmitAnswer) -> Mapping[str, object]:
    return {
        'request_id': answer.request_id,
        'replayed': answer.code is ResultCode.outcome_replayed,
        'outcome': _outcome_json(answer.body),
    }


def _outcome_json(body: bytes) -> object:
    """Decode a backend server's reply; one that is not JSON stays text."""
    try:
        return decode_json(body)
    except ValueError:
        return body.decode(errors='replace')


def _coverage_json(coverage: Coverage) -> Mapping[str, object]:
    return {
        'merged': coverage.merged,
        'total': coverage.total,
        'fraction': coverage.fraction,
        'missing': [
            {'shard': missing.shard, 'code': missing.code.value}
            for missing in coverage.missing
        ],
    }
