"""Decide which members the next group record contains."""

import attrs

from dragonflyramp.members._groups import GroupRecord, MemberEntry
from dragonflyramp.members._messages import Heartbeat
from dragonflyramp.members._writer_views import WriterView
from dragonflyramp.models import MemberId


def with_current_members(record: GroupRecord, view: WriterView) -> GroupRecord:
    """Add and update the members that report, expire silent ones.

    A member that a slice names stays, because its address is needed to
    find out that its process ended.
    """
    named: set[MemberId] = set()
    for one_slice in record.slices.values():
        named |= one_slice.named
    members = {
        entry.member_id: entry
        for entry in record.members.values()
        if entry.member_id in named or _is_recent(entry, view)
    }
    for member_id, report in view.reports.items():
        known = members.get(member_id)
        if known or len(members) < view.settings.max_members:
            members[member_id] = _reported(known, report, view.renewal)
    return record.with_members(members.values())


def _is_recent(entry: MemberEntry, view: WriterView) -> bool:
    silent_seconds = view.observations.member_unchanged_seconds(
        entry, view.now_seconds
    )
    return silent_seconds < view.lapse_seconds


def _reported(
    known: MemberEntry | None, report: Heartbeat, renewal: int
) -> MemberEntry:
    joined = known.joined if known else renewal
    number = known.configuration_number if known else 0
    return MemberEntry(
        **attrs.asdict(report.member, recurse=False),
        joined=joined,
        renewal=renewal,
        configuration_number=max(number, report.configuration_number),
        leaving=report.leaving,
    )
