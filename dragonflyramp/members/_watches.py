"""Keep a view up to date from the store, or from others while they can."""

import asyncio
import random
from collections.abc import Callable

import attrs
from loguru import logger
from returns.result import Failure

from dragonflyramp.members._rosters import Roster
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode
from dragonflyramp.stores import WatchedStore
from dragonflyramp.views import View

#: A store that forgets its history leaves watches without an answer, and a
#: new configuration has to be in force when the store counts as calm again,
#: 4 s later.
_WAIT_SECONDS = 2.5
#: Without news from the others for this long a daemon watches by itself.
_STALE_SECONDS = 4
#: Pause before a daemon that does not watch looks at the age again.
_IDLE_SECONDS = 0.5
#: Pauses after failed calls; each call is priced, and the bound on a new
#: configuration leaves about a second after the store is back.
_FIRST_PAUSE_SECONDS = 0.1
_LONGEST_PAUSE_SECONDS = 0.8


@attrs.define
class _Losses:
    """Pause after failed calls, longer after each further one."""

    _pause_seconds: float = 0

    @property
    def is_lost(self) -> bool:
        """Tell whether the last call failed."""
        return self._pause_seconds > 0

    def note_answer(self, kind: str) -> None:
        if self.is_lost:
            logger.bind(kind=kind).info('store regained')
        self._pause_seconds = 0

    def note_failure(self, kind: str, code: ResultCode) -> float:
        """Give the time to pause."""
        if not self.is_lost:
            logger.bind(kind=kind, code=code.name).warning('store lost')
        self._pause_seconds = min(
            _LONGEST_PAUSE_SECONDS,
            max(_FIRST_PAUSE_SECONDS, 2 * self._pause_seconds),
        )
        return self._pause_seconds


@attrs.define(eq=False, kw_only=True)
class Watch:
    """Run the task that keeps one view up to date."""

    store: WatchedStore
    view: View
    roster: Roster
    #: Called with the names that changed and whether the store told it.
    on_change: Callable[[str, set[str]], None]
    clock: Callable[[], float]
    rng: random.Random
    _losses: _Losses = attrs.field(factory=_Losses)

    async def run(self) -> None:
        """Watch whenever it is this daemon's turn, until cancelled."""
        while True:
            if self._is_needed(self.clock()):
                await self._step()
            else:
                await asyncio.sleep(_IDLE_SECONDS)

    def _is_needed(self, now_seconds: float) -> bool:
        if not self.view.revision:
            return True
        if self.view.age_seconds(now_seconds) > _STALE_SECONDS:
            return True
        return self.roster.is_watcher(self.view.kind, now_seconds)

    async def _step(self) -> None:
        if self.view.revision:
            code = await self._wait_changes()
        else:
            code = await self._list()
        if code is ResultCode.history_gone:
            counters.add('watch_restarts', 'history_gone')
            logger.info('The store forgot the history of {}', self.view.kind)
            code = await self._list()
        await self._settle(code)

    async def _list(self) -> ResultCode:
        started_seconds = self.clock()
        listed = await self.store.list_objects(self.view.kind)
        if isinstance(listed, Failure):
            code: ResultCode = listed.failure()
            return code
        if self._losses.is_lost:
            self.view.note_outage_end(self.clock())
        names = self.view.replace(listed.unwrap(), started_seconds)
        self._announce(names)
        return ResultCode.ok

    async def _wait_changes(self) -> ResultCode:
        revision = self.view.revision
        found = await self.store.watch(self.view.kind, revision, _WAIT_SECONDS)
        if isinstance(found, Failure):
            code: ResultCode = found.failure()
            return code
        if self._losses.is_lost:
            self.view.note_outage_end(self.clock())
        changes = found.unwrap()
        names = self.view.apply(changes, self.clock())
        self._announce(names)
        return ResultCode.ok

    async def _settle(self, code: ResultCode) -> None:
        """Pause after a failure."""
        if code is ResultCode.ok:
            self._losses.note_answer(self.view.kind)
        else:
            pause_seconds = self._losses.note_failure(self.view.kind, code)
            await asyncio.sleep(pause_seconds * self.rng.uniform(0.5, 1))

    def _announce(self, names: set[str]) -> None:
        if names:
            self.on_change(self.view.kind, names)
