"""Look for configurations that are newer than the adopted one."""

import asyncio
import random

import attrs
from returns.pipeline import is_successful

from dragonflyramp.members._group_views import (
    GroupView,
    is_isolated,
    is_watcher,
    other_addresses,
)
from dragonflyramp.members._repeats import wait_at_most
from dragonflyramp.members._settings import MembershipSettings
from dragonflyramp.members._text_adoption import TextAdoption
from dragonflyramp.members._text_fetches import MemberTexts
from dragonflyramp.members._text_sources import PlatformTexts
from dragonflyramp.members._texts import Source
from dragonflyramp.results import ResultCode

#: A malformed text is tried again ever more rarely, up to this pause in
#: periods, because each try reads it again.
_MAX_PAUSE_PERIODS = 32

#: Members asked in one try because they showed a higher number.
_MAX_ASKED = 3

_RETRIED_EACH_PERIOD = frozenset(
    (
        ResultCode.ok,
        ResultCode.platform_down,
        ResultCode.object_missing,
        ResultCode.member_unreachable,
    )
)


@attrs.define(eq=False)
class RootReads:
    """Read or watch the root and adopt it if its number is higher.

    Return ok also for a number that is not higher, or the failure.
    """

    _view: GroupView
    _platform: PlatformTexts
    _adoption: TextAdoption

    async def read(self) -> ResultCode:
        """Read the root now."""
        started_seconds = self._view.clock()
        found = await self._platform.read_root()
        if not is_successful(found):
            return found.failure()
        return await self._take(found.unwrap().body, started_seconds)

    async def watch(self) -> ResultCode:
        """Wait for a change of the root, or until there is none in time."""
        started_seconds = self._view.clock()
        found = await self._platform.watch_root()
        if not is_successful(found):
            return found.failure()
        root = found.unwrap()
        if root is None:
            return ResultCode.ok
        return await self._take(root.body, started_seconds)

    async def _take(self, root: bytes, started_seconds: float) -> ResultCode:
        code = await self._adoption.take(root, (), Source.platform)
        if self._adoption.is_adopted(root):
            self._view.contacts.note_newest(started_seconds)
        return code


@attrs.define(eq=False)
class RootWatch:
    """Hold the platform's watch of the root while that is this member's job.

    A member that no other member reaches holds it too: nobody else would
    tell it of a change.
    """

    _view: GroupView
    _settings: MembershipSettings
    _reads: RootReads
    _rng: random.Random

    async def run_once(self) -> None:
        """Wait for one change of the root, or of who holds the watch.

        A platform can accept a watch and never answer it, so a watch that
        is not answered in time is followed by a read.
        """
        if not self._is_needed():
            await self._wait_for_change_of_job()
            return
        code = await self._reads.watch()
        if code is not ResultCode.ok:
            code = await self._reads.read()
        if code is not ResultCode.ok:
            await asyncio.sleep(self._pause_seconds())

    def _is_needed(self) -> bool:
        silent_seconds = (
            self._view.clock() - self._view.contacts.last_member_seconds
        )
        is_alone = silent_seconds >= self._settings.isolation_seconds
        return is_alone or is_watcher(self._view)

    async def _wait_for_change_of_job(self) -> None:
        await wait_at_most(
            self._view.wait_record_change(self._view.record),
            self._settings.renewal_period_seconds,
        )

    def _pause_seconds(self) -> float:
        period_seconds = self._settings.renewal_period_seconds
        return self._rng.uniform(period_seconds / 2, period_seconds)


@attrs.define(eq=False)
class CatchUp:
    """Get a configuration whose number is known, or the first one.

    An isolated daemon looks too: only a look that finds nothing newer ends
    the isolation.
    """

    _view: GroupView
    _settings: MembershipSettings
    _reads: RootReads
    _members: MemberTexts
    _adoption: TextAdoption
    _turn: int = 0
    _pause_periods: int = 1

    async def run_once(self) -> None:
        """Wait until something newer may exist and try to get it."""
        hints = self._adoption.texts.hints
        while not self._is_needed():
            await wait_at_most(
                hints.wait_due(), self._settings.renewal_period_seconds
            )
        codes = await self.try_sources()
        if not self._is_needed():
            return
        self._pause_periods = min(self._pause_periods * 2, _MAX_PAUSE_PERIODS)
        if _RETRIED_EACH_PERIOD.issuperset(codes):
            self._pause_periods = 1
        await wait_at_most(
            hints.wait_raised(),
            self._pause_periods * self._settings.renewal_period_seconds,
        )

    async def try_sources(self) -> list[ResultCode]:
        """Ask members that showed numbers, the platform, then one member."""
        hints = self._adoption.texts.hints
        codes = []
        for hinted in hints.take_addresses()[:_MAX_ASKED]:
            codes.append(await self._members.fetch(hinted))
            if not self._is_needed():
                return codes
        codes.append(await self._reads.read())
        addresses = other_addresses(self._view)
        if self._is_needed() and addresses:
            self._turn += 1
            address = addresses[self._turn % len(addresses)]
            codes.append(await self._members.fetch(address))
        return codes

    def _is_needed(self) -> bool:
        return self._adoption.texts.hints.is_due or is_isolated(
            self._view, self._settings, self._view.clock()
        )
