"""Observe the answers of the open rollouts, for the coordinator's decisions."""

import collections
from typing import Protocol

import attrs

from dragonflyramp.rendezvous import rendezvous_hash
from dragonflyramp.rollouts._answer_counts import (
    NO_ANSWERS,
    AnswersByKey,
    ReportedAnswers,
)
from dragonflyramp.rollouts._comparisons import Sample, create_sample, judge
from dragonflyramp.rollouts._decisions import Inputs
from dragonflyramp.rollouts._known_rollouts import KnownRollouts, Rollout
from dragonflyramp.rollouts._orders import RolloutOrder
from dragonflyramp.rollouts._shares import Census

#: Period of the recent answers, in which a version that turns bad late shows.
_RECENT_SECONDS = 2
#: Enough for the period at five decisions per second.
_MAX_SNAPSHOTS = 32


class RolloutPeers(Protocol):
    """Daemons and replicas that take part in rollouts."""

    @property
    def own_name(self) -> str:
        """Return the name of this daemon."""

    def hub_names(self) -> list[str]:
        """Return the names of the hubs, which get the counts of all fronts."""

    def daemon_names(self) -> list[str]:
        """Return the names of all known daemons, including this one."""

    def take_census(self, order: RolloutOrder, now_seconds: float) -> Census:
        """Count the replicas of a service that can take requests."""


@attrs.define(eq=False)
class Observation:
    """What this daemon has observed of one rollout."""

    order_key: str
    since_seconds: float
    #: No write before this time.
    next_write_at_seconds: float = 0
    bad_replica_ids: frozenset[str] = frozenset()
    _snapshots: collections.deque[tuple[float, AnswersByKey]] = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_SNAPSHOTS)
    )

    def recent(self, answers: AnswersByKey, now_seconds: float) -> Sample:
        """Return the answers of the last seconds, and keep a snapshot."""
        earliest_seconds = now_seconds - _RECENT_SECONDS
        self._snapshots.append((now_seconds, answers))
        # The first snapshot is the last one before the period, once there is
        # one.
        while self._snapshots[-1] is not self._snapshots[0]:
            if self._snapshots[1][0] > earliest_seconds:
                break
            self._snapshots.popleft()
        taken_at_seconds, oldest = self._snapshots[0]
        if taken_at_seconds > earliest_seconds:
            return create_sample(answers)
        return create_sample(
            {
                key: counts.minus(oldest.get(key, NO_ANSWERS))
                for key, counts in answers.items()
            }
        )


@attrs.define(eq=False, kw_only=True)
class Observer:
    """Collect the inputs of the coordinator's decisions."""

    known: KnownRollouts
    reported: ReportedAnswers
    peers: RolloutPeers
    #: Cap of the share of a version that is tested.
    cap_share: float
    by_service: dict[str, Observation] = attrs.field(factory=dict)

    def observe(self, service: str, now_seconds: float) -> Inputs | None:
        """Return the inputs of a decision; None on daemons that are no hub."""
        rollout = self.known.find(service)
        hub_names = self.peers.hub_names()
        if rollout is None or self.peers.own_name not in hub_names:
            return None
        observation = self._observation(rollout, now_seconds)
        answers = self.reported.answers(service, rollout.order.key)
        sample = create_sample(answers)
        recent = observation.recent(answers, now_seconds)
        verdict = judge((sample, recent))
        # A replica that was bad for a while stays excluded.
        observation.bad_replica_ids |= verdict.bad_replica_ids
        record = rollout.record
        return Inputs(
            own_name=self.peers.own_name,
            own_rank=_rank(service, self.peers.own_name, hub_names),
            rollout=rollout,
            elapsed_seconds=rollout.elapsed_seconds(now_seconds),
            unchanged_seconds=self._unchanged_seconds(rollout, now_seconds),
            is_coordinator_hub=record is not None
            and record.coordinator in hub_names,
            observed_seconds=now_seconds - observation.since_seconds,
            verdict=attrs.evolve(
                verdict, bad_replica_ids=observation.bad_replica_ids
            ),
            sample=sample,
            recent=recent,
            census=self.peers.take_census(rollout.order, now_seconds),
            undrained_count=self._undrained_count(rollout.order),
            cap_share=self.cap_share,
            wall_clock_ms=self.known.start_times.wall_clock_ms(),
        )

    def _observation(self, rollout: Rollout, now_seconds: float) -> Observation:
        service = rollout.order.service
        observation = self.by_service.get(service)
        if observation is None or observation.order_key != rollout.order.key:
            observation = Observation(rollout.order.key, now_seconds)
            self.by_service[service] = observation
        return observation

    def _unchanged_seconds(self, rollout: Rollout, now_seconds: float) -> float:
        if rollout.stored is None:
            return rollout.elapsed_seconds(now_seconds)
        service = rollout.order.service
        return now_seconds - self.known.changed_at_seconds[service]

    def _undrained_count(self, order: RolloutOrder) -> int:
        own_key = self.reported.own.drained_orders.get(order.service)
        return int(own_key != order.key) + sum(
            not self.reported.has_drained(name, order.service, order.key)
            for name in self.peers.daemon_names()
            if name != self.peers.own_name
        )


def _rank(service: str, own_name: str, hub_names: list[str]) -> int:
    """Return the position of this daemon among the hubs for a service."""
    own_hash = rendezvous_hash(service, own_name)
    return sum(rendezvous_hash(service, name) < own_hash for name in hub_names)
