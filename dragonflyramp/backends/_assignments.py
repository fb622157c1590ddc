"""Hand jobs to connections of replicas that may take them now."""

from collections.abc import Iterable, Sequence

import attrs

from dragonflyramp.backends._admissions import Admission
from dragonflyramp.backends._choice import Candidate, ChoiceContext
from dragonflyramp.backends._contexts import TierContext
from dragonflyramp.backends._jobs import Job, Send, SendPurpose
from dragonflyramp.backends._latencies import RequestKind
from dragonflyramp.backends._lease_rights import LeaseRights
from dragonflyramp.backends._pools import ConnectionPool
from dragonflyramp.backends._queues import ShardQueue
from dragonflyramp.backends._replicas import ReplicaState
from dragonflyramp.backends._settings import BackendSettings


@attrs.frozen
class LimitedPool:
    """Pair the connections of a usable replica with its limit now."""

    pool: ConnectionPool
    limit: int

    @property
    def replica(self) -> ReplicaState:
        """Give the replica."""
        return self.pool.replica

    def has_slot(self) -> bool:
        """Tell whether one more request may run at once."""
        return bool(self.pool.idle) and self.replica.running < self.limit


class Assigner:
    """Find the replicas for a job, choose one and hand the job out."""

    def __init__(
        self, queue: ShardQueue, admission: Admission, context: TierContext
    ) -> None:
        """Serve one shard."""
        self._queue = queue
        self._admission = admission
        self._context = context

    def usable(
        self, current: LeaseRights, now_seconds: float
    ) -> list[LimitedPool]:
        """List the replicas that may get requests at all."""
        limited = [
            LimitedPool(
                pool, self._admission.limit(pool.replica, current, now_seconds)
            )
            for pool in self._queue.pools.values()
        ]
        return [entry for entry in limited if entry.limit > 0]

    def untried(
        self, job: Job, holders: Iterable[LimitedPool]
    ) -> list[LimitedPool]:
        """List the replicas that neither failed this job nor crashed."""
        avoided = self._context.fingerprints.suspects.replica_ids(
            job.fingerprint
        )
        if not self._context.policies.retries.may_repeat_replica():
            avoided |= job.tried
        return [
            entry
            for entry in holders
            if entry.replica.replica.replica_id not in avoided
        ]

    def free_now(
        self, job: Job, untried: Iterable[LimitedPool], now_seconds: float
    ) -> list[LimitedPool]:
        """List the replicas whose limit and rate admit a job now."""
        return [
            entry
            for entry in untried
            if entry.has_slot()
            and self._admission.free_from_seconds(entry.replica) <= now_seconds
            and now_seconds
            <= _latest_start_seconds(job, entry, self._context.settings)
        ]

    def is_free_in_time(
        self, job: Job, untried: Iterable[LimitedPool], now_seconds: float
    ) -> bool:
        """Tell whether the rate of a replica admits a job early enough."""
        return any(
            max(now_seconds, self._admission.free_from_seconds(entry.replica))
            < _latest_start_seconds(job, entry, self._context.settings)
            for entry in untried
        )

    def assign(
        self,
        job: Job,
        free: Sequence[LimitedPool],
        purpose: SendPurpose,
        now_seconds: float,
    ) -> None:
        """Choose a replica and give the job to one of its connections."""
        chosen = self._choose(job, free, now_seconds)
        replica = chosen.replica
        send = Send(job=job, replica=replica, purpose=purpose)
        job.sends.append(send)
        job.tried.add(replica.replica.replica_id)
        replica.running += 1
        self._context.policies.ramp.note_start(replica.ramp, now_seconds)
        self._context.fingerprints.begin(job.fingerprint)
        chosen.pool.idle.pop().take(send)

    def _choose(
        self, job: Job, free: Sequence[LimitedPool], now_seconds: float
    ) -> LimitedPool:
        proven = job.fingerprint in self._context.fingerprints
        choice_context = ChoiceContext(
            failure_domain=self._context.failure_domain,
            avoid_probes=job.kind is RequestKind.submit or not proven,
        )
        chosen = self._context.policies.choice.choose(
            [_candidate(entry.replica, job.kind) for entry in free],
            choice_context,
            now_seconds=now_seconds,
            rng=self._context.rng,
        )
        by_id = {entry.replica.replica.replica_id: entry for entry in free}
        return by_id[chosen.replica_id]


def cold_reserve_seconds(
    whole_seconds: float,
    latency_seconds: float | None,
    settings: BackendSettings,
) -> float:
    """Give the time that a job needs left to start on a cold replica."""
    longest_seconds = settings.cold_reserve_fraction * whole_seconds
    if latency_seconds is None:
        return longest_seconds
    return min(settings.cold_reserve_factor * latency_seconds, longest_seconds)


def holders(usable: Iterable[LimitedPool], job: Job) -> list[LimitedPool]:
    """List the replicas that hold the snapshot of a job."""
    if job.kind is RequestKind.submit:
        return list(usable)
    return [
        entry
        for entry in usable
        if entry.replica.snapshots.has(job.snapshot_id)
    ]


def _candidate(replica: ReplicaState, kind: RequestKind) -> Candidate:
    return Candidate(
        replica_id=replica.replica.replica_id,
        failure_domain=replica.replica.failure_domain,
        running=replica.running,
        latency_seconds=replica.latencies[kind].seconds,
        warm=replica.is_warm,
        last_start_seconds=replica.ramp.last_start_seconds,
    )


def _latest_start_seconds(
    job: Job, entry: LimitedPool, settings: BackendSettings
) -> float:
    """Give the time after which a job must not start on a replica."""
    if entry.replica.is_warm:
        return job.deadline_seconds
    reserve_seconds = cold_reserve_seconds(
        job.deadline_seconds - job.arrived_seconds,
        entry.replica.latencies[job.kind].seconds,
        settings,
    )
    return job.deadline_seconds - reserve_seconds
