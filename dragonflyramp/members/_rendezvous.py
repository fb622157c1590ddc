"""Order members for a key by rendezvous hashing.

A member that joins or leaves changes the order of no two others.

>>> order('slice-1', ['a', 'b', 'c']) == order('slice-1', ['c', 'a', 'b'])
True
>>> first('slice-1', [])
''
"""

from collections.abc import Iterable

import xxhash

from dragonflyramp.models import MemberId

NOBODY = MemberId('')


def order(key: str, member_ids: Iterable[MemberId]) -> list[MemberId]:
    """Sort members from the first choice for a key to the last."""
    return sorted(
        member_ids,
        key=lambda member_id: (_weight(key, member_id), member_id),
        reverse=True,
    )


def first(key: str, member_ids: Iterable[MemberId]) -> MemberId:
    """Return the first choice for a key, or NOBODY without members."""
    return next(iter(order(key, member_ids)), NOBODY)


def _weight(key: str, member_id: MemberId) -> int:
    return xxhash.xxh64_intdigest(f'{key}\0{member_id}'.encode())
