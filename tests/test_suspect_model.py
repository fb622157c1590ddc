"""Test the decisions on suspect requests with a state machine.

It drives several fronts with lost, late, repeated and reordered messages,
restarts, cuts and outages of the store.
"""

import asyncio
import contextlib
import math
from typing import Any

import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from loguru import logger

from dragonflyramp.callers import RelayedAnswer
from dragonflyramp.suspects import SuspicionReport, report_after
from tests.suspect_models import FRONT_COUNT, ModelFront, World

_CRASHING = 'crashing'
_INNOCENT = 'innocent'
#: Requests that may reach replicas after the third end, from all fronts
#: together that hear of each other or of the store.
_MAX_LATER_ARRIVALS = 3
_TRIAL_INTERVAL_MS = 900_000

_fronts = strategies.integers(0, FRONT_COUNT - 1)


class SuspectMachine(RuleBasedStateMachine):
    """Send two requests while fronts, messages and the store fail.

    Between two requests, fronts that are informed exchange their messages.
    """

    def __init__(self) -> None:
        """Start with fronts that know no suspicion."""
        super().__init__()
        self.world = World()
        self.runner = asyncio.Runner()
        self.late_reports: list[SuspicionReport] = []
        #: Fronts that sent the request although they are not informed.
        self.uninformed_arrivals: dict[int, int] = {}

    def teardown(self) -> None:
        """Close the event loop."""
        self.runner.close()

    @rule(index=_fronts)
    def send_crashing(self, index: int) -> None:
        """Send the request that ends each replica."""
        front = self.world.fronts[index]
        if not front.is_synced:
            return
        before = self.world.crash_count
        self.runner.run(front.send(_CRASHING, [True, True, True]))
        if not front.is_informed:
            arrivals = self.world.crash_count - before
            self.uninformed_arrivals[index] = (
                self.uninformed_arrivals.get(index, 0) + arrivals
            )
        self._settle()

    @rule(index=_fronts, ends=strategies.booleans())
    def send_innocent(self, index: int, ends: bool) -> None:  # noqa: FBT001
        """Send a popular request, whose first replica may end by itself."""
        front = self.world.fronts[index]
        if not (front.is_synced and front.is_informed):
            return
        # Its ends do not count for the crashing request.
        crash_count = self.world.crash_count
        later = self.world.later_arrival_count
        answer = self.runner.run(
            front.send(_INNOCENT, [True, False] if ends else [False])
        )
        self.world.crash_count = crash_count
        self.world.later_arrival_count = later
        assert isinstance(answer, RelayedAnswer)
        self._settle()

    @rule(index=_fronts)
    def restart(self, index: int) -> None:
        """Restart a front, which reads the store before it serves."""
        self._replace(index)
        self._settle()

    @rule()
    def lose_power(self) -> None:
        """Restart all fronts at once; writes under way are lost."""
        self.world.pending_saves.clear()
        for index in range(FRONT_COUNT):
            self._replace(index)
        self._settle()

    @rule(index=_fronts, is_cut=strategies.booleans())
    def cut(self, index: int, is_cut: bool) -> None:  # noqa: FBT001
        """Cut a front off from the store and from the others, or heal it."""
        self.world.fronts[index].is_informed = not is_cut
        self._settle()

    @rule(is_down=strategies.booleans())
    def fail_store(self, is_down: bool) -> None:  # noqa: FBT001
        """Take the store down, or up again."""
        self.world.model_store.is_down = is_down
        self._settle()

    @rule(index=_fronts)
    def keep_report(self, index: int) -> None:
        """Keep a report, which arrives late and more than once."""
        front = self.world.fronts[index]
        self.late_reports.append(report_after(front.suspects.table, 0))

    @precondition(lambda machine: machine.late_reports)
    @rule(index=_fronts, chosen=strategies.randoms(use_true_random=False))
    def deliver_late_report(self, index: int, chosen: Any) -> None:
        """Deliver a report again, in any order."""
        report = chosen.choice(self.late_reports)
        front = self.world.fronts[index]
        front.suspects.apply_report(report, self.world.clock())
        self._settle()

    @rule()
    def wait_for_late_trial(self) -> None:
        """Let the time pass after which a blocked request is tried again."""
        self.world.now_ms += _TRIAL_INTERVAL_MS

    @invariant()
    def arrivals_are_bounded(self) -> None:
        """Few requests may reach replicas after the third end."""
        assert self.world.later_arrival_count <= _MAX_LATER_ARRIVALS

    @invariant()
    def uninformed_fronts_try_once(self) -> None:
        """A front that hears of nobody must not end replica after replica."""
        assert max(self.uninformed_arrivals.values(), default=0) <= 1

    def _replace(self, index: int) -> None:
        was_informed = self.world.fronts[index].is_informed
        front = ModelFront(f'front-{index}', self.world)
        front.is_informed = was_informed
        self.world.fronts[index] = front
        if was_informed:
            self.uninformed_arrivals.pop(index, None)

    def _settle(self) -> None:
        self.runner.run(self.world.deliver_messages())


async def _send_wave(world: World, *, needs_retry: bool) -> None:
    """Send the crashing request at all fronts at once."""
    async with asyncio.TaskGroup() as sending:
        for front in world.fronts:
            sending.create_task(
                front.send(_CRASHING, [True], needs_retry=needs_retry)
            )
    await world.deliver_messages()


@pytest.mark.parametrize('front_count', [1, 3, 6, 24])
@pytest.mark.parametrize('needs_retry', [False, True])
@pytest.mark.parametrize('restarts', [None, 1, math.inf])
async def test_waves_end_few_replicas(
    front_count: int,
    needs_retry: bool,  # noqa: FBT001
    restarts: float | None,
) -> None:
    """More fronts must not end more replicas after the first wave.

    The request comes to all fronts at once, and again, at first while each
    knows of its own end only. Fronts restart between two waves.
    """
    world = World(front_count)
    await _send_wave(world, needs_retry=needs_retry)
    first_count = world.crash_count
    for _ in range(5):
        if restarts is not None:
            for index in range(min(front_count, int(min(restarts, 99)))):
                world.fronts[index] = ModelFront(f'front-{index}', world)
            await world.deliver_messages()
        await _send_wave(world, needs_retry=needs_retry)
    assert world.crash_count - first_count <= _MAX_LATER_ARRIVALS - 1


async def test_first_round_is_cleared_for_all_fronts() -> None:
    """A request that ends no replica must be served by all fronts at once.

    Replicas ended by themselves while they ran it, at several fronts. One
    front tries it, and the others wait for the outcome.
    """
    world = World(6)
    world.target_ms = 20_000
    for crashed_front in world.fronts[:3]:
        await crashed_front.send(_INNOCENT, [True], needs_retry=False)
    await world.deliver_messages()
    async with asyncio.TaskGroup() as sending:
        tasks = [
            sending.create_task(front.send(_INNOCENT, [False]))
            for front in world.fronts
        ]
        await asyncio.sleep(0.05)
        await world.deliver_messages()
    assert all(isinstance(task.result(), RelayedAnswer) for task in tasks)


async def test_first_round_without_store_is_tried() -> None:
    """An outage of the store must not make popular requests fail.

    Each front tries the request once until it is cleared.
    """
    world = World(3)
    await world.fronts[0].send(_INNOCENT, [True], needs_retry=False)
    world.model_store.is_down = True
    await world.deliver_messages()
    for front in world.fronts:
        answer = await front.send(_INNOCENT, [False])
        assert isinstance(answer, RelayedAnswer)


def test_suspicions_hold_under_faults() -> None:
    """No fault between the fronts may send a blocked request on again."""
    with contextlib.ExitStack() as cleanup:
        logger.disable('dragonflyramp')
        cleanup.callback(logger.enable, 'dragonflyramp')
        run_state_machine_as_test(
            SuspectMachine,
            settings=settings(
                derandomize=True,
                deadline=None,
                max_examples=60,
                stateful_step_count=30,
            ),
        )
