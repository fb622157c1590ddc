"""Make operators' texts and VM lists of any size."""

import types
from collections.abc import Iterator

from dragonflyramp.models import Replica, VmState
from dragonflyramp.operators import encode_root
from dragonflyramp.operators._parts import digest, refer, split_text
from dragonflyramp.operators._roots import HISTORY_LENGTH, HistoryEntry, Root
from dragonflyramp.platform import VirtualMachine

#: Shards of a search at the design size.
SEARCH_SHARDS = 480
_SLICE_SHARDS = 16
#: Names have the same length whatever their number is.
_FIRST_SHARD = 100000
_FIRST_SEARCH = 1000
_AT = '2026-12-04T10:00:00Z'
_HEAD = """format = 1
user = "benchmark"

[failure_domains.zone-a]
region = "one"

[failure_domains.zone-b]
region = "one"

[failure_domains.zone-c]
region = "one"
"""


def make_text(shards: int, *, searches: int = 0, slots: int = 3) -> bytes:
    """Write a text of shards, 480 below each searched service.

    `slots` is that of the last shard; the others have 3. With `searches`,
    that many services divide the shards.
    """
    per_search = -(-shards // searches) if searches else SEARCH_SHARDS
    return '\n'.join(_tables(shards, per_search, slots)).encode()


def shard_name(index: int) -> str:
    """Name a shard."""
    return 'stock-{0}'.format(_FIRST_SHARD + index)


def search_name(index: int) -> str:
    """Name a searched service."""
    return 'desk-{0}'.format(_FIRST_SEARCH + index)


def make_root(text: bytes, number: int) -> bytes:
    """Encode the root object of a text, with a full history."""
    entries = [
        HistoryEntry(
            number=earlier,
            write_id=_write_id(earlier),
            author='operator',
            at=_AT,
            note='more slots',
        )
        for earlier in range(number - HISTORY_LENGTH, number)
    ]
    return encode_root(
        Root(
            number=number,
            write_id=_write_id(number),
            author='operator',
            at=_AT,
            note='more slots',
            parts=tuple(map(refer, split_text(text))),
            holds=(),
            history=tuple(entries),
        )
    )


def make_parts(text: bytes) -> dict[str, bytes]:
    """Give the parts of a text by their digest."""
    return {digest(part): part for part in split_text(text)}


def make_machine(shard: str, position: int) -> VirtualMachine:
    """List a VM of a shard on an address on which nothing listens."""
    replica = Replica(
        replica_id=f'{shard}-{position}',
        shard=shard,
        address=f'10.0.{position}.1:8080',
        failure_domain='zone-a',
    )
    return VirtualMachine(replica=replica, state=VmState.live)


_SEARCH = types.MappingProxyType(
    {
        'deadline_ms': 2000,
        'coverage_target': '1.0',
        'hedge_budget': 0.05,
        'retry_budget': 0.1,
        'canary_shards': 0,
    }
)
_SHARD = types.MappingProxyType(
    {'connections': 30, 'connection_cost_ms': 6, 'cold_requests_per_second': 2}
)


def _write_id(number: int) -> str:
    return format(number, '016x')


def _tables(shards: int, per_search: int, slots: int) -> Iterator[str]:
    yield _HEAD
    for start in range(0, shards, per_search):
        names = [
            shard_name(index)
            for index in range(start, min(start + per_search, shards))
        ]
        yield _search_table(start // per_search, names)
        for name in names:
            yield _shard_table(name, 3)
    # A table of its own last, so that an edit of it changes one part.
    yield _shard_table('edited', slots)


def _search_table(index: int, names: list[str]) -> str:
    listed = ', '.join(f'"{name}"' for name in names)
    return '\n'.join(
        (
            f'[services.{search_name(index)}]',
            f'depends_on = [{listed}]',
            f'slices = {max(1, len(names) // _SLICE_SHARDS)}',
            *_lines(_SEARCH),
        )
    )


def _shard_table(name: str, slots: int) -> str:
    return '\n'.join(
        (f'[services.{name}]', f'slots = {slots}', *_lines(_SHARD), '')
    )


def _lines(fields: 'types.MappingProxyType[str, object]') -> list[str]:
    return [f'{key} = {found}' for key, found in fields.items()]
