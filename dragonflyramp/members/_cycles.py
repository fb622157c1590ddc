"""Report to the writer, or write, once per period."""

import asyncio
import random

import attrs

from dragonflyramp.members._group_views import (
    GroupView,
    other_addresses,
    writer_rank,
)
from dragonflyramp.members._heartbeats import HeartbeatSender
from dragonflyramp.members._repeats import wait_at_most
from dragonflyramp.members._settings import MembershipSettings
from dragonflyramp.members._writers import RecordWriter

#: A reply comes with a write. The next heartbeat starts this fraction of a
#: period later, to reach the writer shortly before its next write and so
#: to use little of the lease by waiting there.
_PAUSE_FRACTION = 0.75

#: Missed progress, in periods, after which other members are asked too.
_STALE_PERIODS = 1.5


@attrs.define(eq=False)
class MemberCycles:
    """Run one cycle per period: write as the writer, else report to it."""

    _view: GroupView
    _sender: HeartbeatSender
    _writer: RecordWriter
    _settings: MembershipSettings
    _rng: random.Random
    _next_try_seconds: float = 0

    async def run_once(self) -> None:
        """Run one cycle and rest until the next one is due."""
        started_seconds = self._view.clock()
        named = self._view.record.writer
        if self._writer.is_active and self._is_named():
            await self._writer.write_or_hand_over()
        else:
            await self._report()
        if named == self._view.record.writer:
            await self._rest(started_seconds)

    async def _report(self) -> None:
        self._writer.step_down()
        writer = self._view.record.members.get(self._view.record.writer)
        if writer is not None and not self._is_named():
            await self._sender.send(
                writer.address, self._settings.lease_term_seconds
            )
        now_seconds = self._view.clock()
        if now_seconds >= self._start_seconds():
            self._next_try_seconds = now_seconds + self._retry_seconds()
            await self._writer.start()

    def _start_seconds(self) -> float:
        """Give when this member may try to become the writer."""
        if self._view.renewal == 0 or self._is_named():
            return self._next_try_seconds
        delay_seconds = writer_rank(self._view) * self._period_seconds()
        still_seconds = self._settings.lease_term_seconds + delay_seconds
        due_seconds = self._view.progress_seconds + still_seconds
        return max(due_seconds, self._next_try_seconds)

    def _retry_seconds(self) -> float:
        """Spread the tries of a group over its members in an outage."""
        ranks = 1 + writer_rank(self._view)
        return self._rng.uniform(1, 1 + ranks) * self._period_seconds()

    async def _rest(self, started_seconds: float) -> None:
        period_seconds = self._period_seconds()
        rest_seconds = started_seconds + period_seconds - self._view.clock()
        if not self._writer.is_active:
            pause_seconds = period_seconds * _PAUSE_FRACTION
            rest_seconds = max(rest_seconds, pause_seconds)
        if await wait_at_most(self._sender.wake.wait(), rest_seconds):
            self._sender.wake.clear()

    def _period_seconds(self) -> float:
        return self._settings.renewal_period_seconds

    def _is_named(self) -> bool:
        return self._view.record.writer == self._view.own.member_id


@attrs.define(eq=False)
class PeerProbe:
    """Ask other members for the record while it makes no progress."""

    _view: GroupView
    _sender: HeartbeatSender
    _settings: MembershipSettings
    _turn: int = 0

    async def run_once(self) -> None:
        """Ask one other member if there is need, and rest for a period."""
        if self._is_needed():
            await self._ask_next()
        await asyncio.sleep(self._settings.renewal_period_seconds)

    def _is_needed(self) -> bool:
        if self._view.renewal == 0:
            return True
        still_seconds = self._view.clock() - self._view.progress_seconds
        period_seconds = self._settings.renewal_period_seconds
        return still_seconds > period_seconds * _STALE_PERIODS

    async def _ask_next(self) -> None:
        writer = self._view.record.members.get(self._view.record.writer)
        addresses = [
            address
            for address in other_addresses(self._view)
            if writer is None or address != writer.address
        ]
        if addresses:
            self._turn += 1
            address = addresses[self._turn % len(addresses)]
            await self._sender.send(
                address, self._settings.renewal_period_seconds
            )
