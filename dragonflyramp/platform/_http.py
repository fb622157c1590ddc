"""Encode calls to the platform's object API over HTTP."""

import contextlib
from collections.abc import AsyncIterator
from http import HTTPStatus

import aiohttp
import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.platform._calls_http import (
    Call,
    Exchange,
    Reply,
    count_failure,
    refuse,
)
from dragonflyramp.platform._objects import (
    MAX_OBJECT_BYTES,
    ObjectStore,
    VersionedObject,
)
from dragonflyramp.platform._vms import VmList
from dragonflyramp.platform._vms_http import HttpVmList
from dragonflyramp.results import ResultCode

_VERSION_HEADER = 'X-Object-Version'
#: Longest version number; `int` alone would accept thousands of digits.
_MAX_VERSION_DIGITS = 18


class HttpObjectStore(ObjectStore):
    """Reach the object API at `IP:port`, with a timeout for each call."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        timeout_seconds: float,
    ) -> None:
        """Use a session that the caller closes."""
        self._exchange = Exchange(session, address)
        self._timeout_seconds = timeout_seconds

    async def read(self, name: str) -> Result[VersionedObject, ResultCode]:
        """Read an object; fail as `ObjectStore` states."""
        reply = await self._exchange.call(
            Call(
                kind='read',
                path=f'/objects/{name}',
                timeout_seconds=self._timeout_seconds,
            )
        )
        found = reply.bind(lambda taken: _read_object(name, taken))
        return count_failure('read', found)

    async def write(
        self, name: str, body: bytes, version: int
    ) -> Result[int, ResultCode]:
        """Write conditionally; fail as `ObjectStore` states."""
        if len(body) > MAX_OBJECT_BYTES:
            return count_failure('write', Failure(ResultCode.body_too_large))
        reply = await self._exchange.call(
            Call(
                kind='write',
                method='PUT',
                path=f'/objects/{name}',
                headers={
                    'If-Match': str(version),
                    'Content-Length': str(len(body)),
                },
                body=body,
                timeout_seconds=self._timeout_seconds,
            )
        )
        return count_failure('write', reply.bind(_read_written))

    async def watch(
        self, name: str, version: int, timeout_seconds: float
    ) -> Result[VersionedObject | None, ResultCode]:
        """Wait for a newer version; fail as `ObjectStore` states."""
        timeout_ms = int(timeout_seconds * 1000)
        reply = await self._exchange.call(
            Call(
                kind='watch',
                path=f'/objects/{name}',
                query=(
                    ('watch', str(version)),
                    ('timeout_ms', str(timeout_ms)),
                ),
                timeout_seconds=timeout_seconds + self._timeout_seconds,
            )
        )
        found = reply.bind(lambda taken: _read_watched(name, version, taken))
        return count_failure('watch', found)


@attrs.frozen
class Platform:
    """Hold the two interfaces of the platform."""

    store: ObjectStore
    vms: VmList


@contextlib.asynccontextmanager
async def open_platform(
    address: str, timeout_seconds: float
) -> AsyncIterator[Platform]:
    """Open the platform at `IP:port` for the length of the context.

    Each call uses a new connection: a pooled one that has gone silent would
    cost a whole timeout the next time it is used, and a lease lasts only a
    few timeouts.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
    )
    async with session:
        yield Platform(
            store=HttpObjectStore(session, address, timeout_seconds),
            vms=HttpVmList(session, address, timeout_seconds),
        )


def _read_object(
    name: str, reply: Reply
) -> Result[VersionedObject, ResultCode]:
    if reply.status != HTTPStatus.OK:
        return refuse(reply)
    return _read_version(reply).map(
        lambda version: VersionedObject(name, version, reply.body)
    )


def _read_written(reply: Reply) -> Result[int, ResultCode]:
    if reply.status != HTTPStatus.OK:
        return refuse(reply)
    return _read_version(reply)


def _read_watched(
    name: str, version: int, reply: Reply
) -> Result[VersionedObject | None, ResultCode]:
    if reply.status == HTTPStatus.NOT_MODIFIED:
        return Success(None)
    found = _read_object(name, reply)
    return found.bind(lambda newer: _refuse_stale(version, newer))


def _refuse_stale(
    version: int, found: VersionedObject
) -> Result[VersionedObject | None, ResultCode]:
    # A success would make the watching task ask again at once.
    if found.version <= version:
        return Failure(ResultCode.bad_reply)
    return Success(found)


def _read_version(reply: Reply) -> Result[int, ResultCode]:
    text = reply.headers.get(_VERSION_HEADER, '')
    is_number = text.isascii() and text.isdigit()
    if is_number and len(text) <= _MAX_VERSION_DIGITS and int(text):
        return Success(int(text))
    return Failure(ResultCode.bad_reply)
