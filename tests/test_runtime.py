"""Test the tasks, signals and event loop of a daemon."""

import asyncio
import signal
import subprocess
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from dragonflyramp.backends import Preconnector
from dragonflyramp.members import HubLinks, Registrar, Watcher
from dragonflyramp.metrics import counters
from dragonflyramp.routing_state import RoutingState
from dragonflyramp.runtime import (
    Coalescer,
    StandstillDetector,
    TaskSet,
    run_all,
    run_until_first,
)
from dragonflyramp.tools._front_components import FrontComponents
from tests.standins.waits import eventually


def test_signal_may_be_older_than_standstill() -> None:
    """The grace period of a stop also passes while the process is frozen."""
    detector = StandstillDetector(100)
    for tick_at_seconds in (100.25, 100.5):
        detector.tick(tick_at_seconds)
    assert [
        detector.earliest_signal_at_seconds(handled_at_seconds)
        for handled_at_seconds in (101, 104, 104.25, 105)
    ] == pytest.approx([101, 101, 101, 105])


_SCRIPT = """
import asyncio, os
from dragonflyramp.runtime import run_daemon

async def main(stop):
    loop = asyncio.get_running_loop()
    print(type(loop).__module__, os.environ['UV_USE_IO_URING'], flush=True)
    names = [f'/proc/self/fd/{name}' for name in os.listdir('/proc/self/fd')]
    links = [os.readlink(name) for name in names if os.path.exists(name)]
    print(any('io_uring' in link for link in links), flush=True)
    await stop.wait()
    print('stopped', flush=True)

run_daemon(main)
"""


async def _fail() -> None:
    raise ValueError('raised by the test')


async def test_failure_cancels_other_tasks() -> None:
    """A daemon must not continue after one of its tasks has failed."""
    other_future = asyncio.get_running_loop().create_future()
    count_before = counters.get('task_failures', '_fail')

    async def wait_for_other() -> None:  # noqa: WPS430 - needs the future
        await other_future

    with pytest.raises(ValueError, match='raised by the test'):
        await run_all(_fail(), wait_for_other())
    assert other_future.cancelled()
    assert counters.get('task_failures', '_fail') == count_before + 1


@pytest.mark.parametrize(
    ('run', 'label'),
    [
        (FrontComponents.run, 'FrontParts.run'),
        (HubLinks.run, 'Members.run'),
        (Preconnector.run, 'Warming.run'),
        (Registrar.run, 'Registry.run'),
        (RoutingState.run, 'Knowledge.run'),
        (Watcher.run, 'Watch.run'),
    ],
)
async def test_renamed_class_keeps_its_label(
    run: Callable[[Any], Coroutine[Any, Any, None]], label: str
) -> None:
    """Renaming a class must not change the label of its task's failures.

    Without an instance, the coroutine fails at its first attribute access.
    """
    count_before = counters.get('task_failures', label)
    with pytest.raises(AttributeError):
        await run_all(run(None))
    assert counters.get('task_failures', label) == count_before + 1


async def test_first_completion_cancels_other_tasks() -> None:
    """When one direction of a stream ends, the other must not continue."""
    never_set = asyncio.Event()
    await run_until_first(asyncio.sleep(0), never_set.wait())
    await run_all(asyncio.sleep(0), asyncio.sleep(0))
    assert len(asyncio.all_tasks()) == 1


async def test_task_set_counts_failures() -> None:
    """A failure of a background task must be counted."""
    tasks = TaskSet()
    count_before = counters.get('task_failures', 'test kind')
    tasks.start(_fail(), 'test kind')
    tasks.start(asyncio.Event().wait(), 'other')
    await asyncio.sleep(0)
    await tasks.cancel()
    await asyncio.sleep(0)
    assert counters.get('task_failures', 'test kind') == count_before + 1
    assert not tasks


@pytest.mark.parametrize('signal_number', [signal.SIGTERM, signal.SIGINT])
def test_signal_stops_daemon(signal_number: signal.Signals) -> None:
    """A stop signal must only set the stop event, not interrupt the daemon.

    The event loop must not open an io_uring descriptor.
    """
    with subprocess.Popen(
        [sys.executable, '-c', _SCRIPT],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    ) as daemon:
        assert daemon.stdout
        lines = [daemon.stdout.readline() for _ in range(2)]
        daemon.send_signal(signal_number)
        output, errors = daemon.communicate(timeout=60)
    assert lines == ['uvloop 0\n', 'False\n']
    assert output == 'stopped\n'
    assert not errors
    assert daemon.returncode == 0


async def test_coalescer_calls_once_for_many_requests() -> None:
    """Many changes at once must not end each wait of other daemons."""
    calls: list[int] = []
    coalescer = Coalescer(lambda: calls.append(1))
    for _ in range(3):
        coalescer.request()
    await eventually(lambda: len(calls) == 1)
    coalescer.request()
    coalescer.request()
    await eventually(lambda: len(calls) == 2)
