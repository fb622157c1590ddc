"""Read one HTTP/1.1 reply from the bytes of a connection."""

import asyncio
from collections.abc import Sequence

import httptools

from dragonflyramp.metrics import counters
from dragonflyramp.replica_connections._exchanges import OutcomeKind
from dragonflyramp.replica_connections._reply_builders_http import (
    IsCopy,
    PartialReply,
    RawReply,
    ReplyBuilder,
    is_no_copy,
)
from dragonflyramp.replica_connections._reply_matchers import (
    has_second_reply,
    is_cut_by_status_line,
)
from dragonflyramp.replica_connections._reply_memory import ReplyMemory

#: Limit on all bytes of a reply, with interim ones and the framing of chunks.
#: Those of backend servers have a few kilobytes.
_MAX_REPLY_BYTES = 4 * 1024 * 1024
#: Limit on all bytes before the body, with interim replies. The framing of the
#: body may have as many, and one byte for each of the body.
_MAX_HEAD_BYTES = 65_536
#: Limit on late copies of earlier replies before the reply.
_MAX_COPIES = 8
#: Received bytes that are kept to find a status line within a body.
_CONTEXT_BYTES = 16


class ReplyReader:
    """Read one reply incrementally; `outcome` is set at its end.

    What it holds is handed on once, frozen, as the outcome.
    """

    def __init__(
        self,
        *,
        is_head: bool,
        is_copy: IsCopy = is_no_copy,
        memory: ReplyMemory | None = None,
        outcome: asyncio.Future[RawReply | OutcomeKind] | None = None,
    ) -> None:
        """Create the reader; a reply to HEAD has no body.

        Replies for which `is_copy` returns True are skipped.
        """
        self._memory = memory or ReplyMemory()
        #: The complete reply, or why there is none.
        self.outcome = outcome or asyncio.get_running_loop().create_future()
        #: Kind of the outcome; None before the end.
        self.kind: OutcomeKind | None = None
        #: Whether the connection carried bytes that belong to no reply.
        self.has_unexpected_bytes = False
        #: None once the reply has ended.
        self._builder: ReplyBuilder | None = ReplyBuilder(
            is_head=is_head, is_copy=is_copy
        )
        #: Bytes since the last copy.
        self._received_bytes = 0
        self._is_held = False

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
        if self._is_held:
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

    def _hold(self, builder: ReplyBuilder) -> None:
        """Keep a reply of which bytes may follow, within its limits."""
        if builder.copy_count > _MAX_COPIES or _is_too_large(
            self._received_bytes, builder.partial
        ):
            counters.add('backend_faults', 'too_large')
            self.finish(OutcomeKind.garbled)
        else:
            self._is_held = True
            self._memory.hold(self, builder.partial.held_bytes)

    def _parse(self, builder: ReplyBuilder, received: bytes) -> None:
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


def _is_too_large(received_bytes: int, partial: PartialReply) -> bool:
    """Return whether a reply passes the limits on its bytes."""
    max_framing_bytes = _MAX_HEAD_BYTES
    if partial.has_head:
        max_framing_bytes += _MAX_HEAD_BYTES + partial.body_bytes
    return (
        received_bytes > _MAX_REPLY_BYTES
        or received_bytes - partial.body_bytes > max_framing_bytes
    )
