"""Define the group record: members and slices as the writer recorded them.

A renewal is the number of one write of the record; each attempt to write
uses a number that its writer never used before, so that reading back tells
which attempt took effect.
"""

import enum
from collections.abc import Iterable, Mapping

import attrs

from dragonflyramp.members._rendezvous import NOBODY
from dragonflyramp.models import MemberId, SliceId


class Role(enum.Enum):
    """Name the two kinds of daemons."""

    front = 'front'
    relay = 'relay'


@attrs.frozen(kw_only=True)
class MemberDescription:
    """Describe one daemon process; the id is new at each process start."""

    member_id: MemberId
    role: Role
    address: str
    status_address: str
    failure_domain: str


@attrs.frozen(kw_only=True)
class MemberEntry:
    """Record a member, its last renewal and the number it had adopted."""

    member_id: MemberId
    role: Role
    address: str
    status_address: str
    failure_domain: str
    joined: int
    renewal: int
    configuration_number: int
    leaving: bool = False


@attrs.frozen(kw_only=True)
class SliceEntry:
    """Record who holds a slice and who promises not to give it up.

    The holder relies on `former` deputies until it reports that it knows
    the record of renewal `renamed`, which named the present ones.
    """

    slice_id: SliceId
    holder: MemberId
    epoch: int
    renewal: int
    deputies: tuple[MemberId, ...] = ()
    former: tuple[MemberId, ...] = ()
    renamed: int = 0
    successor: MemberId = NOBODY

    @property
    def named(self) -> frozenset[MemberId]:
        """Return holder, successor and all deputies the holder may rely on."""
        return frozenset(
            (self.holder, self.successor, *self.deputies, *self.former)
        )


@attrs.frozen(kw_only=True)
class GroupRecord:
    """Hold the state of one group as one write recorded it."""

    renewal: int
    writer: MemberId
    configuration_number: int = 0
    members: Mapping[MemberId, MemberEntry] = attrs.field(factory=dict)
    slices: Mapping[SliceId, SliceEntry] = attrs.field(factory=dict)

    def candidates(self, slice_id: SliceId) -> tuple[MemberId, ...]:
        """List the holder of a slice and then its deputies."""
        entry = self.slices.get(slice_id)
        if entry is None:
            return ()
        ranked = (entry.holder, *entry.deputies)
        return tuple(member for member in ranked if member in self.members)

    def with_members(self, entries: Iterable[MemberEntry]) -> 'GroupRecord':
        """Return the record with exactly these members."""
        members = {entry.member_id: entry for entry in entries}
        return attrs.evolve(self, members=members)

    def with_slices(self, entries: Iterable[SliceEntry]) -> 'GroupRecord':
        """Return the record with exactly these slices."""
        slices = {entry.slice_id: entry for entry in entries}
        return attrs.evolve(self, slices=slices)

    def layout(self) -> 'GroupRecord':
        """Return the record without its counters, to compare the rest."""
        bare = attrs.evolve(self, renewal=0)
        return bare.with_members(
            attrs.evolve(entry, renewal=0) for entry in self.members.values()
        ).with_slices(
            attrs.evolve(entry, renewal=0) for entry in self.slices.values()
        )


EMPTY_RECORD = GroupRecord(renewal=0, writer=NOBODY)
