"""Encode the replies of a faulty backend server."""

import enum
from collections.abc import Callable, Mapping
from types import MappingProxyType

import attrs


class ConnectionEnd(enum.Enum):
    """What a server does with the connection after a reply."""

    none = 'none'
    close = 'close'
    #: The server sends nothing more, and still reads.
    half = 'half'
    reset = 'reset'


@attrs.frozen(kw_only=True)
class ReplyParts:
    """Parts of which a faulty reply is made."""

    #: Status line and headers without those of the framing.
    head: bytes
    body: bytes
    #: The last sound reply before, on the same connection.
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
    #: Bytes that follow later.
    late: bytes = b''


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


def _late_copy(reply: bytes, framing: bytes) -> bytes:
    """Return the second answer that a stuttering server sends.

    It has the id and the stamp of the first one, and another body.
    """
    if not reply:
        return b''
    marks = (
        line
        for line in reply.partition(b'\r\n\r\n')[0].split(b'\r\n')
        if line.startswith((b'Server-Stamp:', b'Request-Id:'))
    )
    return b'\r\n'.join((b'HTTP/1.1 200 OK', *marks, framing, b'', b'ok'))


_COPY_LENGTH = b'Content-Length: 2'
_CLOSES = b'Connection: close'


def _copy_before(parts: ReplyParts) -> FaultyReply:
    copy = _late_copy(parts.previous, _COPY_LENGTH)
    return FaultyReply(copy + parts.complete)


def _unframed_copy_before(parts: ReplyParts) -> FaultyReply:
    copy = _late_copy(parts.previous, _CLOSES)
    return FaultyReply(copy + parts.complete, ConnectionEnd.close)


def _copy_when_idle(parts: ReplyParts) -> FaultyReply:
    copy = _late_copy(parts.complete, _COPY_LENGTH)
    return FaultyReply(parts.complete, late=copy)


def _unframed_copy_when_idle(parts: ReplyParts) -> FaultyReply:
    copy = _late_copy(parts.complete, _CLOSES)
    return FaultyReply(parts.complete, ConnectionEnd.close, copy)


def _copy_after_close(parts: ReplyParts) -> FaultyReply:
    """Send a copy after a reply that has no length and announces its end."""
    copy = _late_copy(parts.complete, _COPY_LENGTH)
    encoded = _WHOLE['announced'](parts)
    return FaultyReply(encoded, ConnectionEnd.close, copy)


def _announced(parts: ReplyParts) -> bytes:
    """Return a reply without a length that announces its end."""
    return b'\r\n'.join((parts.head + _CLOSES, b'', parts.body))


_Encoder = Callable[[ReplyParts], bytes]
#: Whole replies by their framing, and how to cut and to spoil a reply.
_WHOLE: Mapping[str, _Encoder] = MappingProxyType(
    {
        'length': lambda parts: parts.complete,
        'chunks': lambda parts: _chunked_whole(parts).encoded,
        'announced': _announced,
    }
)
_CUT: Mapping[str, _Encoder] = MappingProxyType(
    {
        'cut in status line': lambda parts: parts.complete[:12],
        'cut in head': lambda parts: parts.head[:-4],
        'cut before body': lambda parts: with_length(parts.head, parts.body)[
            : -len(parts.body) or None
        ],
        'cut in body': lambda parts: parts.complete[:-3],
        'cut in chunk': lambda parts: _chunked(parts.head, parts.body)[:-5],
        'cut after chunks': lambda parts: _chunked_cut(parts).encoded,
    }
)
_SPOILED: Mapping[str, _Encoder] = MappingProxyType(
    {
        'status line': lambda _: b'HTTP/1.1 OK 200\r\n\r\n',
        'header': lambda _: b'HTTP/1.1 200 OK\r\nno colon here\r\n\r\n',
        'negative length': lambda _: (
            b'HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok'
        ),
        'TLS': lambda _: b'\x16\x03\x01\x00*\x02\x00\x00\r\n\r\n',
    }
)
_ENDS = (ConnectionEnd.close, ConnectionEnd.half, ConnectionEnd.reset)


def _with_end(
    encode: _Encoder, end: ConnectionEnd
) -> Callable[[ReplyParts], FaultyReply]:
    return lambda parts: FaultyReply(encode(parts), end)


def _ended_replies() -> Mapping[str, Callable[[ReplyParts], FaultyReply]]:
    """Return each reply with each end; a spoiled one may have none."""
    return {
        f'{name}, {end.value}': _with_end(encode, end)
        for name, encode in (*_WHOLE.items(), *_CUT.items(), *_SPOILED.items())
        for end in (ConnectionEnd.none, *_ENDS)
        if end in _ENDS or name in _SPOILED
    }


#: Faulty replies by the name of their fault. Those with a comma are named after
#: what is sent and what becomes of the connection.
FAULTY_REPLIES: Mapping[str, Callable[[ReplyParts], FaultyReply]] = (
    MappingProxyType(
        {
            **_ended_replies(),
            'copy_before': _copy_before,
            'unframed_copy_before': _unframed_copy_before,
            'copy_when_idle': _copy_when_idle,
            'unframed_copy_when_idle': _unframed_copy_when_idle,
            'copy_after_close': _copy_after_close,
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
