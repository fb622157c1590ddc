"""Hold the replicas of a relay, each with the task that reads its status."""

import asyncio
from collections.abc import Callable, Collection

import attrs

from dragonflyramp.backends._contexts import TierContext
from dragonflyramp.backends._leaving import LeavingSignal
from dragonflyramp.backends._replicas import ReplicaState
from dragonflyramp.backends._slices import ServedReplica
from dragonflyramp.backends._statuses import StatusTask
from dragonflyramp.backends._tasks import TaskTable
from dragonflyramp.models import Replica, VmState


@attrs.frozen
class _Entry:
    """Pair a replica with its task."""

    state: ReplicaState
    task: asyncio.Task[None]


class ReplicaTable:
    """Create, update and drop the states of replicas."""

    def __init__(
        self,
        context: TierContext,
        tasks: TaskTable,
        on_change: Callable[[ReplicaState], None],
    ) -> None:
        """Start empty; `on_change` follows what a status changed."""
        self._context = context
        self._tasks = tasks
        self._on_change = on_change
        self._entries: dict[Replica, _Entry] = {}

    def update(self, served: ServedReplica, now_seconds: float) -> ReplicaState:
        """Create or update a replica as configuration and VM list say."""
        entry = self._entries.get(served.replica)
        if entry is None:
            entry = self._add(served, now_seconds)
            self._entries[served.replica] = entry
        state = entry.state
        state.ramp.capacity = served.capacity
        if served.listed is VmState.leaving and state.listed is VmState.live:
            self._context.observer.note_leaving(state, LeavingSignal.vm_list)
        state.listed = served.listed
        if state.leaving.held and not served.held:
            # What was out of service has returned, and starts cold.
            self._context.observer.turn_cold(state, 'returned', now_seconds)
        state.leaving.held = served.held
        return state

    def keep_only(self, replicas: Collection[Replica]) -> None:
        """Drop the replicas that are no longer served."""
        for replica in self._entries.keys() - set(replicas):
            self._entries.pop(replica).task.cancel()

    def _add(self, served: ServedReplica, now_seconds: float) -> _Entry:
        state = ReplicaState(
            replica=served.replica,
            ramp=self._context.policies.ramp.start(
                served.capacity, now_seconds
            ),
            last_contact_seconds=now_seconds,
        )
        status_task = StatusTask(
            state, self._context, lambda: self._on_change(state)
        )
        replica_id = served.replica.replica_id
        task = self._tasks.start(f'status {replica_id}', status_task.run)
        return _Entry(state, task)
