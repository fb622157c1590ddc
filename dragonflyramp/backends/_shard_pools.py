"""Keep connections to exactly the replicas that serve a shard."""

import functools
from collections.abc import Callable, Sequence

from dragonflyramp.backends._admissions import Admission
from dragonflyramp.backends._connections import Connection, EndedSend
from dragonflyramp.backends._contexts import TierContext
from dragonflyramp.backends._pools import ConnectionPool
from dragonflyramp.backends._queues import ShardQueue
from dragonflyramp.backends._replicas import ReplicaState
from dragonflyramp.backends._senders import Sender
from dragonflyramp.backends._tasks import TaskTable


class ShardPools:
    """Start and retire the connection tasks of one shard."""

    def __init__(
        self,
        queue: ShardQueue,
        admission: Admission,
        context: TierContext,
        tasks: TaskTable,
        wake: Callable[[], None],
    ) -> None:
        """Start without replicas; `wake` leads to a look at what ended."""
        self._queue = queue
        self._admission = admission
        self._context = context
        self._tasks = tasks
        self._wake = wake

    def set_replicas(self, replicas: Sequence[ReplicaState]) -> None:
        """Use exactly these replicas, with the slots of the service."""
        pools = self._queue.pools
        for replica_id, former in tuple(pools.items()):
            if former.replica not in replicas:
                self._resize(pools.pop(replica_id), 0)
        for replica in replicas:
            pool = pools.setdefault(
                replica.replica.replica_id, ConnectionPool(replica)
            )
            self._resize(pool, self._queue.terms.service.slots)
        self._wake()

    def _resize(self, pool: ConnectionPool, slots: int) -> None:
        pool.resize(slots, functools.partial(self._connect, pool))

    def _connect(self, pool: ConnectionPool) -> Connection:
        replica = pool.replica.replica
        client = self._context.client_factory(replica.address)
        connection = Connection(
            Sender(client, self._admission, self._context),
            self._context,
            functools.partial(self._on_end, pool),
        )
        self._tasks.start(f'connection {replica.replica_id}', connection.run)
        return connection

    def _on_end(
        self, pool: ConnectionPool, connection: Connection, ended: EndedSend
    ) -> None:
        pool.give_back(connection)
        self._queue.ended.append(ended)
        self._wake()
