"""Run keepers of configurations whose platform and links break."""

import random
import time
from collections.abc import Callable

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
from tests.standins.member_calls import DirectCalls, Links
from tests.standins.member_texts import FakeCodec
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
    name: str,
    platform: MemoryPlatform,
    links: Links,
    seeds: tuple[str, ...],
    clock: Callable[[], float] = time.monotonic,
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
    view = GroupView(own, seeds, clock, table)
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


async def look(*keepers: Keeper) -> None:
    """Let keepers try their sources, one after the other."""
    for one in keepers:
        await one.keeper._catch_up.try_sources()


class Times:
    """Give the time that a test sets."""

    def __init__(self) -> None:
        """Start at zero."""
        self.now_seconds = float(0)

    def clock(self) -> float:
        """Return the time."""
        return self.now_seconds

    def pass_isolation(self) -> None:
        """Let the time pass after which a silent daemon is isolated."""
        self.now_seconds += SETTINGS.isolation_seconds

    def isolated(self, *keepers: Keeper) -> list[bool]:
        """Tell which keepers are isolated."""
        return [one.keeper.is_isolated(self.now_seconds) for one in keepers]
