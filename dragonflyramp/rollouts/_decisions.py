"""Decide what the coordinator of a rollout does next."""

import attrs

from dragonflyramp.rollouts._comparisons import (
    Sample,
    Verdict,
    is_cleared,
    is_failing,
    is_fit,
)
from dragonflyramp.rollouts._known_rollouts import Rollout
from dragonflyramp.rollouts._orders import RolloutState
from dragonflyramp.rollouts._records import Phase, RolloutRecord
from dragonflyramp.rollouts._shares import Census, ShareInputs, with_share

#: Delay of each further hub before it creates or takes over a record.
_RANK_DELAY_SECONDS = 0.5
#: The record is written at least this often, as a share of the duration, and
#: within these limits.
_BEAT_SHARE = 0.08
_MIN_BEAT_SECONDS = 1
_MAX_BEAT_SECONDS = 2
#: Intervals without a write after which another hub takes over; fewer suffice
#: if the coordinator is no hub any more.
_LOST_BEATS = 2.5
_LOST_HUB_BEATS = 1.5

#: Shares of the duration at which a rollout may be completed, may be completed
#: with less evidence, has to be decided, and its status is written at last.
_DECISION_SHARE = 0.6
_LATE_DECISION_SHARE = 0.75
_LAST_DECISION_SHARE = 0.85
_STATUS_SHARE = 0.75
#: Shares of the duration for which the answers were observed before that.
_MIN_OBSERVED_SHARE = 0.2
_MAX_OBSERVED_SHARE = 0.4
#: Shortest time that the fronts get to hear of a late decision.
_MIN_SWITCHING_SECONDS = 1
_ENOUGH_GOOD_COUNT = 20
#: Fronts report their counts about once a second; the rate of requests is known
#: after some reports.
_REPORT_DELAY_SECONDS = 1
_MIN_COUNTED_SECONDS = 0.5
#: Slots of the target replicas as a share of those of the others, below which
#: the decision waits for more of them.
_MIN_CAPACITY_SHARE = 0.5


@attrs.frozen(kw_only=True)
class Inputs:
    """What a decision depends on."""

    own_name: str
    #: Position of this daemon among the hubs for the service.
    own_rank: int
    rollout: Rollout
    #: Time since the order.
    elapsed_seconds: float
    #: Time since the record changed, or since the order without one.
    unchanged_seconds: float
    #: Whether the coordinator in the record is one of the hubs.
    is_coordinator_hub: bool
    #: For how long this daemon has observed the rollout.
    observed_seconds: float
    verdict: Verdict
    #: All answers, and those of the last seconds.
    sample: Sample
    recent: Sample
    census: Census
    #: Number of daemons that may have requests at old replicas.
    undrained_count: int
    #: Cap of the share while the version is tested.
    cap_share: float
    wall_clock_ms: int

    @property
    def elapsed_share(self) -> float:
        """Return the elapsed part of the duration."""
        return self.elapsed_seconds / self.rollout.order.duration_seconds

    @property
    def observed_share(self) -> float:
        """Return the observed part of the duration."""
        return self.observed_seconds / self.rollout.order.duration_seconds

    @property
    def share_inputs(self) -> ShareInputs:
        """Return what the share depends on."""
        total = self.sample.target_total().plus(self.sample.others_total())
        counted_seconds = self.observed_seconds - _REPORT_DELAY_SECONDS
        return ShareInputs(
            census=self.census,
            bad_replica_ids=self.verdict.bad_replica_ids,
            good_count=self.sample.target_total().good,
            elapsed_share=self.elapsed_share,
            requests_per_second=total.total / counted_seconds
            if counted_seconds >= _MIN_COUNTED_SECONDS
            else 0,
            cap_share=self.cap_share,
        )


@attrs.frozen(kw_only=True)
class Step:
    """Writes that follow from a decision: the record, then the status."""

    record: RolloutRecord | None = None
    status: RolloutState | None = None
    #: Reason for a change of phase or coordinator, for the log.
    reason: str = ''


_NOTHING = Step()


def decide(inputs: Inputs) -> Step:
    """Return what this daemon writes next, if anything."""
    if not inputs.rollout.order.is_open:
        return _NOTHING
    record = inputs.rollout.record
    if record is None:
        return _claim(inputs)
    if record.coordinator != inputs.own_name:
        return _take_over(inputs, record)
    return _continue(inputs, record)


def beat_seconds(duration_seconds: float) -> float:
    """Return how often the record of a rollout is written."""
    return min(
        _MAX_BEAT_SECONDS,
        max(_MIN_BEAT_SECONDS, duration_seconds * _BEAT_SHARE),
    )


def _claim(inputs: Inputs) -> Step:
    delay_seconds = inputs.own_rank * _RANK_DELAY_SECONDS
    if inputs.unchanged_seconds < delay_seconds:
        return _NOTHING
    elapsed_ms = int(inputs.elapsed_seconds * 1000)
    record = RolloutRecord(
        order_key=inputs.rollout.order.key,
        coordinator=inputs.own_name,
        started_ms=max(0, inputs.wall_clock_ms - elapsed_ms),
    )
    return Step(
        record=with_share(inputs.share_inputs, record), reason='claimed'
    )


def _take_over(inputs: Inputs, record: RolloutRecord) -> Step:
    beats = _LOST_HUB_BEATS
    if inputs.is_coordinator_hub:
        beats = _LOST_BEATS
    limit_seconds = (
        beats * beat_seconds(inputs.rollout.order.duration_seconds)
        + inputs.own_rank * _RANK_DELAY_SECONDS
    )
    if inputs.unchanged_seconds < limit_seconds:
        return _NOTHING
    taken = attrs.evolve(_next_beat(record), coordinator=inputs.own_name)
    return Step(record=taken, reason='taken_over')


def _continue(inputs: Inputs, record: RolloutRecord) -> Step:
    if record.phase is Phase.testing:
        return _test(inputs, record)
    if record.phase is Phase.switching:
        return _switch(inputs, record)
    return Step(record=_next_beat(record), status=RolloutState.rolled_back)


def _test(inputs: Inputs, record: RolloutRecord) -> Step:
    if inputs.verdict.is_bad(len(inputs.census.target_slots)):
        return _roll_back(record, 'bad_answers')
    if _may_complete(inputs):
        switched = attrs.evolve(_next_beat(record), phase=Phase.switching)
        return Step(record=switched, reason='good_answers')
    elapsed_share = inputs.elapsed_share
    if (
        elapsed_share >= _LAST_DECISION_SHARE
        and inputs.observed_share >= _MAX_OBSERVED_SHARE
    ):
        return _roll_back(record, 'unproven')
    is_announced = inputs.rollout.order.state is not None
    status = None if is_announced else RolloutState.running
    changed = with_share(inputs.share_inputs, record)
    if changed == record and not _is_beat_due(inputs):
        return Step(status=status)
    return Step(record=_next_beat(changed), status=status)


def _switch(inputs: Inputs, record: RolloutRecord) -> Step:
    if is_failing(inputs.recent.without(inputs.verdict.bad_replica_ids)):
        return _roll_back(record, 'failures_after_switch')
    is_late = (
        inputs.elapsed_share >= _STATUS_SHARE
        and inputs.unchanged_seconds >= _MIN_SWITCHING_SECONDS
    )
    if not inputs.undrained_count or is_late:
        return Step(record=_next_beat(record), status=RolloutState.completed)
    # A late decision waits for a time without writes.
    if _is_beat_due(inputs) and inputs.elapsed_share < _STATUS_SHARE:
        return Step(record=_next_beat(record))
    return _NOTHING


def _may_complete(inputs: Inputs) -> bool:
    is_due = (
        inputs.elapsed_share >= _DECISION_SHARE
        and inputs.observed_share >= _MIN_OBSERVED_SHARE
    )
    if not is_due or not inputs.census.target_slots or not _is_proven(inputs):
        return False
    if inputs.elapsed_share >= _LATE_DECISION_SHARE:
        return True
    # The fault of one replica may be one of the version that shows rarely.
    return not inputs.verdict.bad_replica_ids and _has_enough(inputs)


def _is_proven(inputs: Inputs) -> bool:
    """Return whether the answers show no fault, and not too little."""
    bad_replica_ids = inputs.verdict.bad_replica_ids
    tested = inputs.sample.without(bad_replica_ids)
    is_idle = not inputs.sample.others_total().total
    return (
        (tested.target_total().good > 0 or is_idle)
        and is_fit(tested)
        # A version may have turned bad a moment ago.
        and is_fit(inputs.recent.without(bad_replica_ids))
        and is_cleared(inputs.sample, bad_replica_ids)
    )


def _has_enough(inputs: Inputs) -> bool:
    """Return whether answers and replicas suffice without waiting longer."""
    census = inputs.census
    capacity = sum(census.target_slots.values())
    return (
        inputs.sample.target_total().good >= _ENOUGH_GOOD_COUNT
        and capacity >= census.other_slots * _MIN_CAPACITY_SHARE
    )


def _roll_back(record: RolloutRecord, reason: str) -> Step:
    rolled_back = attrs.evolve(
        _next_beat(record), phase=Phase.rolled_back, share=0, replica_ids=()
    )
    return Step(record=rolled_back, reason=reason)


def _is_beat_due(inputs: Inputs) -> bool:
    interval_seconds = beat_seconds(inputs.rollout.order.duration_seconds)
    return inputs.unchanged_seconds >= interval_seconds


def _next_beat(record: RolloutRecord) -> RolloutRecord:
    return attrs.evolve(record, beat=record.beat + 1)
