"""Adopt configurations from platform, members and operators."""

import asyncio
import random
from collections.abc import Iterable

import attrs

from dragonflyramp.members._group_views import GroupView, is_isolated
from dragonflyramp.members._member_links import MemberCalls
from dragonflyramp.members._messages import PartContent
from dragonflyramp.members._offers import Offers
from dragonflyramp.members._peer_tasks import PeerTasks
from dragonflyramp.members._repeats import repeat
from dragonflyramp.members._settings import MembershipSettings
from dragonflyramp.members._spread_loops import (
    CatchUp,
    RootReads,
    RootWatch,
)
from dragonflyramp.members._spread_services import SpreadService
from dragonflyramp.members._text_adoption import TextAdoption
from dragonflyramp.members._text_fetches import MemberTexts
from dragonflyramp.members._text_sources import PlatformTexts
from dragonflyramp.members._texts import AdoptedTexts, Source, TextCodec
from dragonflyramp.models import Configuration
from dragonflyramp.platform import ObjectStore
from dragonflyramp.results import ResultCode


@attrs.frozen(kw_only=True)
class SpreadInputs:
    """Hold what the spread of configuration depends on."""

    view: GroupView
    settings: MembershipSettings
    store: ObjectStore
    calls: MemberCalls
    codec: TextCodec
    texts: AdoptedTexts
    rng: random.Random


class ConfigurationKeeper:
    """Implement ConfigurationSource for one daemon."""

    def __init__(self, inputs: SpreadInputs) -> None:
        """Build the parts; nothing runs before `run`."""
        self._inputs = inputs
        platform = PlatformTexts(
            inputs.store, inputs.view, inputs.settings, inputs.codec
        )
        self._adoption = TextAdoption(inputs.codec, inputs.texts, platform)
        members = MemberTexts(
            inputs.calls, inputs.view, inputs.settings, self._adoption
        )
        reads = RootReads(inputs.view, platform, self._adoption)
        self._watch = RootWatch(
            inputs.view,
            inputs.settings,
            reads,
            inputs.rng,
        )
        self._catch_up = CatchUp(
            inputs.view, inputs.settings, reads, members, self._adoption
        )
        self._offers = Offers(
            inputs.calls,
            inputs.view,
            inputs.settings,
            inputs.texts,
            inputs.codec,
        )

    @property
    def service(self) -> SpreadService:
        """Return what answers the calls of other members."""
        return SpreadService(
            self._inputs.view, self._inputs.settings, self._adoption
        )

    @property
    def current(self) -> Configuration | None:
        """Return the adopted configuration, or None before the first."""
        return self._inputs.texts.current

    async def wait_change(self, number: int) -> Configuration:
        """Wait for a configuration with a number above the given one."""
        text = await self._inputs.texts.wait_text(number)
        return text.configuration

    def is_isolated(self, now_seconds: float) -> bool:
        """Tell whether something newer may exist that nobody told of.

        It starts with a time without contact and ends when a read of the
        root, or a member that is not isolated, shows nothing newer.
        """
        return is_isolated(
            self._inputs.view, self._inputs.settings, now_seconds
        )

    async def run(self) -> None:
        """Run all tasks until cancelled."""
        period_seconds = self._inputs.settings.renewal_period_seconds
        offers = PeerTasks(
            'offer',
            self._inputs.view,
            self._offers.members,
            self._offers.run_once,
            period_seconds,
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(
                repeat('root watch', self._watch.run_once, period_seconds)
            )
            group.create_task(
                repeat('catch up', self._catch_up.run_once, period_seconds)
            )
            group.create_task(offers.run())

    async def take_operator_offer(
        self, root: bytes, parts: Iterable[PartContent]
    ) -> ResultCode:
        """Adopt a whole root that an operator sent to this daemon.

        Return ok also for a number that is not higher, object_missing when
        parts are missing, or why the text is malformed.
        """
        return await self._adoption.take(root, parts, Source.operator)
