"""Decide how long a search waits for its last shards."""

import math
from typing import Protocol

import attrs

#: Time between the caller's first byte and this daemon, and back: opening a
#: connection, the network both ways, and a share for queueing.
_WAY_MS = 12.0
_WAY_SHARE = 0.03


@attrs.frozen(kw_only=True)
class Progress:
    """Hold how far a search has come."""

    total: int
    merged: int
    failed: int
    min_share: float

    @property
    def needed(self) -> int:
        """Count the shards that an answer needs at least."""
        return max(1, math.ceil(self.min_share * self.total - _ROUNDING))

    @property
    def is_enough(self) -> bool:
        """Tell whether the shards that are in make an answer."""
        return self.merged >= self.needed

    @property
    def is_hopeless(self) -> bool:
        """Tell whether too many shards failed for an answer."""
        return self.total - self.failed < self.needed

    @property
    def is_over(self) -> bool:
        """Tell whether nothing more will come."""
        return self.merged + self.failed == self.total


class Patience(Protocol):
    """Choose when a search answers without all shards.

    Answers the load of shards that straggle: the worth of an answer falls
    with the square of the share that is missing, and to a tenth when late.
    """

    def answer_at_seconds(
        self, received_seconds: float, target_ms: float, deadline_seconds: float
    ) -> float:
        """Give the time from which enough shards are an answer."""


@attrs.frozen
class TargetPatience(Patience):
    """Wait for all shards until the answer would miss the target."""

    def answer_at_seconds(
        self, received_seconds: float, target_ms: float, deadline_seconds: float
    ) -> float:
        """Leave time for the way back."""
        way_ms = _WAY_MS + target_ms * _WAY_SHARE
        answer_ms = max(target_ms - way_ms, target_ms / 2)
        return min(received_seconds + answer_ms / 1000, deadline_seconds)


@attrs.frozen
class DeadlinePatience(Patience):
    """Wait for all shards until the deadline; for comparisons."""

    def answer_at_seconds(
        self, received_seconds: float, target_ms: float, deadline_seconds: float
    ) -> float:
        """Give the deadline."""
        return deadline_seconds


#: Keeps 0.9 x 10 from needing ten shards.
_ROUNDING = 1e-9
