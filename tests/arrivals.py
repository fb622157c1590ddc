"""Search all the time, and follow where the requests arrive."""

import asyncio
import contextlib
import itertools
import time
from collections.abc import Collection

import aiohttp
import attrs

from tests.systems import Daemon, System

#: Within this time after operators take a failure domain out, or after a
#: backend server starts leaving, it receives no new work.
BOUND_SECONDS = 5
#: Work that comes many times a second and not for this time has ended.
_QUIET_SECONDS = 1
_PERIOD_SECONDS = 0.03
_POLL_SECONDS = 0.05
#: Guards against hanging only.
_HANG_SECONDS = 30


@attrs.define(eq=False)
class Load:
    """Search through the fronts in turn, and follow where requests arrive."""

    system: System
    service: str
    fronts: list[Daemon]
    _task: asyncio.Task[None] | None = None
    _is_ending: bool = False

    def begin(self) -> None:
        """Search until `end`."""
        self._is_ending = False
        self._task = asyncio.create_task(self._run())

    async def end(self) -> None:
        """Stop, and wait until no request of this load runs."""
        self._is_ending = True
        if self._task is not None:
            await self._task

    async def arrivals(self, replicas: Collection[str]) -> list[float]:
        """Give when requests arrived at some replicas, in order."""
        records = await self.system.backends.records()
        return sorted(
            itertools.chain.from_iterable(
                records[replica]['arrival_seconds'] for replica in replicas
            )
        )

    async def wait_work(self, *replicas: str) -> None:
        """Wait until one of some replicas has got a request since now."""
        started_seconds = time.monotonic()
        arrived = [started_seconds]
        async with asyncio.timeout(_HANG_SECONDS):
            while max(arrived) <= started_seconds:
                await asyncio.sleep(_POLL_SECONDS)
                arrived = [started_seconds, *await self.arrivals(replicas)]

    async def wait_end(
        self, replicas: Collection[str], since_seconds: float
    ) -> None:
        """Wait until no work arrives any more, and check the bound.

        The other replicas must serve meanwhile.
        """
        others = set(self.replicas()) - set(replicas)
        last_seconds = since_seconds
        served_seconds = since_seconds
        while served_seconds - last_seconds < _QUIET_SECONDS:
            await asyncio.sleep(_POLL_SECONDS)
            arrived = await self.arrivals(replicas)
            last_seconds = max(since_seconds, *arrived)
            served_seconds = max(await self.arrivals(others))
            assert served_seconds < since_seconds + _HANG_SECONDS
            assert last_seconds <= since_seconds + BOUND_SECONDS

    def replicas(self, failure_domain: str = '') -> list[str]:
        """List the replicas of one failure domain, or all."""
        return [
            machine.replica.replica_id
            for machine in self.system.backends.machines
            if failure_domain in {'', machine.replica.failure_domain}
        ]

    async def _run(self) -> None:
        async with asyncio.TaskGroup() as group:
            for turn in itertools.count():
                if self._is_ending:
                    break
                front = self.fronts[turn % len(self.fronts)]
                group.create_task(self._search(front, turn))
                await asyncio.sleep(_PERIOD_SECONDS)

    async def _search(self, front: Daemon, turn: int) -> None:
        # A front that stops or is frozen meanwhile cannot answer.
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            await self.system.calls.search(
                front.listen_address, self.service, {'turn': turn}
            )
