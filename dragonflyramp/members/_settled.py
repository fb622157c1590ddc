"""Find the configuration number that every lease in use reflects."""

import attrs

from dragonflyramp.members._groups import GroupRecord
from dragonflyramp.members._settings import MembershipSettings


#: Sights kept in a burst of changes; a daemon that never asks drops more.
_MAX_SIGHTS = 64


@attrs.frozen
class _Sight:
    number: int
    first_seconds: float


@attrs.define
class SettledNumbers:
    """Time how long records have shown that holders adopted a number.

    A holder cut off from the writer may live on its deputies' promises
    with an older configuration, so the record's own number is not enough:
    each holder must have reported the number, or have lost its slices by
    takeover. What it sent before ends within the longest deadline.
    """

    _settings: MembershipSettings
    _sights: list[_Sight] = attrs.field(factory=list)

    def see_record(self, record: GroupRecord, now_seconds: float) -> None:
        """Note the first sight of a higher number."""
        number = reflected_number(record)
        if not self._sights or number > self._sights[-1].number:
            self._sights.append(_Sight(number, now_seconds))
        if len(self._sights) > _MAX_SIGHTS:
            self._sights.pop(1)

    def settled(
        self, longest_deadline_seconds: float, now_seconds: float
    ) -> int:
        """Give the highest number that has been reflected for long enough."""
        wait_seconds = self._settings.settle_seconds(longest_deadline_seconds)
        settled = [
            sight
            for sight in self._sights
            if now_seconds - sight.first_seconds >= wait_seconds
        ]
        if not settled:
            return 0
        self._sights = self._sights[len(settled) - 1 :]
        return settled[-1].number


def reflected_number(record: GroupRecord) -> int:
    """Give the lowest number among the record's and its holders'."""
    numbers = [record.configuration_number]
    for entry in record.slices.values():
        holder = record.members.get(entry.holder)
        if holder is not None:
            numbers.append(holder.configuration_number)
    return min(numbers)
