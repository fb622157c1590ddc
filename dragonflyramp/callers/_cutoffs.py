"""Decide when a search stops waiting for its slowest shards."""

from typing import Protocol

import attrs

from dragonflyramp.routes import answer_due_ms, required_shard_count


@attrs.frozen(kw_only=True)
class Progress:
    """Progress of a search, counted in shards."""

    shard_count: int
    succeeded_count: int
    failed_count: int
    #: Share of successful shards that an answer requires, from 0 to 1.
    min_share: float

    @property
    def required_count(self) -> int:
        """Return the number of successful shards that an answer requires."""
        return required_shard_count(self.shard_count, self.min_share)

    @property
    def is_sufficient(self) -> bool:
        """Return whether enough shards have succeeded for an answer."""
        return self.succeeded_count >= self.required_count

    @property
    def is_infeasible(self) -> bool:
        """Return whether too many shards have failed for any answer."""
        return self.shard_count - self.failed_count < self.required_count

    @property
    def is_finished(self) -> bool:
        """Return whether every shard has succeeded or failed."""
        return self.succeeded_count + self.failed_count == self.shard_count


class CutoffPolicy(Protocol):
    """Policy for when a search may return a partial answer.

    It balances coverage against latency when some shards are slow: the value
    of an answer is the square of the share of shards that it covers, and a
    tenth of that when it is late.
    """

    def cutoff_at_seconds(
        self,
        received_at_seconds: float,
        target_ms: float,
        deadline_at_seconds: float,
        *,
        is_connection_kept: bool = False,
    ) -> float:
        """Return the time from which a partial answer is allowed.

        Times are monotonic, in seconds. A caller on a new connection has spent
        a part of the target on its setup.
        """

    def record_answer(
        self, cutoff_at_seconds: float, answered_at_seconds: float
    ) -> None:
        """Record when a search that ended at its cutoff was answered."""


@attrs.define(eq=False)
class TargetCutoff(CutoffPolicy):
    """Wait for all shards as long as the latency target can be met.

    A busy event loop answers later than planned. It has taken about as long to
    read the request, which this daemon cannot measure.
    """

    #: Moving average of how late searches were answered after their cutoffs.
    _lag_ms: float = 0

    def cutoff_at_seconds(
        self,
        received_at_seconds: float,
        target_ms: float,
        deadline_at_seconds: float,
        *,
        is_connection_kept: bool = False,
    ) -> float:
        """Return the target time less the latency outside the search.

        At least half the target remains for the search, unless the deadline is
        earlier.
        """
        lag_ms = min(_LAG_FACTOR * self._lag_ms, _MAX_LAG_SHARE * target_ms)
        due_ms = answer_due_ms(target_ms, is_connection_kept=is_connection_kept)
        due_ms = max(due_ms - lag_ms, target_ms / 2)
        return min(received_at_seconds + due_ms / 1000, deadline_at_seconds)

    def record_answer(
        self, cutoff_at_seconds: float, answered_at_seconds: float
    ) -> None:
        """Add how late the search was answered to the moving average."""
        lag_ms = (answered_at_seconds - cutoff_at_seconds) * 1000
        self._lag_ms += _LAG_WEIGHT * (max(0, lag_ms) - self._lag_ms)


@attrs.frozen
class DeadlineCutoff(CutoffPolicy):
    """Wait for all shards until the deadline; a baseline for benchmarks."""

    def cutoff_at_seconds(
        self,
        received_at_seconds: float,
        target_ms: float,
        deadline_at_seconds: float,
        *,
        is_connection_kept: bool = False,
    ) -> float:
        """Return the deadline."""
        return deadline_at_seconds

    def record_answer(
        self, cutoff_at_seconds: float, answered_at_seconds: float
    ) -> None:
        """Do nothing, because nothing is cut off."""


#: Weight of the newest sample in the moving average.
_LAG_WEIGHT = 0.2
#: The lag counts twice, before and after the search.
_LAG_FACTOR = 2
#: Limit on the lag that is taken off, as a share of the latency target.
_MAX_LAG_SHARE = 0.12
