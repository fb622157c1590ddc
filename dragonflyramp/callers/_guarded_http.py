"""Guard connections of aiohttp against callers that keep to no limit."""

import asyncio
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any, cast

from aiohttp import StreamReader, web
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import LineTooLong
from aiohttp.web_protocol import RequestHandler, _ErrInfo  # noqa: WPS450

from dragonflyramp.callers._connection_guards import (
    CloseReason,
    ConnectionGuard,
    GuardedConnection,
)
from dragonflyramp.routes import RequestLimits

#: Limit on the request line, in addition to that on all headers.
_MAX_LINE_BYTES = 16_384
#: Limit on the number of headers of a request, also on those after a body.
_MAX_HEADER_COUNT = 128
#: Estimate of the memory that a header takes beside its bytes.
_BYTES_PER_HEADER = 300
#: Bytes on the wire for each byte of a body in chunks: a chunk of one byte has
#: five bytes of framing.
_FRAMING_FACTOR = 9
_FRAMING_SLACK_BYTES = 65_536
#: After a refusal, bytes are dropped up to both limits. A connection that is
#: closed with unread bytes is reset, and the caller may not see the refusal.
_MAX_DROPPED_BYTES = 262_144
_LINGER_SECONDS = 1.0
#: Answers up to this size are not counted: a connection holds two at most.
_SMALL_ANSWER_BYTES = 4096
#: aiohttp closes idle connections itself after this time; the guard is earlier.
_KEEP_ALIVE_SECONDS = 86_400.0
_STATUSES = {  # noqa: WPS407 - never changed
    CloseReason.header_timeout: HTTPStatus.REQUEST_TIMEOUT,
    CloseReason.head_too_large: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    CloseReason.malformed: HTTPStatus.BAD_REQUEST,
}
#: Bytes between two requests that begin none.
_LINE_END_BYTES = b'\r\n'
#: `: ` and a line end.
_SEPARATOR_BYTES = 4


class BodyTooLargeError(web.RequestPayloadError):
    """The framing of a body is longer than any body that is allowed."""


class GuardedRequestHandler(RequestHandler):  # noqa: WPS214 - as in aiohttp
    """Count and bound the bytes of a connection before they are parsed."""

    def __init__(
        self, manager: web.Server, guard: ConnectionGuard, **kwargs: Any
    ) -> None:
        """Create the handler of one connection."""
        super().__init__(
            manager,
            **{
                **kwargs,
                'keepalive_timeout': _KEEP_ALIVE_SECONDS,
                'lingering_time': _LINGER_SECONDS,
                'max_line_size': _MAX_LINE_BYTES,
                'max_field_size': guard.limits.max_held_bytes,
                'max_headers': _MAX_HEADER_COUNT,
            },
        )
        self._guard = guard
        self._connection: GuardedConnection | None = None
        #: Bytes of the head that is incomplete, and of the body.
        self._head_bytes = 0
        self._body_bytes = 0
        #: Body that is incomplete.
        self._body: StreamReader | None = None
        self._is_refused = False
        self._dropped_bytes = 0
        #: Monotonic time at which the event loop found the last bytes. With
        #: uvloop, it is that of the poll, before the callbacks that ran first.
        self.polled_at_seconds: float = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept a connection, or close it if there is no room."""
        # Transports of uvloop are no subclasses of asyncio's.
        stream = cast(asyncio.Transport, transport)
        self._connection = self._guard.open(self._discard)
        if self._connection is None:
            self._is_refused = True
            stream.abort()
            return
        # Answers that wait are counted; the default keeps 64 KB uncounted.
        stream.set_write_buffer_limits(high=_SMALL_ANSWER_BYTES)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        if self._connection is not None:
            self._guard.close(self._connection)
        super().connection_lost(exc)

    def data_received(
        self,
        data: bytes,  # noqa: WPS110 - as in aiohttp
    ) -> None:
        """Pass on bytes to the parser as far as the limits allow."""
        if not data:
            # aiohttp resumes parsing what it keeps.
            if not self._is_refused:
                self._feed(data)
            return
        self.polled_at_seconds = self._loop.time()
        limits = self._guard.request_limits()
        rest = data
        while rest and not self._is_refused:
            if self._body is not None:
                self._receive_body(rest, self._body)
                break
            room = max(1, self._head_room(limits))
            self._receive_head(rest[:room], limits)
            rest = rest[room:]
        if self._is_refused:
            self._drop(len(data))

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send an answer, and count it until its caller has read it."""
        connection = self._connection
        assert connection is not None
        body = getattr(resp, 'body', None)
        if isinstance(body, bytes) and len(body) > _SMALL_ANSWER_BYTES:
            self._guard.hold_answer(connection, len(body))
        try:  # noqa: WPS501 - also when the handler is cancelled
            return await super().finish_response(request, resp, start_time)
        finally:
            self._guard.release_answer(connection)
            self._end_request(connection, request, resp)

    @property
    def has_answered(self) -> bool:
        """Return whether the connection has carried an earlier request."""
        return self._request_count > 1

    def release_body(self, byte_count: int) -> None:
        """Count bytes of a body that a handler has taken."""
        if self._connection is not None:
            self._guard.release(self._connection, byte_count)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a malformed request without an error page or a log line."""
        if isinstance(exc, BodyTooLargeError):
            status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        elif isinstance(exc, web.RequestPayloadError):
            status = HTTPStatus.BAD_REQUEST
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return super().handle_error(request, status, exc, message)
        response = web.Response(status=status)
        response.force_close()
        return response

    def log_exception(self, *args: Any, **kwargs: Any) -> None:
        """Log unexpected errors only."""
        if not isinstance(kwargs.get('exc_info'), web.RequestPayloadError):
            super().log_exception(*args, **kwargs)

    def _end_request(
        self,
        connection: GuardedConnection,
        request: web.BaseRequest,
        response: web.StreamResponse,
    ) -> None:
        if isinstance(response, web.Response):
            # aiohttp keeps the last response of an idle connection.
            response.body = None
        if not self._messages:
            self._guard.end_request(connection, connection.held_bytes)
            return
        raw_headers = request.raw_headers
        held_bytes = len(raw_headers) * _BYTES_PER_HEADER
        self._guard.release(connection, held_bytes + _count_bytes(raw_headers))
        last_body = self._messages[-1][1]
        # aiohttp parses what follows the offer of an upgrade by itself.
        if self._body is None and not last_body.is_eof():
            self._body = last_body

    def _head_room(self, limits: RequestLimits) -> int:
        """Return how many bytes of a head the limits still allow."""
        return limits.max_header_bytes + _MAX_LINE_BYTES - self._head_bytes

    def _receive_body(self, piece: bytes, body: StreamReader) -> None:
        connection = self._connection
        assert connection is not None
        self._body_bytes += len(piece)
        if not self._guard.hold(connection, len(piece)):
            return
        self._feed(piece)
        limit = body.total_bytes * _FRAMING_FACTOR + _FRAMING_SLACK_BYTES
        if self._body is body and not body.is_eof():
            # Bytes that the paused parser keeps are not decoded yet.
            if self._body_bytes > limit and not self._reading_paused:
                self._refuse_body(CloseReason.body_too_large)

    def _receive_head(self, piece: bytes, limits: RequestLimits) -> None:
        connection = self._connection
        assert connection is not None
        self._head_bytes += len(piece)
        size = len(piece) + piece.count(b'\n') * _BYTES_PER_HEADER
        if not self._guard.hold(connection, size):
            return
        self._feed(piece)
        # A paused parser keeps whole requests, too.
        if not self._head_bytes or self._is_refused or self._buffer_paused:
            return
        if self._head_room(limits) <= 0:
            self._refuse(CloseReason.head_too_large)
        elif piece.lstrip(_LINE_END_BYTES):
            self._guard.begin_head(connection)

    def _feed(self, piece: bytes) -> None:
        """Parse bytes, and notice heads and bodies that are complete."""
        request_count = self._request_count
        super().data_received(piece)  # noqa: WPS613 - skips the guard
        if self._request_count != request_count:
            self._accept_head(*self._messages[-1])
        if self._body is not None and self._body.is_eof():
            self._body = None
            if self._connection is not None:
                self._guard.end_body(self._connection)

    def _accept_head(
        self, message: RawRequestMessage | _ErrInfo, body: StreamReader
    ) -> None:
        assert self._connection is not None
        reason = self._find_fault(message)
        if reason is not None:
            # The message of a parser's error holds all bytes that were read.
            self._messages.pop()
            if self._body is None:
                self._refuse(reason)
            else:
                self._refuse_body(reason)
            return
        self._head_bytes = 0
        self._body_bytes = 0
        self._body = None if body.is_eof() else body
        self._guard.end_head(
            self._connection, has_whole_body=self._body is None
        )

    def _find_fault(
        self, message: RawRequestMessage | _ErrInfo
    ) -> CloseReason | None:
        if isinstance(message, _ErrInfo):
            is_too_large = isinstance(message.exc, LineTooLong)
            return (
                CloseReason.head_too_large
                if is_too_large
                else CloseReason.malformed
            )
        max_header_bytes = self._guard.request_limits().max_header_bytes
        is_too_large = _count_bytes(message.raw_headers) > max_header_bytes
        return CloseReason.head_too_large if is_too_large else None

    def _refuse(self, reason: CloseReason) -> None:
        """Answer after the requests that are complete, then close."""
        connection = self._connection
        if connection is None or self._is_refused:
            return
        self._is_refused = True
        self._guard.count(connection.phase, reason)
        self._guard.end_head(connection, has_whole_body=True)
        # aiohttp waits for the end of this body, which has none, for as long as
        # it lingers.
        self._body = StreamReader(self, _MAX_LINE_BYTES, loop=self._loop)
        error = _ErrInfo(_STATUSES[reason], ConnectionError(reason.value), '')
        self._messages.append((error, self._body))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _refuse_body(self, reason: CloseReason) -> None:
        """Let the request fail whose body is not accepted."""
        assert self._connection is not None
        self._is_refused = True
        self._guard.count(self._connection.phase, reason)
        error: web.RequestPayloadError = web.RequestPayloadError(reason.value)
        if reason is CloseReason.body_too_large:
            error = BodyTooLargeError(reason.value)
        if self._body is not None:
            self._body.set_exception(error)

    def _drop(self, byte_count: int) -> None:
        """Drop what follows a refusal, and stop reading if it goes on."""
        self._dropped_bytes += byte_count
        if self._dropped_bytes > _MAX_DROPPED_BYTES:
            if self.transport is not None:
                self.transport.pause_reading()
            if self._body is not None and self._body.exception() is None:
                self._body.feed_eof()

    def _discard(self, reason: CloseReason) -> None:
        """Close the connection, or refuse its incomplete request."""
        if reason is CloseReason.header_timeout:
            self._refuse(reason)
            return
        self._is_refused = True
        if self.transport is None:
            return
        if reason is CloseReason.idle:
            self.force_close()
        else:
            self.transport.abort()


def _count_bytes(raw_headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Return the length of headers with their separators and line ends."""
    return sum(
        len(name) + len(text) + _SEPARATOR_BYTES for name, text in raw_headers
    )
