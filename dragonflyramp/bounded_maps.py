"""Bound the number of entries that are kept by name."""

from collections.abc import Callable, MutableMapping
from typing import TypeVar

_Key = TypeVar('_Key')
_Entry = TypeVar('_Entry')


def use_entry(
    entries: MutableMapping[_Key, _Entry],
    key: _Key,
    create: Callable[[], _Entry],
    max_count: int,
) -> _Entry:
    """Return the entry of a key, created on first use.

    Entries beyond the limit are dropped, the least recently used one first.
    Their order is not kept while less than half of the limit is in use.
    """
    known = entries.get(key)
    if known is not None and 2 * len(entries) < max_count:
        return known
    entry = entries.pop(key) if key in entries else create()
    entries[key] = entry
    drop_oldest(entries, max_count)
    return entry


def drop_oldest(entries: MutableMapping[_Key, _Entry], max_count: int) -> None:
    """Drop the first entries, until few enough are left."""
    while len(entries) > max_count:
        entries.pop(next(iter(entries)))
