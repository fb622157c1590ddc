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

#: Maximum size of a part; the preamble or a single table may exceed it.
MAX_PART_BYTES = 8192
#: Average number of tables from one boundary to the next; 16 are about 2 KB.
_MEAN_TABLES_PER_PART = 16

_SERVICE_HEADER_PATTERN = re.compile(rb'^[ \t]*\[{1,2}services\.', re.MULTILINE)
_TABLE_HEADER_PATTERN = re.compile(
    rb'^[ \t]*\[(?:services|holds)\.([^\].\r\n]+)\]', re.MULTILINE
)


@attrs.frozen
class PartRef:
    """Reference to a part: SHA-256 in hexadecimal and size in bytes."""

    sha256: str
    size: int


def split_text(text: bytes) -> tuple[bytes, ...]:
    """Split a text into parts whose concatenation is the text.

    The first part is the preamble: everything before the first service. The
    boundaries of later parts depend on the content: a part starts at a table
    if the hash of the table's name selects it, or if the part before is full.
    An edit therefore changes one part, or a few if that part is full, and
    does not move the other boundaries.
    """
    preamble = preamble_of(text)
    remainder = text[len(preamble) :]
    later_parts = _group_tables(_split_tables(remainder)) if remainder else ()
    return (preamble, *later_parts) if preamble else tuple(later_parts)


def preamble_of(text: bytes) -> bytes:
    """Return everything before the first service."""
    header = _SERVICE_HEADER_PATTERN.search(text)
    return text[: header.start()] if header else text


def join_parts(parts: Iterable[bytes]) -> bytes:
    """Concatenate the parts of a text."""
    return b''.join(parts)


def sha256_hex(body: bytes) -> str:
    """Return the SHA-256 digest in hexadecimal."""
    return hashlib.sha256(body).hexdigest()


def part_ref_of(part: bytes) -> PartRef:
    """Return the reference that the root object stores for a part."""
    return PartRef(sha256_hex(part), len(part))


@attrs.frozen
class _TableText:
    name: bytes
    body: bytes


def _split_tables(text: bytes) -> Iterator[_TableText]:
    name = b''
    start = 0
    for header in _TABLE_HEADER_PATTERN.finditer(text):
        if header.start() > start:
            yield _TableText(name, text[start : header.start()])
        name = header.group(1)
        start = header.start()
    yield _TableText(name, text[start:])


def _group_tables(tables: Iterable[_TableText]) -> Iterator[bytes]:
    part = b''
    for table in tables:
        is_full = len(part) + len(table.body) > MAX_PART_BYTES
        if part and (is_full or _starts_part(table.name)):
            yield part
            part = b''
        part += table.body
    yield part


def _starts_part(name: bytes) -> bool:
    return xxhash.xxh64_intdigest(name) % _MEAN_TABLES_PER_PART == 0
