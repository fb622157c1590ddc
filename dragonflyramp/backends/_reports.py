"""Report what a relay can serve, and tell when that changed."""

import asyncio
import weakref
from collections.abc import Callable, Iterable

from dragonflyramp.backends._contexts import TierContext
from dragonflyramp.backends._shards import Shard
from dragonflyramp.messages import Report, ShardReport
from dragonflyramp.models import LeaseState, MemberId, Snapshot


class ReportPublisher:
    """Hold the latest report, and who has taken which one.

    Several tasks take reports, one for each front. Each waits for a report
    that differs from the one that it took itself.
    """

    def __init__(self, build: Callable[[], Report]) -> None:
        """Build nothing yet."""
        self._build = build
        self._changed = asyncio.Event()
        self._taken: weakref.WeakKeyDictionary[asyncio.Task[object], Report] = (
            weakref.WeakKeyDictionary()
        )

    def touch(self) -> None:
        """Let the waiting tasks compare their report with a new one."""
        self._changed.set()
        self._changed = asyncio.Event()

    def take(self) -> Report:
        """Build a report, and note that the current task took it."""
        report = self._build()
        task = _current_task()
        if task is not None:
            self._taken[task] = report
        return report

    async def wait_change(self) -> None:
        """Wait until a report differs from the one the task took.

        A task that took none does not wait.
        """
        task = _current_task()
        taken = None if task is None else self._taken.get(task)
        while taken is not None and self._build() == taken:
            await self._changed.wait()


def build_report(
    relay_id: MemberId, context: TierContext, shards: Iterable[Shard]
) -> Report:
    """List the slices of the lease table, and the usable snapshots."""
    now_seconds = context.clock()
    table = context.lease_table
    slice_ids = tuple(
        slice_id
        for slice_id in table.slice_ids()
        if table.lease(slice_id, now_seconds).state is not LeaseState.foreign
    )
    return Report(
        relay_id=relay_id,
        slice_ids=slice_ids,
        shards=tuple(_shard_report(shard, now_seconds) for shard in shards),
    )


def _shard_report(shard: Shard, now_seconds: float) -> ShardReport:
    current = shard.admission.lease_rights(now_seconds)
    found: dict[str, Snapshot] = {}
    for pool in shard.queue.pools.values():
        replica = pool.replica
        if shard.admission.limit(replica, current, now_seconds) > 0:
            for snapshot in replica.snapshots.listed():
                found.setdefault(snapshot.snapshot_id, snapshot)
    return ShardReport(
        shard=shard.queue.terms.service.name,
        snapshots=tuple(found[snapshot_id] for snapshot_id in sorted(found)),
    )


def _current_task() -> asyncio.Task[object] | None:
    try:
        return asyncio.current_task()
    except RuntimeError:
        return None
