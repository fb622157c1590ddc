"""Test that configurations spread and never go back."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Callable

import attrs

from dragonflyramp.members import (
    AdoptedTexts,
    ConfigurationKeeper,
    MemberDescription,
    MembershipSettings,
    Role,
    SpreadInputs,
)
from dragonflyramp.members._group_views import GroupView
from dragonflyramp.members._groups import GroupRecord, MemberEntry
from dragonflyramp.members._lease_tables import MemberLeaseTable
from dragonflyramp.members._writer_views import ConfigurationFacts
from dragonflyramp.models import MemberId
from dragonflyramp.results import ResultCode
from tests.standins.member_calls import DirectCalls, Links
from tests.standins.member_texts import (
    BROKEN,
    FakeCodec,
    parts_of,
    publish,
    root_of,
)
from tests.standins.memory_objects import MemoryObjects, MemoryPlatform

SETTINGS = MembershipSettings(
    renewal_period_seconds=0.02,
    lease_term_seconds=0.06,
    isolation_seconds=0.2,
    watch_timeout_seconds=0.2,
)


@attrs.define
class Keeper:
    """Run one keeper with its own view of the group."""

    keeper: ConfigurationKeeper
    view: GroupView
    store: MemoryObjects
    texts: AdoptedTexts

    @property
    def number(self) -> int:
        """Return the adopted number."""
        return self.texts.number


def make_keeper(
    name: str, platform: MemoryPlatform, links: Links, seeds: tuple[str, ...]
) -> Keeper:
    """Build a keeper that is reached by its name."""
    own = MemberDescription(
        member_id=MemberId(name),
        role=Role.relay,
        address=name,
        status_address='',
        failure_domain='',
    )
    table = MemberLeaseTable(own.member_id, SETTINGS, ConfigurationFacts)
    view = GroupView(own, seeds, time.monotonic, table)
    store = MemoryObjects(platform)
    texts = AdoptedTexts()
    keeper = ConfigurationKeeper(
        SpreadInputs(
            view=view,
            settings=SETTINGS,
            store=store,
            calls=DirectCalls(own=name, links=links),
            codec=FakeCodec(),
            texts=texts,
            rng=random.Random(name),
        )
    )
    links.servers[name] = keeper.service
    return Keeper(keeper, view, store, texts)


def group_record(names: str) -> GroupRecord:
    """Make a record of members, the first of which is the writer."""
    return GroupRecord(renewal=1, writer=MemberId(names[0])).with_members(
        MemberEntry(
            member_id=MemberId(name),
            role=Role.relay,
            address=name,
            status_address='',
            failure_domain='',
            joined=1,
            renewal=1,
            configuration_number=0,
        )
        for name in names
    )


@attrs.define
class Cluster:
    """Run keepers of one group in this process."""

    keepers: dict[str, Keeper]
    platform: MemoryPlatform
    links: Links

    def numbers(self) -> set[int]:
        """Return the adopted numbers."""
        return {keeper.number for keeper in self.keepers.values()}


@contextlib.asynccontextmanager
async def running(names: str = 'abcd') -> AsyncIterator[Cluster]:
    """Run keepers whose writer is the first; the others are its seeds."""
    platform = MemoryPlatform()
    links = Links()
    keepers = {
        name: make_keeper(name, platform, links, tuple(names)) for name in names
    }
    for started in keepers.values():
        started.view.adopt(group_record(names))
    tasks = [asyncio.create_task(one.keeper.run()) for one in keepers.values()]
    try:
        yield Cluster(keepers, platform, links)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)


async def eventually(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; the bound only guards against hanging."""
    async with asyncio.timeout(30):
        while not condition():
            await asyncio.sleep(0.01)


async def test_a_push_reaches_every_member() -> None:
    """A change seen by the watchers only must reach the others."""
    async with running() as cluster:
        publish(cluster.platform, 1, ['alpha'])
        await eventually(lambda: cluster.numbers() == {1})
        publish(cluster.platform, 2, ['alpha', 'beta'])
        await eventually(lambda: cluster.numbers() == {2})


async def test_members_without_platform_catch_up() -> None:
    """A daemon cut off from the platform only must not fall behind."""
    async with running() as cluster:
        for one in list(cluster.keepers.values())[1:]:
            one.store.faults.is_down = True
        publish(cluster.platform, 1, ['alpha'])
        await eventually(lambda: cluster.numbers() == {1})
        keeper = cluster.keepers['d'].keeper
        assert not keeper.is_isolated(time.monotonic())


async def test_operators_reach_a_cut_off_group() -> None:
    """A change during an outage must spread from the daemon notified."""
    async with running() as cluster:
        publish(cluster.platform, 1, ['alpha'])
        await eventually(lambda: cluster.numbers() == {1})
        for one in cluster.keepers.values():
            one.store.faults.is_down = True
        code = await cluster.keepers['c'].keeper.take_operator_offer(
            root_of(2, ['beta']), parts_of(['beta'])
        )
        assert code is ResultCode.ok
        await eventually(lambda: cluster.numbers() == {2})


async def test_a_broken_text_changes_nothing() -> None:
    """The last good configuration must stay in force."""
    async with running() as cluster:
        publish(cluster.platform, 1, ['alpha'])
        await eventually(lambda: cluster.numbers() == {1})
        publish(cluster.platform, 2, [BROKEN.decode()])
        keeper = cluster.keepers['a'].keeper
        code = await keeper.take_operator_offer(
            root_of(2, [BROKEN.decode()]), parts_of([BROKEN.decode()])
        )
        assert code is ResultCode.text_syntax
        assert cluster.numbers() == {1}
        publish(cluster.platform, 3, ['gamma'])
        await eventually(lambda: cluster.numbers() == {3})
