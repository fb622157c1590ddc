"""Hand slices over to the relays that the record names as successors."""

import collections
from collections.abc import Sequence

import attrs
from loguru import logger
from returns.pipeline import is_successful

from dragonflyramp.members._groups import SliceEntry
from dragonflyramp.members._heartbeats import HeartbeatSender
from dragonflyramp.members._leases import tenure_of
from dragonflyramp.members._messages import Handover
from dragonflyramp.members._rendezvous import NOBODY
from dragonflyramp.members._repeats import wait_at_most
from dragonflyramp.members._settings import MembershipSettings
from dragonflyramp.members._warmths import warmth_tables
from dragonflyramp.metrics import counters
from dragonflyramp.models import MemberId
from dragonflyramp.results import ResultCode

#: A successor that never answers must not keep a slice at half its slots.
_MAX_TRIES = 3


@attrs.define(eq=False)
class Handovers:
    """Stop using slices, give their warmth away, and release them."""

    _sender: HeartbeatSender
    _settings: MembershipSettings
    _failures: dict[MemberId, int] = attrs.field(factory=dict)

    async def run_once(self) -> None:
        """Hand over what is ready and wait for more."""
        view = self._sender.view
        record = view.record
        now_seconds = view.clock()
        view.lease_table.update_releases(now_seconds)
        for successor, entries in self._ready(now_seconds).items():
            if successor == NOBODY or await self._give(successor, entries):
                self.release(entries)
        await wait_at_most(
            view.wait_record_change(record), self._pause_seconds()
        )

    def release(self, entries: Sequence[SliceEntry]) -> None:
        """Give tenures up for good and tell the writer at once."""
        for entry in entries:
            logger.info('release {} epoch {}', entry.slice_id, entry.epoch)
        self._sender.table.releases.release(map(tenure_of, entries))
        self._sender.wake.set()

    def _ready(self, now_seconds: float) -> dict[MemberId, list[SliceEntry]]:
        table = self._sender.table
        ready = table.releases.ready(self._drain_seconds(), now_seconds)
        by_successor = collections.defaultdict(list)
        for entry in table.holder.held():
            if tenure_of(entry) in ready:
                by_successor[entry.successor].append(entry)
        return by_successor

    async def _give(
        self, successor_id: MemberId, entries: Sequence[SliceEntry]
    ) -> bool:
        view = self._sender.view
        successor = view.record.members.get(successor_id)
        if successor is None:
            return False
        reply = await self._sender.calls.handover(
            successor.address,
            Handover(
                holder_id=view.own.member_id,
                slices=warmth_tables(entries, self._sender.hooks),
            ),
            self._settings.renewal_period_seconds,
        )
        if is_successful(reply) and reply.unwrap().code is ResultCode.ok:
            self._failures.pop(successor_id, None)
            return True
        counters.add('failed_handovers', 'successor')
        failures = self._failures.get(successor_id, 0) + 1
        self._failures[successor_id] = failures
        return failures >= _MAX_TRIES

    def _pause_seconds(self) -> float:
        view = self._sender.view
        wait_seconds = view.lease_table.releases.next_ready_seconds(
            self._drain_seconds(), view.clock()
        )
        return min(wait_seconds, self._settings.renewal_period_seconds)

    def _drain_seconds(self) -> float:
        return self._settings.drain_seconds(
            self._sender.facts().longest_deadline_seconds
        )
