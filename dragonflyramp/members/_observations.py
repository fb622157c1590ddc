"""Remember since when the counters of the group record stand unchanged."""

from collections.abc import Hashable, Iterator

import attrs

from dragonflyramp.members._groups import (
    GroupRecord,
    MemberEntry,
    SliceEntry,
)


@attrs.frozen
class _Sight:
    seen: Hashable
    first_seconds: float


@attrs.define
class Observations:
    """Time each counter on the clock of the process that observes it.

    The record carries no times, because the clocks of two members need not
    agree on anything but their rate.
    """

    _sights: dict[str, _Sight] = attrs.field(factory=dict)

    def look(self, record: GroupRecord, now_seconds: float) -> None:
        """Note the first sight of every counter that changed."""
        earlier = self._sights
        self._sights = {}
        for key, seen in _counters(record):
            sight = earlier.get(key)
            if sight is None or sight.seen != seen:
                sight = _Sight(seen, now_seconds)
            self._sights[key] = sight

    def restart(self, record: GroupRecord, now_seconds: float) -> None:
        """Observe every counter as if it were seen for the first time."""
        self._sights.clear()
        self.look(record, now_seconds)

    def member_unchanged_seconds(
        self, entry: MemberEntry, now_seconds: float
    ) -> float:
        """Give for how long a member has not reported."""
        return self._unchanged(_member_key(entry), entry.renewal, now_seconds)

    def slice_unchanged_seconds(
        self, entry: SliceEntry, now_seconds: float
    ) -> float:
        """Give for how long a slice's tenure has not been renewed."""
        return self._unchanged(_slice_key(entry), _tenure(entry), now_seconds)

    def behind_seconds(
        self, entry: MemberEntry, record: GroupRecord, now_seconds: float
    ) -> float:
        """Give for how long a member has adopted nothing that it should."""
        if entry.configuration_number >= record.configuration_number:
            return 0
        return self._unchanged(
            _number_key(entry), entry.configuration_number, now_seconds
        )

    def _unchanged(self, key: str, seen: Hashable, now_seconds: float) -> float:
        sight = self._sights.get(key)
        if sight is None or sight.seen != seen:
            return 0
        return now_seconds - sight.first_seconds


def _counters(record: GroupRecord) -> Iterator[tuple[str, Hashable]]:
    for member in record.members.values():
        yield _member_key(member), member.renewal
        if member.configuration_number < record.configuration_number:
            yield _number_key(member), member.configuration_number
    for entry in record.slices.values():
        yield _slice_key(entry), _tenure(entry)


def _member_key(entry: MemberEntry) -> str:
    return f'member {entry.member_id}'


def _number_key(entry: MemberEntry) -> str:
    return f'number {entry.member_id}'


def _slice_key(entry: SliceEntry) -> str:
    return f'slice {entry.slice_id}'


def _tenure(entry: SliceEntry) -> Hashable:
    return (entry.holder, entry.epoch, entry.renewal)
