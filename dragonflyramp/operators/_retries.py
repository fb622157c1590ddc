"""Repeat calls to the platform, with full jitter."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TypeAlias, TypeVar

import attrs
from returns.result import Failure, Result

from dragonflyramp.results import ResultCode

_Found = TypeVar('_Found')

_Pending: TypeAlias = Awaitable[Result[_Found, ResultCode]]

_REPEATED = frozenset((ResultCode.platform_down, ResultCode.bad_reply))


@attrs.frozen(kw_only=True)
class Retries:
    """Bound the attempts of a command and the pauses between them."""

    rng: random.Random
    attempts: int = 5
    first_pause_seconds: float = 0.2
    pause: Callable[[float], Awaitable[None]] = asyncio.sleep

    async def wait(self, attempt: int) -> None:
        """Pause after the attempt of this number, counted from 0."""
        longest = self.first_pause_seconds * 2**attempt
        await self.pause(self.rng.uniform(0, longest))

    async def run(
        self, call: Callable[[], _Pending[_Found]]
    ) -> Result[_Found, ResultCode]:
        """Repeat a call that may run twice while the platform is down."""
        outcome = await call()
        for attempt in range(self.attempts - 1):
            if not isinstance(outcome, Failure):
                break
            if outcome.failure() not in _REPEATED:
                break
            await self.wait(attempt)
            outcome = await call()
        return outcome
