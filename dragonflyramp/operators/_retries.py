"""Retry calls to the platform with exponential backoff and full jitter."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TypeAlias, TypeVar

import attrs
from returns.result import Failure, Result

from dragonflyramp.results import ResultCode

_Reply = TypeVar('_Reply')

_AwaitableResult: TypeAlias = Awaitable[Result[_Reply, ResultCode]]

_RETRIED_CODES = frozenset((ResultCode.platform_down, ResultCode.bad_reply))


@attrs.frozen(kw_only=True)
class RetryPolicy:
    """Maximum number of attempts, and the delays between them."""

    rng: random.Random
    max_attempts: int = 5
    #: Upper bound of the first delay; the bound doubles with each retry.
    initial_delay_seconds: float = 0.2
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep

    async def wait_before_retry(self, attempt: int) -> None:
        """Sleep a random time after the failed `attempt`, counted from 0."""
        max_delay_seconds = self.initial_delay_seconds * 2**attempt
        await self.sleep(self.rng.uniform(0, max_delay_seconds))

    async def call(
        self, operation: Callable[[], _AwaitableResult[_Reply]]
    ) -> Result[_Reply, ResultCode]:
        """Run an idempotent operation; retry on platform_down or bad_reply."""
        call_result = await operation()
        for attempt in range(self.max_attempts - 1):
            if not isinstance(call_result, Failure):
                break
            if call_result.failure() not in _RETRIED_CODES:
                break
            await self.wait_before_retry(attempt)
            call_result = await operation()
        return call_result
