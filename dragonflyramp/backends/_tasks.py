"""Run the tasks of the backend side in one group."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import attrs
from loguru import logger

from dragonflyramp.metrics import counters

_RESTART_SECONDS = 0.1

TaskMain: TypeAlias = Callable[[], Awaitable[None]]


@attrs.define
class TaskTable:
    """Start tasks in a group, which ends them all together."""

    group: asyncio.TaskGroup = attrs.field(factory=asyncio.TaskGroup)

    def start(self, name: str, main: TaskMain) -> asyncio.Task[None]:
        """Start a task; it is started again when it fails unexpectedly."""
        return self.group.create_task(_keep_running(name, main), name=name)


async def _keep_running(name: str, main: TaskMain) -> None:
    failed = True
    while failed:
        try:
            await main()
        except Exception:
            logger.exception('Task {} failed and is started again', name)
            counters.add('task_failures', name.partition(' ')[0])
            await asyncio.sleep(_RESTART_SECONDS)
        else:
            failed = False
