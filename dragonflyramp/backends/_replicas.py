"""Keep what a relay knows of each replica."""

import math
from collections import deque

import attrs
from loguru import logger

from dragonflyramp.backends._clients import Status
from dragonflyramp.backends._latencies import RequestKind, SmoothedLatency
from dragonflyramp.backends._leaving import LeavingSignal, LeavingState
from dragonflyramp.backends._policies import PolicySet
from dragonflyramp.backends._ramp import RampState
from dragonflyramp.backends._settings import BackendSettings
from dragonflyramp.backends._snapshots import HeldSnapshots
from dragonflyramp.metrics import counters
from dragonflyramp.models import Replica, VmState, Warmth

_LATENCY_WEIGHT = 0.3
_FORMER_INSTANCES = 4
_MAX_FAILED_OPENS = 2


def _new_latencies() -> dict[RequestKind, SmoothedLatency]:
    return {
        kind: SmoothedLatency(weight=_LATENCY_WEIGHT) for kind in RequestKind
    }


@attrs.define(kw_only=True, eq=False)
class ReplicaState:
    """Hold the state of one replica; `running` counts requests handed out."""

    replica: Replica
    ramp: RampState
    last_contact_seconds: float
    leaving: LeavingState = attrs.field(factory=LeavingState)
    snapshots: HeldSnapshots = attrs.field(factory=HeldSnapshots)
    latencies: dict[RequestKind, SmoothedLatency] = attrs.field(
        factory=_new_latencies
    )
    instance_id: str = ''
    former_instances: deque[str] = attrs.field(
        factory=lambda: deque(maxlen=_FORMER_INSTANCES)
    )
    listed: VmState = VmState.live
    running: int = 0
    failed_opens: int = 0

    @property
    def is_warm(self) -> bool:
        """Tell whether the replica is proven to bear all its slots."""
        return self.ramp.warmth is Warmth.warm


@attrs.frozen
class ReplicaObserver:
    """Take what is seen of a replica into its state."""

    policies: PolicySet
    settings: BackendSettings

    def note_status(
        self, state: ReplicaState, status: Status, now_seconds: float
    ) -> None:
        """Take in a status; it never raises what the replica may get.

        A status of an earlier instance is out of date and is ignored.
        """
        if status.instance_id in state.former_instances:
            counters.add('stale_statuses', 'former_instance')
            return
        self.note_instance(state, status.instance_id, now_seconds)
        state.snapshots.replace(status.snapshots, now_seconds)
        self.note_load(state, status.load, now_seconds)
        if status.draining:
            self.note_leaving(state, LeavingSignal.drain_sign)
        else:
            self.policies.leaving.note_instance(
                state.leaving, status.instance_id
            )

    def note_instance(
        self, state: ReplicaState, instance_id: str, now_seconds: float
    ) -> None:
        """Take in a sign of life; a new instance is cold."""
        state.last_contact_seconds = now_seconds
        state.failed_opens = 0
        if instance_id in {'', state.instance_id, *state.former_instances}:
            return
        if state.instance_id:
            state.former_instances.append(state.instance_id)
            state.snapshots.clear()
            self.turn_cold(state, 'new_instance', now_seconds)
        state.instance_id = instance_id

    def note_load(
        self, state: ReplicaState, load: float | None, now_seconds: float
    ) -> None:
        """Take in a load; it is out of date after a few periods."""
        if load is not None:
            valid_seconds = 3 * self.settings.status_period_seconds
            state.ramp.note_load(load, now_seconds + valid_seconds)

    def note_leaving(self, state: ReplicaState, signal: LeavingSignal) -> None:
        """Take in a sign that the current instance leaves."""
        policy = self.policies.leaving
        was_leaving = policy.is_leaving(state.leaving)
        policy.note_signal(state.leaving, signal, state.instance_id)
        if not was_leaving:
            counters.add('replicas_leaving', signal.name)
            logger.info(
                'Replica {} of {} is leaving: {}',
                state.replica.replica_id,
                state.replica.shard,
                signal.name,
            )

    def note_failed_open(self, state: ReplicaState, now_seconds: float) -> None:
        """Take in that no connection could be opened in time.

        A second time without a reply in between, the replica gets no job
        until its status can be read.
        """
        state.failed_opens += 1
        if state.failed_opens >= _MAX_FAILED_OPENS:
            state.last_contact_seconds = -math.inf
            self.turn_cold(state, 'unreachable', now_seconds)

    def is_silent(self, state: ReplicaState, now_seconds: float) -> bool:
        """Tell whether a replica gave no reply for too long; it is cold then.

        This also covers a time in which this process was paused.
        """
        silent_seconds = now_seconds - state.last_contact_seconds
        if silent_seconds <= self.settings.silent_replica_seconds:
            return False
        if state.ramp.warmth is not Warmth.cold:
            self.turn_cold(state, 'silent', now_seconds)
        return True

    def turn_cold(
        self, state: ReplicaState, reason: str, now_seconds: float
    ) -> None:
        """Return a replica to cold for a reason other than a request."""
        former = state.ramp.warmth
        self.policies.ramp.restart(state.ramp, now_seconds)
        if state.ramp.warmth is not former:
            log_warmth(state, reason)


def log_warmth(state: ReplicaState, reason: str) -> None:
    """Count and log that a replica's warmth changed."""
    warmth = state.ramp.warmth
    counters.add(f'replicas_{warmth.name}', reason)
    logger.info(
        'Replica {} of {} is {}: {}',
        state.replica.replica_id,
        state.replica.shard,
        warmth.name,
        reason,
    )
