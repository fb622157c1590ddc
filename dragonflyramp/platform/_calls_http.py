"""Make HTTP calls to the platform, each bounded in time and size."""

import types
from collections.abc import AsyncIterator, Mapping
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote, urlencode

import aiohttp
import attrs
import yarl
from returns.result import Failure, Result, Success

from dragonflyramp.metrics import counters
from dragonflyramp.platform._objects import MAX_OBJECT_BYTES
from dragonflyramp.results import ResultCode

_Found = TypeVar('_Found')

_CHUNK_BYTES = 65536


@attrs.frozen(kw_only=True)
class Call:
    """Describe one HTTP call; `kind` names it in the counters."""

    kind: str
    path: str
    timeout_seconds: float
    method: str = 'GET'
    query: tuple[tuple[str, str], ...] = ()
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes | None = None
    max_reply_bytes: int = MAX_OBJECT_BYTES


@attrs.frozen
class Reply:
    """Hold a reply that was read completely."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class Exchange:
    """Make calls, each with a timeout, and count them and their failures."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Call `IP:port` over a session that the caller closes."""
        self._session = session
        self._base_url = f'http://{address}'

    async def call(self, call: Call) -> Result[Reply, ResultCode]:
        """Make one call; fail with platform_down or bad_reply."""
        counters.add('platform_calls', call.kind)
        try:
            return await self._send(call)
        except aiohttp.ClientResponseError:
            return Failure(ResultCode.bad_reply)
        except (aiohttp.ClientError, OSError, ValueError):
            # A ValueError is an address that is none.
            return Failure(ResultCode.platform_down)

    async def _send(self, call: Call) -> Result[Reply, ResultCode]:
        request = self._session.request(
            call.method,
            self._url(call),
            headers=call.headers,
            data=None if call.body is None else _send_once(call.body),
            timeout=aiohttp.ClientTimeout(total=call.timeout_seconds),
            allow_redirects=False,
        )
        async with request as reply:
            return await _take(reply, call.max_reply_bytes)

    def _url(self, call: Call) -> yarl.URL:
        query = urlencode(call.query)
        path = quote(call.path)
        return yarl.URL(f'{self._base_url}{path}?{query}', encoded=True)


async def _send_once(body: bytes) -> AsyncIterator[bytes]:
    """Yield the body of a PUT so that it cannot be sent twice.

    aiohttp repeats a PUT whose connection closed before the reply, unless
    its body was consumed. The repetition of a conditional update that took
    effect would be answered with a conflict.
    """
    yield body


async def _take(
    reply: aiohttp.ClientResponse, max_bytes: int
) -> Result[Reply, ResultCode]:
    body = bytearray()
    async for chunk in reply.content.iter_chunked(_CHUNK_BYTES):
        body.extend(chunk)
        if len(body) > max_bytes:
            return Failure(ResultCode.bad_reply)
    return Success(Reply(reply.status, reply.headers, bytes(body)))


def count_failure(
    kind: str, outcome: Result[_Found, ResultCode]
) -> Result[_Found, ResultCode]:
    """Count a failure under the kind of its call and its code."""
    if isinstance(outcome, Failure):
        code = outcome.failure()
        counters.add('platform_failures', f'{kind}_{code.name}')
    return outcome


def refuse(reply: Reply) -> Result[_Found, ResultCode]:
    """Turn a reply other than the expected one into its code."""
    return Failure(_REFUSALS.get(reply.status, _code_of_status(reply.status)))


def _code_of_status(status: int) -> ResultCode:
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return ResultCode.platform_down
    return ResultCode.bad_reply


_REFUSALS: Mapping[int, ResultCode] = types.MappingProxyType(
    {
        HTTPStatus.NOT_FOUND: ResultCode.object_missing,
        HTTPStatus.CONFLICT: ResultCode.version_conflict,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ResultCode.body_too_large,
        HTTPStatus.TOO_MANY_REQUESTS: ResultCode.platform_down,
    }
)
