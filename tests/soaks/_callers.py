"""Call fronts and note what was asked and got."""

import asyncio
import contextlib
import random
import time

import aiohttp
import attrs

from tests.systems import FrontProcess, System, call

_PAUSE_SECONDS = 0.02
_PATHS = ('/search/x', '/search/x', '/lookup/x', '/order/x', '/newest/x')


@attrs.frozen(kw_only=True)
class Asked:
    """Hold one request of a caller and how it ended."""

    request_id: str
    path: str
    front: str
    #: Process id of the front, one for each incarnation.
    incarnation: int
    started_seconds: float
    ended_seconds: float
    #: 0 when the connection ended without an answer.
    status: int = 0
    #: No connection could be opened.
    is_refused: bool = False
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b''


@attrs.define(eq=False)
class Caller:
    """Run the task of one caller, who keeps connections open."""

    system: System
    name: str
    rng: random.Random
    asked: list[Asked] = attrs.field(factory=list)

    async def run(self) -> None:
        """Ask one request after another until cancelled."""
        async with aiohttp.ClientSession() as session:
            for number in range(1_000_000):
                front = self.rng.choice(self.system.fronts)
                path = self.rng.choice(_PATHS)
                asked = await self.ask(
                    session, front, path, f'{self.name}-{number}'
                )
                self.asked.append(asked)
                await asyncio.sleep(_PAUSE_SECONDS)

    async def ask(
        self,
        session: aiohttp.ClientSession,
        front: FrontProcess,
        path: str,
        request_id: str,
    ) -> Asked:
        """Ask once; a connection that ends is no error of the caller."""
        asked = Asked(
            request_id=request_id,
            path=path,
            front=front.name,
            incarnation=front.program.process.pid,
            started_seconds=time.monotonic(),
            ended_seconds=0,
        )
        method = 'POST' if path.startswith('/order') else 'GET'
        found = None
        is_refused = False
        try:
            found = await call(session, front, path, request_id, method=method)
        except aiohttp.ClientConnectorError:
            is_refused = True
        except (aiohttp.ClientError, OSError):
            contextlib.nullcontext()
        return attrs.evolve(
            asked,
            ended_seconds=time.monotonic(),
            is_refused=is_refused,
            status=found.status if found else 0,
            headers=dict(found.headers) if found else {},
            body=found.body if found else b'',
        )
