"""Run a daemon on uvloop, handle signals and report failures of tasks."""

import asyncio
import contextlib
import gc
import math
import mimetypes
import os
import signal
import time
from collections.abc import Callable, Coroutine, Iterable, Mapping
from types import MappingProxyType
from typing import Any, TypeAlias

import attrs
from loguru import logger

from dragonflyramp.metrics import counters

# Keeps libuv from opening an io_uring descriptor; set before uvloop loads.
os.environ['UV_USE_IO_URING'] = '0'
# No connection uses TLS. Without these, importing aiohttp would load the CA
# certificates of the VM, which adds 0.16 s to each start.
os.environ['SSL_CERT_FILE'] = os.devnull
os.environ['SSL_CERT_DIR'] = os.devnull
# Keeps aiohttp from reading the MIME types of the VM, which takes 0.05 s.
mimetypes.init([])
# gRPC would write its own lines to standard error, between JSON log lines.
os.environ.setdefault('GRPC_VERBOSITY', 'NONE')

import uvloop  # noqa: E402 - UV_USE_IO_URING must be set first

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
#: Task names by the qualified names of coroutines that were renamed. A task's
#: name is a label of the counter `task_failures`, which operators read, so it
#: must not change with the code.
_TASK_NAMES: Mapping[str, str] = MappingProxyType(
    {
        'FrontComponents.run': 'FrontParts.run',
        'HubLinks.run': 'Members.run',
        'Preconnector.run': 'Warming.run',
        'Registrar.run': 'Registry.run',
        'RoutingState.run': 'Knowledge.run',
        'Watcher.run': 'Watch.run',
    }
)

#: Garbage collection at the interpreter's default of 700 new objects takes a
#: fifth of the processor time of a search, most of whose objects are freed by
#: their reference counts.
_GC_THRESHOLDS = (20_000, 20, 50)

#: A gap between ticks from which a process counts as having stood still. Busy
#: event loops have shorter ones.
_MIN_STANDSTILL_SECONDS = 0.8

AnyCoroutine: TypeAlias = Coroutine[Any, Any, object]
DaemonMain: TypeAlias = Callable[[asyncio.Event], Coroutine[Any, Any, None]]


def unix_ms() -> int:
    """Return the Unix time in ms, which may jump."""
    return int(time.time() * 1000)


def boot_seconds() -> float:
    """Return the monotonic time in seconds, suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def run_daemon(main: DaemonMain) -> None:
    """Run a daemon's coroutine; SIGTERM and SIGINT set its stop event.

    Return when the coroutine ends; its exception propagates.
    """
    # The objects of the imported modules stay, so that no collection has to
    # visit them.
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    gc.enable()
    # Not aiomisc's entrypoint: its import takes a fifth of the start-up time.
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.get_loop().set_exception_handler(_report_loop_failure)
        runner.run(_run_with_signal_handlers(main))


async def run_all(*coroutines: AnyCoroutine) -> None:
    """Run coroutines until all end; a failure cancels the others.

    Failures are logged and counted. If there are several, the one of the first
    coroutine in the arguments is raised.
    """
    await _run_until(coroutines, asyncio.FIRST_EXCEPTION)


async def run_until_first(*coroutines: AnyCoroutine) -> None:
    """Run coroutines until one ends, then cancel the others.

    Failures are logged and counted. If there are several, the one of the first
    coroutine in the arguments is raised.
    """
    await _run_until(coroutines, asyncio.FIRST_COMPLETED)


@attrs.define(eq=False)
class TaskSet:
    """Background tasks that start and end independently.

    Failures are logged, and counted under the kind of the task.
    """

    _tasks: set[asyncio.Task[object]] = attrs.field(factory=set)

    def __len__(self) -> int:
        """Return the number of running tasks."""
        return len(self._tasks)

    def start(self, coroutine: AnyCoroutine, kind: str) -> asyncio.Task[object]:
        """Start a task and keep a reference to it until it ends."""
        task = asyncio.create_task(coroutine, name=kind)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    async def wait(self) -> None:
        """Wait until the tasks that are running now have ended."""
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        await _cancel_all(tuple(self._tasks))

    def _on_task_done(self, task: asyncio.Task[object]) -> None:
        self._tasks.discard(task)
        _report_failure(task)


@attrs.define(eq=False)
class Broadcast:
    """Wake all tasks that wait for the next change."""

    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def wake(self) -> None:
        """Wake the tasks that wait now."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()


@attrs.define(eq=False)
class Coalescer:
    """Call a function soon after a request for it, once for many requests."""

    _function: Callable[[], None]
    #: Minimum time between two calls.
    _interval_seconds: float = 0.1
    _next_call_at_seconds: float = 0
    _timer: asyncio.TimerHandle | None = None

    def request(self) -> None:
        """Call the function at once, or when the interval has passed."""
        if self._timer is not None:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(self._next_call_at_seconds, self._call)

    def _call(self) -> None:
        self._timer = None
        self._next_call_at_seconds = (
            asyncio.get_running_loop().time() + self._interval_seconds
        )
        self._function()


@attrs.define(eq=False)
class StandstillDetector:
    """Detect that the process stood still, as on a frozen VM.

    A signal that arrives meanwhile is handled only afterwards.
    """

    _ticked_at_seconds: float
    _started_at_seconds: float = -math.inf
    _ended_at_seconds: float = -math.inf

    def tick(self, now_seconds: float) -> None:
        """Record that the process runs; call it every 0.2 s."""
        if now_seconds - self._ticked_at_seconds > _MIN_STANDSTILL_SECONDS:
            self._started_at_seconds = self._ticked_at_seconds
            self._ended_at_seconds = now_seconds
        self._ticked_at_seconds = now_seconds

    def earliest_signal_at_seconds(self, now_seconds: float) -> float:
        """Return when a signal that is handled now was sent at the earliest."""
        self.tick(now_seconds)
        elapsed_seconds = now_seconds - self._ended_at_seconds
        if elapsed_seconds < _MIN_STANDSTILL_SECONDS:
            return self._started_at_seconds
        return now_seconds


async def _run_with_signal_handlers(main: DaemonMain) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in _STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop.set)
    await main(stop)
    for handled_number in _STOP_SIGNALS:
        # A repeated signal must not end the process with another exit code.
        loop.remove_signal_handler(handled_number)
        signal.signal(handled_number, signal.SIG_IGN)


async def _run_until(
    coroutines: Iterable[AnyCoroutine], return_when: str
) -> None:
    tasks = [
        asyncio.create_task(coroutine, name=_task_name(coroutine))
        for coroutine in coroutines
    ]
    async with contextlib.AsyncExitStack() as cleanup:
        cleanup.push_async_callback(_cancel_all, tasks)
        await asyncio.wait(tasks, return_when=return_when)
    failures = [_report_failure(task) for task in tasks]
    first_failure = next(filter(None, failures), None)
    if first_failure is not None:
        raise first_failure


async def _cancel_all(tasks: Iterable[asyncio.Task[object]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _task_name(coroutine: AnyCoroutine) -> str:
    qualified_name = getattr(coroutine, '__qualname__', 'task')
    return _TASK_NAMES.get(qualified_name, qualified_name)


def _report_failure(task: asyncio.Task[object]) -> BaseException | None:
    failure = None if task.cancelled() else task.exception()
    if failure is not None:
        counters.add('task_failures', task.get_name())
        logger.opt(exception=failure).error('task {} failed', task.get_name())
    return failure


def _report_loop_failure(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    counters.add('task_failures', 'event_loop')
    failure = context.get('exception')
    logger.opt(exception=failure).error(
        'event loop error: {}', context['message']
    )
