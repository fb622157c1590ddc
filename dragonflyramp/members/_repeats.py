"""Repeat the steps of a task for as long as the daemon runs."""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

from dragonflyramp.metrics import counters


async def repeat(
    name: str, step: Callable[[], Awaitable[None]], pause_seconds: float
) -> None:
    """Repeat a step that paces itself; pause after an unexpected error.

    An error in one step must not end the task, because the daemon would
    then lose its leases or its configuration for good.
    """
    while True:
        try:
            await step()
        except Exception:
            logger.exception('task {} failed and goes on', name)
            counters.add('task_errors', name)
            await asyncio.sleep(pause_seconds)
