r"""Split the operators' text into content-addressed parts and join them.

>>> parts = split_text(b'a = 1\n[services.x]\n[services.y]\n')
>>> parts
(b'a = 1\n', b'[services.x]\n[services.y]\n')
>>> join_parts(parts)
b'a = 1\n[services.x]\n[services.y]\n'
"""

import hashlib
import re
from collections.abc import Iterable, Iterator

import attrs
import xxhash

#: A part is no longer than this, unless a single table is.
MAX_PART_BYTES = 8192
#: One table in this many starts a part; 16 tables are about 2 KB.
_TABLES_PER_PART = 16

_FIRST_SERVICE = re.compile(rb'^[ \t]*\[{1,2}services\.', re.MULTILINE)
_TABLE = re.compile(
    rb'^[ \t]*\[(?:services|holds)\.([^\].\r\n]+)\]', re.MULTILINE
)


@attrs.frozen
class PartRef:
    """Name a part by the SHA-256 of its content, in hexadecimal."""

    sha256: str
    size: int


def split_text(text: bytes) -> tuple[bytes, ...]:
    """Split a text; the concatenation of the parts is the text.

    The first part is everything before the first service. Later
    boundaries depend on the hash of a table's name, so that an edit changes
    one part and moves no boundary outside of it.
    """
    head = head_of(text)
    tail = text[len(head) :]
    later = _group(_tables(tail)) if tail else ()
    return (head, *later) if head else tuple(later)


def head_of(text: bytes) -> bytes:
    """Return what stands before the first service."""
    first = _FIRST_SERVICE.search(text)
    return text[: first.start()] if first else text


def join_parts(parts: Iterable[bytes]) -> bytes:
    """Concatenate the parts of a text."""
    return b''.join(parts)


def digest(body: bytes) -> str:
    """Return the SHA-256 of a part in hexadecimal."""
    return hashlib.sha256(body).hexdigest()


def refer(part: bytes) -> PartRef:
    """Describe a part as the root object does."""
    return PartRef(digest(part), len(part))


@attrs.frozen
class _TableText:
    name: bytes
    body: bytes


def _tables(text: bytes) -> Iterator[_TableText]:
    name = b''
    start = 0
    for header in _TABLE.finditer(text):
        if header.start() > start:
            yield _TableText(name, text[start : header.start()])
        name = header.group(1)
        start = header.start()
    yield _TableText(name, text[start:])


def _group(tables: Iterable[_TableText]) -> Iterator[bytes]:
    part = b''
    for table in tables:
        is_full = len(part) + len(table.body) > MAX_PART_BYTES
        if part and (is_full or _starts_part(table.name)):
            yield part
            part = b''
        part += table.body
    yield part


def _starts_part(name: bytes) -> bool:
    return xxhash.xxh64_intdigest(name) % _TABLES_PER_PART == 0
