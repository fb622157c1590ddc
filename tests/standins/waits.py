"""Wait in tests that run real tasks."""

import asyncio
from collections.abc import Callable


async def eventually(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; the bound only guards against hanging."""
    async with asyncio.timeout(30):
        while not condition():
            await asyncio.sleep(0.01)
