"""Tell which request of a connection a reply answers.

All attempts at a request have its id, so an id identifies a reply only on a
connection that has carried it once.
"""

import collections
import re
from collections.abc import Collection

import attrs

from dragonflyramp.messages import Reply

#: Number of earlier requests whose late copies are recognized.
_MAX_REMEMBERED = 32
#: Longer ids and stamps are compared by their first characters.
_MAX_TEXT_CHARS = 64
_STATUS_LINE_START = b'HTTP/1.'
#: Status line with the start of a header, or cut off by the end of the bytes.
#: Its repeats are bounded, as a faulty server may send anything.
_REPLY_HEAD_PATTERN = re.compile(
    rb'HTTP/1\.[01] [1-5]\d\d[^\r\n]{0,40}+'
    rb'(?:\r\n[!-9;-~]{1,40}+:|(?:\r\n?)?[!-9;-~]{0,40}+\Z)'
    rb'|HTTP/(?:1(?:\.(?:[01](?: [1-5]?\d?)?)?)?)?\Z'
)

#: Status line, also with status and reason exchanged, whatever follows it.
_STATUS_LINE_PATTERN = re.compile(
    rb'HTTP/1\.[01] (?:[1-5]\d\d[^\r\n]{0,40}+|[A-Z]{1,40}+ \d{3})\r\n'
)


def _create_memory() -> collections.deque[str]:
    return collections.deque(maxlen=_MAX_REMEMBERED)


@attrs.define(eq=False)
class ReplyMatcher:
    """Requests and replies of one connection."""

    current_id: str = ''
    _is_used: bool = False
    #: Ids of the requests before the current one.
    earlier_ids: collections.deque[str] = attrs.field(factory=_create_memory)
    #: Stamps of the earlier replies.
    _stamps: collections.deque[str] = attrs.field(factory=_create_memory)
    #: Whether a reply on this connection had a request id.
    _echoes_ids: bool = False

    def may_carry(self, request_id: str) -> bool:
        """Return whether a reply to a request could not be an earlier one.

        Nothing tells the replies to requests without an id apart.
        """
        text = request_id[:_MAX_TEXT_CHARS]
        current_text = self.current_id[:_MAX_TEXT_CHARS]
        if not text:
            return not self._is_used
        return text != current_text and text not in self.earlier_ids

    def start_request(self, request_id: str) -> None:
        """Record a request that is about to be written."""
        self._is_used = True
        if self.current_id:
            self.earlier_ids.append(self.current_id[:_MAX_TEXT_CHARS])
        self.current_id = request_id

    def will_recognize(self, reply: Reply) -> bool:
        """Return whether a copy of any reply so far is recognized later.

        A forgotten stamp of a reply without an id would not be.
        """
        if self._echoes_ids:
            return bool(reply.request_id or reply.stamp)
        return bool(reply.stamp) and len(self._stamps) < _MAX_REMEMBERED

    def is_copy(self, reply: Reply) -> bool:
        """Return whether a reply is a late copy of an earlier one."""
        if reply.request_id:
            return (
                reply.request_id != self.current_id
                and reply.request_id[:_MAX_TEXT_CHARS] in self.earlier_ids
            )
        return _has_stamp_of(reply, self._stamps)

    def accept(self, reply: Reply) -> bool:
        """Return whether a reply answers the current request.

        A server that has echoed ids on this connection does so in each reply,
        and one that has stamped replies does so in each that ran; one without
        them may be a late copy of an earlier reply.
        """
        if _STATUS_LINE_START in reply.body and self._is_spliced(reply):
            return False
        is_own = self._has_own_mark(reply)
        if reply.request_id:
            self._echoes_ids = True
        if reply.stamp:
            self._stamps.append(reply.stamp[:_MAX_TEXT_CHARS])
        return is_own

    def _has_own_mark(self, reply: Reply) -> bool:
        if reply.request_id:
            return reply.request_id == self.current_id
        if self._echoes_ids or _has_stamp_of(reply, self._stamps):
            return False
        return bool(reply.stamp) or reply.is_not_run or not self._stamps

    def _is_spliced(self, reply: Reply) -> bool:
        """Return whether another reply of the connection is within a body."""
        own_marks = (self.current_id, reply.stamp)
        if _REPLY_HEAD_PATTERN.search(reply.body) and any(
            mark and _encode(mark) in reply.body for mark in own_marks
        ):
            return True
        return any(
            _encode(mark) in reply.body
            for mark in (*self.earlier_ids, *self._stamps)
        )


def _has_stamp_of(reply: Reply, stamps: Collection[str]) -> bool:
    return bool(reply.stamp) and reply.stamp[:_MAX_TEXT_CHARS] in stamps


def _encode(mark: str) -> bytes:
    """Return the bytes of an id or a stamp as received."""
    return mark.encode('latin-1', errors='replace')


def has_second_reply(body: bytes) -> bool:
    """Return whether the head of a reply begins within a body.

    Nothing else tells where a body without a length ends.
    """
    return bool(
        _REPLY_HEAD_PATTERN.search(body) or _STATUS_LINE_PATTERN.search(body)
    )


def is_cut_by_status_line(body: bytes, stream: bytes) -> bool:
    """Return whether a status line begins in a body or across its end.

    `stream` is the end of the received bytes, which go on after the body.
    """
    if _STATUS_LINE_START in body:
        return True
    line_at = stream.find(_STATUS_LINE_START)
    while line_at >= 0:
        context = stream[max(0, line_at - len(_STATUS_LINE_START)) : line_at]
        if any(
            body.endswith(context + _STATUS_LINE_START[:length])
            for length in range(1, len(_STATUS_LINE_START))
        ):
            return True
        line_at = stream.find(_STATUS_LINE_START, line_at + 1)
    return False
