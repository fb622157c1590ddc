"""Keep the shards and replicas in step with what the relay serves."""

from collections.abc import Callable, Iterable, Mapping

from dragonflyramp.backends._budgets import Budget
from dragonflyramp.backends._contexts import ShardTerms, TierContext
from dragonflyramp.backends._replica_table import ReplicaTable
from dragonflyramp.backends._replicas import ReplicaState
from dragonflyramp.backends._shards import Shard
from dragonflyramp.backends._slices import ServedReplica, ServedShard
from dragonflyramp.backends._tasks import TaskTable
from dragonflyramp.backends._warmths import WarmthTables
from dragonflyramp.models import SliceId


class ShardTable:
    """Hold the shards that the relay serves now."""

    def __init__(
        self,
        context: TierContext,
        tasks: TaskTable,
        warmths: WarmthTables,
        on_change: Callable[[], None],
    ) -> None:
        """Start empty; `on_change` follows each change of a replica."""
        self.shards: dict[str, Shard] = {}
        self._context = context
        self._tasks = tasks
        self._warmths = warmths
        self._on_change = on_change
        self._table = ReplicaTable(context, tasks, self._note_change)

    def apply(
        self, served: Mapping[str, ServedShard], gained: Mapping[str, int]
    ) -> None:
        """Serve exactly these shards, gained through these numbers."""
        now_seconds = self._context.clock()
        for name in self.shards.keys() - served.keys():
            self.shards.pop(name).retire()
        replicas = [
            replica.replica
            for wanted in served.values()
            for replica in wanted.replicas
        ]
        self._table.keep_only(replicas)
        for name, wanted in served.items():
            shard = self._shard(name, wanted, gained[name])
            states = [
                self._replica(replica, wanted.slice_id, now_seconds)
                for replica in wanted.replicas
            ]
            shard.pools.set_replicas(states)
        self._on_change()

    def replicas_of(self, slice_id: SliceId) -> list[ReplicaState]:
        """List the replicas of all shards of a slice."""
        return [
            pool.replica
            for shard in self.shards.values()
            if shard.queue.terms.slice_id == slice_id
            for pool in shard.queue.pools.values()
        ]

    def wake_all(self) -> None:
        """Let every shard look at its queue again."""
        for shard in self.shards.values():
            shard.wake()
        self._on_change()

    def _shard(
        self, name: str, wanted: ServedShard, gained_number: int
    ) -> Shard:
        service = wanted.service
        shard = self.shards.get(name)
        if shard is None:
            terms = ShardTerms(
                service=service,
                slice_id=wanted.slice_id,
                gained_number=gained_number,
                hedge_budget=Budget(service.hedge_budget),
                retry_budget=Budget(service.retry_budget),
            )
            shard = Shard(self._context, terms, self._tasks)
            self.shards[name] = shard
            self._tasks.start(f'shard {name}', shard.run)
        shard.queue.terms.update(service, wanted.slice_id, gained_number)
        return shard

    def _replica(
        self, served: ServedReplica, slice_id: SliceId, now_seconds: float
    ) -> ReplicaState:
        state = self._table.update(served, now_seconds)
        if not state.instance_id:
            self._warmths.adopt_kept(slice_id, state, now_seconds)
        return state

    def _note_change(self, state: ReplicaState) -> None:
        shard = self.shards.get(state.replica.shard)
        if shard is not None:
            shard.wake()
        self._on_change()


def available_replicas(
    shards: Iterable[Shard], now_seconds: float
) -> tuple[str, ...]:
    """List the replicas that stay and reply."""
    return tuple(
        replica_id
        for shard in shards
        for replica_id, pool in shard.queue.pools.items()
        if shard.admission.is_available(pool.replica, now_seconds)
    )
