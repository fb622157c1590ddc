"""Run one task for each of those members that the record calls for."""

import asyncio
import functools
from collections.abc import Awaitable, Callable, Set

import attrs

from dragonflyramp.members._group_views import GroupView
from dragonflyramp.members._repeats import repeat
from dragonflyramp.models import MemberId


@attrs.define(eq=False)
class PeerTasks:
    """Start and cancel tasks for members as the record changes.

    `wanted` lists the members that need a task and `step` is what their
    tasks repeat; it paces itself.
    """

    _name: str
    _view: GroupView
    _wanted: Callable[[], Set[MemberId]]
    _step: Callable[[MemberId], Awaitable[None]]
    _pause_seconds: float
    _tasks: dict[MemberId, asyncio.Task[None]] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Run the tasks until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                record = self._view.record
                self._update(group)
                await self._view.wait_record_change(record)

    def _update(self, group: asyncio.TaskGroup) -> None:
        wanted = self._wanted()
        for ended in self._tasks.keys() - wanted:
            self._tasks.pop(ended).cancel()
        for member_id in wanted - self._tasks.keys():
            step = functools.partial(self._step, member_id)
            self._tasks[member_id] = group.create_task(
                repeat(self._name, step, self._pause_seconds)
            )
