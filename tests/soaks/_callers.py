"""Send requests to fronts and record the answers."""

import asyncio
import contextlib
import random
import time

import aiohttp
import attrs

from tests.deployments import (
    RECORD_BYTES,
    Deployment,
    FrontProcess,
    send_request,
)

_PAUSE_SECONDS = 0.02
#: Text in the path of the request that ends the replicas that run it.
CRASH_TEXT = 'poison'
_CRASH_INTERVAL_SECONDS = 0.3
#: How often the body of an order repeats its id.
BODY_REPEATS = 100
#: Callers choose each entry with the same probability, and so send searches
#: most often. The first configuration change adds the route `/newest/`.
_PATHS = ('/search/x', '/search/x', '/lookup/x', '/order/x', '/newest/x')


@attrs.frozen(kw_only=True)
class RequestRecord:
    """Request of a caller and its outcome."""

    request_id: str
    path: str
    front_name: str
    #: Process of the front; a restart changes it.
    process_id: int
    started_at_seconds: float
    ended_at_seconds: float
    #: 0 if the connection failed before the answer was complete.
    status: int = 0
    has_connect_error: bool = False
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b''


@attrs.define(eq=False)
class Caller:
    """Send requests over persistent connections."""

    deployment: Deployment
    name: str
    rng: random.Random
    records: list[RequestRecord] = attrs.field(factory=list)

    async def run(self) -> None:
        """Send and record one request after another until cancelled."""
        async with aiohttp.ClientSession() as session:
            for number in range(1_000_000):
                front = self.rng.choice(self.deployment.fronts)
                path = self.rng.choice(_PATHS)
                record = await self.send(
                    session, front, path, f'{self.name}-{number}'
                )
                self.records.append(record)
                await asyncio.sleep(_PAUSE_SECONDS)

    async def repeat_crashing_request(self) -> None:
        """Send one request that ends replicas, again and again."""
        async with aiohttp.ClientSession() as session:
            for number in range(1_000_000):
                fronts = self.deployment.fronts
                await self.send(
                    session,
                    fronts[number % len(fronts)],
                    f'/lookup/{CRASH_TEXT}',
                    f'{self.name}-{number}',
                )
                await asyncio.sleep(_CRASH_INTERVAL_SECONDS)

    async def send(
        self,
        session: aiohttp.ClientSession,
        front: FrontProcess,
        path: str,
        request_id: str,
    ) -> RequestRecord:
        """Send a request and return its record, whether or not it succeeded.

        The id gets the size of a record, so that a search can return it.
        """
        request_id = request_id.rjust(RECORD_BYTES, '0')
        record = RequestRecord(
            request_id=request_id,
            path=path,
            front_name=front.name,
            process_id=front.program.process.pid,
            started_at_seconds=time.monotonic(),
            ended_at_seconds=0,
        )
        is_order = path.startswith('/order')
        answer = None
        has_connect_error = False
        try:
            answer = await send_request(
                session,
                front,
                path,
                request_id,
                method='POST' if is_order else 'GET',
                body=request_id.encode() * BODY_REPEATS if is_order else None,
            )
        except aiohttp.ClientConnectorError:
            has_connect_error = True
        except (aiohttp.ClientError, OSError):
            # Status 0 tells the checks that the connection failed.
            contextlib.nullcontext()
        return attrs.evolve(
            record,
            ended_at_seconds=time.monotonic(),
            has_connect_error=has_connect_error,
            status=answer.status if answer else 0,
            headers=dict(answer.headers) if answer else {},
            body=answer.body if answer else b'',
        )
