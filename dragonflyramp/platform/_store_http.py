"""Call the platform's metadata store over HTTP, each call bounded in time."""

import asyncio
import contextlib
import json
import socket
import time
from collections.abc import AsyncIterator, Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any
from urllib.parse import quote, urlencode

import aiohttp
import attrs
import yarl
from returns.result import Failure, Result, Success

from dragonflyramp.metrics import counters, latencies
from dragonflyramp.results import ResultCode
from dragonflyramp.views import Change, Changes, Fields, Listing

#: Seconds without an answer to a keep-alive probe of the kernel, and between
#: two probes. A connection that went silent shows within about three seconds,
#: the bound on a new configuration.
_KEEPALIVE_SECONDS = 1
_KEEPALIVE_PROBES = 2
#: Unacknowledged bytes end a connection after this time, as the probes do.
_USER_TIMEOUT_MS = 2000
#: A connect that takes longer meets a cut, and a new one is tried.
_CONNECT_SECONDS = 1
#: Time that the answer to a watch may take beyond the wait itself.
_WATCH_SLACK_SECONDS = 0.8

_BASE_PATH = '/api/objects'


@attrs.frozen(kw_only=True)
class _Call:
    #: Names the call in the counters.
    purpose: str
    method: str = 'GET'
    path: str
    body: Fields | None = None
    timeout_seconds: float | None = None


class _Calls:
    """Make calls, each bounded in time, and count them."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        timeout_seconds: float,
    ) -> None:
        """Call `IP:port` over a session that the caller closes."""
        self._session = session
        self._base_url = f'http://{address}{_BASE_PATH}'
        self._timeout_seconds = timeout_seconds

    async def make(self, call: _Call) -> Result[Fields, ResultCode]:
        """Make one call; failures are result codes, never exceptions."""
        counters.add('platform_calls', call.purpose)
        started_seconds = time.monotonic()
        reply = await self._exchange(call)
        if call.purpose != 'watch':
            passed_seconds = time.monotonic() - started_seconds
            latencies.record('platform_calls', passed_seconds * 1000)
        if isinstance(reply, Failure):
            code = reply.failure()
            counters.add('platform_failures', f'{call.purpose}_{code.name}')
        return reply

    async def _exchange(self, call: _Call) -> Result[Fields, ResultCode]:
        total_seconds = call.timeout_seconds or self._timeout_seconds
        request = self._session.request(
            call.method,
            yarl.URL(f'{self._base_url}{call.path}', encoded=True),
            data=None if call.body is None else _send_once(call.body),
            headers=_JSON_HEADERS,
            timeout=aiohttp.ClientTimeout(
                total=total_seconds, sock_connect=_CONNECT_SECONDS
            ),
            allow_redirects=False,
        )
        try:
            async with request as reply:
                return _decode(reply.status, await reply.read())
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return Failure(ResultCode.platform_down)


class StoreClient:
    """Call the store; failures are result codes, never exceptions."""

    def __init__(self, calls: _Calls) -> None:
        """Make calls through what `open_store` opened."""
        self._calls = calls

    async def list_objects(
        self, kind: str, *, allow_stale: bool = False
    ) -> Result[Listing, ResultCode]:
        """Read all pages; fail with platform_down or bad_reply.

        The revision is that of the first page, so that a later watch repeats
        changes made between two pages and misses none.
        """
        stored: dict[str, Fields] = {}
        revision: int | None = None
        base_query = {'allow_stale': '1'} if allow_stale else {}
        query = base_query
        while True:
            page = await self._calls.make(
                _Call(purpose='list', path=_url_path(kind, '', query))
            )
            if isinstance(page, Failure):
                return page
            read = _read_page(page.unwrap())
            if read is None:
                return Failure(ResultCode.bad_reply)
            stored.update(read.stored)
            revision = read.revision if revision is None else revision
            if not read.has_more:
                return Success(Listing(revision, stored))
            query = {**base_query, 'after': max(read.stored)}

    async def watch(
        self, kind: str, revision: int, wait_seconds: float
    ) -> Result[Changes, ResultCode]:
        """Wait for changes after a revision.

        Fail with history_gone, platform_down or bad_reply.
        """
        wait_ms = int(wait_seconds * 1000)
        query = {'watch': str(revision), 'wait_ms': str(wait_ms)}
        reply = await self._calls.make(
            _Call(
                purpose='watch',
                path=_url_path(kind, '', query),
                timeout_seconds=wait_seconds + _WATCH_SLACK_SECONDS,
            )
        )
        return reply.bind(_read_changes)

    async def read(self, kind: str, name: str) -> Result[Fields, ResultCode]:
        """Read one object; fail with object_missing or as other calls."""
        return await self._calls.make(
            _Call(purpose='read', path=_url_path(kind, name))
        )

    async def create(
        self, kind: str, name: str, spec: Any
    ) -> Result[Fields, ResultCode]:
        """Create an object; fail with version_conflict if it exists."""
        body = {'meta': {'name': name}, 'spec': spec}
        return await self._calls.make(
            _Call(
                purpose='write',
                method='POST',
                path=_url_path(kind, ''),
                body=body,
            )
        )

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> Result[Fields, ResultCode]:
        """Replace an object's spec if the revision still stands."""
        body = {'meta': {'name': name, 'rev': revision}, 'spec': spec}
        return await self._calls.make(
            _Call(
                purpose='write',
                method='PUT',
                path=_url_path(kind, name),
                body=body,
            )
        )

    async def delete(self, kind: str, name: str) -> Result[Fields, ResultCode]:
        """Remove an object; fail with object_missing if there is none."""
        return await self._calls.make(
            _Call(purpose='write', method='DELETE', path=_url_path(kind, name))
        )


@contextlib.asynccontextmanager
async def open_store(
    address: str, timeout_seconds: float
) -> AsyncIterator[StoreClient]:
    """Open a client of the store at `IP:port` for the length of the context."""
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            socket_factory=_new_socket, force_close=False
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    async with session:
        yield StoreClient(_Calls(session, address, timeout_seconds))


@attrs.frozen
class _Page:
    revision: int
    stored: Mapping[str, Fields]
    has_more: bool


async def _send_once(body: Fields) -> AsyncIterator[bytes]:
    """Yield the body of a write so that aiohttp cannot send it twice.

    aiohttp repeats a call whose connection closed before the reply, unless
    its body was consumed.
    """
    yield json.dumps(body).encode()


def _new_socket(address: Any) -> socket.socket:
    family, kind, protocol, *_ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, number in _SOCKET_OPTIONS.items():
        sock.setsockopt(socket.IPPROTO_TCP, option, number)
    return sock


def _url_path(
    kind: str, name: str, query: Mapping[str, str] | None = None
) -> str:
    path = f'/{quote(kind)}'
    if name:
        quoted = quote(name, safe='')
        path = f'{path}/{quoted}'
    return f'{path}?{urlencode(query)}' if query else path


def _decode(status: int, body: bytes) -> Result[Fields, ResultCode]:
    code = _REFUSALS.get(status)
    if code is not None:
        return Failure(code)
    if status >= HTTPStatus.BAD_REQUEST:
        return Failure(ResultCode.platform_down)
    try:
        fields = json.loads(body) if body else {}
    except ValueError:
        return Failure(ResultCode.bad_reply)
    if isinstance(fields, dict):
        return Success(fields)
    return Failure(ResultCode.bad_reply)


def _read_page(fields: Fields) -> _Page | None:
    found = fields.get('items')
    revision = fields.get('at_rev')
    if not isinstance(found, list) or not isinstance(revision, int):
        return None
    named = {_name(stored): stored for stored in found}
    named.pop('', None)
    has_more = bool(fields.get('has_more')) and bool(named)
    return _Page(revision, named, has_more)


def _read_changes(fields: Fields) -> Result[Changes, ResultCode]:
    events = fields.get('events')
    revision = fields.get('at_rev')
    if not isinstance(events, list) or not isinstance(revision, int):
        return Failure(ResultCode.bad_reply)
    changes = tuple(
        Change(
            _name(event.get('object')),
            None if event.get('tombstone') else event.get('object'),
        )
        for event in events
        if isinstance(event, dict)
    )
    return Success(Changes(revision, changes))


def _name(stored: Any) -> str:
    meta = stored.get('meta') if isinstance(stored, dict) else None
    name = meta.get('name') if isinstance(meta, dict) else ''
    return name if isinstance(name, str) else ''


_JSON_HEADERS = MappingProxyType({'Content-Type': 'application/json'})
_SOCKET_OPTIONS: Mapping[int, int] = MappingProxyType(
    {
        socket.TCP_KEEPIDLE: _KEEPALIVE_SECONDS,
        socket.TCP_KEEPINTVL: _KEEPALIVE_SECONDS,
        socket.TCP_KEEPCNT: _KEEPALIVE_PROBES,
        socket.TCP_USER_TIMEOUT: _USER_TIMEOUT_MS,
    }
)
_REFUSALS: Mapping[int, ResultCode] = MappingProxyType(
    {
        HTTPStatus.NOT_FOUND: ResultCode.object_missing,
        HTTPStatus.CONFLICT: ResultCode.version_conflict,
        HTTPStatus.GONE: ResultCode.history_gone,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ResultCode.body_too_large,
    }
)
