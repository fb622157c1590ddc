"""Emulate replicas with slots, a queue, periodic pauses and timed faults."""

import asyncio
import contextlib
import random
from collections.abc import Mapping
from types import MappingProxyType

import attrs

from benchmarks.emulator._experiments import Experiment, Fault
from dragonflyramp.callers._in_flight import InFlightCounter
from dragonflyramp.messages import Load, Reply, Request

_OK = 200
_SERVICE_UNAVAILABLE = 503


@attrs.define(eq=False)
class EmulatedReplica:
    """Run each request in one of a limited number of slots."""

    replica_id: str
    failure_domain: str
    experiment: Experiment
    rng: random.Random
    faults: list[Fault] = attrs.field(factory=list)
    #: Median work of requests by path; that of the experiment for others.
    work_ms_by_path: Mapping[str, float] = MappingProxyType({})
    #: Number of requests received, including refused ones.
    received_count: int = 0
    running_requests: InFlightCounter = attrs.field(factory=InFlightCounter)
    waiting_requests: InFlightCounter = attrs.field(factory=InFlightCounter)
    #: Work time as a multiple of that of the experiment.
    speed: float = 1
    _pause_phase_seconds: float = attrs.field(init=False)
    _busy_phase_seconds: float = attrs.field(init=False)
    _slots: asyncio.Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Draw a random phase, so that replicas pause at different times."""
        interval_seconds = self.experiment.pause_every_seconds
        self._pause_phase_seconds = self.rng.uniform(0, interval_seconds)
        self._busy_phase_seconds = self.rng.uniform(
            0, self.experiment.busy_every_seconds
        )
        self._slots = asyncio.Semaphore(self.experiment.slots)

    async def serve(self, request: Request) -> Reply:
        """Run a request and return its reply, or refuse it with status 503."""
        self.received_count += 1
        is_queue_full = self.waiting_requests.count >= self.experiment.queue
        is_full = is_queue_full and self._slots.locked()
        if is_full or self._active_fault('full') is not None:
            return self._make_reply(request, _SERVICE_UNAVAILABLE)
        with self.waiting_requests:
            await self._slots.acquire()
        with self.running_requests, contextlib.ExitStack() as cleanup:
            cleanup.callback(self._slots.release)
            await self._run_work(request)
        return self._make_reply(request, _OK)

    async def connect(self) -> None:
        """Set up a connection, which occupies a slot."""
        async with self._slots:
            await asyncio.sleep(self.experiment.connect_ms / 1000)

    async def _run_work(self, request: Request) -> None:
        if self._active_fault('silent') is not None:
            await asyncio.sleep(self.experiment.timeout_ms / 1000)
        spread = self.experiment.work_spread
        work_ms = self.work_ms_by_path.get(
            request.path_and_query, self.experiment.work_ms
        ) * self.rng.lognormvariate(0, spread)
        work_ms *= self.speed * _work_time_ratio(
            self.experiment, self._busy_phase_seconds
        )
        slow_fault = self._active_fault('slow')
        if slow_fault is not None:
            work_ms *= slow_fault.factor
        await asyncio.sleep(self._remaining_pause_seconds() + work_ms / 1000)

    def _remaining_pause_seconds(self) -> float:
        """Return the time until the current pause ends, or 0 without one."""
        now_seconds = asyncio.get_running_loop().time()
        interval_seconds = self.experiment.pause_every_seconds
        since_pause_seconds = (
            now_seconds + self._pause_phase_seconds
        ) % interval_seconds
        return max(0, self.experiment.pause_ms / 1000 - since_pause_seconds)

    def _active_fault(self, kind: str) -> Fault | None:
        now_seconds = asyncio.get_running_loop().time()
        for fault in self.faults:
            elapsed_seconds = now_seconds - fault.at_seconds
            is_active = 0 <= elapsed_seconds < fault.for_seconds
            if fault.kind == kind and is_active:
                return fault
        return None

    def _make_reply(self, request: Request, status: int) -> Reply:
        return Reply(
            status=status,
            headers=(),
            body=b'',
            stamp=f'{self.replica_id}.1',
            request_id=request.request_id,
            is_not_run=status == _SERVICE_UNAVAILABLE,
            load=Load(
                self.running_requests.count,
                self.waiting_requests.count,
                self.experiment.slots,
                _work_time_ratio(self.experiment, self._busy_phase_seconds)
                if self.experiment.reports_work_time
                else None,
            ),
        )


def _work_time_ratio(experiment: Experiment, phase_seconds: float) -> float:
    """Return how long work takes now, as a multiple of the usual."""
    now_seconds = asyncio.get_running_loop().time()
    since_busy_seconds = (
        now_seconds + phase_seconds
    ) % experiment.busy_every_seconds
    is_busy = since_busy_seconds * 1000 < experiment.busy_ms
    return experiment.busy_factor if is_busy else 1
