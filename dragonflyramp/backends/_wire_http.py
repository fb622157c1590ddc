"""Exchange single HTTP requests over a session of one connection."""

import asyncio
import socket
from collections.abc import Callable, Mapping
from types import SimpleNamespace
from typing import Any, TypeAlias

import aiohttp
import attrs

from dragonflyramp.backends._clients import always

_READ_BYTES = 65536
# The kernel gives up connecting after about 3 s, and not after 2 minutes.
_CONNECT_REPEATS = 1


class ConnectionLostError(Exception):
    """Stop a request before aiohttp opens another connection for it."""


class NotAllowedError(Exception):
    """Stop a request whose permission ended before its first byte."""


class TooLargeError(Exception):
    """Stop reading a body above the limit."""


#: What the socket module calls address info.
AddressInfo: TypeAlias = tuple[
    int | socket.AddressFamily,
    int | socket.SocketKind,
    int,
    str,
    tuple[Any, ...],
]

#: What an exchange raises.
FAILURES = (
    aiohttp.ClientError,
    OSError,
    # A malformed address.
    ValueError,
    ConnectionLostError,
    NotAllowedError,
    TooLargeError,
)


@attrs.define(kw_only=True)
class WireRequest:
    """Hold one HTTP request, and how far it came."""

    method: str
    path: str
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes = b''
    may_open: bool
    is_allowed: Callable[[], bool] = always
    connected: asyncio.Event = attrs.field(factory=asyncio.Event)
    sent: bool = False


@attrs.frozen
class WireReply:
    """Hold one complete HTTP reply."""

    status: int
    headers: Mapping[str, str]
    body: bytes


def new_session(root: str, idle_seconds: float) -> aiohttp.ClientSession:
    """Create a session without time limits; callers cancel instead."""
    hooks = aiohttp.TraceConfig()
    hooks.on_connection_create_start.append(_check_may_open)
    hooks.on_connection_create_end.append(_note_connected)
    hooks.on_connection_reuseconn.append(_note_connected)
    hooks.on_request_headers_sent.append(_note_headers)
    hooks.on_request_chunk_sent.append(_note_chunk)
    return aiohttp.ClientSession(
        root,
        connector=aiohttp.TCPConnector(limit=1, keepalive_timeout=idle_seconds),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=None),
        trace_configs=[hooks],
    )


async def exchange(
    session: aiohttp.ClientSession, request: WireRequest, max_bytes: int
) -> WireReply:
    """Send a request and read the whole reply, or raise a failure."""
    async with session.request(
        request.method,
        request.path,
        headers=request.headers,
        data=request.body or None,
        # A redirect would send a submit a second time.
        allow_redirects=False,
        trace_request_ctx=request,
    ) as response:
        body = await _read(response, max_bytes)
        return WireReply(response.status, response.headers, body)


async def end_exchange(
    session: aiohttp.ClientSession,
    request: WireRequest,
    task: asyncio.Task[WireReply],
) -> None:
    """End an exchange that is given up, and close its session.

    A connect is not cancelled: under uvloop the socket would be closed twice,
    the second time perhaps as that of another connection.
    """
    connected = asyncio.ensure_future(request.connected.wait())
    await asyncio.wait((task, connected), return_when=asyncio.FIRST_COMPLETED)
    connected.cancel()
    task.cancel()
    await asyncio.gather(task, connected, return_exceptions=True)
    await session.close()


def _new_socket(address: AddressInfo) -> socket.socket:
    family, kind, protocol, *_ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_SYNCNT, _CONNECT_REPEATS)
    return sock


async def _check_may_open(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    event: aiohttp.TraceConnectionCreateStartParams,
) -> None:
    """Keep work off a new connection whose server is not yet known.

    The server may have restarted, and a restarted server is cold.
    """
    if not context.trace_request_ctx.may_open:
        raise ConnectionLostError


async def _note_connected(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    event: object,
) -> None:
    context.trace_request_ctx.connected.set()


async def _note_headers(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    event: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    """Note a request without a body, which is written at once."""
    if not context.trace_request_ctx.body:
        _begin(context.trace_request_ctx)


async def _note_chunk(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    event: aiohttp.TraceRequestChunkSentParams,
) -> None:
    """Note the body, with whose first bytes the headers are written.

    That happens in a later step of the event loop than the call, and the
    process may have been paused in between.
    """
    _begin(context.trace_request_ctx)


def _begin(request: WireRequest) -> None:
    if not request.sent and not request.is_allowed():
        raise NotAllowedError
    request.sent = True


async def _read(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    body = bytearray()
    async for chunk in response.content.iter_chunked(_READ_BYTES):
        body.extend(chunk)
        if len(body) > max_bytes:
            raise TooLargeError
    return bytes(body)
