"""Decide which slices their holders are asked to hand over, and to whom."""

import attrs

from dragonflyramp.members._groups import GroupRecord, SliceEntry
from dragonflyramp.members._rendezvous import NOBODY, first
from dragonflyramp.members._writer_views import WriterView
from dragonflyramp.models import MemberId


def with_handovers(record: GroupRecord, view: WriterView) -> GroupRecord:
    """Plan handovers to the relays that rendezvous hashing prefers.

    Few at a time, because a slice runs at half its slots while it moves;
    slices of a relay that leaves all move at once.
    """
    relays = view.relays(record)
    planned = [
        attrs.evolve(entry, successor=_wanted_successor(entry, relays, view))
        for entry in record.slices.values()
    ]
    moving = [entry for entry in planned if entry.successor != NOBODY]
    starting = [
        entry.slice_id
        for entry in moving
        if entry.successor != record.slices[entry.slice_id].successor
        and entry.holder in relays
    ]
    running = len(moving) - len(starting)
    allowed = max(0, view.settings.max_handovers - running)
    delayed = frozenset(starting[allowed:])
    return record.with_slices(
        attrs.evolve(entry, successor=NOBODY)
        if entry.slice_id in delayed
        else entry
        for entry in planned
    )


def _wanted_successor(
    entry: SliceEntry, relays: list[MemberId], view: WriterView
) -> MemberId:
    """Choose the successor, or keep the one that the holder knows.

    A handover to a member that misses heartbeats would only stop the
    holder, so one starts only to a member that reports now.
    """
    if not view.is_renewed(entry):
        return entry.successor
    wanted = first(entry.slice_id, relays)
    if wanted == entry.holder:
        return NOBODY
    if wanted == entry.successor or wanted in view.reports:
        return wanted
    return NOBODY
