"""Keep tasks that outlive the request that started them."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import attrs
from loguru import logger


@attrs.define(eq=False)
class BackgroundTasks:
    """Hold running tasks, since the event loop keeps no strong reference."""

    _tasks: set[asyncio.Task[Any]] = attrs.field(factory=set, init=False)

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task that handles its own failures."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def wait_idle(self, timeout_seconds: float) -> None:
        """Wait until all tasks ended, or the timeout."""
        try:
            async with asyncio.timeout(timeout_seconds):
                while self._tasks:
                    await asyncio.wait(self._tasks)
        except TimeoutError:
            logger.warning('{} tasks did not end in time', len(self._tasks))
