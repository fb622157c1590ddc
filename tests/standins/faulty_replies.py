"""Encode the replies of a faulty backend server."""

import enum
from collections.abc import Callable, Mapping
from types import MappingProxyType

import attrs


class ConnectionEnd(enum.Enum):
    """What a server does with the connection after a reply."""

    none = 'none'
    close = 'close'
    reset = 'reset'


@attrs.frozen(kw_only=True)
class ReplyParts:
    """Parts of which a faulty reply is made."""

    #: Status line and headers without those of the framing.
    head: bytes
    body: bytes
    #: The reply before, on the same connection.
    previous: bytes = b''

    @property
    def unsigned_head(self) -> bytes:
        """Return the head without the stamp."""
        return b''.join(
            line
            for line in self.head.splitlines(keepends=True)
            if not line.startswith(b'Server-Stamp:')
        )

    @property
    def complete(self) -> bytes:
        """Return the sound reply."""
        return with_length(self.head, self.body)


@attrs.frozen
class FaultyReply:
    """Bytes that a server sends, and what it does afterwards."""

    encoded: bytes
    end: ConnectionEnd = ConnectionEnd.none


def with_length(head: bytes, body: bytes) -> bytes:
    """Return a reply that has a length."""
    length = f'Content-Length: {len(body)}\r\n\r\n'.encode()
    return b''.join((head, length, body))


def _without_length(head: bytes, body: bytes) -> bytes:
    return b''.join((head, b'\r\n', body))


def _chunked(head: bytes, *chunks: bytes) -> bytes:
    """Return a reply in chunks without the last, empty one."""
    return b''.join(
        (
            head,
            b'Transfer-Encoding: chunked\r\n\r\n',
            *(b'%x\r\n%b\r\n' % (len(chunk), chunk) for chunk in chunks),
        )
    )


_LAST_CHUNK = b'0\r\n\r\n'


def _unframed(parts: ReplyParts) -> FaultyReply:
    encoded = _without_length(parts.head, parts.body)
    return FaultyReply(encoded, ConnectionEnd.close)


def _unframed_reset(parts: ReplyParts) -> FaultyReply:
    return attrs.evolve(_unframed(parts), end=ConnectionEnd.reset)


def _unframed_copied(parts: ReplyParts) -> FaultyReply:
    encoded = _without_length(parts.head, parts.body)
    return FaultyReply(encoded * 2, ConnectionEnd.close)


def _unframed_with_previous(parts: ReplyParts) -> FaultyReply:
    encoded = _without_length(parts.head, parts.body)
    return FaultyReply(encoded + parts.previous, ConnectionEnd.close)


def _truncated(parts: ReplyParts) -> FaultyReply:
    encoded = _without_length(parts.head, parts.body[:1])
    return FaultyReply(encoded, ConnectionEnd.reset)


def _garbled(parts: ReplyParts) -> FaultyReply:
    return FaultyReply(b'\x00\x01garbage\r\n\r\n')


def _unsigned(parts: ReplyParts) -> FaultyReply:
    return FaultyReply(with_length(parts.unsigned_head, parts.body))


def _unsigned_unframed(parts: ReplyParts) -> FaultyReply:
    encoded = _without_length(parts.unsigned_head, parts.body)
    return FaultyReply(encoded, ConnectionEnd.close)


def _cut_short(parts: ReplyParts) -> FaultyReply:
    return FaultyReply(parts.complete[:-1], ConnectionEnd.close)


def _chunked_whole(parts: ReplyParts) -> FaultyReply:
    middle = len(parts.body) // 2
    chunks = (parts.body[:middle], parts.body[middle:])
    encoded = _chunked(parts.head, *filter(None, chunks))
    return FaultyReply(encoded + _LAST_CHUNK)


def _chunked_cut(parts: ReplyParts) -> FaultyReply:
    """Cut a reply between its last chunk and the empty one."""
    encoded = _chunked_whole(parts).encoded.removesuffix(_LAST_CHUNK)
    return FaultyReply(encoded, ConnectionEnd.close)


def _chunked_copied(parts: ReplyParts) -> FaultyReply:
    """Send a copy of the reply within one of its chunks."""
    middle = len(parts.body) // 2
    encoded = _chunked(parts.head, parts.body).replace(
        parts.body, parts.body[:middle] + parts.complete + parts.body[middle:]
    )
    return FaultyReply(encoded + _LAST_CHUNK)


#: Faulty replies by the name of their fault.
FAULTY_REPLIES: Mapping[str, Callable[[ReplyParts], FaultyReply]] = (
    MappingProxyType(
        {
            'truncated': _truncated,
            'garbled': _garbled,
            'unframed': _unframed,
            'unframed_reset': _unframed_reset,
            'unframed_copied': _unframed_copied,
            'unframed_with_previous': _unframed_with_previous,
            'unsigned': _unsigned,
            'unsigned_unframed': _unsigned_unframed,
            'cut_short': _cut_short,
            'chunked': _chunked_whole,
            'chunked_cut': _chunked_cut,
            'chunked_copied': _chunked_copied,
        }
    )
)
