"""Send requests to the platform's object API over HTTP, with timeouts."""

import asyncio
import contextlib
import json
import re
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, TypeAlias

import aiohttp
import attrs
import yarl
from returns.result import Failure, Result, Success

from dragonflyramp.metrics import counters, latencies
from dragonflyramp.results import ResultCode
from dragonflyramp.stores import StoreEra
from dragonflyramp.views import Fields

#: Idle time before the first TCP keep-alive probe, and between probes. A dead
#: connection is detected within about three seconds, the limit for applying a
#: new configuration.
_KEEPALIVE_INTERVAL_SECONDS = 1
_KEEPALIVE_PROBES = 2
#: Time after which a connection with unacknowledged data is closed; lost probes
#: close an idle one.
_USER_TIMEOUT_MS = 2000
#: A connection attempt that takes longer indicates a network partition. It is
#: abandoned, so that a new one can be made.
_CONNECT_TIMEOUT_SECONDS = 1

#: A long reply is read for this long, while its bytes arrive. A processor share
#: of an eighth splits some 10 MB in this time.
_MAX_READ_SECONDS = 20
#: The body of an error is read up to this size, so that its connection can be
#: used again.
_MAX_ERROR_BYTES = 65_536

_BASE_PATH = '/api/objects'
_ERA_HEADER = 'Store-Era'
_ERA_PATTERN = re.compile('[0-9]{1,9}')


#: Reads the body of a success from its pieces; None if it is malformed.
BodyReader: TypeAlias = Callable[
    [AsyncIterator[bytes]], Awaitable[Fields | None]
]


@attrs.frozen(kw_only=True)
class ApiCall:
    """Request to the object API, with its timeout."""

    #: Label of the call in the metrics.
    purpose: str
    method: str = 'GET'
    path_and_query: str
    read_body: BodyReader
    body: Fields | None = None
    #: None to use the client's timeout.
    timeout_seconds: float | None = None


@attrs.frozen
class ApiReply:
    """Fields of a reply, and the era of the store that sent it."""

    fields: Fields
    era: int


class ApiClient:
    """Call the object API with timeouts, and record metrics of the calls."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        timeout_seconds: float,
    ) -> None:
        """Call `IP:port` through a session, which the caller closes."""
        self._session = session
        self._base_url = f'http://{address}{_BASE_PATH}'
        self._timeout_seconds = timeout_seconds
        #: Newest era that a reply had.
        self.era = StoreEra()

    async def send(self, call: ApiCall) -> Result[Fields, ResultCode]:
        """Send one call and return the fields of the reply."""
        call_result = await self.send_for_reply(call)
        return call_result.map(lambda reply: reply.fields)

    async def send_for_reply(
        self, call: ApiCall
    ) -> Result[ApiReply, ResultCode]:
        """Send one call and return the fields of the reply and its era.

        Failures are result codes, never exceptions: object_missing (status
        404), version_conflict (409), history_gone (410), body_too_large (413),
        bad_reply if the body is malformed, and platform_down for other error
        statuses, connection errors, timeouts, and replies of an era that is
        over.
        """
        counters.add('platform_calls', call.purpose)
        started_at_seconds = time.monotonic()
        call_result = await self._exchange(call)
        # A watch waits for changes, so its duration is not a latency.
        if call.purpose != 'watch':
            elapsed_seconds = time.monotonic() - started_at_seconds
            latencies.record('platform_calls', elapsed_seconds * 1000)
        if isinstance(call_result, Failure):
            code = call_result.failure()
            counters.add('platform_failures', f'{call.purpose}_{code.name}')
        return call_result

    async def _exchange(self, call: ApiCall) -> Result[ApiReply, ResultCode]:
        timeout_seconds = call.timeout_seconds or self._timeout_seconds
        request = self._session.request(
            call.method,
            yarl.URL(f'{self._base_url}{call.path_and_query}', encoded=True),
            data=None if call.body is None else _single_use_body(call.body),
            headers=_JSON_HEADERS,
            timeout=aiohttp.ClientTimeout(
                total=timeout_seconds + _MAX_READ_SECONDS
                if call.body is None
                else timeout_seconds,
                sock_connect=_CONNECT_TIMEOUT_SECONDS,
                sock_read=timeout_seconds,
            ),
            allow_redirects=False,
        )
        try:
            async with request as reply:
                era = self._decode_era(reply.headers.get(_ERA_HEADER))
                if era is None:
                    return Failure(ResultCode.platform_down)
                code = _failure_code(reply.status)
                if code is not None:
                    await _read_error(reply)
                    return Failure(code)
                fields = await call.read_body(reply.content.iter_any())
                if fields is None:
                    return Failure(ResultCode.bad_reply)
                return Success(ApiReply(fields, era))
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return Failure(ResultCode.platform_down)

    def _decode_era(self, header: str | None) -> int | None:
        """Return the era of a reply; None if that era is over.

        A reply without the header is of era 0. A malformed header is ignored:
        the reply counts as of the newest era.
        """
        if header is not None and not _ERA_PATTERN.fullmatch(header):
            counters.add('store_era_failures', 'malformed')
            return self.era.number
        number = int(header or 0)
        if self.era.observe(number, time.monotonic()):
            return number
        counters.add('store_era_failures', 'older')
        return None


@contextlib.asynccontextmanager
async def open_api_client(
    address: str, timeout_seconds: float
) -> AsyncIterator[ApiClient]:
    """Open a client of `IP:port` for the length of the context."""
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            socket_factory=_create_socket, force_close=False
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    async with session:
        yield ApiClient(session, address, timeout_seconds)


async def _read_error(reply: aiohttp.ClientResponse) -> None:
    byte_count = 0
    async for piece in reply.content.iter_any():
        byte_count += len(piece)
        if byte_count > _MAX_ERROR_BYTES:
            reply.close()
            return


async def _single_use_body(body: Fields) -> AsyncIterator[bytes]:
    """Yield the body of a write so that aiohttp cannot send it twice.

    aiohttp resends a request whose connection closed before the reply,
    unless its body was consumed.
    """
    yield json.dumps(body).encode()


def _create_socket(address: Any) -> socket.socket:
    family, kind, protocol, *_ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, number in _SOCKET_OPTIONS.items():
        sock.setsockopt(socket.IPPROTO_TCP, option, number)
    return sock


def _failure_code(status: int) -> ResultCode | None:
    """Return the code of an error status; None for a success."""
    code = _FAILURE_CODES_BY_STATUS.get(status)
    if code is not None:
        return code
    # aiohttp also accepts a status such as 000.
    is_success = HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES
    return None if is_success else ResultCode.platform_down


_JSON_HEADERS = MappingProxyType({'Content-Type': 'application/json'})
_SOCKET_OPTIONS: Mapping[int, int] = MappingProxyType(
    {
        socket.TCP_KEEPIDLE: _KEEPALIVE_INTERVAL_SECONDS,
        socket.TCP_KEEPINTVL: _KEEPALIVE_INTERVAL_SECONDS,
        socket.TCP_KEEPCNT: _KEEPALIVE_PROBES,
        socket.TCP_USER_TIMEOUT: _USER_TIMEOUT_MS,
    }
)
_FAILURE_CODES_BY_STATUS: Mapping[int, ResultCode] = MappingProxyType(
    {
        HTTPStatus.NOT_FOUND: ResultCode.object_missing,
        HTTPStatus.CONFLICT: ResultCode.version_conflict,
        HTTPStatus.GONE: ResultCode.history_gone,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ResultCode.body_too_large,
    }
)
