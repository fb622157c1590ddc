"""Hand works to connections of replicas that may take them now."""

from collections.abc import Iterable, Sequence

import attrs

from dragonflyramp.backends._admissions import Admission
from dragonflyramp.backends._choice import Candidate, Choosing
from dragonflyramp.backends._contexts import TierContext
from dragonflyramp.backends._latencies import RequestKind
from dragonflyramp.backends._pools import ConnectionPool
from dragonflyramp.backends._queues import ShardQueue
from dragonflyramp.backends._replicas import ReplicaState
from dragonflyramp.backends._standings import Standing
from dragonflyramp.backends._works import Send, SendPurpose, Work


@attrs.frozen
class Limited:
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


class Handout:
    """Find the replicas for a work, choose one and hand the work out."""

    def __init__(
        self, queue: ShardQueue, admission: Admission, context: TierContext
    ) -> None:
        """Serve one shard."""
        self._queue = queue
        self._admission = admission
        self._context = context

    def usable(self, current: Standing, now_seconds: float) -> list[Limited]:
        """List the replicas that may get requests at all."""
        limited = [
            Limited(
                pool, self._admission.limit(pool.replica, current, now_seconds)
            )
            for pool in self._queue.pools.values()
        ]
        return [entry for entry in limited if entry.limit > 0]

    def untried(self, work: Work, holders: Iterable[Limited]) -> list[Limited]:
        """List the replicas that neither failed this work nor crashed."""
        avoided = self._context.fingerprints.suspects.replica_ids(
            work.fingerprint
        )
        if not self._context.policies.retries.may_repeat_replica():
            avoided |= work.tried
        return [
            entry
            for entry in holders
            if entry.replica.replica.replica_id not in avoided
        ]

    def free_now(
        self, untried: Iterable[Limited], now_seconds: float
    ) -> list[Limited]:
        """List the replicas whose limit and rate admit a request now."""
        return [
            entry
            for entry in untried
            if entry.has_slot() and self.free_from_seconds(entry) <= now_seconds
        ]

    def free_from_seconds(self, entry: Limited) -> float:
        """Give the time from which the rate admits a request."""
        return self._admission.free_from_seconds(entry.replica)

    def hand_out(
        self,
        work: Work,
        free: Sequence[Limited],
        purpose: SendPurpose,
        now_seconds: float,
    ) -> None:
        """Choose a replica and give the work to one of its connections."""
        chosen = self._choose(work, free, now_seconds)
        replica = chosen.replica
        send = Send(work=work, replica=replica, purpose=purpose)
        work.sends.append(send)
        work.tried.add(replica.replica.replica_id)
        replica.running += 1
        self._context.policies.ramp.note_start(replica.ramp, now_seconds)
        self._context.fingerprints.begin(work.fingerprint)
        chosen.pool.idle.pop().take(send)

    def _choose(
        self, work: Work, free: Sequence[Limited], now_seconds: float
    ) -> Limited:
        proven = work.fingerprint in self._context.fingerprints
        choosing = Choosing(
            failure_domain=self._context.failure_domain,
            careful=work.kind is RequestKind.submit or not proven,
        )
        chosen = self._context.policies.choice.choose(
            [_candidate(entry.replica, work.kind) for entry in free],
            choosing,
            now_seconds=now_seconds,
            rng=self._context.rng,
        )
        by_id = {entry.replica.replica.replica_id: entry for entry in free}
        return by_id[chosen.replica_id]


def holders(usable: Iterable[Limited], work: Work) -> list[Limited]:
    """List the replicas that hold the snapshot of a work."""
    if work.kind is RequestKind.submit:
        return list(usable)
    return [
        entry
        for entry in usable
        if entry.replica.snapshots.has(work.snapshot_id)
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
