"""Decide when a slice may be given to another relay."""

from collections.abc import Collection

from dragonflyramp.members._groups import GroupRecord, MemberEntry, SliceEntry
from dragonflyramp.members._rendezvous import NOBODY
from dragonflyramp.members._writer_views import WriterView
from dragonflyramp.models import MemberId


def may_take_over(
    entry: SliceEntry, record: GroupRecord, view: WriterView
) -> bool:
    """Tell whether nothing can still be sent under the holder's tenure.

    The holder's own renewals must have lapsed on the writer's clock, and
    so must every extension by deputies: the holder may rely on the present
    deputies or, while it has not confirmed their names, on the former ones.
    """
    if entry.holder == NOBODY:
        return True
    unchanged_seconds = view.observations.slice_unchanged_seconds(
        entry, view.now_seconds
    )
    if unchanged_seconds < view.lapse_seconds:
        return False
    return all(
        _extension_lapsed(entry, deputies, record, view)
        for deputies in (entry.deputies, entry.former)
    )


def is_gone(member_id: MemberId, record: GroupRecord, view: WriterView) -> bool:
    """Tell whether a member's process certainly ended.

    A newer member can only listen at the same address once the older
    process has ended.
    """
    member = record.members.get(member_id)
    if member is None:
        return False
    if host_of(member.address) in view.absent_hosts:
        return True
    return any(_replaces(other, member) for other in record.members.values())


def host_of(address: str) -> str:
    """Return the host of an address.

    >>> host_of('10.0.0.1:8080')
    '10.0.0.1'
    """
    return address.rpartition(':')[0]


def _extension_lapsed(
    entry: SliceEntry,
    deputies: Collection[MemberId],
    record: GroupRecord,
    view: WriterView,
) -> bool:
    if not deputies:
        return True
    if any(view.has_renounced(deputy, entry) for deputy in deputies):
        return True
    return all(
        is_gone(member_id, record, view)
        for member_id in (entry.holder, *deputies)
    )


def _replaces(other: MemberEntry, member: MemberEntry) -> bool:
    return other.address == member.address and other.joined > member.joined
