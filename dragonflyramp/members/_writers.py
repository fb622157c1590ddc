"""Write the group record once per period while this member is the writer."""

import attrs
from loguru import logger
from returns.pipeline import is_successful
from returns.result import Failure, Success

from dragonflyramp.members._heartbeat_queues import HeartbeatQueue
from dragonflyramp.members._group_stores import GroupStore
from dragonflyramp.members._group_views import GroupView
from dragonflyramp.members._groups import GroupRecord
from dragonflyramp.members._heartbeats import HeartbeatSender
from dragonflyramp.members._messages import Heartbeat
from dragonflyramp.members._rendezvous import NOBODY, first
from dragonflyramp.members._vm_evidence import VmEvidence
from dragonflyramp.members._writing import (
    Attempt,
    GroupWriter,
    Settlement,
    StoredRecord,
)
from dragonflyramp.metrics import counters
from dragonflyramp.models import MemberId
from dragonflyramp.platform import ABSENT
from dragonflyramp.results import ResultCode


@attrs.define(eq=False)
class RecordWriter:
    """Become the writer, write, settle lost replies, and step down."""

    _view: GroupView
    _store: GroupStore
    _sender: HeartbeatSender
    _queue: HeartbeatQueue
    _group_writer: GroupWriter
    _vm_evidence: VmEvidence
    is_active: bool = False

    async def start(self) -> None:
        """Read the record and write this member in as the writer.

        Leave it when the read shows progress that another member made.
        """
        found = await self._store.read()
        if found == Failure(ResultCode.object_missing):
            found = Success(StoredRecord(self._view.snapshot(), ABSENT))
        if not is_successful(found):
            return
        stored = found.unwrap()
        number = stored.record.configuration_number
        self._sender.configuration.hint(number, '')
        if stored.record.renewal < self._view.renewal:
            counters.add('stale_answers', 'group')
            return
        is_named = stored.record.writer == self._view.own.member_id
        has_progressed = stored.record.renewal > self._view.renewal
        self._view.adopt(stored.record)
        if is_named or not has_progressed:
            self._group_writer.begin(stored, self._view.clock())
            await self.write()

    async def write_or_hand_over(self) -> None:
        """Write once; name another writer when this member can leave."""
        hand_to = NOBODY
        if self._sender.leaving and not self._sender.table.holder.held():
            hand_to = next_writer(self._group_writer.record, self._view)
        await self.write(hand_to)

    async def write(self, hand_to: MemberId = NOBODY) -> None:
        """Write once, for this member and the heartbeats that wait.

        With `hand_to`, the record names that member as the next writer.
        """
        started_seconds = self._view.clock()
        own = self._sender.compose(started_seconds)
        attempt = self._prepare(own, started_seconds)
        if hand_to != NOBODY:
            attempt = attempt.handed_to(hand_to)
        settlement = await self._write_and_settle(attempt)
        if settlement is Settlement.written:
            self._note_written(attempt, started_seconds)
        elif settlement is Settlement.deposed:
            self.step_down()
        else:
            self._queue.answer_failed(ResultCode.platform_down)

    def step_down(self) -> None:
        """Stop writing and refuse the heartbeats that wait."""
        if self.is_active:
            logger.info('{} no longer writes', self._view.own.member_id)
        self.is_active = False
        self._queue.refuse_all()

    def _prepare(self, own: Heartbeat, now_seconds: float) -> Attempt:
        facts = self._sender.facts()
        lapse_seconds = self._sender.settings.lapse_seconds(
            facts.longest_deadline_seconds
        )
        return self._group_writer.prepare(
            {**self._queue.take(), own.member.member_id: own},
            facts,
            self._vm_evidence.absent(lapse_seconds, now_seconds),
            now_seconds,
        )

    async def _write_and_settle(self, attempt: Attempt) -> Settlement:
        version = await self._store.write(attempt.record, attempt.base_version)
        if is_successful(version):
            self._group_writer.note_written(
                attempt, version.unwrap(), self._view.clock()
            )
            return Settlement.written
        counters.add('failed_writes', version.failure().name)
        found = await self._store.read()
        if not is_successful(found):
            return Settlement.unknown
        settlement = self._group_writer.settle(
            attempt, found.unwrap(), self._view.clock()
        )
        if settlement in {Settlement.deposed, Settlement.not_written}:
            self._view.adopt(found.unwrap().record)
        return settlement

    def _note_written(self, attempt: Attempt, started_seconds: float) -> None:
        record = attempt.record
        self._view.adopt(record, is_next=True)
        self._view.lease_table.holder.note_renewal(
            started_seconds,
            shown=record.configuration_number,
            adopted=self._sender.facts().number,
        )
        if not self.is_active:
            logger.info('{} writes the group record', record.writer)
        self.is_active = record.writer == self._view.own.member_id
        self._queue.answer_covered()
        if not self.is_active:
            self.step_down()


def next_writer(record: GroupRecord, view: GroupView) -> MemberId:
    """Choose who writes next among those that reported just now."""
    present = [
        entry.member_id
        for entry in record.members.values()
        if record.renewal - entry.renewal <= 1
        and not entry.leaving
        and entry.member_id != view.own.member_id
    ]
    return first(view.own.member_id, present)
