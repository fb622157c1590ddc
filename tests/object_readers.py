"""Read replies of the store from pieces, without a connection."""

import asyncio
from collections.abc import AsyncIterator, Iterable, Mapping
from types import MappingProxyType

import attrs

from dragonflyramp.platform._collectors import (
    ChangeCollector,
    ElementCollector,
    PageCollector,
)
from dragonflyramp.platform._store_replies import collect_elements
from dragonflyramp.stored_objects import Fields, HeldObjects

#: Fields of a replica's entry.
ENTRY_SPEC = MappingProxyType(
    {
        'service': 'lookup',
        'address': '127.0.0.1:80',
        'zone': 'recife',
        'state': 'ready',
        'slots': 3,
        'warmup_left_ms': 0,
        'born': 17,
    }
)


@attrs.frozen
class ReadReply:
    """Fields of a reply besides its list, and the objects that are kept."""

    fields: Fields | None
    objects_by_name: Mapping[str, Fields | None]


def read_page(kind: str, pieces: Iterable[bytes]) -> ReadReply:
    """Read a page of a listing."""
    collector = PageCollector(kind, HeldObjects(kind))
    return ReadReply(_collect(pieces, collector), collector.held.by_name)


def read_events(kind: str, pieces: Iterable[bytes]) -> ReadReply:
    """Read the events of a watch; the object is None if it was removed."""
    collector = ChangeCollector(kind, HeldObjects(kind))
    fields = _collect(pieces, collector)
    return ReadReply(
        fields,
        {change.name: change.fields for change in collector.changes()},
    )


def _collect(
    pieces: Iterable[bytes], collector: ElementCollector
) -> Fields | None:
    return asyncio.run(collect_elements(_iterate(pieces), collector))


async def _iterate(pieces: Iterable[bytes]) -> AsyncIterator[bytes]:
    for piece in pieces:
        yield piece
