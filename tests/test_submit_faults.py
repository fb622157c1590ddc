"""Test with real processes that a submit runs at most once."""

import asyncio
import functools
import itertools
import signal
import types
from collections.abc import AsyncIterator

import attrs
import pytest
import pytest_asyncio

from tests.programs import START_SECONDS
from tests.standins.hooks import Hook
from tests.submit_worlds import (
    Attempt,
    Case,
    HookSite,
    World,
    open_world,
    poll,
)
from tests.systems import Daemon, eventually

pytestmark = pytest.mark.asyncio(loop_scope='module')

KILL = signal.SIGKILL
STOP = signal.SIGSTOP
REPLAYED = 'outcome_replayed'
UNKNOWN = 'outcome_unknown'
#: The second conditional update with a key records its outcome.
RECORD = 1
LONG_MS = 1000
#: A frozen process stays frozen for longer than this deadline.
SHORT_MS = 500


@attrs.frozen(kw_only=True)
class Fault:
    """Describe a fault at a step, and what the key comes to in the end.

    Steps of a claim object: `read`, `write` (arrived, no effect yet) and
    `written`. Steps of a backend server: `arrived` (not run yet) and `ran`.
    With the step `queued` the relay holds the submit in its queue.
    """

    step: str
    skip: int = 0
    front: signal.Signals | None = None
    relay: signal.Signals | None = None
    drop: bool = False
    refuse: bool = False
    down: bool = False
    #: Final answers that may follow, and how often the key ran by then.
    last: str = UNKNOWN
    runs: tuple[int, ...] = (1,)

    @property
    def number(self) -> signal.Signals | None:
        """Return the signal that the victim gets."""
        return self.front or self.relay


FAULTS = types.MappingProxyType(
    {
        'front killed before its claim is written': Fault(
            step='write', drop=True, front=KILL, last=REPLAYED
        ),
        'front frozen before its claim is written': Fault(
            step='read', front=STOP, last=REPLAYED
        ),
        'front killed after its claim took effect': Fault(
            step='written', front=KILL, runs=(0,)
        ),
        'front frozen after its claim took effect': Fault(
            step='written', front=STOP, last=REPLAYED
        ),
        'reply to the claim lost': Fault(
            step='written', drop=True, last=REPLAYED
        ),
        'reply to the claim lost, then an outage': Fault(
            step='written', drop=True, down=True, last=REPLAYED
        ),
        'front killed after the send': Fault(
            step='arrived', front=KILL, runs=(0, 1)
        ),
        'front frozen after the send': Fault(step='arrived', front=STOP),
        'front killed after the run': Fault(step='ran', front=KILL),
        'front frozen after the run': Fault(step='ran', front=STOP),
        'front killed before the outcome is recorded': Fault(
            step='write', skip=RECORD, drop=True, front=KILL
        ),
        'front killed before the answer': Fault(
            step='written', skip=RECORD, front=KILL, last=REPLAYED
        ),
        'front frozen before the answer': Fault(
            step='written', skip=RECORD, front=STOP, last=REPLAYED
        ),
        'reply to the record lost': Fault(
            step='written', skip=RECORD, drop=True, last=REPLAYED
        ),
        'relay killed before it sends': Fault(
            step='queued', relay=KILL, runs=(0,)
        ),
        'relay frozen before it sends': Fault(
            step='queued', relay=STOP, runs=(0,)
        ),
        'relay killed after it sent': Fault(
            step='arrived', relay=KILL, runs=(0, 1)
        ),
        'relay frozen after it sent': Fault(step='arrived', relay=STOP),
        'relay killed after the run': Fault(step='ran', relay=KILL),
        'relay frozen after the run': Fault(step='ran', relay=STOP),
        'connection cut before the run': Fault(
            step='arrived', drop=True, runs=(0,)
        ),
        'connection cut after the run': Fault(step='ran', drop=True),
        'backend server sheds the submit': Fault(
            step='arrived', refuse=True, last=REPLAYED
        ),
        'platform down before the claim': Fault(
            step='read', down=True, last=REPLAYED
        ),
        'platform down when the outcome is recorded': Fault(
            step='write', skip=RECORD, drop=True, down=True, last=REPLAYED
        ),
    }
)


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def world() -> AsyncIterator[World]:
    """Run one system for all tests, and check all keys again at the end."""
    async with open_world() as opened:
        yield opened


@pytest.mark.parametrize('strikes', [1, 2])
@pytest.mark.parametrize('name', FAULTS)
async def test_fault_at_a_step(world: World, name: str, strikes: int) -> None:
    """Guard against a second run, and a run of what was told "not run".

    The key is sent again to another front, which with two strikes meets the
    same fault. In the end the key has one final answer.
    """
    fault = FAULTS[name]
    case = await first_strike(world, fault)
    for _ in range(1, strikes):
        await strike(world, case, fault)
    front = (await world.ready_fronts(3))[-1]
    wanted = {REPLAYED} if case.outcomes else {fault.last}
    if fault.last == REPLAYED:
        await world.resend_until(case, front, {'ok', REPLAYED})
        wanted = {REPLAYED}
    await world.resend_until(case, front, wanted)
    await world.check()
    assert await world.runs(case) in fault.runs, case.attempts


@pytest.mark.parametrize('count', [2, 3])
async def test_race_of_fronts(world: World, count: int) -> None:
    """Guard against two fronts that both read a key as free and both send."""
    for _ in range(5):
        case = world.new_case()
        fronts = await world.ready_fronts(count)
        hold = Hook(step='read', name=case.bucket, times=count, hold=True)
        await world.platform.arm(hold)
        tasks = [asyncio.create_task(case.submit(one)) for one in fronts]
        await poll(world.platform, functools.partial(all_done, tasks), count)
        # All have read by now that nobody has claimed the key.
        await world.platform.arm(None)
        await asyncio.gather(*tasks)
        await world.resend_until(case, fronts[0], {'ok', REPLAYED})
        await world.resend_until(case, fronts[-1], {REPLAYED})
        assert await world.runs(case) == 1, case.attempts
    await world.check()


async def test_contended_bucket(world: World) -> None:
    """Guard against claims that a conflicting commit of others overwrites.

    Each of 40 keys of one bucket is sent to three fronts at the same time,
    and all that twice.
    """
    cases = list(itertools.islice(world.cases_of_one_bucket(), 40))
    fronts = await world.ready_fronts(3)
    for _ in range(2):
        await asyncio.gather(
            *(case.submit(front) for front in fronts for case in cases)
        )
    for case in cases:
        await world.resend_until(case, fronts[0], {'ok', REPLAYED})
        assert await world.runs(case) == 1, case.attempts
    await world.check()


async def first_strike(world: World, fault: Fault) -> Case:
    """Let the fault meet a new key; a key that escapes it stays checked."""
    async with asyncio.timeout(START_SECONDS):
        case = world.new_case()
        while not await strike(world, case, fault):
            case = world.new_case()
    return case


async def strike(world: World, case: Case, fault: Fault) -> bool:
    """Submit the key so that the fault meets it; tell whether it did.

    A key that is claimed or done already does not get as far as most steps.
    """
    front, other, *_ = await world.ready_fronts(3)
    victim = await world.serving(front)
    if fault.front:
        victim = front
    is_met, task = await meet(world, case, fault, (front, victim))
    if is_met and fault.number is STOP:
        await asyncio.sleep(SHORT_MS / 1000)
        await case.submit(other, SHORT_MS)
        victim.program.send_signal(signal.SIGCONT)
    await task
    await disarm(world)
    if is_met and fault.number is KILL:
        await world.replace(victim)
    return is_met


async def meet(
    world: World, case: Case, fault: Fault, daemons: tuple[Daemon, Daemon]
) -> tuple[bool, asyncio.Task[Attempt]]:
    """Submit, again after "not run", until the fault meets its step."""
    once = queue_up if fault.step == 'queued' else meet_hook
    is_met, task = await once(world, case, fault, daemons)
    while not is_met and (await task).is_not_run:
        is_met, task = await once(world, case, fault, daemons)
    return is_met, task


async def meet_hook(
    world: World, case: Case, fault: Fault, daemons: tuple[Daemon, Daemon]
) -> tuple[bool, asyncio.Task[Attempt]]:
    """Submit with an armed hook, and wait until it caught the step."""
    front, victim = daemons
    is_claim = fault.step in {'read', 'write', 'written'}
    site = world.platform if is_claim else world.servers
    await site.arm(
        Hook(
            step=fault.step,
            name=case.bucket if is_claim else case.key,
            skip=fault.skip,
            process_id=victim.program.process.pid if fault.number else 0,
            signal_number=fault.number or 0,
            drop=fault.drop,
            refuse=fault.refuse,
            down=fault.down,
        )
    )
    deadline_ms = SHORT_MS if fault.number is STOP else LONG_MS
    task = asyncio.create_task(case.submit(front, deadline_ms))
    return await poll(site, task.done), task


async def queue_up(
    world: World, case: Case, fault: Fault, daemons: tuple[Daemon, Daemon]
) -> tuple[bool, asyncio.Task[Attempt]]:
    """Signal the relay while the submit waits there behind its like.

    A body that has not completed yet runs on one server at a time.
    """
    front, victim = daemons
    sends = await victim.count('sends')
    await hold_another(world, front, case.order)
    # The slice may have moved to another relay meanwhile.
    is_there = await victim.count('sends') > sends
    sent = await front.count('submits')
    task = asyncio.create_task(case.submit(front, SHORT_MS))

    async def is_sent() -> bool:  # noqa: WPS430 - a condition to wait for
        return task.done() or await front.count('submits') > sent

    await eventually(is_sent)
    is_met = is_there and not task.done()
    if is_met:
        victim.program.send_signal(fault.number or STOP)
    return is_met, task


async def hold_another(world: World, front: Daemon, order: str) -> None:
    """Let a submit of the same body run until the hooks are disarmed."""
    ahead = world.new_case(order)
    await world.servers.arm(Hook(step='ran', name=ahead.key, hold=True))
    is_held = False
    while not is_held:
        # A relay that has just taken over refuses while replicas are cold.
        task = asyncio.create_task(ahead.submit(front))
        is_held = await poll(world.servers, task.done)
        assert is_held or task.result().is_not_run, ahead.attempts


async def disarm(world: World) -> None:
    """End outages and let held calls go on."""
    sites: tuple[HookSite, ...] = (world.platform, world.servers)
    for site in sites:
        await site.arm(None)
    await world.system.platform.switch(down=False)


def all_done(tasks: list[asyncio.Task[Attempt]]) -> bool:
    """Tell whether all tasks have ended."""
    return all(task.done() for task in tasks)
