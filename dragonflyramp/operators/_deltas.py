"""Describe a root by its difference from an earlier one."""

from collections.abc import Sequence

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.converters import decode_json, encode_json
from dragonflyramp.models import Hold
from dragonflyramp.operators._parts import PartRef, digest
from dragonflyramp.operators._roots import (
    HISTORY_LENGTH,
    HistoryEntry,
    Root,
    encode_root,
    sorted_holds,
)
from dragonflyramp.results import ResultCode


@attrs.frozen(kw_only=True)
class RootDelta:
    """Hold what turns the root of one number into a later one.

    The parts between `kept_before` leading and `kept_after` trailing parts
    of the base are replaced.
    """

    base_number: int
    entry: HistoryEntry
    kept_before: int
    kept_after: int
    parts: tuple[PartRef, ...]
    removed_holds: tuple[str, ...]
    changed_holds: tuple[Hold, ...]
    history: tuple[HistoryEntry, ...]
    sha256: str


def root_delta(base: Root, target: Root) -> RootDelta:
    """Compute the delta from a base to a root with a higher number."""
    before = _common(base.parts, target.parts)
    after = _common(
        tuple(reversed(base.parts[before:])),
        tuple(reversed(target.parts[before:])),
    )
    kept_names = {hold.name for hold in target.holds}
    return RootDelta(
        base_number=base.number,
        entry=target.entry,
        kept_before=before,
        kept_after=after,
        parts=target.parts[before : len(target.parts) - after],
        removed_holds=tuple(
            hold.name for hold in base.holds if hold.name not in kept_names
        ),
        changed_holds=tuple(
            hold for hold in target.holds if hold not in base.holds
        ),
        history=tuple(
            entry for entry in target.history if entry.number > base.number
        ),
        sha256=digest(encode_root(target)),
    )


def apply_delta(base: Root, delta: RootDelta) -> Result[Root, ResultCode]:
    """Rebuild the root; fail with bad_message when it is another one."""
    if base.number != delta.base_number:
        return Failure(ResultCode.bad_message)
    history = (*base.history_before(delta.entry.number), *delta.history)
    root = Root(
        number=delta.entry.number,
        write_id=delta.entry.write_id,
        author=delta.entry.author,
        at=delta.entry.at,
        note=delta.entry.note,
        parts=_spliced(base.parts, delta),
        holds=_changed_holds(base, delta),
        history=history[-HISTORY_LENGTH:],
    )
    if digest(encode_root(root)) == delta.sha256:
        return Success(root)
    return Failure(ResultCode.bad_message)


def encode_delta(delta: RootDelta) -> bytes:
    """Encode a delta as JSON."""
    return encode_json(delta)


def decode_delta(body: bytes) -> Result[RootDelta, ResultCode]:
    """Decode a delta; fail with bad_message."""
    return decode_json(body, RootDelta)


def _spliced(
    parts: tuple[PartRef, ...], delta: RootDelta
) -> tuple[PartRef, ...]:
    leading = parts[: delta.kept_before]
    trailing = parts[max(0, len(parts) - delta.kept_after) :]
    return (*leading, *delta.parts, *trailing)


def _changed_holds(base: Root, delta: RootDelta) -> tuple[Hold, ...]:
    holds = {hold.name: hold for hold in base.holds}
    holds.update({hold.name: hold for hold in delta.changed_holds})
    return sorted_holds(
        hold for hold in holds.values() if hold.name not in delta.removed_holds
    )


def _common(first: Sequence[PartRef], second: Sequence[PartRef]) -> int:
    for index, (one, other) in enumerate(zip(first, second, strict=False)):
        if one != other:
            return index
    return min(len(first), len(second))
