"""Decide when a holder may use its slices and answer for the lease table.

Every time is on the holder's own clock. A lease counts from the start of
the exchange that renewed it, because the writer or the deputy begins to
count later than that.
"""

import math
from collections.abc import Iterable

import attrs

from dragonflyramp.members._groups import (
    EMPTY_RECORD,
    GroupRecord,
    SliceEntry,
)
from dragonflyramp.members._messages import SliceEpoch
from dragonflyramp.members._settings import MembershipSettings
from dragonflyramp.models import MemberId

#: End of a lease that was never renewed.
NEVER = -math.inf


@attrs.define
class HolderLeases:
    """Keep the starts of the exchanges that renewed this member's tenures.

    A renewal counts only if the member has adopted at least the highest
    configuration number that any record or reply showed it: with an older
    one it could serve shards that now belong to a slice of another relay.
    """

    _own_id: MemberId
    _settings: MembershipSettings
    _record: GroupRecord = EMPTY_RECORD
    _required_number: int = 0
    _renewed: dict[SliceEpoch, float] = attrs.field(factory=dict)
    _promised: dict[SliceEpoch, dict[MemberId, float]] = attrs.field(
        factory=dict
    )

    def see_record(self, record: GroupRecord) -> None:
        """Use a newer record and forget the tenures that it ended."""
        self._record = record
        self._require(record.configuration_number)
        held = {tenure_of(entry) for entry in self.held()}
        for starts in (self._renewed, self._promised):
            for tenure in starts.keys() - held:
                starts.pop(tenure)

    def held(self) -> tuple[SliceEntry, ...]:
        """List the slices whose holder this member is by the record."""
        return tuple(
            entry
            for entry in self._record.slices.values()
            if entry.holder == self._own_id
        )

    def note_renewal(
        self, started_seconds: float, *, shown: int, adopted: int
    ) -> None:
        """Renew all tenures by a heartbeat that a write covered.

        `shown` is the configuration number in the reply and `adopted` the
        one that this member has now.
        """
        self._require(shown)
        if adopted < self._required_number:
            return
        for entry in self.held():
            tenure = tenure_of(entry)
            earlier = self._renewed.get(tenure, NEVER)
            self._renewed[tenure] = max(earlier, started_seconds)

    def note_promises(  # noqa: WPS211 - the three numbers of one exchange
        self,
        deputy_id: MemberId,
        promised: Iterable[SliceEpoch],
        started_seconds: float,
        *,
        shown: int,
        adopted: int,
    ) -> None:
        """Note the tenures that a deputy promised not to renounce."""
        self._require(shown)
        if adopted < self._required_number:
            return
        held = {tenure_of(entry) for entry in self.held()}
        for tenure in held.intersection(promised):
            starts = self._promised.setdefault(tenure, {})
            earlier = starts.get(deputy_id, NEVER)
            starts[deputy_id] = max(earlier, started_seconds)

    def until_seconds(self, entry: SliceEntry) -> float:
        """Give the end of the lease of a slice that this member holds."""
        renewed = self._renewed.get(tenure_of(entry), NEVER)
        started_seconds = max(renewed, self._extended(entry))
        return started_seconds + self._settings.lease_term_seconds

    def _extended(self, entry: SliceEntry) -> float:
        """Give the earliest of the latest exchanges with all deputies."""
        starts = self._promised.get(tenure_of(entry), {})
        return min(
            (starts.get(deputy, NEVER) for deputy in entry.deputies),
            default=NEVER,
        )

    def _require(self, number: int) -> None:
        self._required_number = max(self._required_number, number)


def tenure_of(entry: SliceEntry) -> SliceEpoch:
    """Name the present tenure of a slice."""
    return SliceEpoch(entry.slice_id, entry.epoch)
