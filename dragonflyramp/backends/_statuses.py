"""Read the status of a backend server, and run one task for each replica."""

import asyncio
import contextlib
import math
from collections.abc import Callable

import attrs
from returns.pipeline import is_successful
from returns.result import Failure, Result

from dragonflyramp.backends._clients import (
    BackendClient,
    Status,
    StatusFailure,
)
from dragonflyramp.backends._contexts import TierContext
from dragonflyramp.backends._leaving import LeavingSignal
from dragonflyramp.backends._replicas import ReplicaState
from dragonflyramp.metrics import counters
from dragonflyramp.models import Snapshot, Warmth

#: A timer that fires this late shows that this process was paused or
#: overloaded, so that a reply may have been waiting to be read.
STALL_SECONDS = 0.02
_PERIOD_FACTORS = (0.9, 1.1)


@attrs.frozen
class _VisibleState:
    """Hold what of a replica matters to its shard and to the reports."""

    instance_id: str
    snapshots: tuple[Snapshot, ...]
    warmth: Warmth
    leaving: bool


class StatusReader:
    """Read statuses into the state of a replica."""

    def __init__(self, client: BackendClient, context: TierContext) -> None:
        """Use the client's connection, or open one."""
        self._client = client
        self._context = context

    async def read(
        self, replica: ReplicaState, limit_seconds: float
    ) -> StatusFailure | None:
        """Read once; the connection stays open when the server answered."""
        status = await self._read(limit_seconds)
        now_seconds = self._context.clock()
        observer = self._context.observer
        if is_successful(status):
            observer.note_status(replica, status.unwrap(), now_seconds)
            return None
        failure = status.failure()
        counters.add('failed_statuses', failure.name)
        if failure is StatusFailure.bad_reply:
            observer.note_instance(replica, '', now_seconds)
        else:
            await self._client.close()
        if failure is StatusFailure.refused:
            observer.note_leaving(replica, LeavingSignal.refused_connection)
        return failure

    async def _read(
        self, limit_seconds: float
    ) -> Result[Status, StatusFailure]:
        due_seconds = self._context.clock() + limit_seconds
        try:
            async with asyncio.timeout(limit_seconds):
                return await self._client.status()
        except TimeoutError:
            overdue_seconds = self._context.clock() - due_seconds
        if overdue_seconds > STALL_SECONDS:
            return Failure(StatusFailure.stalled)
        return Failure(StatusFailure.lost)


class StatusTask:
    """Read the status of one replica once a period."""

    def __init__(
        self,
        replica: ReplicaState,
        context: TierContext,
        on_change: Callable[[], None],
    ) -> None:
        """Start with the first run."""
        self._replica = replica
        self._context = context
        self._on_change = on_change
        self._client = context.client_factory(replica.replica.address)
        self._opened_seconds = -math.inf
        self._reader = StatusReader(self._client, context)

    async def run(self) -> None:
        """Read until cancelled; the replicas drift apart over time."""
        period_seconds = self._context.settings.status_period_seconds
        async with contextlib.aclosing(self):
            while True:
                await self._read()
                factor = self._context.rng.uniform(*_PERIOD_FACTORS)
                await asyncio.sleep(factor * period_seconds)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._client.close()

    async def _read(self) -> None:
        """Read once, and once more if the connection may have been silent."""
        former = self._visible_state()
        await self._renew_connection()
        was_open = self._client.is_open()
        limit_seconds = self._context.settings.status_timeout_seconds
        failure = await self._reader.read(self._replica, limit_seconds)
        if failure is StatusFailure.lost and was_open:
            await self._reader.read(self._replica, limit_seconds)
        if self._visible_state() != former:
            self._on_change()

    async def _renew_connection(self) -> None:
        now_seconds = self._context.clock()
        open_seconds = now_seconds - self._opened_seconds
        if open_seconds >= self._context.settings.status_reconnect_seconds:
            await self._client.close()
        if not self._client.is_open():
            self._opened_seconds = now_seconds

    def _visible_state(self) -> _VisibleState:
        replica = self._replica
        leaving = self._context.policies.leaving.is_leaving(replica.leaving)
        return _VisibleState(
            replica.instance_id,
            replica.snapshots.listed(),
            replica.ramp.warmth,
            leaving,
        )
