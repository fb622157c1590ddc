"""Keep a link to each other daemon of the roster."""

import asyncio
import contextlib
from collections.abc import Callable

import attrs
from loguru import logger

from dragonflyramp.members._books import Book
from dragonflyramp.members._links_grpc import Link
from dragonflyramp.members._rosters import Daemon
from dragonflyramp.runtime import TaskSet

#: How often the roster is compared with the links.
_PERIOD_SECONDS = 0.25
#: A daemon that nobody heard for this long gets no more exchanges.
_GIVE_UP_SECONDS = 60
#: Longest wait for the answers to the goodbye.
_GOODBYE_SECONDS = 0.5


@attrs.define(eq=False)
class Members:
    """Run one task for each peer."""

    book: Book
    seeds: tuple[str, ...]
    clock: Callable[[], float]
    _links: dict[str, Link] = attrs.field(factory=dict)
    _tasks: TaskSet = attrs.field(factory=TaskSet)
    _running: dict[str, asyncio.Task[object]] = attrs.field(factory=dict)

    def spread(self, *, is_from_store: bool) -> None:
        """Tell the others of a change, at once if the store told it."""
        for link in self._links.values():
            if is_from_store:
                link.wake()
            else:
                link.wake_later()

    async def run(self) -> None:
        """Open and close links until cancelled, then close all."""
        async with contextlib.AsyncExitStack() as cleanup:
            cleanup.push_async_callback(self._tasks.cancel)
            while True:
                self._compare(self.clock())
                await asyncio.sleep(_PERIOD_SECONDS)

    async def leave(self) -> None:
        """Tell all peers that this daemon leaves."""
        self.book.is_leaving = True
        goodbyes = [
            asyncio.create_task(link.say_goodbye())
            for link in self._links.values()
        ]
        if goodbyes:
            _, late = await asyncio.wait(goodbyes, timeout=_GOODBYE_SECONDS)
            for goodbye in late:
                goodbye.cancel()

    def _compare(self, now_seconds: float) -> None:
        wanted = self._wanted(now_seconds)
        for gone in self._links.keys() - wanted:
            self._links.pop(gone)
            self._running.pop(gone).cancel()
        for address in wanted - self._links.keys():
            link = Link(address, self.book, self.clock)
            self._links[address] = link
            self._running[address] = self._tasks.start(link.run(), 'link')
            logger.bind(address=address).debug('link opened')

    def _wanted(self, now_seconds: float) -> set[str]:
        roster = self.book.roster
        ages = roster.ages(now_seconds)
        known = {
            daemon.address
            for daemon in ages
            if _is_wanted(daemon, ages[daemon])
        }
        # Seeds may be stale; they serve only until others are known.
        return (known or set(self.seeds)) - {roster.own.address, ''}


def _is_wanted(daemon: Daemon, age_seconds: float) -> bool:
    return bool(daemon.address) and age_seconds < _GIVE_UP_SECONDS
