"""Test what a search costs the front, and in which order it spends it."""

import asyncio
import functools
import random
import subprocess
import sys
from types import SimpleNamespace
from typing import Any, cast

import attrs
import pytest
from loguru import logger

from dragonflyramp.backends import FirstSends, Policies, RequestContext
from dragonflyramp.backends._attempts import Attempt
from dragonflyramp.backends._latencies import LatenciesByRoute
from dragonflyramp.backends._recorders import OutcomeRecorder
from dragonflyramp.backends._replicas import Health, ReplicaStats
from dragonflyramp.backends._reply_checks import ReplyVerdict
from dragonflyramp.callers import MergedAnswer
from dragonflyramp.deferred_calls import DeferredCalls
from dragonflyramp.messages import Reply, Request
from dragonflyramp.placement import LowestLatencySelector, SelectionInputs
from dragonflyramp.platform import ReplicaCodec
from dragonflyramp.rollouts import AllVersions
from dragonflyramp.routes import GatherSettings
from dragonflyramp.slow_replicas import SlowReplicaDetector
from tests.front_harnesses import (
    make_route,
    make_table,
    run_harness,
)

_SHARDS = tuple(f's{index}' for index in range(8))
_GATHER = GatherSettings(shards=_SHARDS, top_count=5, min_share=0.85)
_TABLE = make_table(make_route(gather=_GATHER))
_MAX_CALLS_PER_PART = 300


def test_search_takes_few_calls_per_part() -> None:
    """The front spent its time on bookkeeping, and searches came late.

    The number of calls does not depend on the speed of the machine.
    """
    command = (sys.executable, '-m', 'benchmarks.parts', '--calls')
    output = subprocess.run(
        (*command, '--searches=100'),
        check=True,
        capture_output=True,
        text=True,
        timeout=120,
    ).stdout
    assert float(output.split()[0]) <= _MAX_CALLS_PER_PART


@attrs.define(eq=False)
class _Events:
    """What the front does, in its order."""

    names: list[str] = attrs.field(factory=list)


@attrs.frozen
class _RecordingSelector(LowestLatencySelector):
    events: _Events = attrs.field(factory=_Events)

    def accept(self, *args: Any) -> float | None:
        """Record that a replica is selected."""
        self.events.names.append('selected')
        return super().accept(*args)

    def select(
        self, candidates: Any, inputs: SelectionInputs, rng: random.Random
    ) -> Any:
        """Record that a replica is selected."""
        self.events.names.append('selected')
        return super().select(candidates, inputs, rng)


async def test_first_part_is_sent_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The first request waited until the replicas of all parts were selected.

    The replicas had nothing to do meanwhile.
    """
    events = _Events()
    encode = ReplicaCodec.encode

    def spy(  # noqa: WPS430
        codec: ReplicaCodec, request: Request, *args: Any
    ) -> bytes:
        events.names.append('sent')
        return encode(codec, request, *args)

    policies = Policies(selector=_RecordingSelector(events))
    async with run_harness(_TABLE, 1, policies=policies) as harness:
        # The connections of the second search are open.
        await harness.send(request_id='q1')
        monkeypatch.setattr(ReplicaCodec, 'encode', spy)
        events.names.clear()
        await harness.send(request_id='q2')
    assert events.names[::2] == ['selected' for _ in _SHARDS]
    assert events.names[1::2] == ['sent' for _ in _SHARDS]


async def test_answer_does_not_wait_for_its_log_line() -> None:
    """Statistics and log lines of all parts were written before the answer."""
    lines: list[dict[str, Any]] = []
    handler_id = logger.add(lambda line: lines.append(line.record['extra']))
    calls = DeferredCalls()
    async with run_harness(_TABLE, 1) as harness:
        client = attrs.evolve(harness.front.backend_client, calls=calls)
        front = attrs.evolve(
            harness.front, backend_client=client, logs_all_answers=True
        )
        answer = await front.serve(
            harness.make_query('/route/x', 2000, request_id='q1')
        )
        assert isinstance(answer, MergedAnswer)
        assert not any('sources' in line for line in lines)
        calls.run_all()
    logger.remove(handler_id)
    assert [line['request'] for line in lines if 'sources' in line] == ['q1']


async def test_deferred_calls_are_bounded() -> None:
    """Many requests at once must not keep all their replies in memory."""
    calls = DeferredCalls()
    done: list[int] = []
    for number in range(3000):
        calls.add(functools.partial(done.append, number))
    assert len(done) >= 2000
    calls.run_all()
    assert done == list(range(3000))


async def test_failed_deferred_call_does_not_end_others() -> None:
    """One defect in the statistics must not lose the log lines of requests."""
    calls = DeferredCalls()
    done = asyncio.Event()
    calls.add(lambda: [].pop())
    calls.add(done.set)
    calls.run_soon()
    async with asyncio.timeout(30):
        await done.wait()


@pytest.mark.parametrize(
    ('polled_at_seconds', 'is_slow'), [(1.0205, False), (1.05, True)]
)
def test_time_to_send_other_parts_is_no_latency(
    polled_at_seconds: float, *, is_slow: bool
) -> None:
    """The replicas of the first parts were taken for slow, and avoided.

    Their replies waited while the front sent the other parts. Its next searches
    went to other replicas, to which it had no connections.
    """
    recorder = OutcomeRecorder(
        LatenciesByRoute(), SlowReplicaDetector(), AllVersions()
    )
    stats = ReplicaStats()
    attempt = SimpleNamespace(
        exchange=SimpleNamespace(written_at_seconds=1.0, replica_id='s0-0'),
        replica=SimpleNamespace(stats=stats, health=Health(), entry=None),
        purpose='first',
        is_connection_new=False,
        first_sends=FirstSends(ended_at_seconds=1.02),
    )
    route = make_route(target_ms=40)
    recorder.record_reply(
        cast(Attempt, attempt),
        Reply(status=200, headers=(), body=b''),
        ReplyVerdict.success,
        cast(RequestContext, SimpleNamespace(route=route)),
        polled_at_seconds,
    )
    assert (stats.latency_ratio(polled_at_seconds) > 1) is is_slow
