"""Parse one HTTP/1.1 reply from the bytes of a connection."""

import asyncio
from collections.abc import Callable

import attrs
import httptools

from dragonflyramp.backends._exchanges import OutcomeKind
from dragonflyramp.backends._reply_matchers import is_cut_by_status_line
from dragonflyramp.backends._reply_memory import ReplyMemory
from dragonflyramp.metrics import counters

#: Limit on all bytes of a reply, with interim ones and the framing of chunks.
#: Those of backend servers have a few kilobytes.
_MAX_REPLY_BYTES = 4 * 1024 * 1024
#: Limit on all bytes before the body, with interim replies. The framing of the
#: body may have as many, and one byte for each of the body.
_MAX_HEAD_BYTES = 65_536
_MAX_HEADERS = 256
#: Limit on the calls from the parser in a reply: one for each header, trailer,
#: interim reply and piece of the body. Other requests wait meanwhile. Larger
#: bodies may take one more for each `_MIN_PIECE_BYTES`.
_MAX_PARSER_CALLS = 2048
_MIN_PIECE_BYTES = 64
#: Memory of a header besides its text.
_HEADER_BYTES = 200
_FIRST_FINAL_STATUS = 200
_NO_BODY_STATUSES = (204, 304)
#: Limit on late copies of earlier replies before the reply.
_MAX_COPIES = 8
#: Received bytes that are kept to find a status line within a body.
_CONTEXT_BYTES = 16


@attrs.define(eq=False)
class RawReply:
    """Parsed reply whose headers and body are not decoded yet."""

    status: int = 0
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    #: The body as received. One growing buffer would be copied as it grows, and
    #: leave gaps in the memory that other large bodies do not fill.
    pieces: list[bytes] = attrs.field(factory=list)
    body_bytes: int = 0
    is_keep_alive: bool = False
    #: The body has no length and ends when the connection closes.
    is_close_delimited: bool = False
    is_complete: bool = False
    #: Bytes followed the complete reply, or the reply is invalid.
    has_unexpected_bytes: bool = False

    @property
    def body(self) -> bytes:
        """Return the body so far."""
        return b''.join(self.pieces)

    def free(self) -> None:
        """Drop the headers and the body."""
        self.headers.clear()
        self.pieces.clear()


#: Returns whether a reply is a late copy of one to an earlier request.
IsCopy = Callable[[RawReply], bool]


def _is_no_copy(raw: RawReply) -> bool:
    """Return False, for connections that carry one request."""
    return False


class _LimitError(Exception):
    """Raised in a callback of the parser to end a reply."""


class _ReplyBuilder:
    """Build the first final reply that is no copy of an earlier one."""

    def __init__(self, *, is_head: bool, is_copy: IsCopy) -> None:
        """Start with an empty reply; a reply to HEAD has no body."""
        self.raw = RawReply()
        #: None once the reply has ended.
        self.parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
        self.has_head = False
        self.copy_count = 0
        #: Memory of the headers so far.
        self.header_bytes = 0
        self._parser_call_count = 0
        self._is_head = is_head
        self._is_copy = is_copy

    def on_message_begin(self) -> None:
        """Mark bytes of a second reply as unexpected."""
        self._count_parser_call()
        self.raw.has_unexpected_bytes = self.raw.is_complete

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Add a header of the reply; ignore a trailer."""
        self._count_parser_call()
        if self.has_head or self.raw.is_complete:
            return
        if len(self.raw.headers) >= _MAX_HEADERS:
            raise _LimitError
        self.raw.headers.append(
            (name.decode('latin-1'), value.decode('latin-1'))
        )
        self.header_bytes += len(name) + len(value) + _HEADER_BYTES

    def on_headers_complete(self) -> None:
        """Determine how the body ends."""
        raw = self.raw
        if raw.is_complete:
            return
        assert self.parser is not None
        raw.status = self.parser.get_status_code()
        self.has_head = raw.status >= _FIRST_FINAL_STATUS
        has_body = not (
            self._is_head
            or raw.status in _NO_BODY_STATUSES
            or raw.status < _FIRST_FINAL_STATUS
        )
        raw.is_close_delimited = has_body and not _has_length(raw)
        raw.is_keep_alive = self.parser.should_keep_alive()
        raw.is_keep_alive = raw.is_keep_alive and not raw.is_close_delimited
        raw.is_complete = self._is_head and self.has_head

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body."""
        self._count_parser_call()
        if not self.raw.is_complete:
            self.raw.pieces.append(body)
            self.raw.body_bytes += len(body)

    def on_message_complete(self) -> None:
        """Complete the reply, or skip an interim one or a copy."""
        if self.raw.status < _FIRST_FINAL_STATUS:
            self.raw.headers.clear()
            self.header_bytes = 0
        elif self.raw.is_complete or not self._is_copy(self.raw):
            self.raw.is_complete = True
        else:
            counters.add('backend_faults', 'late_copy')
            self.copy_count += 1
            self.raw = RawReply()
            self.has_head = False
            self.header_bytes = 0

    def _count_parser_call(self) -> None:
        self._parser_call_count += 1
        max_calls = _MAX_PARSER_CALLS + self.raw.body_bytes // _MIN_PIECE_BYTES
        if self._parser_call_count > max_calls:
            raise _LimitError


class ReplyReader:
    """Read one reply incrementally; `outcome_kind` is set at its end."""

    def __init__(
        self,
        *,
        is_head: bool,
        is_copy: IsCopy = _is_no_copy,
        memory: ReplyMemory | None = None,
    ) -> None:
        """Create the reader; a reply to HEAD has no body.

        Replies for which `is_copy` returns True are skipped.
        """
        self._memory = memory or ReplyMemory()
        loop = asyncio.get_running_loop()
        self.outcome_kind: asyncio.Future[OutcomeKind] = loop.create_future()
        self._builder = _ReplyBuilder(is_head=is_head, is_copy=is_copy)
        #: Bytes since the last copy.
        self._received_bytes = 0

    @property
    def raw(self) -> RawReply:
        """Return the reply as received so far."""
        return self._builder.raw

    def feed(self, received: bytes) -> None:
        """Parse received bytes; the end of the reply sets the outcome kind.

        A reply that passes a limit is garbled.
        """
        parser = self._builder.parser
        if parser is None:
            return
        self._received_bytes += len(received)
        copy_count = self._builder.copy_count
        earlier_pieces = len(self.raw.pieces)
        try:
            parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.raw.has_unexpected_bytes = True
        if self._builder.copy_count > copy_count:
            self._received_bytes = 0
        if self.raw.is_complete:
            self.finish(self._complete_kind(earlier_pieces, received))
        elif self.raw.has_unexpected_bytes:
            self.finish(OutcomeKind.garbled)
        elif self._builder.copy_count > _MAX_COPIES or _is_too_large(
            self._received_bytes,
            self.raw.body_bytes,
            has_head=self._builder.has_head,
        ):
            counters.add('backend_faults', 'too_large')
            self.finish(OutcomeKind.garbled)
        else:
            self._memory.hold(self, _held_bytes(self._builder))

    def finish_at_eof(self) -> None:
        """Complete a body without a length at the end of the stream."""
        if self.raw.is_close_delimited:
            self.raw.is_complete = True
            self.finish(OutcomeKind.replied)

    def finish(self, kind: OutcomeKind) -> None:
        """Set the outcome kind; a later one is ignored."""
        self._memory.release(self)
        # The parser refers to its callbacks, and may hold part of a header:
        # with it, both would stay until the next garbage collection.
        self._builder.parser = None
        if kind is not OutcomeKind.replied:
            self.raw.free()
        if not self.outcome_kind.done():
            self.outcome_kind.set_result(kind)

    def discard(self) -> None:
        """Give up the reply, and free its memory."""
        self.finish(OutcomeKind.garbled)

    def _complete_kind(
        self, earlier_pieces: int, received: bytes
    ) -> OutcomeKind:
        """Return the kind of a complete reply that ends in received bytes.

        Bytes after a reply belong to no request. If they begin within its body,
        the body is a mix of two replies.
        """
        if not self.raw.has_unexpected_bytes:
            return OutcomeKind.replied
        # A status line that was sent into the body may begin in earlier bytes.
        earlier = b''.join(self.raw.pieces[:earlier_pieces])
        stream = earlier[-_CONTEXT_BYTES:] + received
        is_mixed = is_cut_by_status_line(self.raw.body, stream)
        return OutcomeKind.garbled if is_mixed else OutcomeKind.replied


def _held_bytes(builder: _ReplyBuilder) -> int:
    return builder.header_bytes + builder.raw.body_bytes


def _is_too_large(
    received_bytes: int, body_bytes: int, *, has_head: bool
) -> bool:
    """Return whether a reply passes the limits on its bytes."""
    max_framing_bytes = _MAX_HEAD_BYTES
    if has_head:
        max_framing_bytes += _MAX_HEAD_BYTES + body_bytes
    return (
        received_bytes > _MAX_REPLY_BYTES
        or received_bytes - body_bytes > max_framing_bytes
    )


def _has_length(raw: RawReply) -> bool:
    names = {name.lower() for name, _ in raw.headers}
    return bool(names & {'content-length', 'transfer-encoding'})
