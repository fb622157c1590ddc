"""Ask the deputies of the slices that this member holds for promises."""

import asyncio

import attrs
from returns.pipeline import is_successful

from dragonflyramp.members._heartbeats import HeartbeatSender
from dragonflyramp.members._messages import Promise, PromiseReply
from dragonflyramp.members._settings import MembershipSettings
from dragonflyramp.members._warmths import warmth_tables
from dragonflyramp.models import MemberId
from dragonflyramp.results import ResultCode


@attrs.define(eq=False)
class DeputyPromiseRequests:
    """Ask a deputy once per period to promise its slices' tenures."""

    _sender: HeartbeatSender
    _settings: MembershipSettings

    def deputies(self) -> frozenset[MemberId]:
        """List the deputies of the slices that this member holds."""
        return frozenset(
            deputy
            for entry in self._sender.table.holder.held()
            for deputy in entry.deputies
        )

    async def run_once(self, deputy_id: MemberId) -> None:
        """Ask one deputy and rest until the period ends."""
        clock = self._sender.view.clock
        started_seconds = clock()
        await self._ask(deputy_id, started_seconds)
        next_seconds = started_seconds + self._settings.renewal_period_seconds
        await asyncio.sleep(max(0, next_seconds - clock()))

    async def _ask(self, deputy_id: MemberId, started_seconds: float) -> None:
        view = self._sender.view
        deputy = view.record.members.get(deputy_id)
        if deputy is None:
            return
        request = Promise(
            holder_id=view.own.member_id,
            deputy_id=deputy_id,
            configuration_number=self._sender.facts().number,
            slices=warmth_tables(
                (
                    entry
                    for entry in view.lease_table.holder.held()
                    if deputy_id in entry.deputies
                ),
                self._sender.hooks,
            ),
        )
        reply = await self._sender.calls.promise(
            deputy.address, request, self._settings.renewal_period_seconds
        )
        if is_successful(reply):
            number = reply.unwrap().configuration_number
            self._sender.configuration.hint(number, deputy.address)
            self._note(deputy_id, reply.unwrap(), started_seconds)

    def _note(
        self, deputy_id: MemberId, reply: PromiseReply, started_seconds: float
    ) -> None:
        self._sender.view.contacts.note_member()
        if reply.code is not ResultCode.ok:
            return
        self._sender.table.holder.note_promises(
            deputy_id,
            reply.promised,
            started_seconds,
            shown=reply.configuration_number,
            adopted=self._sender.facts().number,
        )
