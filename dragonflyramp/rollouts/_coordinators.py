"""Coordinate the open rollouts while this daemon is a hub."""

import asyncio
import contextlib

import attrs
from loguru import logger

from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode
from dragonflyramp.rollouts._decisions import Inputs, Step, decide
from dragonflyramp.rollouts._observations import Observer
from dragonflyramp.rollouts._stores import RolloutWriter
from dragonflyramp.runtime import TaskSet

_CHECK_INTERVAL_SECONDS = 0.2
#: Delay after a failed or a status write; each call is billed.
_RETRY_DELAY_SECONDS = 0.4


@attrs.define(eq=False, kw_only=True)
class Coordinator:
    """Create, continue and end the records of open rollouts."""

    observer: Observer
    writer: RolloutWriter
    _tasks: TaskSet = attrs.field(factory=TaskSet)
    _running: dict[str, asyncio.Task[object]] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Advance each open rollout in a task of its own, until cancelled."""
        async with contextlib.AsyncExitStack() as cleanup:
            cleanup.push_async_callback(self._tasks.cancel)
            while True:
                self.start_due()
                await asyncio.sleep(_CHECK_INTERVAL_SECONDS)

    def start_due(self) -> None:
        """Start a task for each open rollout that has none."""
        known = self.observer.known
        known.start_times.note_confirmation(
            known.orders_view.confirmed_at_seconds
        )
        for service, order in known.orders.items():
            task = self._running.get(service)
            if order.is_open and (task is None or task.done()):
                self._running[service] = self._tasks.start(
                    self.advance(service, known.clock()), 'rollout'
                )

    async def advance(self, service: str, now_seconds: float) -> None:
        """Decide on one rollout, and write what follows."""
        inputs = self.observer.observe(service, now_seconds)
        if inputs is None:
            return
        observation = self.observer.by_service[service]
        if now_seconds < observation.next_write_at_seconds:
            return
        step = decide(inputs)
        code = ResultCode.ok
        if step.record is not None:
            code = await self.writer.write_record(service, step.record)
        if code is ResultCode.ok:
            _report(inputs, step)
            if step.status is not None:
                await self.writer.write_status(service, step.status)
        if code is not ResultCode.ok or step.status is not None:
            observation.next_write_at_seconds = (
                self.observer.known.clock() + _RETRY_DELAY_SECONDS
            )


def _report(inputs: Inputs, step: Step) -> None:
    """Log a change of the phase or the coordinator with its inputs."""
    if not step.reason:
        return
    counters.add('rollout_decisions', step.reason)
    logger.bind(
        service=inputs.rollout.order.service,
        target_version=inputs.rollout.order.target_version,
        reason=step.reason,
        elapsed_seconds=round(inputs.elapsed_seconds, 2),
        observed_seconds=round(inputs.observed_seconds, 2),
        target_answers=attrs.astuple(inputs.sample.target_total()),
        other_answers=attrs.astuple(inputs.sample.others_total()),
        excess=round(inputs.verdict.excess_count, 1),
        bad_replicas=sorted(inputs.verdict.bad_replica_ids),
        target_replicas=sorted(inputs.census.target_slots),
        undrained=inputs.undrained_count,
    ).info('rollout decided')
