"""Register this daemon in the store and find the others there."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

import attrs
from loguru import logger
from returns.result import Failure, Result

from dragonflyramp.members._rosters import Daemon, Roster
from dragonflyramp.results import ResultCode
from dragonflyramp.stores import Store
from dragonflyramp.views import Fields, Listing

#: Kind under which daemons register.
DAEMONS_KIND = 'dragonflyramp-daemons'
#: Pauses between tries while the store is away.
_FIRST_PAUSE_SECONDS = 0.2
_LONGEST_PAUSE_SECONDS = 2
_ADDRESS = 'address'
_FAILURE_DOMAIN = 'failure_domain'


@attrs.define(eq=False)
class Registry:
    """Register first, then list, so that one of any two finds the other."""

    _store: Store
    _roster: Roster
    _clock: Callable[[], float]
    _rng: random.Random

    async def run(self) -> None:
        """Try until both calls succeed once."""
        pause_seconds = _FIRST_PAUSE_SECONDS
        while True:
            code = await self._register()
            if code is ResultCode.ok:
                return
            logger.bind(code=code.name).warning('registration failed')
            await asyncio.sleep(pause_seconds * self._rng.uniform(0.5, 1))
            pause_seconds = min(_LONGEST_PAUSE_SECONDS, 2 * pause_seconds)

    async def leave(self) -> None:
        """Remove the entry; a failure leaves it for others to find silent."""
        own = self._roster.own
        removed = await self._store.delete(DAEMONS_KIND, own.name)
        if isinstance(removed, Failure):
            logger.bind(code=removed.failure().name).warning(
                'the entry of this daemon stays in the store'
            )

    async def _register(self) -> ResultCode:
        own = self._roster.own
        spec = {
            _ADDRESS: own.address,
            _FAILURE_DOMAIN: own.failure_domain,
        }
        created = await self._store.create(DAEMONS_KIND, own.name, spec)
        code = _code(created)
        if code is ResultCode.version_conflict:
            code = await self._replace(spec)
        if code is not ResultCode.ok:
            return code
        listed = await self._store.list_objects(DAEMONS_KIND)
        now_seconds = self._clock()
        for daemon in map(_decode, _stored(listed)):
            if daemon is not None:
                self._roster.hear(daemon, now_seconds)
        return _code(listed)

    async def _replace(self, spec: Fields) -> ResultCode:
        """Replace the entry that an earlier process of this name left."""
        name = self._roster.own.name
        present = await self._store.read(DAEMONS_KIND, name)
        if isinstance(present, Failure):
            return _code(present)
        found = present.unwrap()
        if found.get('spec') == spec:
            return ResultCode.ok
        revision = found['meta']['rev']
        return _code(
            await self._store.replace(DAEMONS_KIND, name, spec, revision)
        )


def _code(outcome: Result[Any, ResultCode]) -> ResultCode:
    return outcome.swap().value_or(ResultCode.ok)


def _stored(
    listed: Result[Listing, ResultCode],
) -> Iterable[tuple[str, Fields]]:
    return listed.value_or(Listing(0, {})).stored.items()


def _decode(stored: tuple[str, Fields]) -> Daemon | None:
    name, fields = stored
    spec = fields.get('spec')
    if not isinstance(spec, dict):
        return None
    return Daemon(
        name=name,
        address=str(spec.get(_ADDRESS, '')),
        failure_domain=str(spec.get(_FAILURE_DOMAIN, '')),
    )
