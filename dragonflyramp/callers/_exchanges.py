"""Exchange the messages of one round with the relays."""

import asyncio
import contextlib
from collections.abc import Callable, Collection

import attrs

from dragonflyramp.callers._background import BackgroundTasks
from dragonflyramp.callers._dispatch import Addressed, Dispatcher
from dragonflyramp.callers._endings import Endings
from dragonflyramp.callers._outcomes import Outcomes
from dragonflyramp.callers._rounds import Round
from dragonflyramp.callers._suspects import Suspects
from dragonflyramp.members import RelayEvent, RelayLinks
from dragonflyramp.models import MemberId


@attrs.define(kw_only=True, eq=False)
class Exchange:
    """Send what a round wants sent and feed it what comes back."""

    links: RelayLinks
    dispatcher: Dispatcher
    outcomes: Outcomes
    endings: Endings
    suspects: Suspects
    background: BackgroundTasks
    clock: Callable[[], float]
    link_timeout_seconds: float

    async def run(self, round_: Round) -> None:
        """Run a round to its end; cancel at the relays what still runs."""
        inbox = self.links.open_inbox(round_.query_id)
        with contextlib.ExitStack() as stack:
            stack.callback(self._close, round_)
            while not self.endings.is_over(round_, self.clock()):
                await self._send(round_)
                await self._receive(round_, inbox)

    def _close(self, round_: Round) -> None:
        relays = round_.attempts.relays()
        if relays:
            self.background.start(self._cancel(round_.query_id, relays))
        else:
            self.links.close_inbox(round_.query_id)

    async def _send(self, round_: Round) -> None:
        self.outcomes.expire(round_, self.clock())
        messages = self.dispatcher.messages(round_, self.clock())
        while messages:
            for addressed in messages:
                if not await self._send_one(addressed):
                    self.outcomes.not_sent(round_, addressed, self.clock())
            messages = self.dispatcher.messages(round_, self.clock())

    async def _send_one(self, addressed: Addressed) -> bool:
        try:
            async with asyncio.timeout(self.link_timeout_seconds):
                return await self.links.send_query(
                    addressed.relay_id, addressed.query
                )
        except TimeoutError:
            # It may have been sent; the relay's share of time decides.
            return True

    async def _receive(
        self, round_: Round, inbox: asyncio.Queue[RelayEvent]
    ) -> None:
        """Wait for the next event or time that matters, then take all."""
        if round_.is_done:
            return
        now_seconds = self.clock()
        timeout_seconds = self._wake_at(round_, now_seconds) - now_seconds
        if not round_.attempts.awaited:
            await self.suspects.wait_change(
                round_.job.fingerprint, now_seconds, timeout_seconds
            )
            return
        event = await _next_event(inbox, timeout_seconds)
        while event is not None:
            self.outcomes.take(round_, event, self.clock())
            event = None if inbox.empty() else inbox.get_nowait()

    def _wake_at(self, round_: Round, now_seconds: float) -> float:
        wake_at = min(
            self.endings.ends_at(round_), round_.attempts.next_share()
        )
        if round_.waiting:
            recheck_at = self.dispatcher.recheck_at(round_, now_seconds)
            wake_at = min(wake_at, recheck_at)
        return wake_at

    async def _cancel(
        self, query_id: str, relays: Collection[MemberId]
    ) -> None:
        """Cancel at the relays before the links forget the query."""
        try:
            async with asyncio.timeout(self.link_timeout_seconds):
                for relay_id in relays:
                    await self.links.cancel_query(relay_id, query_id)
        except TimeoutError:
            return
        finally:
            self.links.close_inbox(query_id)


async def _next_event(
    inbox: asyncio.Queue[RelayEvent], timeout_seconds: float
) -> RelayEvent | None:
    if not inbox.empty():
        return inbox.get_nowait()
    try:
        async with asyncio.timeout(timeout_seconds):
            return await inbox.get()
    except TimeoutError:
        return None
