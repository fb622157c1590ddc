"""Send kinds of requests beside each other, and count what callers get."""

import asyncio
import random

import attrs

from benchmarks.emulator._contention import (
    ContentionRun,
    Kind,
    build_contention,
)
from benchmarks.emulator._deployments import EmulatedDeployment, EmulatedFront
from benchmarks.emulator._event_loops import run_in_virtual_time
from dragonflyramp.callers import (
    MergedAnswer,
    Query,
    Refusal,
    RelayedAnswer,
)
from dragonflyramp.messages import Request
from dragonflyramp.results import ResultCode

#: Requests that arrive earlier are excluded from the statistics.
_WARMUP_SECONDS = 3
#: Callers come back within this share of the time that they have left.
_CALLER_WAIT_SHARE = 1 / 3
_MS_PER_SECOND = 1000


@attrs.define(eq=False)
class KindStatistics:
    """Statistics of one kind, as seen by its callers."""

    kind: Kind
    sent_count: int = 0
    #: Answers before the deadline, in the first or second try.
    served_count: int = 0
    #: Answers within the latency target, counted from the first try.
    on_time_count: int = 0
    #: Refusals of the admission policy, in any try.
    rejected_count: int = 0


def run_contention(run: ContentionRun) -> list[KindStatistics]:
    """Run all kinds of requests; the same seed gives the same statistics."""
    return run_in_virtual_time(_run(run))


async def _run(run: ContentionRun) -> list[KindStatistics]:
    deployment = build_contention(run)
    deployment.tasks.start(
        deployment.exchange_latency_reports(), 'latency reports'
    )
    statistics = [KindStatistics(kind) for kind in run.kinds]
    await asyncio.gather(
        *(_send_all(deployment, counts) for counts in statistics)
    )
    await deployment.tasks.cancel()
    return statistics


async def _send_all(
    deployment: EmulatedDeployment, counts: KindStatistics
) -> None:
    experiment = deployment.experiment
    kind = counts.kind
    name = '/'.join((kind.route.name, kind.tenant))
    rng = random.Random(f'{experiment.seed}/{name}')
    loop = asyncio.get_running_loop()
    tasks: list[asyncio.Task[None]] = []
    while loop.time() < experiment.seconds:
        await asyncio.sleep(rng.expovariate(kind.requests_per_second))
        call = _Call(
            f'{name}{len(tasks)}', kind, rng.choice(deployment.fronts), rng
        )
        tasks.append(asyncio.create_task(call.run(deployment, counts)))
    await asyncio.gather(*tasks)


@attrs.frozen
class _Call:
    """Request of a caller, which comes back once if it is told when."""

    _request_id: str
    _kind: Kind
    _emulated_front: EmulatedFront
    _rng: random.Random

    async def run(
        self, deployment: EmulatedDeployment, counts: KindStatistics
    ) -> None:
        loop = asyncio.get_running_loop()
        started_at_seconds = loop.time()
        route = self._kind.route
        ends_at_seconds = started_at_seconds + route.timeout_ms / _MS_PER_SECOND
        answer = await self._send(self._emulated_front, ends_at_seconds)
        rejected_count = int(_is_rejected(answer))
        delay_seconds = _retry_delay_seconds(answer)
        remaining_seconds = ends_at_seconds - loop.time()
        if 0 < delay_seconds <= remaining_seconds * _CALLER_WAIT_SHARE:
            await asyncio.sleep(delay_seconds)
            # A caller may reach another front with its second try.
            other = self._rng.choice(deployment.fronts)
            answer = await self._send(other, ends_at_seconds)
            rejected_count += _is_rejected(answer)
        if started_at_seconds < _WARMUP_SECONDS:
            return
        elapsed_ms = (loop.time() - started_at_seconds) * _MS_PER_SECOND
        is_served = isinstance(answer, (MergedAnswer, RelayedAnswer))
        counts.sent_count += 1
        counts.served_count += is_served
        counts.on_time_count += is_served and elapsed_ms <= route.target_ms
        counts.rejected_count += rejected_count

    async def _send(
        self, emulated_front: EmulatedFront, ends_at_seconds: float
    ) -> object:
        now_seconds = asyncio.get_running_loop().time()
        path = self._kind.route.prefix
        query = Query(
            request=Request(
                request_id=self._request_id,
                method='GET',
                path_and_query=path,
                headers=(),
            ),
            host='h',
            path=path,
            deadline_ms=(ends_at_seconds - now_seconds) * _MS_PER_SECOND,
            received_at_seconds=now_seconds,
            api_key=self._kind.tenant,
        )
        return await emulated_front.front.serve(query)


def _is_rejected(answer: object) -> bool:
    return (
        isinstance(answer, Refusal) and answer.code is ResultCode.not_admitted
    )


def _retry_delay_seconds(answer: object) -> float:
    if isinstance(answer, Refusal):
        return answer.retry_after_seconds or 0
    return 0
