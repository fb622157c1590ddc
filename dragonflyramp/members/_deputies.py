"""Choose the deputies of a slice."""

from collections.abc import Sequence

import attrs

from dragonflyramp.members._groups import (
    GroupRecord,
    MemberEntry,
    Role,
    SliceEntry,
)
from dragonflyramp.members._rendezvous import order
from dragonflyramp.members._writer_views import WriterView
from dragonflyramp.models import MemberId

_DEPUTIES = 2


def with_deputies(
    entry: SliceEntry, record: GroupRecord, view: WriterView
) -> SliceEntry:
    """Name the best deputies for a holder that has just got the slice."""
    choice = _Choice(entry, record, view)
    return attrs.evolve(
        entry, deputies=_ids(choice.best()), former=(), renamed=view.renewal
    )


def with_renamed_deputies(
    entry: SliceEntry, record: GroupRecord, view: WriterView
) -> SliceEntry:
    """Replace deputies that cannot extend the lease, or not as well.

    Deputies are renamed only while the holder renews, and not again until
    it confirmed the last names: until then it may rely on the former ones,
    and a takeover needs the word of one of each set. Once a deputy has
    renounced, no extension of this tenure can start any more, and the
    holder gets a new tenure for which every deputy may promise again.
    """
    if entry.former or not view.is_renewed(entry):
        return entry
    if any(view.has_renounced(deputy, entry) for deputy in entry.deputies):
        renewed = attrs.evolve(entry, epoch=entry.epoch + 1)
        return with_deputies(renewed, record, view)
    choice = _Choice(entry, record, view)
    best = choice.best()
    if not choice.is_better(best):
        return entry
    return attrs.evolve(
        entry,
        deputies=_ids(best),
        former=entry.deputies,
        renamed=view.renewal,
    )


@attrs.frozen
class _Choice:
    entry: SliceEntry
    record: GroupRecord
    view: WriterView

    def best(self) -> list[MemberEntry]:
        able = self._able()
        chosen: list[MemberEntry] = []
        while able and len(chosen) < _DEPUTIES:
            chosen.append(self._next(able, chosen))
            able.remove(chosen[-1])
        return chosen

    def is_better(self, best: Sequence[MemberEntry]) -> bool:
        present = [
            member
            for member in self._able()
            if member.member_id in self.entry.deputies
        ]
        if len(present) < len(self.entry.deputies):
            return True
        return self._worth(best) > self._worth(present)

    def _able(self) -> list[MemberEntry]:
        able = {
            member.member_id: member
            for member in self.view.usable(self.record)
            if member.member_id != self.entry.holder
            and not self.view.has_renounced(member.member_id, self.entry)
        }
        return [able[one] for one in order(self.entry.slice_id, able)]

    def _next(
        self, able: Sequence[MemberEntry], chosen: Sequence[MemberEntry]
    ) -> MemberEntry:
        return min(able, key=lambda member: self._rank(member, chosen))

    def _rank(
        self, member: MemberEntry, chosen: Sequence[MemberEntry]
    ) -> tuple[bool, ...]:
        used = {other.failure_domain for other in chosen}
        return (
            self._is_held(member),
            member.role is not Role.relay,
            member.failure_domain in used | {_holder_domain(self)},
            member.member_id not in self.entry.deputies,
        )

    def _worth(self, members: Sequence[MemberEntry]) -> tuple[int, ...]:
        domains = {member.failure_domain for member in members}
        return (
            len(members),
            sum(not self._is_held(member) for member in members),
            sum(member.role is Role.relay for member in members),
            len(domains - {_holder_domain(self)}),
        )

    def _is_held(self, member: MemberEntry) -> bool:
        return member.failure_domain in self.view.facts.held_domains


def _holder_domain(choice: _Choice) -> str:
    holder = choice.record.members.get(choice.entry.holder)
    return holder.failure_domain if holder else ''


def _ids(members: Sequence[MemberEntry]) -> tuple[MemberId, ...]:
    return tuple(member.member_id for member in members)
