"""Send heartbeats and use what their replies tell."""

import asyncio
from collections.abc import Callable

import attrs
from returns.pipeline import is_successful

from dragonflyramp.members._group_json import decode_record
from dragonflyramp.members._group_views import GroupView
from dragonflyramp.members._hooks import (
    AdoptedConfiguration,
    MembershipHooks,
    bounded_quarantine,
)
from dragonflyramp.members._lease_tables import MemberLeaseTable
from dragonflyramp.members._leases import tenure_of
from dragonflyramp.members._member_links import MemberCalls
from dragonflyramp.members._messages import Heartbeat, HeartbeatReply
from dragonflyramp.members._settings import MembershipSettings
from dragonflyramp.members._writer_views import ConfigurationFacts
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode


@attrs.define(eq=False)
class HeartbeatSender:
    """Compose this member's heartbeats, send them, use the replies."""

    view: GroupView
    settings: MembershipSettings
    calls: MemberCalls
    configuration: AdoptedConfiguration
    hooks: MembershipHooks
    facts: Callable[[], ConfigurationFacts]
    leaving: bool = False
    wake: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)

    @property
    def table(self) -> MemberLeaseTable:
        """Return this member's standing."""
        return self.view.lease_table

    def compose(self, now_seconds: float) -> Heartbeat:
        """Describe this member as it is now."""
        table = self.table
        table.update_releases(now_seconds)
        self._renounce(now_seconds)
        return Heartbeat(
            member=self.view.own,
            configuration_number=self.facts().number,
            renewal=self.view.renewal,
            held=tuple(map(tenure_of, table.holder.held())),
            released=table.releases.released,
            renounced=table.deputy.renounced(),
            quarantined=bounded_quarantine(self.hooks),
            leaving=self.leaving,
        )

    async def send(self, address: str, timeout_seconds: float) -> ResultCode:
        """Send one heartbeat and return the code of its outcome."""
        started_seconds = self.view.clock()
        reply = await self.calls.heartbeat(
            address, self.compose(started_seconds), timeout_seconds
        )
        if not is_successful(reply):
            return reply.failure()
        self._use(reply.unwrap(), address, started_seconds)
        return reply.unwrap().code

    def _renounce(self, now_seconds: float) -> None:
        """Renounce only while a writer can act on it.

        In a platform outage a holder that reappears can still be promised
        what was not renounced.
        """
        still_seconds = now_seconds - self.view.progress_seconds
        if still_seconds < self.settings.lease_term_seconds:
            self.table.deputy.renounce(
                self.facts().longest_deadline_seconds, now_seconds
            )

    def _use(
        self, reply: HeartbeatReply, address: str, started_seconds: float
    ) -> None:
        self.view.contacts.note_member()
        self.configuration.hint(reply.configuration_number, address)
        self.hooks.add_quarantined(reply.quarantined)
        if not self._learn(reply):
            return
        if reply.code is ResultCode.ok:
            self.table.holder.note_renewal(
                started_seconds,
                shown=reply.configuration_number,
                adopted=self.facts().number,
            )

    def _learn(self, reply: HeartbeatReply) -> bool:
        """Adopt the record of a reply; False when it is malformed."""
        if not reply.record:
            self.view.note_renewal(reply.renewal)
            return True
        record = decode_record(reply.record)
        if not is_successful(record):
            counters.add('member_call_failures', ResultCode.bad_message.name)
            return False
        self.view.adopt(record.unwrap())
        return True
