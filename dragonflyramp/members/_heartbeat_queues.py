"""Collect the heartbeats that wait for the write that covers them."""

import asyncio
from collections.abc import Callable, Mapping

import attrs

from dragonflyramp.members._group_json import encode_record
from dragonflyramp.members._group_views import GroupView
from dragonflyramp.members._hooks import MembershipHooks, bounded_quarantine
from dragonflyramp.members._messages import Heartbeat, HeartbeatReply
from dragonflyramp.members._writer_views import ConfigurationFacts
from dragonflyramp.metrics import counters
from dragonflyramp.models import MemberId
from dragonflyramp.results import ResultCode


@attrs.define
class ReplyBuilder:
    """Answer heartbeats from the record that this member knows.

    A reply leaves out the record when only counters changed since the
    renewal that the sender knows, which saves most of the traffic.
    """

    _view: GroupView
    _hooks: MembershipHooks
    _facts: Callable[[], ConfigurationFacts]
    _encoded_renewal: int = 0
    _encoded: bytes = b''

    def build(self, request: Heartbeat, code: ResultCode) -> HeartbeatReply:
        """Build the reply to a heartbeat."""
        if code is not ResultCode.ok:
            counters.add('refused_heartbeats', code.name)
        record = b''
        if request.renewal < self._view.layout_renewal:
            record = self._encode()
        return HeartbeatReply(
            code=code,
            record=record,
            renewal=self._view.renewal,
            writer=self._view.record.writer,
            configuration_number=max(
                self._view.record.configuration_number, self._facts().number
            ),
            quarantined=bounded_quarantine(self._hooks),
        )

    def _encode(self) -> bytes:
        if self._encoded_renewal != self._view.renewal:
            self._encoded = encode_record(self._view.snapshot())
            self._encoded_renewal = self._view.renewal
        return self._encoded


@attrs.frozen
class _Waiting:
    request: Heartbeat
    answer: asyncio.Future[HeartbeatReply]


@attrs.define(eq=False)
class HeartbeatQueue:
    """Hold the heartbeats at the writer until a write covers them."""

    _view: GroupView
    _replies: ReplyBuilder
    _waiting: dict[MemberId, _Waiting] = attrs.field(factory=dict)
    _in_write: dict[MemberId, _Waiting] = attrs.field(factory=dict)

    async def wait_covered(self, request: Heartbeat) -> HeartbeatReply:
        """Wait for the outcome of the next write that starts."""
        loop = asyncio.get_running_loop()
        waiting = _Waiting(request, loop.create_future())
        member_id = request.member.member_id
        replaced = self._waiting.get(member_id)
        if replaced is not None:
            self._answer(replaced, ResultCode.member_unreachable)
        self._waiting[member_id] = waiting
        return await waiting.answer

    def take(self) -> Mapping[MemberId, Heartbeat]:
        """Start a write and give the heartbeats that it covers."""
        self._in_write = self._waiting
        self._waiting = {}
        return {
            member_id: waiting.request
            for member_id, waiting in self._in_write.items()
        }

    def answer_covered(self) -> None:
        """Answer the heartbeats of a write that took effect."""
        for member_id, waiting in self._in_write.items():
            is_member = member_id in self._view.record.members
            code = ResultCode.ok if is_member else ResultCode.group_full
            self._answer(waiting, code)
        self._in_write = {}

    def answer_failed(self, code: ResultCode) -> None:
        """Answer the heartbeats of a write that may have had no effect."""
        for waiting in self._in_write.values():
            self._answer(waiting, code)
        self._in_write = {}

    def refuse_all(self) -> None:
        """Answer all heartbeats that came since this member stopped writing."""
        self.take()
        self.answer_failed(ResultCode.not_writer)

    def _answer(self, waiting: _Waiting, code: ResultCode) -> None:
        if not waiting.answer.done():
            reply = self._replies.build(waiting.request, code)
            waiting.answer.set_result(reply)
