"""Serve the queries of fronts with the backend servers of a relay."""

import asyncio
import random
from collections.abc import Callable, Sequence

import attrs

from dragonflyramp.backends._clients import ClientFactory
from dragonflyramp.backends._contexts import TierContext
from dragonflyramp.backends._descriptions import (
    ReplicaDescription,
    describe_replica,
)
from dragonflyramp.backends._followers import Follower
from dragonflyramp.backends._intake import Intake
from dragonflyramp.backends._policies import PolicySet
from dragonflyramp.backends._reports import ReportPublisher, build_report
from dragonflyramp.backends._settings import BackendSettings
from dragonflyramp.backends._shard_table import ShardTable
from dragonflyramp.backends._tasks import TaskTable
from dragonflyramp.backends._warmths import WarmthTables
from dragonflyramp.members import ConfigurationSource, LeaseTable
from dragonflyramp.messages import Part, Query, Report, Submit, SubmitOutcome
from dragonflyramp.models import (
    LeaseState,
    MemberId,
    SliceId,
    WarmthEntry,
)
from dragonflyramp.platform import VmList


@attrs.define(kw_only=True, eq=False)
class BackendTier:  # noqa: WPS214 - QueryServer alone has five methods
    """Implement QueryServer over the replicas of the relay's slices.

    `clock` gives monotonic seconds. Nothing happens before `run`.
    """

    client_factory: ClientFactory
    lease_table: LeaseTable
    source: ConfigurationSource
    vm_list: VmList
    policies: PolicySet
    relay_id: MemberId
    failure_domain: str
    settings: BackendSettings = attrs.field(factory=BackendSettings)
    clock: Callable[[], float]
    rng: random.Random
    _context: TierContext = attrs.field(init=False)
    _tasks: TaskTable = attrs.field(init=False, factory=TaskTable)
    _warmths: WarmthTables = attrs.field(init=False)
    _shard_table: ShardTable = attrs.field(init=False)
    _intake: Intake = attrs.field(init=False)
    _publisher: ReportPublisher = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Connect the parts."""
        self._context = TierContext(
            client_factory=self.client_factory,
            lease_table=self.lease_table,
            source=self.source,
            policies=self.policies,
            settings=self.settings,
            failure_domain=self.failure_domain,
            clock=self.clock,
            rng=self.rng,
        )
        self._warmths = WarmthTables(self._context)
        self._publisher = ReportPublisher(self._build_report)
        self._shard_table = ShardTable(
            self._context, self._tasks, self._warmths, self._publisher.touch
        )
        self._intake = Intake(self._context, self._shard_table)

    async def run(self) -> None:
        """Run all tasks until cancelled."""
        follower = Follower(self._context, self._shard_table, self.vm_list)
        async with asyncio.TaskGroup() as group:
            self._tasks.group = group
            self._tasks.start('configuration', follower.follow_configuration)
            self._tasks.start('vm_list', follower.poll_vms)
            self._tasks.start('leases', follower.watch_leases)

    async def drain(self) -> None:
        """Refuse new work with `stopping`, and wait for what is open."""
        await self._intake.drain()

    def start_query(self, query: Query, outbox: asyncio.Queue[Part]) -> None:
        """Queue each attempt; exactly one part per attempt follows.

        The outbox must not be bounded.
        """
        self._intake.start_query(query, outbox)

    def cancel_query(self, query_id: str) -> None:
        """Drop what is queued and close what runs for a query.

        The parts that are still open follow with the code `cancelled`.
        """
        for shard in self._shard_table.shards.values():
            shard.cancel(query_id)

    async def run_submit(self, submit: Submit) -> SubmitOutcome:
        """Send a submit to one replica at most once."""
        return await self._intake.run_submit(submit)

    def report(self) -> Report:
        """Describe what the relay can serve now."""
        return self._publisher.take()

    async def wait_report_change(self) -> None:
        """Wait until the report differs from the one this task took last."""
        await self._publisher.wait_change()

    def warmth(self, slice_id: SliceId) -> tuple[WarmthEntry, ...]:
        """Export what is known of the replicas of a slice."""
        return self._warmths.export(
            self._shard_table.replicas_of(slice_id), self.clock()
        )

    def load_warmth(
        self, slice_id: SliceId, entries: Sequence[WarmthEntry]
    ) -> None:
        """Take over what another relay knows, now or when it is served."""
        now_seconds = self.clock()
        lease = self.lease_table.lease(slice_id, now_seconds)
        self._warmths.keep(slice_id, entries, now_seconds)
        by_id = {entry.replica_id: entry for entry in entries}
        for state in self._shard_table.replicas_of(slice_id):
            entry = by_id.get(state.replica.replica_id)
            if entry is not None:
                held = lease.state is LeaseState.held
                self._warmths.adopt(entry, state, now_seconds, held=held)
        self._shard_table.wake_all()

    def describe(self) -> tuple[ReplicaDescription, ...]:
        """Describe every replica for the status page."""
        now_seconds = self.clock()
        return tuple(
            describe_replica(pool.replica, self._context, now_seconds)
            for shard in self._shard_table.shards.values()
            for pool in shard.queue.pools.values()
        )

    def _build_report(self) -> Report:
        shards = self._shard_table.shards.values()
        return build_report(self.relay_id, self._context, shards)
