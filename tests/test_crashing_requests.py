"""Test requests that end each replica that runs them."""

import asyncio
import contextlib
import itertools
import pathlib
import signal
import time
from http import HTTPStatus

import aiohttp
import attrs
import pytest

from dragonflyramp import operators
from dragonflyramp.members import SUSPECTS_KIND
from tests.deployments import (
    Deployment,
    FrontAnswer,
    FrontProcess,
    run_deployment,
    send_request,
)
from tests.programs import PROGRAM_TIMEOUT_SECONDS
from tests.standins.replicas import ReplicaServer
from tests.standins.stores import StoreFaults

#: Part of the path of the requests that end their replicas.
_CRASH_TEXT = 'poison'
_FRONT_COUNT = 3
_REPLICA_COUNT = 5
_REPEAT_COUNT = 16
_REPEAT_INTERVAL_SECONDS = 0.25
#: Longer than fronts that hear of each other stay without a response.
_FREEZE_SECONDS = 4
#: Once a request has ended this many replicas, its repeats are not sent on.
_CRASH_LIMIT = 3
#: Requests that may still reach replicas after the limit, from all fronts.
_MAX_LATER_ARRIVALS = 3


@attrs.define(eq=False)
class _Caller:
    """Send the same request again, at the fronts in turn."""

    deployment: Deployment
    path: str
    method: str = 'GET'
    answers: list[FrontAnswer] = attrs.field(factory=list)
    last_request_id: str = ''

    async def repeat(self, count: int = _REPEAT_COUNT) -> None:
        """Send the request several times, each with a new id."""
        fronts = itertools.cycle(self.deployment.fronts)
        for _ in range(count):
            await self.send(next(fronts))
            await asyncio.sleep(_REPEAT_INTERVAL_SECONDS)

    async def send(self, front: FrontProcess) -> None:
        """Send the request once; a front that is down does not answer."""
        request_id = f'{self.path}-{len(self.answers)}-{time.monotonic_ns()}'
        self.last_request_id = request_id
        async with aiohttp.ClientSession() as session:
            with contextlib.suppress(aiohttp.ClientError):
                self.answers.append(
                    await send_request(
                        session,
                        front,
                        self.path,
                        request_id,
                        method=self.method,
                    )
                )


def _arm_replicas(deployment: Deployment) -> None:
    for server in deployment.all_servers():
        server.faults.crash_text = _CRASH_TEXT


def _crash_times(deployment: Deployment) -> list[float]:
    """Return when requests ended replicas, in order."""
    return sorted(
        itertools.chain.from_iterable(
            server.crashes for server in deployment.all_servers()
        )
    )


def _max_crash_count(shard_count: int) -> int:
    return max(shard_count, _CRASH_LIMIT) + _MAX_LATER_ARRIVALS


@pytest.mark.parametrize(
    ('path', 'method', 'shard_count'),
    [
        ('/search/poison', 'GET', 3),
        ('/lookup/poison', 'GET', 1),
        ('/order/poison', 'POST', 1),
    ],
)
async def test_crashing_request_is_blocked_fleet_wide(
    tmp_path: pathlib.Path, path: str, method: str, shard_count: int
) -> None:
    """A repeated request must not end one replica after the other."""
    async with run_deployment(
        tmp_path, _FRONT_COUNT, _REPLICA_COUNT
    ) as deployment:
        _arm_replicas(deployment)
        caller = _Caller(deployment, path, method)
        await caller.repeat()
        assert len(_crash_times(deployment)) <= _max_crash_count(shard_count)


async def test_started_front_knows_crashing_request(
    tmp_path: pathlib.Path,
) -> None:
    """Fronts must not try the request again after a kill or a power loss."""
    async with run_deployment(
        tmp_path, _FRONT_COUNT, _REPLICA_COUNT
    ) as deployment:
        _arm_replicas(deployment)
        caller = _Caller(deployment, '/lookup/poison')
        await caller.repeat(8)
        for killed_count in (1, _FRONT_COUNT):
            killed = deployment.fronts[:killed_count]
            for front in killed:
                await front.program.kill()
            for started_front in killed:
                await deployment.restart_front(started_front)
            for ready_front in killed:
                await ready_front.wait_ready()
                await caller.send(ready_front)
        assert len(_crash_times(deployment)) <= _max_crash_count(1)


async def test_crashing_request_in_store_outage(
    tmp_path: pathlib.Path,
) -> None:
    """Without the store, the fronts must stop the request among themselves."""
    async with run_deployment(
        tmp_path, _FRONT_COUNT, _REPLICA_COUNT
    ) as deployment:
        _arm_replicas(deployment)
        deployment.store_server.store.faults = StoreFaults(status=503)
        deployment.store_server.store.wake_watches()
        caller = _Caller(deployment, '/lookup/poison')
        await caller.repeat(9)
        assert len(_crash_times(deployment)) <= _max_crash_count(1)
        deployment.store_server.store.faults = StoreFaults()
        await caller.repeat(9)
        assert len(_crash_times(deployment)) <= _max_crash_count(1)


async def test_resumed_front_tries_request_once(
    tmp_path: pathlib.Path,
) -> None:
    """A front that stood still has not heard that the request is blocked."""
    async with run_deployment(
        tmp_path, _FRONT_COUNT, _REPLICA_COUNT
    ) as deployment:
        _arm_replicas(deployment)
        frozen = deployment.fronts.pop()
        frozen.program.send_signal(signal.SIGSTOP)
        caller = _Caller(deployment, '/lookup/poison')
        await caller.repeat(9)
        crash_count = len(_crash_times(deployment))
        waiting = asyncio.create_task(caller.send(frozen))
        await asyncio.sleep(_FREEZE_SECONDS)
        frozen.program.send_signal(signal.SIGCONT)
        await waiting
        assert len(_crash_times(deployment)) <= crash_count + 1
        deployment.fronts.append(frozen)
        await caller.repeat(6)
        assert len(_crash_times(deployment)) <= crash_count + 1


def _explain(deployment: Deployment, request_id: str) -> str:
    lines = itertools.chain.from_iterable(
        operators.parse_log(front.name, front.program.lines)
        for front in deployment.fronts
    )
    return '\n'.join(operators.explain_request(request_id, lines))


async def test_released_request_is_run_again(tmp_path: pathlib.Path) -> None:
    """An operator must be able to let a request through that is mended."""
    async with run_deployment(
        tmp_path, _FRONT_COUNT, _REPLICA_COUNT
    ) as deployment:
        _arm_replicas(deployment)
        caller = _Caller(deployment, '/lookup/poison')
        await caller.repeat(6)
        store = deployment.store_server.store
        fingerprint = next(iter(store.objects_by_kind[SUSPECTS_KIND]))
        explanation = _explain(deployment, caller.last_request_id)
        assert 'replicas ended each time they ran it' in explanation
        assert f'fingerprint {fingerprint}' in explanation
        for server in deployment.replicas['lookup']:
            server.faults.crash_text = ''
        store.remove(SUSPECTS_KIND, fingerprint)
        async with asyncio.timeout(PROGRAM_TIMEOUT_SECONDS):
            while caller.answers[-1].status != HTTPStatus.OK:
                await caller.repeat(1)
        caller.answers.clear()
        await caller.repeat(6)
        assert {answer.status for answer in caller.answers} == {HTTPStatus.OK}


async def test_popular_request_survives_ended_replicas(
    tmp_path: pathlib.Path,
) -> None:
    """A request in flight on replicas that end by themselves is not at fault.

    Each of its repeats must be served.
    """
    async with run_deployment(
        tmp_path, _FRONT_COUNT, _REPLICA_COUNT
    ) as deployment:
        servers = deployment.replicas['lookup']
        for server in servers:
            server.faults.work_seconds = 0.05
        caller = _Caller(deployment, '/lookup/popular')
        for ended_server in (*servers, *servers):
            async with asyncio.TaskGroup() as sending:
                for front in deployment.fronts:
                    sending.create_task(caller.send(front))
                sending.create_task(_end_running(ended_server))
            await caller.repeat(1)
        assert {answer.status for answer in caller.answers} == {HTTPStatus.OK}


async def _end_running(server: ReplicaServer) -> None:
    """End a replica while it may run a request."""
    await asyncio.sleep(0.025)
    server.end_process()
