"""Decide on the next group record: members, holders, deputies, handovers."""

import attrs

from dragonflyramp.members._deputies import (
    with_deputies,
    with_renamed_deputies,
)
from dragonflyramp.members._groups import GroupRecord, SliceEntry
from dragonflyramp.members._handover_plans import with_handovers
from dragonflyramp.members._member_changes import with_current_members
from dragonflyramp.members._rendezvous import NOBODY, first
from dragonflyramp.members._takeovers import may_take_over
from dragonflyramp.members._writer_views import WriterView
from dragonflyramp.models import MemberId


def next_record(
    record: GroupRecord, writer: MemberId, view: WriterView
) -> GroupRecord:
    """Decide what the next write of the record contains."""
    record = attrs.evolve(
        with_current_members(record, view),
        renewal=view.renewal,
        writer=writer,
        configuration_number=max(
            record.configuration_number, view.facts.number
        ),
    )
    record = record.with_slices(
        _renewed(entry, view) for entry in record.slices.values()
    )
    record = _with_configured_slices(record, view)
    record = record.with_slices(
        _held_by_right_relay(entry, record, view)
        for entry in record.slices.values()
    )
    return with_handovers(record, view)


def _renewed(entry: SliceEntry, view: WriterView) -> SliceEntry:
    if not view.is_renewed(entry):
        return entry
    former = entry.former
    if view.reports[entry.holder].renewal >= entry.renamed:
        former = ()
    return attrs.evolve(entry, renewal=view.renewal, former=former)


def _with_configured_slices(
    record: GroupRecord, view: WriterView
) -> GroupRecord:
    """Add and drop slices, unless the record knows a newer configuration.

    A slice is dropped only once its holder gave it up, because the holder
    may still have the configuration that contains it. A new slice starts
    at an epoch that no earlier slice of the same name can have reached.
    """
    if view.facts.number < record.configuration_number:
        return record
    staying = [
        entry
        for entry in record.slices.values()
        if entry.slice_id in view.facts.slice_ids
        or not _is_free(entry, record, view)
    ]
    added = [
        SliceEntry(
            slice_id=slice_id,
            holder=NOBODY,
            epoch=view.renewal - 1,
            renewal=view.renewal,
        )
        for slice_id in sorted(view.facts.slice_ids - record.slices.keys())
    ]
    return record.with_slices([*staying, *added])


def _is_free(entry: SliceEntry, record: GroupRecord, view: WriterView) -> bool:
    return view.is_released(entry) or may_take_over(entry, record, view)


def _held_by_right_relay(
    entry: SliceEntry, record: GroupRecord, view: WriterView
) -> SliceEntry:
    if _is_free(entry, record, view):
        return _assigned(entry, record, view)
    return with_renamed_deputies(entry, record, view)


def _assigned(
    entry: SliceEntry, record: GroupRecord, view: WriterView
) -> SliceEntry:
    """Give a free slice to the relay that knows its replicas best.

    The successor got the warmth table by handover and relay deputies got
    it with their promises; any other relay starts with cold replicas. A
    holder that released the slice gets it back when no other relay stays,
    for example because its successor stops: fronts refuse the searches of a
    slice without a holder.
    """
    relays = [relay for relay in view.relays(record) if relay != entry.holder]
    warm = [relay for relay in relays if relay in entry.deputies]
    if entry.successor in relays:
        warm = [entry.successor]
    holder = first(entry.slice_id, warm or relays)
    if holder == NOBODY and view.is_released(entry):
        holder = first(entry.slice_id, view.relays(record))
    if holder == NOBODY:
        return attrs.evolve(entry, holder=NOBODY, successor=NOBODY)
    assigned = attrs.evolve(
        entry,
        holder=holder,
        epoch=entry.epoch + 1,
        renewal=view.renewal,
        successor=NOBODY,
    )
    return with_deputies(assigned, record, view)
