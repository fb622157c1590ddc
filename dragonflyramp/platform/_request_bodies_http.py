"""Read the bodies of callers' requests."""

import asyncio

import attrs
from aiohttp import web
from loguru import logger

from dragonflyramp.callers import (
    BodyTooLargeError,
    GuardedRequestHandler,
    Refusal,
)
from dragonflyramp.metrics import counters
from dragonflyramp.platform._body_memory import BodyMemory
from dragonflyramp.results import ResultCode

#: Timeout for reading a body when the caller sends no deadline.
_BODY_TIMEOUT_SECONDS = 10.0
#: Retry delay for callers whose bodies do not fit into the memory.
_MEMORY_RETRY_AFTER_SECONDS = 0.2


@attrs.frozen
class BodyLimits:
    """Limits on the body of one request, and on those of all together."""

    max_bytes: int
    memory: BodyMemory


def refuse_body(code: ResultCode) -> Refusal:
    """Return the refusal of a request whose body is not accepted."""
    if code is ResultCode.queue_full:
        counters.add('refusals', code.name)
        return Refusal(
            code=code, retry_after_seconds=_MEMORY_RETRY_AFTER_SECONDS
        )
    return Refusal(code=code)


async def read_body(
    request: web.BaseRequest, deadline_ms: float | None, limits: BodyLimits
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
    except BodyTooLargeError:
        return ResultCode.body_too_large
    except (TimeoutError, web.RequestPayloadError) as error:
        # The text of the error may quote what the caller sent.
        logger.bind(reason=type(error).__name__).info(
            'failed to read the request body'
        )
        return ResultCode.bad_request


async def _read_pieces(
    request: web.BaseRequest, limits: BodyLimits
) -> bytes | ResultCode:
    body = bytearray()
    protocol = request.protocol
    assert isinstance(protocol, GuardedRequestHandler)
    async for piece in request.content.iter_any():
        body.extend(piece)
        protocol.release_body(len(piece))
        if len(body) > limits.max_bytes:
            return ResultCode.body_too_large
        if not limits.memory.try_hold(id(request), len(body)):
            return ResultCode.queue_full
    return bytes(body)
