"""Collect the warmth tables that this member gives to another one."""

from collections.abc import Iterable

from dragonflyramp.members._groups import SliceEntry
from dragonflyramp.members._hooks import MembershipHooks
from dragonflyramp.members._messages import SliceWarmth


def warmth_tables(
    entries: Iterable[SliceEntry], hooks: MembershipHooks
) -> tuple[SliceWarmth, ...]:
    """Collect what this member knows of the replicas of some slices."""
    return tuple(
        SliceWarmth(
            slice_id=entry.slice_id,
            epoch=entry.epoch,
            replicas=tuple(hooks.warmth_of(entry.slice_id)),
        )
        for entry in entries
    )
