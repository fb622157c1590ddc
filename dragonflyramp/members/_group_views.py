"""Keep the newest group record that one daemon knows."""

import asyncio
import math
from collections.abc import Callable

import attrs

from dragonflyramp.members._groups import (
    EMPTY_RECORD,
    GroupRecord,
    MemberDescription,
    MemberEntry,
    Role,
)
from dragonflyramp.members._lease_tables import MemberLeaseTable
from dragonflyramp.members._rendezvous import first, order
from dragonflyramp.members._settings import MembershipSettings


@attrs.define
class Contacts:
    """Remember when exchanges last succeeded; calls received count too.

    A time of silence stays known until an exchange shows that nothing is
    newer than the adopted configuration: a daemon that is reached again
    does not know yet what changed in between.
    """

    _clock: Callable[[], float]
    last_seconds: float = -math.inf
    last_member_seconds: float = -math.inf
    _longest_silence_seconds: float = math.inf

    def note_platform(self) -> None:
        """Note an answer of the platform, a refusal too."""
        self._note()

    def note_member(self) -> None:
        """Note an exchange with another member."""
        self._note()
        self.last_member_seconds = self.last_seconds

    def note_newest(self, started_seconds: float) -> None:
        """Note that nothing newer existed at the start of an exchange."""
        self._note()
        self._longest_silence_seconds = min(
            self._longest_silence_seconds, self.last_seconds - started_seconds
        )

    def silence_seconds(self, now_seconds: float) -> float:
        """Give the longest silence after which something newer may exist."""
        return max(
            self._longest_silence_seconds, now_seconds - self.last_seconds
        )

    def _note(self) -> None:
        now_seconds = self._clock()
        self._longest_silence_seconds = self.silence_seconds(now_seconds)
        self.last_seconds = now_seconds


@attrs.define(eq=False)
class GroupView:
    """Adopt records of higher renewals and tell who waits for changes.

    `record` changes only when anything but its counters does, and not
    since `layout_renewal`; `renewal` is the newest renewal seen.
    """

    own: MemberDescription
    seeds: tuple[str, ...]
    clock: Callable[[], float]
    lease_table: MemberLeaseTable
    record: GroupRecord = EMPTY_RECORD
    renewal: int = 0
    layout_renewal: int = 0
    progress_seconds: float = attrs.field(init=False)
    contacts: Contacts = attrs.field(init=False)
    _changed: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Count the start as progress, to wait one term for a writer."""
        self.progress_seconds = self.clock()
        self.contacts = Contacts(self.clock)

    def note_renewal(self, renewal: int) -> None:
        """Note that the record's writer makes progress."""
        if renewal > self.renewal:
            self.renewal = renewal
            self.progress_seconds = self.clock()

    def adopt(self, record: GroupRecord, *, is_next: bool = False) -> bool:
        """Adopt a record of a higher renewal; tell whether it differs.

        Only the writer knows that its write is the next one after the
        record it had. To others, records between may have been different
        even if this one is the same again.
        """
        if record.renewal <= self.renewal:
            return False
        self.note_renewal(record.renewal)
        is_same = record.layout() == self.record.layout()
        if not (is_same and is_next):
            self.layout_renewal = record.renewal
        if is_same:
            return False
        self.record = record
        self.lease_table.see_record(record, self.clock())
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    async def wait_record_change(
        self, known: GroupRecord | None = None
    ) -> GroupRecord:
        """Wait until the record differs from the known or present one."""
        if known is None or known is self.record:
            await self._changed.wait()
        return self.record

    def peers(self, role: Role | None = None) -> tuple[MemberEntry, ...]:
        """List the other members of one role, or of both."""
        return tuple(
            entry
            for entry in self.record.members.values()
            if entry.member_id != self.own.member_id
            and role in {None, entry.role}
        )

    def snapshot(self) -> GroupRecord:
        """Return the record with the newest renewal seen."""
        return attrs.evolve(self.record, renewal=self.renewal)


def is_isolated(
    view: GroupView, settings: MembershipSettings, now_seconds: float
) -> bool:
    """Tell whether something newer may exist that nobody told of."""
    silence_seconds = view.contacts.silence_seconds(now_seconds)
    return silence_seconds >= settings.isolation_seconds


def other_addresses(view: GroupView) -> tuple[str, ...]:
    """List where other members may answer: the record's, then seeds."""
    known = dict.fromkeys(entry.address for entry in view.peers())
    known.update(dict.fromkeys(view.seeds))
    known.pop(view.own.address, None)
    return tuple(known)


def writer_rank(view: GroupView) -> int:
    """Give this member's place among those that may become the writer."""
    own_id = view.own.member_id
    able = {*view.record.members, own_id} - {view.record.writer}
    return order(view.record.writer, able | {own_id}).index(own_id)


def is_watcher(view: GroupView) -> bool:
    """Tell whether this member holds the watch of the configuration.

    The writer and one other member do.
    """
    writer = view.record.writer
    others = [one for one in view.record.members if one != writer]
    return view.own.member_id in {writer, first('texts/root', others)}
