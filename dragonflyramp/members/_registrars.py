"""Register this daemon, and remove the entries of lost daemons."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Any

import attrs
from loguru import logger
from returns.result import Failure, Result

from dragonflyramp.members._clusters import Cluster
from dragonflyramp.members._memberships import DAEMONS_KIND
from dragonflyramp.results import ResultCode
from dragonflyramp.stores import KeyedStore
from dragonflyramp.views import View

#: Initial and maximum delay between attempts while the store is unavailable.
_INITIAL_BACKOFF_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 2
_RECONCILE_INTERVAL_SECONDS = 5
#: After a restore of the store, the daemons write their entries within this
#: time, so that not all of them write at once.
_REWRITE_SPREAD_SECONDS = 0.5


@attrs.define(eq=False, kw_only=True)
class Registrar:
    """Keep this daemon registered, and remove the entries of lost daemons.

    An entry stays in the store when its daemon stops, so a restart with the
    same address and failure domain needs no write.
    """

    store: KeyedStore
    cluster: Cluster
    #: Entries of all daemons.
    view: View
    clock: Callable[[], float]
    rng: random.Random
    #: This daemon removes no entries before this uptime. By then every running
    #: daemon has been in contact.
    min_removal_uptime_seconds: float = 120
    _started_at_seconds: float | None = None

    async def run(self) -> None:
        """Reconcile the entries periodically, until cancelled."""
        while not self.view.revision:
            # Waits for the first listing, which usually contains this daemon's
            # entry from before a restart and so saves a write.
            await asyncio.sleep(_INITIAL_BACKOFF_SECONDS)
        while True:
            era = self.view.position.era
            await self.reconcile()
            await self._wait_for_round(era)

    async def reconcile(self) -> None:
        """Register if needed, and remove the entries of lost daemons.

        The registration is retried until it succeeds.

        Only the first hub in the hub order removes entries, because every
        running daemon sends requests to it.
        """
        now_seconds = self.clock()
        if self._started_at_seconds is None:
            self._started_at_seconds = now_seconds
        own_daemon = self.cluster.own_daemon
        own_entry = self.view.objects_by_name.get(own_daemon.name, {})
        if own_entry.get('spec') != own_daemon.as_spec():
            await self._register()
        uptime_seconds = now_seconds - self._started_at_seconds
        is_first_hub = self.cluster.hubs()[:1] == [own_daemon]
        if is_first_hub and uptime_seconds >= self.min_removal_uptime_seconds:
            await self._remove_lost_entries()

    async def _wait_for_round(self, era: int) -> None:
        """Wait for the next round, or for the listing after a restore."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_RECONCILE_INTERVAL_SECONDS):
                while self.view.position.era == era:
                    await self.view.new_era.wait()
        if self.view.position.era != era:
            await asyncio.sleep(self.rng.uniform(0, _REWRITE_SPREAD_SECONDS))

    async def _remove_lost_entries(self) -> None:
        lost = self.cluster.membership.names_without_contact()
        if 2 * len(lost) > len(self.view.objects_by_name):
            # It is more likely that this daemon is isolated than that most of
            # the others are lost.
            return
        for name in lost:
            delete_result = await self.store.delete(DAEMONS_KIND, name)
            logger.bind(peer=name, code=_result_code(delete_result).name).info(
                'requested removal of the entry of a lost daemon'
            )

    async def _register(self) -> None:
        delay_seconds = _INITIAL_BACKOFF_SECONDS
        code = await self._try_register()
        while code is not ResultCode.ok:
            logger.bind(code=code.name).warning('registration failed')
            await asyncio.sleep(delay_seconds * self.rng.uniform(0.5, 1))
            delay_seconds = min(_MAX_BACKOFF_SECONDS, 2 * delay_seconds)
            code = await self._try_register()

    async def _try_register(self) -> ResultCode:
        own_daemon = self.cluster.own_daemon
        spec = own_daemon.as_spec()
        create_result = await self.store.create(
            DAEMONS_KIND, own_daemon.name, spec
        )
        if _result_code(create_result) is not ResultCode.version_conflict:
            return _result_code(create_result)
        read_result = await self.store.read(DAEMONS_KIND, own_daemon.name)
        if isinstance(read_result, Failure):
            return _result_code(read_result)
        entry = read_result.unwrap()
        if entry.get('spec') == spec:
            return ResultCode.ok
        meta = entry.get('meta')
        revision = meta.get('rev') if isinstance(meta, dict) else None
        if not isinstance(revision, int):
            return ResultCode.bad_reply
        return _result_code(
            await self.store.replace(
                DAEMONS_KIND, own_daemon.name, spec, revision
            )
        )


def _result_code(call_result: Result[Any, ResultCode]) -> ResultCode:
    return call_result.swap().value_or(ResultCode.ok)
