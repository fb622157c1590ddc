"""Test that configurations spread and never go back."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Coroutine

import attrs
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from dragonflyramp.members import (
    AdoptedTexts,
    PartContent,
)
from dragonflyramp.members._messages import Offer
from dragonflyramp.members._texts import RootFacts, Source, Text
from dragonflyramp.metrics import counters
from dragonflyramp.models import Configuration, MemberId
from dragonflyramp.results import ResultCode
from tests.standins.keepers import (
    SETTINGS,
    Keeper,
    Times,
    group_record,
    look,
    make_keeper,
)
from tests.standins.member_calls import Links
from tests.standins.member_texts import (
    BROKEN,
    parts_of,
    publish,
    root_of,
)
from tests.standins.memory_objects import MemoryPlatform
from tests.standins.waits import eventually

MISSING = ResultCode.object_missing.name

NAMES = 'abc'
names = st.sampled_from(NAMES)
texts = st.sampled_from(
    (['alpha'], ['alpha', 'beta'], ['beta'], ['gamma'], [BROKEN.decode()])
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
        # An offer brings the text; that it is the newest shows a fetch.
        await eventually(lambda: not keeper.is_isolated(time.monotonic()))


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


async def test_a_daemon_without_contact_is_isolated() -> None:
    """It cannot know whether a failure domain was taken out."""
    async with running() as cluster:
        publish(cluster.platform, 1, ['alpha'])
        await eventually(lambda: cluster.numbers() == {1})
        one = cluster.keepers['a']
        assert not one.keeper.is_isolated(time.monotonic())
        cluster.links.isolate('a', set(cluster.keepers))
        one.store.faults.is_down = True
        await eventually(lambda: one.keeper.is_isolated(time.monotonic()))
        publish(cluster.platform, 2, ['beta'])
        one.store.faults.is_down = False
        await eventually(lambda: one.number == 2)
        assert not one.keeper.is_isolated(time.monotonic())


async def test_a_silent_watch_hides_no_change() -> None:
    """Watches that are accepted and never answered must not hide a change."""
    async with running('ab') as cluster:
        publish(cluster.platform, 1, ['alpha'])
        await eventually(lambda: cluster.numbers() == {1})
        for one in cluster.keepers.values():
            one.store.faults.has_silent_watches = True
        # The watches that were answered until now run once more.
        await asyncio.sleep(2 * SETTINGS.watch_timeout_seconds)
        publish(cluster.platform, 2, ['beta'])
        await eventually(lambda: cluster.numbers() == {2})


async def test_contact_alone_does_not_end_isolation() -> None:
    """A zone out during the isolation must be known before new work."""
    times, platform, links = Times(), MemoryPlatform(), Links()
    one = make_keeper('a', platform, links, ('b',), times.clock)
    other = make_keeper('b', platform, links, ('a',), times.clock)
    publish(platform, 1, ['alpha'])
    await look(one, other)
    assert times.isolated(one, other) == [False, False]
    times.pass_isolation()
    # A received call, a write of the record, and a peer that was isolated
    # too show nothing about newer configurations.
    one.view.contacts.note_member()
    one.view.contacts.note_platform()
    one.store.faults.is_down = True
    await look(one)
    assert times.isolated(one, other) == [True, True]
    publish(platform, 2, ['beta'])
    await look(other)
    assert times.isolated(one, other) == [True, False]
    await look(one)
    assert times.isolated(one, other) == [False, False]
    assert (one.number, other.number) == (2, 2)


async def test_old_answers_do_not_end_isolation() -> None:
    """A platform that is behind, or a reply read late, shows nothing."""
    times, platform = Times(), MemoryPlatform()
    publish(platform, 1, ['alpha'])
    publish(platform, 2, ['beta'])
    one = make_keeper('a', platform, Links(), (), times.clock)
    await one.keeper.take_operator_offer(
        root_of(2, ['beta']), parts_of(['beta'])
    )
    one.store.faults.stale_reads = 1
    await look(one)
    assert times.isolated(one) == [True]
    one.store.faults.delay_seconds = 0.1
    late = asyncio.create_task(look(one))
    await asyncio.sleep(0)
    times.pass_isolation()
    await late
    assert times.isolated(one) == [True]
    await look(one)
    assert times.isolated(one) == [False]


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


async def test_missing_parts_are_awaited() -> None:
    """A root whose parts cannot be read yet must not be adopted."""
    async with running('a') as cluster:
        earlier = counters.get('refused_texts', MISSING)
        root = root_of(1, ['alpha'])
        cluster.platform.write('texts/root', root, 0)
        adopted = cluster.keepers['a'].texts
        await eventually(
            lambda: counters.get('refused_texts', MISSING) > earlier
        )
        assert adopted.current is None
        for part in parts_of(['alpha']):
            cluster.platform.write(f'parts/{part.sha256}', part.body, 0)
        await eventually(lambda: adopted.number == 1)


async def test_older_numbers_are_ignored() -> None:
    """A source that is behind must not revert an accepted change."""
    platform = MemoryPlatform()
    publish(platform, 1, ['alpha'])
    publish(platform, 2, ['beta'])
    one = make_keeper('a', platform, Links(), ())
    newest = root_of(2, ['beta'])
    await one.keeper.take_operator_offer(newest, parts_of(['beta']))
    one.store.faults.stale_reads = 1
    await one.keeper._catch_up.try_sources()
    older = root_of(1, ['alpha'])
    parts = parts_of(['alpha'])
    await one.keeper.take_operator_offer(older, parts)
    await one.keeper.service.offer(
        Offer(
            member_id=MemberId('b'),
            number=3,
            base_number=0,
            root=older,
            whole=True,
            parts=tuple(parts),
        )
    )
    assert one.number == 2
    assert all(
        counters.get('older_configurations', source.value) for source in Source
    )


class SpreadMachine(RuleBasedStateMachine):
    """Let three keepers exchange texts over links that break."""

    def __init__(self) -> None:
        """Build keepers whose tasks the rules run step by step."""
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.platform = MemoryPlatform()
        self.links = Links()
        self.keepers = {
            name: make_keeper(name, self.platform, self.links, tuple(NAMES))
            for name in NAMES
        }
        for one in self.keepers.values():
            one.view.adopt(group_record(NAMES))
        self.published = 0
        self.seen = dict.fromkeys(NAMES, 0)

    def run(self, step: Coroutine[object, object, object]) -> None:
        """Run one step to its end."""
        self.loop.run_until_complete(step)

    @invariant()
    def never_goes_back(self) -> None:
        """Check numbers against the highest ones seen."""
        for name, one in self.keepers.items():
            assert one.number >= self.seen[name]
            self.seen[name] = one.number
            assert one.keeper.current is None or (
                one.keeper.current.number == one.number
            )

    @rule(services=texts)
    def publish(self, services: list[str]) -> None:
        """Accept a change at the platform."""
        self.published += 1
        publish(self.platform, self.published, services)

    @rule(name=names, stale_reads=st.integers(0, 1))
    def read(self, name: str, stale_reads: int) -> None:
        """Let a keeper try all its sources, the platform maybe stale."""
        one = self.keepers[name]
        one.store.faults.stale_reads = stale_reads
        self.run(one.keeper._catch_up.try_sources())

    @rule(name=names)
    def notify(self, name: str) -> None:
        """Let an operator send the newest text to one keeper."""
        if self.published:
            root = self.platform.read('texts/root').unwrap().body
            parts = [
                PartContent(stored.rpartition('/')[2], versions[0].body)
                for stored, versions in self.platform.versions.items()
                if stored.startswith('parts/') and versions
            ]
            keeper = self.keepers[name].keeper
            self.run(keeper.take_operator_offer(root, parts))

    @rule(name=names, other=names)
    def offer(self, name: str, other: str) -> None:
        """Let a keeper offer its text to another one."""
        one = self.keepers[name]
        if one.texts.text:
            offers = one.keeper._offers
            self.run(offers.send(MemberId(other), one.texts.text))

    @rule(name=names, other=names)
    def show_number(self, name: str, other: str) -> None:
        """Let a heartbeat show a number."""
        self.keepers[other].texts.hint(self.keepers[name].number, name)

    @rule(name=names, is_down=st.booleans())
    def switch_platform(self, name: str, is_down: bool) -> None:
        """Cut a keeper off from the platform, or connect it again."""
        faults = self.keepers[name].store.faults
        faults.is_down = is_down

    @rule(name=names)
    def isolate(self, name: str) -> None:
        """Cut a keeper off from the others."""
        self.links.isolate(name, set(NAMES))

    @rule()
    def heal(self) -> None:
        """Restore all links."""
        self.links.heal()

    def teardown(self) -> None:
        """Check that all keepers reach the newest text once links heal."""
        self.heal()
        self.publish(['healed'])
        self.switch_platform(NAMES[0], is_down=False)
        # One look ends with the first number that is higher, so a keeper
        # may need one more for each keeper that it hears of.
        for name in NAMES * len(NAMES):
            self.show_number(NAMES[0], name)
            self.read(name, 0)
        numbers = {one.number for one in self.keepers.values()}
        self.loop.close()
        assert numbers == {self.published}


def test_no_member_goes_back() -> None:
    """An operator's accepted change must never be reverted."""
    run_state_machine_as_test(
        SpreadMachine,
        settings=settings(
            max_examples=100,
            stateful_step_count=30,
            derandomize=True,
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


_CONFIGURATION = Configuration(
    number=3, user='tests', failure_domains={}, services={}, holds={}
)


def test_only_lower_numbers_count_as_older() -> None:
    """Operators watch this counter, so a repeat may not raise it."""
    texts = AdoptedTexts()
    text = Text(
        root=b'',
        facts=RootFacts(3, ()),
        parts={},
        configuration=_CONFIGURATION,
        source=Source.platform,
    )
    assert texts.adopt(text)
    counted = counters.get('older_configurations', 'platform')
    assert not texts.adopt(text)
    assert counters.get('older_configurations', 'platform') == counted
    older = attrs.evolve(text, facts=RootFacts(2, ()))
    assert not texts.adopt(older)
    assert counters.get('older_configurations', 'platform') == counted + 1
