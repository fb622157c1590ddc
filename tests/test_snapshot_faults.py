"""Test that answers stay true while the index changes and processes fail."""

import contextlib
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from tests.layout_worlds import LayoutWorld, running_world
from tests.standins.layouts import make_layout
from tests.standins.naive_tier import NaiveTier

pytestmark = pytest.mark.asyncio(loop_scope='module')


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def world() -> AsyncIterator[LayoutWorld]:
    """Run one system for all cases; each case heals what it breaks."""
    async with running_world() as started:
        yield started


@pytest.mark.parametrize(
    'steps',
    [
        'snapshot snapshot',
        'repartition repartition',
        'kill_relay kill_relay repartition',
        'freeze_relay freeze_relay',
        'freeze_relay repartition',
        'kill_servers snapshot',
        'freeze_servers repartition',
        'cut_servers snapshot',
        'slow_servers repartition',
        'freeze_relay slow_servers snapshot',
        'kill_relay kill_servers',
    ],
)
async def test_answers_stay_true(world: LayoutWorld, steps: str) -> None:
    """Faults could mix snapshots, overstate coverage or swap answers.

    The steps follow each other while callers search. What was broken is
    healed in reverse order.
    """
    world.answers.clear()
    async with world.callers():
        async with contextlib.AsyncExitStack() as heals:
            for step in steps.split():
                await take_step(world, step, heals)
                await world.served(10)
        await world.recovered()
    assert not world.wrong()


async def test_check_finds_naive_answers(world: LayoutWorld) -> None:
    """A check that passes any tier would guard against nothing."""
    layout = world.held[-1]
    servers = world.first_servers()
    slow = next(iter(servers.values()))
    newer = make_layout(layout.generation + 1, layout.partition)
    world.layouts[newer.snapshot_id] = newer
    for server in list(servers.values())[::2]:
        await world.hold_at(server, [layout, newer])
    await world.set_delay(slow, 200)
    tier = NaiveTier(
        world.system.calls,
        {shard: one.address for shard, one in servers.items()},
    )
    answers = [await tier.search(number) for number in range(6)]
    await world.set_delay(slow, 0)
    await world.spread_index()
    found = [answer.wrong(world.layouts) for answer in answers]
    assert set().union(*found) >= {'mixed', 'overstated', 'other request'}


async def take_step(
    world: LayoutWorld, step: str, heals: contextlib.AsyncExitStack
) -> None:
    """Change the index, or break something and keep how it is healed."""
    match step:
        case 'snapshot':
            await world.change_index()
        case 'repartition':
            await world.change_index(1 - world.held[-1].partition)
        case _:
            heals.push_async_callback(await getattr(world, step)())
