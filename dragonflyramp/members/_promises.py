"""Decide what a deputy promises and when it renounces a tenure."""

import attrs

from dragonflyramp.members._groups import EMPTY_RECORD, GroupRecord
from dragonflyramp.members._leases import tenure_of
from dragonflyramp.members._messages import SliceEpoch
from dragonflyramp.members._settings import MembershipSettings
from dragonflyramp.models import MemberId, SliceId


#: Promises for slices that no record names any more are kept this long,
#: which is longer than any lapse.
_KEPT_SECONDS = 3600


@attrs.frozen
class _Made:
    epoch: int
    made_seconds: float


@attrs.define
class DeputyPromises:
    """Keep the promises of this member to holders of slices.

    They live as long as the process: a restarted one has a new member id
    and is no deputy.
    """

    _own_id: MemberId
    _settings: MembershipSettings
    _record: GroupRecord = EMPTY_RECORD
    _named: dict[SliceEpoch, float] = attrs.field(factory=dict)
    _made: dict[SliceId, _Made] = attrs.field(factory=dict)
    _renounced: dict[SliceId, int] = attrs.field(factory=dict)

    def see_record(self, record: GroupRecord, now_seconds: float) -> None:
        """Use a newer record and note since when it names this member."""
        self._record = record
        self._named = {
            tenure: self._named.get(tenure, now_seconds)
            for tenure in _named_tenures(record, self._own_id)
        }
        self._made = {
            slice_id: made
            for slice_id, made in self._made.items()
            if slice_id in record.slices
            or now_seconds - made.made_seconds < _KEPT_SECONDS
        }

    def promise(
        self, holder_id: MemberId, tenure: SliceEpoch, now_seconds: float
    ) -> bool:
        """Promise not to renounce a tenure, unless it is or was over."""
        if tenure.epoch <= self._renounced.get(tenure.slice_id, -1):
            return False
        if self._is_over(holder_id, tenure):
            return False
        self._made[tenure.slice_id] = _Made(tenure.epoch, now_seconds)
        return True

    def renounce(
        self, longest_deadline_seconds: float, now_seconds: float
    ) -> None:
        """Renounce the tenures whose last promise has lapsed."""
        lapse_seconds = self._settings.lapse_seconds(longest_deadline_seconds)
        for named in self._named:
            if now_seconds - self._last_seconds(named) >= lapse_seconds:
                self._renounced[named.slice_id] = named.epoch

    def renounced(self) -> tuple[SliceEpoch, ...]:
        """List the renounced tenures that the record still shows.

        A tenure in it is never promised again, whether the writer hears
        of it or not.
        """
        return tuple(
            tenure
            for tenure in self._named
            if self._renounced.get(tenure.slice_id) == tenure.epoch
        )

    def _is_over(self, holder_id: MemberId, tenure: SliceEpoch) -> bool:
        made = self._made.get(tenure.slice_id)
        if made is not None and made.epoch > tenure.epoch:
            return True
        entry = self._record.slices.get(tenure.slice_id)
        if entry is None or entry.epoch < tenure.epoch:
            return False
        return entry.epoch > tenure.epoch or entry.holder != holder_id

    def _last_seconds(self, tenure: SliceEpoch) -> float:
        """Give the last promise, or the first sight of the own name."""
        named_seconds = self._named[tenure]
        made = self._made.get(tenure.slice_id)
        if made is None or made.epoch != tenure.epoch:
            return named_seconds
        return max(named_seconds, made.made_seconds)


def _named_tenures(
    record: GroupRecord, member_id: MemberId
) -> list[SliceEpoch]:
    return [
        tenure_of(entry)
        for entry in record.slices.values()
        if member_id in entry.deputies or member_id in entry.former
    ]
