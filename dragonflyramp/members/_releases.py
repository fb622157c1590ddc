"""Decide when a holder stops using a slice and when it releases it."""

import math
from collections.abc import Iterable, Sequence, Set

import attrs

from dragonflyramp.members._groups import SliceEntry
from dragonflyramp.members._leases import tenure_of
from dragonflyramp.members._messages import SliceEpoch
from dragonflyramp.members._rendezvous import NOBODY
from dragonflyramp.models import SliceId


@attrs.define
class Releases:
    """Keep the tenures that this holder stopped using or released.

    A holder stops, waits until nothing that it sent can still run, hands
    the warmth over, and releases. Until the release it may resume; a
    released tenure is never used again.
    """

    _stopped: dict[SliceEpoch, float] = attrs.field(factory=dict)
    _released: set[SliceEpoch] = attrs.field(factory=set)

    def update(
        self,
        held: Sequence[SliceEntry],
        configured: Set[SliceId] | None,
        now_seconds: float,
    ) -> None:
        """Stop what has a successor or is not configured; resume the rest.

        `configured` is None while the adopted configuration is older than
        the one that the record was written with.
        """
        given_up = {
            tenure_of(entry)
            for entry in held
            if entry.successor != NOBODY
            or (configured is not None and entry.slice_id not in configured)
        }
        self._released &= {tenure_of(entry) for entry in held}
        self._stopped = {
            tenure: self._stopped.get(tenure, now_seconds)
            for tenure in given_up | self._released
        }

    def is_stopped(self, tenure: SliceEpoch) -> bool:
        """Tell whether the holder must not use a tenure now."""
        return tenure in self._stopped

    def ready(
        self, drain_seconds: float, now_seconds: float
    ) -> frozenset[SliceEpoch]:
        """List tenures under which nothing runs and that can be released."""
        return frozenset(
            tenure
            for tenure, stopped_seconds in self._stopped.items()
            if now_seconds - stopped_seconds >= drain_seconds
            and tenure not in self._released
        )

    def next_ready_seconds(
        self, drain_seconds: float, now_seconds: float
    ) -> float:
        """Give the time until the next tenure becomes ready."""
        waits = [
            stopped_seconds + drain_seconds - now_seconds
            for stopped_seconds in self._stopped.values()
        ]
        return min((wait for wait in waits if wait > 0), default=math.inf)

    def release(self, tenures: Iterable[SliceEpoch]) -> None:
        """Release tenures for good."""
        self._released.update(self._stopped.keys() & set(tenures))

    @property
    def released(self) -> tuple[SliceEpoch, ...]:
        """List the released tenures that the record still shows."""
        return tuple(self._released)
