"""Decide when a round of a search ends, and what follows."""

import math

import attrs

from dragonflyramp.callers._planning import Planner, SnapshotView
from dragonflyramp.callers._quarantine import Quarantine
from dragonflyramp.callers._rounds import Round
from dragonflyramp.callers._settings import DeadlineSettings
from dragonflyramp.callers._stragglers import StragglerPolicy


@attrs.define(kw_only=True, eq=False)
class Endings:
    """Tell when a round is over; every time is monotonic seconds."""

    planner: Planner
    quarantine: Quarantine
    stragglers: StragglerPolicy
    settings: DeadlineSettings

    def is_over(self, round_: Round, now_seconds: float) -> bool:
        """Tell whether the round ends now."""
        return (
            round_.is_done
            or self.ends_at(round_) <= now_seconds
            or self.is_refused(round_, now_seconds)
            or self.restart_view(round_, now_seconds) is not None
        )

    def ends_at(self, round_: Round) -> float:
        """Return when the round ends if nothing more happens."""
        job = round_.job
        answer_at = self.stragglers.answer_at(
            job.service,
            round_.gather.documents.fraction,
            job.request.received_seconds,
        )
        if answer_at is None:
            answer_at = math.inf
        return min(answer_at, job.split.gather_until_seconds)

    def is_refused(self, round_: Round, now_seconds: float) -> bool:
        """Tell whether the request was quarantined meanwhile."""
        return self.quarantine.contains(round_.job.fingerprint, now_seconds)

    def restart_view(
        self, round_: Round, now_seconds: float
    ) -> SnapshotView | None:
        """Choose another snapshot when shards lost the pinned one.

        The other one has to reach more documents than are left here, or as
        many at a newer generation.
        """
        if not round_.gone or not self._may_restart(round_, now_seconds):
            return None
        documents = round_.view.documents
        lost = sum(documents.get(shard, 0) for shard in round_.gone)
        rank = (round_.view.reachable - lost, round_.view.generation)
        views = self.planner.plan(round_.job.service.name).views
        for view in views:
            if view.snapshot_id != round_.view.snapshot_id:
                is_better = (view.reachable, view.generation) > rank
                return view if is_better else None
        return None

    def _may_restart(self, round_: Round, now_seconds: float) -> bool:
        left_seconds = round_.job.split.gather_until_seconds - now_seconds
        floor_seconds = self.settings.restart_floor_ms / 1000
        return not round_.is_restart and left_seconds >= floor_seconds
