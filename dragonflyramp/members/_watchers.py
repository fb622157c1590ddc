"""Watch the store on hubs and on daemons that no hub updates."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Coroutine
from typing import Any, TypeAlias

import attrs
from loguru import logger
from returns.result import Failure, Result

from dragonflyramp.members._clusters import Cluster
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode
from dragonflyramp.stores import StoreEra, WatchedStore
from dragonflyramp.views import ChangeBatch, View

#: An isolated daemon watches the store when its view is older than this.
_MAX_ISOLATED_VIEW_AGE_SECONDS = 3
#: Any daemon watches the store when its view is older than this, because then
#: the hubs do not update it.
_MAX_VIEW_AGE_SECONDS = 20
#: How often a daemon without a watch checks whether it needs one.
_WATCH_CHECK_INTERVAL_SECONDS = 0.5
#: Initial and maximum delay after failed calls. Each call is billed, so the
#: delay increases. The maximum is below a second, because a new configuration
#: has to be in force about a second after the store is available again.
_INITIAL_BACKOFF_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 0.8


@attrs.frozen(kw_only=True)
class WatchTiming:
    """Timing of a watch's calls, each of which is billed."""

    #: How long a call waits for changes. A store that loses its history does
    #: not answer the open calls, so this wait delays the next listing. The
    #: store counts as stable again after 4 s, and by then a new configuration
    #: has to be in force.
    wait_seconds: float = 2.5
    #: Whether the first listing may lack the changes of the last few seconds. A
    #: stale one costs a tenth of a current one.
    allows_stale_listing: bool = True
    #: Pause after a change, so that the next call returns several changes.
    batching_delay_seconds: float = 0


@attrs.define
class _Backoff:
    """Back off exponentially after failed calls to the store."""

    _delay_seconds: float = 0

    @property
    def is_failing(self) -> bool:
        """Return whether the last call failed."""
        return self._delay_seconds > 0

    def record_success(self, kind: str) -> None:
        if self.is_failing:
            logger.bind(kind=kind).info('store regained')
        self._delay_seconds = 0

    def record_failure(self, kind: str, code: ResultCode) -> float:
        """Return the seconds to wait before the next call.

        Only the first of several failures is logged.
        """
        if not self.is_failing:
            logger.bind(kind=kind, code=code.name).warning('store lost')
        self._delay_seconds = min(
            _MAX_BACKOFF_SECONDS,
            max(_INITIAL_BACKOFF_SECONDS, 2 * self._delay_seconds),
        )
        return self._delay_seconds


@attrs.define(eq=False, kw_only=True)
class Watcher:
    """Update one view from the store while this daemon needs its own watch."""

    store: WatchedStore
    view: View
    cluster: Cluster
    #: Called with the kind and the names of the objects that changed.
    on_change: Callable[[str, set[str]], None]
    clock: Callable[[], float]
    rng: random.Random
    timing: WatchTiming = WatchTiming()
    store_era: StoreEra = attrs.field(factory=StoreEra)
    _backoff: _Backoff = attrs.field(factory=_Backoff)

    async def run(self) -> None:
        """Call the store while a watch is needed, until cancelled."""
        while True:
            if self._is_needed(self.clock()):
                await self._call_store()
            else:
                await asyncio.sleep(_WATCH_CHECK_INTERVAL_SECONDS)

    def _is_needed(self, now_seconds: float) -> bool:
        if not self.view.revision or self.cluster.is_hub():
            return True
        if self.view.needs_listing:
            return True
        age_seconds = self.view.age_seconds(now_seconds)
        if age_seconds > _MAX_VIEW_AGE_SECONDS:
            return True
        is_isolated = self.cluster.is_isolated(now_seconds)
        return is_isolated and age_seconds > _MAX_ISOLATED_VIEW_AGE_SECONDS

    async def _call_store(self) -> None:
        if self.view.revision and not _is_listing_due(
            self.view, self.store_era
        ):
            code = await self._watch_changes()
        else:
            code = await self._list_objects(
                allow_stale=self.timing.allows_stale_listing
                and not self.view.revision
            )
        if code is ResultCode.history_gone:
            counters.add('watch_restarts', 'history_gone')
            logger.info(
                'store lost the history of {}; listing again',
                self.view.kind,
            )
            # A stale listing may need the same history, and a view that has a
            # revision ignores an older listing.
            code = await self._list_objects(allow_stale=False)
        await self._record_result(code)

    async def _list_objects(self, *, allow_stale: bool) -> ResultCode:
        started_at_seconds = self.clock()
        # The next watch or the next response of a hub brings the changes that
        # a stale listing lacks.
        list_result = await self.store.list_objects(
            self.view.kind, allow_stale=allow_stale
        )
        if isinstance(list_result, Failure):
            code: ResultCode = list_result.failure()
            return code
        if self._backoff.is_failing:
            self.view.record_outage_end(self.clock())
        names = self.view.replace(list_result.unwrap(), started_at_seconds)
        self._notify(names)
        return ResultCode.ok

    async def _watch_changes(self) -> ResultCode:
        watch_result = await _run_until(
            self.store.watch(
                self.view.kind, self.view.revision, self.timing.wait_seconds
            ),
            self.store_era.wait_for_later(self.view.position.era),
        )
        if watch_result is None:
            return ResultCode.ok
        if isinstance(watch_result, Failure):
            code: ResultCode = watch_result.failure()
            return code
        if self._backoff.is_failing:
            self.view.record_outage_end(self.clock())
        changes = watch_result.unwrap()
        names = self.view.apply(changes, self.clock())
        self._notify(names)
        if names:
            await asyncio.sleep(self.timing.batching_delay_seconds)
        return ResultCode.ok

    async def _record_result(self, code: ResultCode) -> None:
        """Record the result of a call, and wait after a failure."""
        was_failing = self._backoff.is_failing
        is_failing = code is not ResultCode.ok
        if is_failing != was_failing:
            own_daemon = self.cluster.own_daemon
            self.cluster.daemon_health.record_store_state(
                own_daemon.name, is_lost=is_failing
            )
        if is_failing:
            delay_seconds = self._backoff.record_failure(self.view.kind, code)
            await asyncio.sleep(delay_seconds * self.rng.uniform(0.5, 1))
        else:
            self._backoff.record_success(self.view.kind)

    def _notify(self, names: set[str]) -> None:
        if names:
            self.on_change(self.view.kind, names)


def _is_listing_due(view: View, store_era: StoreEra) -> bool:
    """Return whether a watch from the position of a view is of no use."""
    if view.position.era < store_era.number:
        # Revisions are given out again after a restore, so changes after that
        # of the view are unknown.
        counters.add('watch_restarts', 'new_era')
        return True
    return view.needs_listing


_Watched: TypeAlias = Result[ChangeBatch, ResultCode]


async def _run_until(
    watch: Coroutine[Any, Any, _Watched], restore: Coroutine[Any, Any, None]
) -> _Watched | None:
    """Run a watch; cancel it and return None when the other wait ends."""
    with contextlib.ExitStack() as cleanup:
        watch_task = asyncio.ensure_future(watch)
        cleanup.callback(watch_task.cancel)
        restore_task = asyncio.ensure_future(restore)
        cleanup.callback(restore_task.cancel)
        await asyncio.wait(
            (watch_task, restore_task), return_when=asyncio.FIRST_COMPLETED
        )
        return watch_task.result() if watch_task.done() else None
