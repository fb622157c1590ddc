"""Bound the number of entries that are kept by name."""

from collections.abc import MutableMapping
from typing import TypeVar

_Key = TypeVar('_Key')
_Entry = TypeVar('_Entry')


def drop_oldest(entries: MutableMapping[_Key, _Entry], max_count: int) -> None:
    """Drop the entries that were added first, until few enough are left."""
    while len(entries) > max_count:
        entries.pop(next(iter(entries)))
