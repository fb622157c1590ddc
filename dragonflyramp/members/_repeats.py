"""Repeat the steps of a task and bound its waits."""

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


async def wait_at_most(
    awaited: Awaitable[object], timeout_seconds: float
) -> bool:
    """Wait for something; False after the timeout.

    asyncio.wait_for of Python 3.11 loses a cancellation that comes
    together with the result, and the task would then never end.
    """
    try:
        async with asyncio.timeout(timeout_seconds):
            await awaited
    except TimeoutError:
        return False
    return True
