"""Build the parts of membership from what the daemon gives it."""

import attrs

from dragonflyramp.members._cycles import MemberCycles, PeerProbe
from dragonflyramp.members._heartbeat_queues import HeartbeatQueue, ReplyBuilder
from dragonflyramp.members._facts import CachedFacts
from dragonflyramp.members._group_stores import GroupStore
from dragonflyramp.members._group_views import GroupView
from dragonflyramp.members._handovers import Handovers
from dragonflyramp.members._heartbeats import HeartbeatSender
from dragonflyramp.members._lease_tables import MemberLeaseTable
from dragonflyramp.members._membership_inputs import MembershipInputs
from dragonflyramp.members._peer_tasks import PeerTasks
from dragonflyramp.members._promise_requests import DeputyPromiseRequests
from dragonflyramp.members._services import MembershipService
from dragonflyramp.members._vm_evidence import VmWatch
from dragonflyramp.members._writers import RecordWriter
from dragonflyramp.members._writing import GroupWriter


@attrs.frozen(kw_only=True)
class MembershipParts:
    """Hold the parts that the tasks of membership run."""

    sender: HeartbeatSender
    service: MembershipService
    writer: RecordWriter
    vm_watch: VmWatch
    cycles: MemberCycles
    probe: PeerProbe
    promises: PeerTasks
    handovers: Handovers


def build_view(inputs: MembershipInputs, facts: CachedFacts) -> GroupView:
    """Build the view of the group, empty at first."""
    table = MemberLeaseTable(inputs.own.member_id, inputs.settings, facts.facts)
    return GroupView(inputs.own, inputs.seeds, inputs.clock, table)


def build_parts(
    inputs: MembershipInputs, view: GroupView, facts: CachedFacts
) -> MembershipParts:
    """Build all parts around the view."""
    settings = inputs.settings
    sender = HeartbeatSender(
        view=view,
        settings=settings,
        calls=inputs.calls,
        configuration=inputs.configuration,
        hooks=inputs.hooks,
        facts=facts.facts,
    )
    replies = ReplyBuilder(view, inputs.hooks, facts.facts)
    queue = HeartbeatQueue(view, replies)
    vm_watch = VmWatch(inputs.vm_list, view, settings)
    writer = RecordWriter(
        view,
        GroupStore(inputs.store, view, settings),
        sender,
        queue,
        GroupWriter(inputs.own.member_id, settings),
        vm_watch.evidence,
    )
    requests = DeputyPromiseRequests(sender, settings)
    return MembershipParts(
        sender=sender,
        service=MembershipService(sender, queue, replies, writer),
        writer=writer,
        vm_watch=vm_watch,
        cycles=MemberCycles(view, sender, writer, settings, inputs.rng),
        probe=PeerProbe(view, sender, settings),
        promises=PeerTasks(
            'promise',
            view,
            requests.deputies,
            requests.run_once,
            settings.renewal_period_seconds,
        ),
        handovers=Handovers(sender, settings),
    )
