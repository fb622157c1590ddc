"""Test that answers stay true while the index changes and processes fail."""

import contextlib
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from tests.layout_worlds import LayoutWorld, running_world

pytestmark = pytest.mark.asyncio(loop_scope='module')


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def world() -> AsyncIterator[LayoutWorld]:
    """Run one system for all cases; each case heals what it breaks."""
    async with running_world() as started:
        yield started


@pytest.mark.parametrize(
    'steps',
    [
        'snapshot',
        'snapshot snapshot',
        'repartition',
        'repartition repartition',
        'kill_relay',
        'freeze_relay',
        'kill_relay kill_relay repartition',
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
