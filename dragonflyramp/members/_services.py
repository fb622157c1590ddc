"""Answer the calls of other members on membership and leases."""

import attrs

from dragonflyramp.members._heartbeat_queues import HeartbeatQueue, ReplyBuilder
from dragonflyramp.members._heartbeats import HeartbeatSender
from dragonflyramp.members._messages import (
    Handover,
    HandoverReply,
    Heartbeat,
    HeartbeatReply,
    Promise,
    PromiseReply,
    SliceEpoch,
    SliceWarmth,
)
from dragonflyramp.members._writers import RecordWriter
from dragonflyramp.models import MemberId
from dragonflyramp.results import ResultCode


@attrs.define(eq=False)
class MembershipService:
    """Implement MembershipServer for one daemon."""

    _sender: HeartbeatSender
    _queue: HeartbeatQueue
    _replies: ReplyBuilder
    _writer: RecordWriter

    async def heartbeat(self, request: Heartbeat) -> HeartbeatReply:
        """Answer once a write covers the heartbeat, or refuse."""
        self._sender.view.contacts.note_member()
        self._sender.hooks.add_quarantined(request.quarantined)
        self._sender.configuration.hint(
            request.configuration_number, request.member.address
        )
        if self._writer.is_active:
            return await self._queue.wait_covered(request)
        return self._replies.build(request, ResultCode.not_writer)

    async def promise(self, request: Promise) -> PromiseReply:
        """Promise not to renounce tenures and load their warmth."""
        view = self._sender.view
        view.contacts.note_member()
        self._hint(request.configuration_number, request.holder_id)
        now_seconds = view.clock()
        promised = []
        # The deputy may have renounced before this process took its address.
        is_meant = request.deputy_id == view.own.member_id
        for one in request.slices if is_meant else ():
            tenure = SliceEpoch(one.slice_id, one.epoch)
            if view.lease_table.deputy.promise(
                request.holder_id, tenure, now_seconds
            ):
                promised.append(tenure)
                self._load(one)
        return PromiseReply(
            code=ResultCode.ok,
            promised=tuple(promised),
            configuration_number=self._sender.facts().number,
        )

    async def handover(self, request: Handover) -> HandoverReply:
        """Load the warmth of slices that this member is to get."""
        self._sender.view.contacts.note_member()
        slices = self._sender.view.record.slices
        accepted = []
        for one in request.slices:
            entry = slices.get(one.slice_id)
            if entry is None or entry.epoch <= one.epoch:
                accepted.append(SliceEpoch(one.slice_id, one.epoch))
                self._load(one)
        return HandoverReply(code=ResultCode.ok, accepted=tuple(accepted))

    def _hint(self, number: int, member_id: MemberId) -> None:
        record = self._sender.view.record
        member = record.members.get(member_id)
        if member is not None:
            self._sender.configuration.hint(number, member.address)

    def _load(self, table: SliceWarmth) -> None:
        self._sender.hooks.load_warmth(
            table.slice_id, table.epoch, table.replicas
        )
