"""Describe the replicas for the status page."""

import attrs

from dragonflyramp.backends._contexts import TierContext
from dragonflyramp.backends._latencies import RequestKind
from dragonflyramp.backends._replicas import ReplicaState

_MS_PER_SECOND = 1000


@attrs.frozen(kw_only=True)
class ReplicaDescription:
    """Describe one replica.

    `state` is cold, warming, warm, leaving or silent.
    """

    replica_id: str
    shard: str
    address: str
    failure_domain: str
    instance_id: str
    state: str
    leaving_reason: str
    limit: int
    running: int
    latency_ms: float | None
    load: float
    snapshot_ids: tuple[str, ...]
    silent_seconds: float


def describe_replica(
    state: ReplicaState, context: TierContext, now_seconds: float
) -> ReplicaDescription:
    """Describe a replica as it is used now."""
    replica = state.replica
    silent = context.observer.is_silent(state, now_seconds)
    latency_seconds = state.latencies[RequestKind.search].seconds
    return ReplicaDescription(
        replica_id=replica.replica_id,
        shard=replica.shard,
        address=replica.address,
        failure_domain=replica.failure_domain,
        instance_id=state.instance_id,
        state='silent' if silent else _used_state(state, context),
        leaving_reason=_leaving_reason(state),
        limit=context.policies.ramp.limit(state.ramp, now_seconds),
        running=state.running,
        latency_ms=(
            None
            if latency_seconds is None
            else latency_seconds * _MS_PER_SECOND
        ),
        load=state.ramp.load,
        snapshot_ids=tuple(
            snapshot.snapshot_id for snapshot in state.snapshots.listed()
        ),
        silent_seconds=now_seconds - state.last_contact_seconds,
    )


def _used_state(state: ReplicaState, context: TierContext) -> str:
    if context.policies.leaving.is_leaving(state.leaving):
        return 'leaving'
    return state.ramp.warmth.name


def _leaving_reason(state: ReplicaState) -> str:
    if state.leaving.held:
        return 'hold'
    signal = state.leaving.signal
    return '' if signal is None else signal.name
