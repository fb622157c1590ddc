"""Measure the CPU time that a front spends per part of a search.

Run `python -m benchmarks.parts`. The replicas reply immediately and run in a
separate process, so that only the front's CPU time is measured. `--profile`
also prints a profile of the front, and `--calls` the number of calls per part
instead of the time, without hedges: it is the same on every machine. The
benchmark starts the process of the replicas itself, with `--replicas`.
"""

import argparse
import asyncio
import contextlib
import cProfile
import itertools
import pstats
import random
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Sequence

import uvloop
from loguru import logger

from dragonflyramp.backends import NoHedging, Policies, ReplicaOrder
from dragonflyramp.callers import MergedAnswer
from dragonflyramp.replicas import ReplicaEntry, ReplicaState
from dragonflyramp.routes import GatherSettings
from dragonflyramp.runtime import TaskSet
from tests.front_harnesses import (
    FrontHarness,
    make_front,
    make_route,
    make_table,
)

#: Each shard has a replica in each, the first of which is that of the front.
_FAILURE_DOMAINS = ('recife', 'fortaleza', 'salvador')
_REPLICAS_PER_SHARD = len(_FAILURE_DOMAINS)
#: Daemons, including the front, that share the budget.
_DAEMON_COUNT = 7
#: Retries and hedges of all daemons per service and budget window, in addition
#: to the ratio.
_BUDGET_SLACK = 50
_WARM_UP_SEARCHES = 10
_BATCHES = 5
_RECORDS_PER_PART = 60
_RECORD_BYTES = 16
#: Numbers of the replies of all replicas, since each has a stamp of its own.
_stamp_numbers = itertools.count()


def main() -> None:
    """Measure and print the CPU time, or only run the replicas."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--shards', type=int, default=36)
    parser.add_argument('--searches', type=int, default=300)
    parser.add_argument('--profile', action='store_true')
    parser.add_argument('--calls', action='store_true')
    parser.add_argument('--replicas', action='store_true')
    options = parser.parse_args()
    logger.remove()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        if options.replicas:
            runner.run(_serve_replicas(options.shards * _REPLICAS_PER_SHARD))
        elif options.calls:
            runner.run(_count_calls(options.shards, options.searches))
        else:
            measurement = _measure(options.shards, options.searches)
            _run_measurement(runner, measurement, is_profiled=options.profile)


def _run_measurement(
    runner: asyncio.Runner, measurement: object, *, is_profiled: bool
) -> None:
    profile = cProfile.Profile()
    if is_profiled:
        profile.enable()
    runner.run(measurement)  # type: ignore[arg-type]
    if is_profiled:
        profile.disable()
        pstats.Stats(profile).sort_stats('tottime').print_stats(45)


class _ReplicaProtocol(asyncio.Protocol):
    """Reply to each request immediately, always with the same body."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._body = random.Random(1).randbytes(
            _RECORDS_PER_PART * _RECORD_BYTES
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:  # noqa: WPS110 - from asyncio
        request_id = data.partition(b'Request-Id: ')[2].partition(b'\r\n')[0]
        head = (
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\nRequest-Id: %s\r\n'
            b'Server-Stamp: 3e1b.07.5a2.600.0.%08x\r\n'
            b'Server-Load: 1,0,4\r\n\r\n'
            % (len(self._body), request_id, next(_stamp_numbers))
        )
        assert self._transport is not None
        self._transport.write(head + self._body)


async def _serve_replicas(replica_count: int) -> None:
    loop = asyncio.get_running_loop()
    ports = []
    for _ in range(replica_count):
        server = await loop.create_server(_ReplicaProtocol, '127.0.0.1', 0)
        ports.append(server.sockets[0].getsockname()[1])
    port_list = ' '.join(map(str, ports))
    sys.stdout.write(f'{port_list}\n')
    sys.stdout.flush()
    await loop.run_in_executor(None, sys.stdin.read)


async def _measure(shard_count: int, search_count: int) -> None:
    shards = tuple(map(_shard_name, range(shard_count)))
    async with _front_harness(shards, Policies()) as harness:
        # Opens connections and collects latency samples before the measurement.
        await _run_searches(harness, search_count // 10)
        wall_seconds = time.perf_counter()
        cpu_seconds = time.process_time()
        await _run_searches(harness, search_count)
        cpu_seconds = time.process_time() - cpu_seconds
        wall_seconds = time.perf_counter() - wall_seconds
    part_count = search_count * shard_count
    cpu_us_per_part = round(cpu_seconds / part_count * 1e6)
    mean_latency_ms = round(wall_seconds / search_count * 1000, 1)
    sys.stdout.write(
        f'{cpu_us_per_part} us of CPU time per part, '
        f'{mean_latency_ms} ms mean latency of a search '
        f'of {shard_count} shards\n'
    )


async def _count_calls(shard_count: int, search_count: int) -> None:
    """Count the calls of several batches of searches, and print the least.

    In the others, a replica that was slow for a moment is compared with others.
    """
    shards = tuple(map(_shard_name, range(shard_count)))
    policies = Policies(hedging=NoHedging())
    batch_size = max(1, search_count // _BATCHES)
    async with _front_harness(shards, policies) as harness:
        await _run_searches(harness, 2 * _WARM_UP_SEARCHES)
        counts = [
            await _profile_searches(harness, batch_size)
            for _ in range(_BATCHES)
        ]
    calls_per_part = round(min(counts) / (batch_size * shard_count), 1)
    sys.stdout.write(f'{calls_per_part} calls per part\n')


async def _profile_searches(harness: FrontHarness, search_count: int) -> int:
    profile = cProfile.Profile()
    profile.enable()
    await _run_searches(harness, search_count)
    profile.disable()
    # pstats declares the attribute in a comment only.
    return int(pstats.Stats(profile).total_calls)  # type: ignore[attr-defined]


async def _run_searches(harness: FrontHarness, search_count: int) -> None:
    for number in range(search_count):
        answer = await harness.send(request_id=f'q{number}')
        assert isinstance(answer, MergedAnswer)


@contextlib.asynccontextmanager
async def _front_harness(
    shards: tuple[str, ...], policies: Policies
) -> AsyncIterator[FrontHarness]:
    gather = GatherSettings(shards=shards, top_count=50, min_share=0.9)
    shard_count = len(shards)
    command = (sys.executable, '-m', __spec__.name, '--replicas')
    with subprocess.Popen(
        (*command, f'--shards={shard_count}'),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as replica_process:
        assert replica_process.stdout is not None
        ports = replica_process.stdout.readline().split()
        tasks = TaskSet()
        front = make_front(
            make_table(make_route(gather=gather)),
            _make_entries(ports),
            tasks,
            budget_slack=_BUDGET_SLACK,
            policies=policies,
            daemon_count=_DAEMON_COUNT,
        )
        fleet = front.backend_client.fleet
        fleet.order = ReplicaOrder(failure_domain=_FAILURE_DOMAINS[0])
        yield FrontHarness(front, {})
        await tasks.cancel()
        replica_process.communicate('')


def _shard_name(index: int) -> str:
    return f's{index}'


def _make_entries(ports: Sequence[str]) -> list[ReplicaEntry]:
    return [
        ReplicaEntry(
            replica_id=f'i-{index}',
            service=_shard_name(index // _REPLICAS_PER_SHARD),
            address=f'127.0.0.1:{port}',
            failure_domain=_FAILURE_DOMAINS[index % _REPLICAS_PER_SHARD],
            state=ReplicaState.ready,
            slots=4,
        )
        for index, port in enumerate(ports)
    ]


if __name__ == '__main__':
    main()
