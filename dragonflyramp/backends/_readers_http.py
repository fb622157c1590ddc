"""Parse one HTTP/1.1 reply from the bytes of a connection."""

import asyncio
from collections.abc import Callable, Sequence

import attrs
import httptools

from dragonflyramp.backends._exchanges import OutcomeKind
from dragonflyramp.backends._reply_matchers import (
    has_second_reply,
    is_cut_by_status_line,
)
from dragonflyramp.backends._reply_memory import ReplyMemory
from dragonflyramp.messages import Headers
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
_FIRST_STATUS = 100
_FIRST_FINAL_STATUS = 200
_NO_BODY_STATUSES = (204, 304)
#: Limit on late copies of earlier replies before the reply.
_MAX_COPIES = 8
#: Received bytes that are kept to find a status line within a body.
_CONTEXT_BYTES = 16


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


def _is_no_copy(raw: RawReply) -> bool:
    """Return False, for connections that carry one request."""
    return False


class _LimitError(Exception):
    """Raised in a callback of the parser to end a reply as garbled."""


@attrs.define(eq=False)
class _PartialReply:
    """Reply of which bytes may still follow."""

    status: int = 0
    headers: list[tuple[str, str]] = attrs.field(factory=list)
    #: Memory of the headers so far.
    header_bytes: int = 0
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
        return self.header_bytes + self.body_bytes

    def drop_headers(self) -> None:
        """Drop the headers of an interim reply."""
        self.headers.clear()
        self.header_bytes = 0

    def freeze(self) -> RawReply:
        """Return the reply, which shares nothing with this one."""
        return RawReply(
            status=self.status,
            headers=tuple(self.headers),
            body=b''.join(self.pieces),
            is_keep_alive=self.is_keep_alive,
            is_close_delimited=self.is_close_delimited,
        )


class _ReplyBuilder:
    """Build the first final reply that is no copy of an earlier one."""

    def __init__(self, *, is_head: bool, is_copy: IsCopy) -> None:
        """Start with an empty reply; a reply to HEAD has no body."""
        self.partial = _PartialReply()
        #: None until the reply is complete.
        self.raw: RawReply | None = None
        #: Bytes followed the complete reply, or the reply is invalid.
        self.has_unexpected_bytes = False
        #: None once the reply has ended.
        self.parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
        self.copy_count = 0
        self._parser_call_count = 0
        self._is_head = is_head
        self._is_copy = is_copy

    def on_message_begin(self) -> None:
        """Mark bytes of a second reply as unexpected."""
        self._count_parser_call()
        self.has_unexpected_bytes = self.raw is not None

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: WPS110
        """Add a header of the reply; ignore a trailer."""
        self._count_parser_call()
        if self.partial.has_head or self.raw is not None:
            return
        if len(self.partial.headers) >= _MAX_HEADERS:
            raise _LimitError
        self.partial.headers.append(
            (name.decode('latin-1'), value.decode('latin-1'))
        )
        self.partial.header_bytes += len(name) + len(value) + _HEADER_BYTES

    def on_headers_complete(self) -> None:
        """Determine how the body ends."""
        if self.raw is not None:
            return
        assert self.parser is not None
        partial = self.partial
        partial.status = self.parser.get_status_code()
        if partial.status < _FIRST_STATUS:
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
        self._count_parser_call()
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
            self.partial = _PartialReply()
        else:
            self.raw = raw

    def _count_parser_call(self) -> None:
        self._parser_call_count += 1
        max_calls = (
            _MAX_PARSER_CALLS + self.partial.body_bytes // _MIN_PIECE_BYTES
        )
        if self._parser_call_count > max_calls:
            raise _LimitError


class ReplyReader:
    """Read one reply incrementally; `outcome` is set at its end.

    What it holds is handed on once, frozen, as the outcome.
    """

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
        #: The complete reply, or why there is none.
        self.outcome: asyncio.Future[RawReply | OutcomeKind] = (
            loop.create_future()
        )
        #: Kind of the outcome; None before the end.
        self.kind: OutcomeKind | None = None
        #: Whether the connection carried bytes that belong to no reply.
        self.has_unexpected_bytes = False
        #: None once the reply has ended.
        self._builder: _ReplyBuilder | None = _ReplyBuilder(
            is_head=is_head, is_copy=is_copy
        )
        #: Bytes since the last copy.
        self._received_bytes = 0

    def feed(self, received: bytes) -> None:
        """Parse received bytes; the end of the reply sets the outcome.

        A reply that passes a limit is garbled.
        """
        builder = self._builder
        if builder is None:
            return
        earlier = builder.partial
        earlier_count = len(earlier.pieces)
        self._parse(builder, received)
        if builder.raw:
            is_mixed = builder.has_unexpected_bytes and _is_mixed(
                builder.raw, earlier.pieces[:earlier_count], received
            )
            self.finish(OutcomeKind.garbled if is_mixed else builder.raw)
        elif builder.has_unexpected_bytes:
            self.finish(OutcomeKind.garbled)
        else:
            self._hold(builder)

    def finish_at_eof(self) -> None:
        """Complete a body without a length at the end of the stream."""
        if self._builder is not None:
            partial = self._builder.partial
            if partial.is_close_delimited:
                raw = partial.freeze()
                is_mixed = has_second_reply(raw.body)
                self.finish(OutcomeKind.garbled if is_mixed else raw)

    def finish(self, outcome: RawReply | OutcomeKind) -> None:
        """Set the outcome and drop what is held; a later one is ignored."""
        self._memory.release(self)
        builder = self._builder
        if builder is None:
            return
        # The parser refers to its callbacks, and may hold part of a header:
        # with it, both would stay until the next garbage collection.
        builder.parser = None
        self._builder = None
        self.kind = OutcomeKind.replied
        if isinstance(outcome, OutcomeKind):
            self.kind = outcome
        # The task that waits for it may have been cancelled.
        if not self.outcome.done():
            self.outcome.set_result(outcome)

    def discard(self) -> None:
        """Give up the reply, and free its memory."""
        self.finish(OutcomeKind.garbled)

    def _hold(self, builder: _ReplyBuilder) -> None:
        """Keep a reply of which bytes may follow, within its limits."""
        if builder.copy_count > _MAX_COPIES or _is_too_large(
            self._received_bytes, builder.partial
        ):
            counters.add('backend_faults', 'too_large')
            self.finish(OutcomeKind.garbled)
        else:
            self._memory.hold(self, builder.partial.held_bytes)

    def _parse(self, builder: _ReplyBuilder, received: bytes) -> None:
        assert builder.parser is not None
        self._received_bytes += len(received)
        copy_count = builder.copy_count
        try:
            builder.parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            builder.has_unexpected_bytes = True
        self.has_unexpected_bytes = builder.has_unexpected_bytes
        if builder.copy_count > copy_count:
            self._received_bytes = 0


def _is_mixed(
    raw: RawReply, earlier_pieces: Sequence[bytes], received: bytes
) -> bool:
    """Return whether the bytes after a reply begin within its body.

    A status line that was sent into the body may begin in earlier bytes.
    """
    stream = b''.join(earlier_pieces)[-_CONTEXT_BYTES:] + received
    return is_cut_by_status_line(raw.body, stream)


def _is_too_large(received_bytes: int, partial: _PartialReply) -> bool:
    """Return whether a reply passes the limits on its bytes."""
    max_framing_bytes = _MAX_HEAD_BYTES
    if partial.has_head:
        max_framing_bytes += _MAX_HEAD_BYTES + partial.body_bytes
    return (
        received_bytes > _MAX_REPLY_BYTES
        or received_bytes - partial.body_bytes > max_framing_bytes
    )


def _has_length(partial: _PartialReply) -> bool:
    names = {name.lower() for name, _ in partial.headers}
    return bool(names & {'content-length', 'transfer-encoding'})
