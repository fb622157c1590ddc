"""Build one HTTP/1.1 reply from what its parser reports."""

import re
from collections.abc import Callable

import attrs
import httptools

from dragonflyramp.messages import Headers
from dragonflyramp.metrics import counters

_MAX_HEADERS = 256
#: Limit on the calls from the parser in a reply: one for each header, trailer,
#: interim reply and piece of the body. Other requests wait meanwhile. Larger
#: bodies may take one more for each `_MIN_PIECE_BYTES`.
_MAX_PARSER_CALLS = 2048
_MIN_PIECE_BYTES = 64
#: Memory of a header besides its text.
_HEADER_BYTES = 200
_FIRST_STATUS = 100
_FIRST_FINAL_STATUS = 200
_NO_BODY_STATUSES = (204, 304)
#: Status line that ends a line which began with the head of a cut reply, in a
#: version that the parser accepts, also with status and reason exchanged.
_STATUS_LINE_PATTERN = re.compile(
    rb'HTTP/(?:0\.9|1\.[01]|2\.0) (?:\d{3}(?:\s|\Z)|[A-Za-z]{1,40}+ \d{3}\s?\Z)'
)
_STATUS_LINE_START = b'HTTP/'
_LENGTH_NAMES = ('content-length', 'transfer-encoding')


@attrs.frozen(kw_only=True)
class RawReply:
    """Complete reply whose headers and body are not decoded yet."""

    status: int
    headers: Headers
    body: bytes
    is_keep_alive: bool
    #: The body has no length and ended when the connection closed.
    is_close_delimited: bool


#: Returns whether a reply is a late copy of one to an earlier request.
IsCopy = Callable[[RawReply], bool]


def is_no_copy(raw: RawReply) -> bool:
    """Return False, for connections that carry one request."""
    return False


class _LimitError(Exception):
    """Raised in a callback of the parser to end a reply as garbled."""


@attrs.define(eq=False)
class PartialReply:
    """Reply of which bytes may still follow."""

    status: int = 0
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    #: The body as received. One growing buffer would be copied as it grows, and
    #: leave gaps in the memory that other large bodies do not fill.
    pieces: list[bytes] = attrs.field(factory=list)
    body_bytes: int = 0
    has_head: bool = False
    is_keep_alive: bool = False
    #: The body has no length and ends when the connection closes.
    is_close_delimited: bool = False

    @property
    def held_bytes(self) -> int:
        """Return the memory that the reply takes."""
        header_bytes = sum(
            len(name) + len(text) + _HEADER_BYTES for name, text in self.headers
        )
        return header_bytes + self.body_bytes

    def drop_headers(self) -> None:
        """Drop the headers of an interim reply."""
        self.headers.clear()

    def freeze(self) -> RawReply:
        """Return the reply, which shares nothing with this one."""
        return RawReply(
            status=self.status,
            headers=tuple(self.headers),
            body=b''.join(self.pieces),
            is_keep_alive=self.is_keep_alive,
            is_close_delimited=self.is_close_delimited,
        )


class ReplyBuilder:
    """Build the first final reply that is no copy of an earlier one."""

    def __init__(self, *, is_head: bool, is_copy: IsCopy) -> None:
        """Start with an empty reply; a reply to HEAD has no body."""
        self.partial = PartialReply()
        #: None until the reply is complete.
        self.raw: RawReply | None = None
        #: Bytes followed the complete reply, or the reply is invalid.
        self.has_unexpected_bytes = False
        #: None once the reply has ended.
        self.parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
        self.copy_count = 0
        #: Calls from the parser in the reply.
        self._call_count = 0
        self._reason = b''
        self._is_head = is_head
        self._is_copy = is_copy

    def on_message_begin(self) -> None:
        """Mark bytes of a second reply as unexpected."""
        self._call_count += 1
        if self._call_count > _MAX_PARSER_CALLS:
            _check_calls(self._call_count, self.partial.body_bytes)
        self.has_unexpected_bytes = self.raw is not None
        self._reason = b''

    def on_status(self, reason: bytes) -> None:
        """Add a piece of the reason phrase."""
        self._call_count += 1
        if self._call_count > _MAX_PARSER_CALLS:
            _check_calls(self._call_count, self.partial.body_bytes)
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Add a header of the reply; ignore a trailer."""
        self._call_count += 1
        if self._call_count > _MAX_PARSER_CALLS:
            _check_calls(self._call_count, self.partial.body_bytes)
        if self.partial.has_head or self.raw is not None:
            return
        headers = self.partial.headers
        if len(headers) >= _MAX_HEADERS or (
            _STATUS_LINE_START in value and _is_cut_off(value)
        ):
            raise _LimitError
        headers.append((name.decode('latin-1'), value.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Determine how the body ends."""
        if self.raw is not None:
            return
        assert self.parser is not None
        partial = self.partial
        partial.status = self.parser.get_status_code()
        if partial.status < _FIRST_STATUS or _is_cut_off(self._reason):
            raise _LimitError
        partial.has_head = partial.status >= _FIRST_FINAL_STATUS
        has_body = not (
            self._is_head
            or partial.status in _NO_BODY_STATUSES
            or partial.status < _FIRST_FINAL_STATUS
        )
        partial.is_close_delimited = has_body and not _has_length(partial)
        partial.is_keep_alive = (
            self.parser.should_keep_alive() and not partial.is_close_delimited
        )
        if self._is_head and partial.has_head:
            self.raw = partial.freeze()

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body."""
        self._call_count += 1
        if self._call_count > _MAX_PARSER_CALLS:
            _check_calls(self._call_count, self.partial.body_bytes)
        if self.raw is None:
            self.partial.pieces.append(body)
            self.partial.body_bytes += len(body)
        else:
            self.has_unexpected_bytes = True

    def on_message_complete(self) -> None:
        """Complete the reply, or skip an interim one or a copy."""
        if self.raw is not None:
            return
        if self.partial.status < _FIRST_FINAL_STATUS:
            self.partial.drop_headers()
            return
        raw = self.partial.freeze()
        if self._is_copy(raw):
            counters.add('backend_faults', 'late_copy')
            self.copy_count += 1
            self.partial = PartialReply()
        else:
            self.raw = raw


def _check_calls(call_count: int, body_bytes: int) -> None:
    """Raise an error if a body of this size allows no more calls."""
    if call_count > _MAX_PARSER_CALLS + body_bytes // _MIN_PIECE_BYTES:
        raise _LimitError


def _has_length(partial: PartialReply) -> bool:
    for name, _ in partial.headers:
        if name.lower() in _LENGTH_NAMES:
            return True
    return False


def _is_cut_off(line: bytes) -> bool:
    """Return whether the head of another reply begins within a line.

    A reply that was cut in its head would lend it its status and headers.
    """
    return bool(_STATUS_LINE_PATTERN.search(line))
