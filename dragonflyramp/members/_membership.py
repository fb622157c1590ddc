"""Run one daemon's part in its group: join, report, write, promise, leave."""

import asyncio

import attrs
from loguru import logger

from dragonflyramp.members._facts import CachedFacts
from dragonflyramp.members._group_views import GroupView
from dragonflyramp.members._groups import GroupRecord, MemberEntry, Role
from dragonflyramp.members._lease_tables import MemberLeaseTable
from dragonflyramp.members._membership_inputs import MembershipInputs
from dragonflyramp.members._membership_parts import (
    MembershipParts,
    build_parts,
    build_view,
)
from dragonflyramp.members._repeats import repeat, wait_at_most
from dragonflyramp.members._services import MembershipService
from dragonflyramp.metrics import counters
from dragonflyramp.models import MemberId, SliceId


@attrs.define(eq=False)
class RecordReader:
    """Answer questions about the newest record that this daemon knows."""

    view: GroupView

    @property
    def record(self) -> GroupRecord:
        """Return the record; the counters in it may be older."""
        return self.view.record

    @property
    def lease_table(self) -> MemberLeaseTable:
        """Return this daemon's standing for each slice."""
        return self.view.lease_table

    @property
    def last_contact_seconds(self) -> float:
        """Give when an exchange with platform or members last succeeded."""
        return self.view.contacts.last_seconds

    def peers(self, role: Role) -> tuple[MemberEntry, ...]:
        """List the other members of one role."""
        return self.view.peers(role)

    def candidates(self, slice_id: SliceId) -> tuple[MemberId, ...]:
        """List the holder of a slice and then its deputies."""
        return self.record.candidates(slice_id)

    async def wait_record_change(
        self, known: GroupRecord | None = None
    ) -> GroupRecord:
        """Wait until the record differs from the known or present one."""
        return await self.view.wait_record_change(known)


class Membership(RecordReader):
    """Run the tasks of one daemon's membership."""

    def __init__(self, inputs: MembershipInputs) -> None:
        """Build the parts; nothing runs before `run`."""
        facts = CachedFacts(inputs.configuration)
        super().__init__(build_view(inputs, facts))
        self._settings = inputs.settings
        self._parts: MembershipParts = build_parts(inputs, self.view, facts)

    @property
    def service(self) -> MembershipService:
        """Return what answers the calls of other members."""
        return self._parts.service

    async def run(self) -> None:
        """Run all tasks until cancelled."""
        parts = self._parts
        period_seconds = self._settings.renewal_period_seconds
        async with asyncio.TaskGroup() as group:
            for name, step in (
                ('cycle', parts.cycles.run_once),
                ('probe', parts.probe.run_once),
                ('handover', parts.handovers.run_once),
                ('vm list', self._watch_vms),
            ):
                group.create_task(repeat(name, step, period_seconds))
            group.create_task(parts.promises.run())

    async def leave(self) -> None:
        """Hand slices and writing over, then release what is left.

        The tasks of `run` do the work and must still run. The daemon may
        end once this returns, which takes at most the leave timeout and
        one period.
        """
        self._parts.sender.leaving = True
        self._parts.sender.wake.set()
        logger.info('{} leaves the group', self.view.own.member_id)
        if not await wait_at_most(
            self._hand_over_duties(), self._settings.leave_timeout_seconds
        ):
            counters.add('leave_timeouts', self._settings.group)
        await asyncio.sleep(self._settings.renewal_period_seconds)

    async def _hand_over_duties(self) -> None:
        """Wait until this member neither holds a slice nor writes.

        Slices go to successors first; without another relay they are
        released to nobody.
        """
        while self.lease_table.holder.held() and self._others(Role.relay):
            await self.wait_record_change(self.record)
        self.lease_table.is_releasing_all = True
        while self.lease_table.holder.held():
            await self.wait_record_change(self.record)
        while self._parts.writer.is_active and self._others():
            await self.wait_record_change(self.record)

    def _others(self, role: Role | None = None) -> list[MemberEntry]:
        peers = self.view.peers(role)
        return [entry for entry in peers if not entry.leaving]

    async def _watch_vms(self) -> None:
        if self._parts.writer.is_active:
            await self._parts.vm_watch.look()
        await asyncio.sleep(self._settings.vm_list_period_seconds)
