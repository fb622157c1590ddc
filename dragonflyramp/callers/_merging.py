"""Merge the results of the shards of a search."""

import itertools
from collections.abc import Iterable
from typing import Protocol

import attrs

#: A shard's reply body is a sequence of records of this length.
_RECORD_BYTES = 16


class Merger(Protocol):
    """Policy for merging the shards' reply bodies into one answer."""

    def merge(self, bodies: Iterable[bytes], top_count: int) -> bytes:
        """Return the merged body, with at most `top_count` records."""


@attrs.frozen
class RecordMerger(Merger):
    """Keep the greatest records, compared byte by byte.

    >>> body = b'a' * 16 + b'c' * 16 + b'rest'
    >>> RecordMerger().merge([body, b'b' * 16], 2) == b'c' * 16 + b'b' * 16
    True
    """

    def merge(self, bodies: Iterable[bytes], top_count: int) -> bytes:
        """Return the greatest records, in descending order."""
        records = itertools.chain.from_iterable(map(split_records, bodies))
        # A search has some hundreds of records, which are sorted sooner than
        # a heap is kept.
        greatest = sorted(records, reverse=True)[:top_count]
        return b''.join(greatest)


def split_records(body: bytes) -> list[bytes]:
    """Split a body into records; ignore an incomplete record at its end."""
    last_start = len(body) - _RECORD_BYTES
    return [
        body[start : start + _RECORD_BYTES]
        for start in range(0, last_start + 1, _RECORD_BYTES)
    ]
