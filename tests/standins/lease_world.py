"""Simulate the members of one group with their own clocks and no network.

The processes run the code that decides on leases. The world carries their
messages, keeps the platform's object, and records until when requests to
cold replicas run, by what it calls a resource: a slice, or the one shard
that moves to another slice with every configuration.
"""

import collections
import enum
import itertools
from collections.abc import Iterable, Iterator, Mapping, Sequence, Set

import attrs

from dragonflyramp.members._groups import (
    EMPTY_RECORD,
    GroupRecord,
    MemberDescription,
    Role,
)
from dragonflyramp.members._lease_tables import MemberLeaseTable
from dragonflyramp.members._leases import tenure_of
from dragonflyramp.members._messages import Heartbeat, SliceEpoch
from dragonflyramp.members._settings import MembershipSettings
from dragonflyramp.members._writer_views import ConfigurationFacts
from dragonflyramp.members._writing import (
    Attempt,
    GroupWriter,
    Settlement,
    StoredRecord,
)
from dragonflyramp.models import LeaseState, MemberId, SliceId

DEADLINE_SECONDS = 0.5
SETTINGS = MembershipSettings()
SLICES = (SliceId('s/0'), SliceId('s/1'))
SHARD = 'shard'
DOMAINS = ('centro', 'fatima', 'mercedes')
RELAYS = 5
STEP_SECONDS = 0.25


def facts_at(number: int) -> ConfigurationFacts:
    """Give the facts of a configuration; all have the same slices."""
    return ConfigurationFacts(
        number=number,
        slice_ids=frozenset(SLICES),
        longest_deadline_seconds=DEADLINE_SECONDS,
    )


@attrs.define(eq=False)
class Process:
    """Run one member; its clock runs at its own rate."""

    member: MemberDescription
    rate: float
    number: int = 1
    renewal: int = 0
    is_writer: bool = False
    is_paused: bool = False
    record: GroupRecord = EMPTY_RECORD
    table: MemberLeaseTable = attrs.field(init=False)
    writer: GroupWriter = attrs.field(init=False)
    waiting: dict[MemberId, 'Sent'] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Start without any knowledge of the group."""
        self.table = MemberLeaseTable(
            self.member_id, SETTINGS, lambda: facts_at(self.number)
        )
        self.writer = GroupWriter(self.member_id, SETTINGS)

    @property
    def member_id(self) -> MemberId:
        """Return the id of this process."""
        return self.member.member_id

    def adopt(self, record: GroupRecord, now_seconds: float) -> None:
        """Adopt a record of a higher renewal."""
        if record.renewal > self.renewal:
            self.renewal = record.renewal
            self.record = record
            self.table.see_record(record, now_seconds)

    def compose(self, now_seconds: float) -> Heartbeat:
        """Describe this member as it is now."""
        self.table.update_releases(now_seconds)
        self.table.deputy.renounce(DEADLINE_SECONDS, now_seconds)
        return Heartbeat(
            member=self.member,
            configuration_number=self.number,
            renewal=self.renewal,
            released=self.table.releases.released,
            renounced=self.table.deputy.renounced(),
            leaving=self.table.is_releasing_all,
        )

    def used_until(self, now_seconds: float) -> Iterator[tuple[str, float]]:
        """Give each resource in use and until when it may be used."""
        settled = self.table.settled_number(now_seconds)
        for slice_id in SLICES:
            lease = self.table.lease(slice_id, now_seconds)
            if lease.state is LeaseState.held:
                yield slice_id, lease.until_seconds
                has_shard = slice_id == SLICES[self.number % len(SLICES)]
                if has_shard and settled >= self.number:
                    yield SHARD, lease.until_seconds


@attrs.frozen
class Sent:
    """Hold a heartbeat until its writer answers it."""

    sender: Process
    request: Heartbeat
    started_seconds: float


@attrs.frozen
class Covered:
    """Hold the good reply to a heartbeat until it arrives or is lost."""

    recipient: Process
    record: GroupRecord
    started_seconds: float

    def arrive(self, now_seconds: float) -> None:
        """Let the sender of the heartbeat use the reply."""
        self.recipient.adopt(self.record, now_seconds)
        self.recipient.table.holder.note_renewal(
            self.started_seconds,
            shown=self.record.configuration_number,
            adopted=self.recipient.number,
        )


@attrs.frozen
class Promised:
    """Hold a deputy's reply until it arrives or is lost."""

    recipient: Process
    deputy_id: MemberId
    tenures: tuple[SliceEpoch, ...]
    number: int
    started_seconds: float

    def arrive(self, now_seconds: float) -> None:
        """Let the holder use the promises."""
        self.recipient.table.holder.note_promises(
            self.deputy_id,
            self.tenures,
            self.started_seconds,
            shown=self.number,
            adopted=self.recipient.number,
        )


class Mode(enum.Enum):
    """Say what goes wrong with one member during some periods."""

    well = 'well'
    silent = 'does nothing'
    deaf = 'loses the replies to its heartbeats'
    unheard = 'has its heartbeats lost'
    late = 'gets replies once it is well again'
    stale = 'adopts no configuration'
    apart = 'reaches only members that are apart too'


class TwoUsers(AssertionError):
    """Tell that requests of two relays to cold replicas run at once."""


@attrs.define(eq=False)
class World:
    """Hold the processes, the platform and the messages in flight."""

    real_seconds: float = 0
    number: int = 1
    is_up: bool = True
    stored: StoredRecord | None = None
    processes: list[Process] = attrs.field(factory=list)
    in_flight: list[Covered | Promised] = attrs.field(factory=list)
    late_writes: list[Attempt] = attrs.field(factory=list)
    running: dict[tuple[str, MemberId], float] = attrs.field(factory=dict)
    ids: Iterator[int] = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        """Start relays in three failure domains; their ids set the order."""
        self.processes = [self.make_process(index) for index in range(RELAYS)]

    def make_process(self, index: int) -> Process:
        """Start a process; rates differ by less than the allowed drift."""
        number = next(self.ids)
        member_id = MemberId(f'{index}.{number}')
        return Process(
            MemberDescription(
                member_id=member_id,
                role=Role.relay,
                address=f'host-{index}:1',
                status_address='',
                failure_domain=DOMAINS[index % len(DOMAINS)],
            ),
            rate=(1.0, 1.04)[index % 2],
            number=self.number,
        )

    def clock(self, process: Process) -> float:
        """Read a process's own clock."""
        return self.real_seconds * process.rate

    def check(self) -> None:
        """Raise TwoUsers when requests of two relays run at once."""
        using: dict[str, set[MemberId]] = collections.defaultdict(set)
        for (resource, member_id), end_seconds in self.running.items():
            if end_seconds > self.real_seconds:
                using[resource].add(member_id)
        for process in self.processes:
            for resource, _ in process.used_until(self.clock(process)):
                using[resource].add(process.member_id)
        for resource, users in using.items():
            if len(users) > 1:
                raise TwoUsers(resource, sorted(users))

    def advance(self, seconds: float) -> None:
        """Let time pass while processes send for as long as they may."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.check()
            end_seconds = self.real_seconds + STEP_SECONDS
            for process in self.processes:
                for resource, until in process.used_until(self.clock(process)):
                    self.running[resource, process.member_id] = min(
                        end_seconds + DEADLINE_SECONDS, until / process.rate
                    )
            self.real_seconds = end_seconds
        self.check()

    def named_writer(self, process: Process) -> Process | None:
        """Find the writer that a process knows, if it writes."""
        for other in self.processes:
            if other.member_id == process.record.writer and other.is_writer:
                return other
        return None

    def beat(self, process: Process) -> None:
        """Send a heartbeat to the writer, read at the platform if unknown."""
        if self.named_writer(process) is None and self.is_up and self.stored:
            process.adopt(self.stored.record, self.clock(process))
        writer = self.named_writer(process)
        if writer is not None and not writer.is_paused:
            now_seconds = self.clock(process)
            writer.waiting[process.member_id] = Sent(
                process, process.compose(now_seconds), now_seconds
            )

    def probe(self, process: Process, other: Process) -> None:
        """Ask another member for its record."""
        if not other.is_paused:
            process.adopt(other.record, self.clock(process))

    def promise(self, holder: Process, deputy: Process) -> None:
        """Ask a deputy to promise what it deputises for."""
        tenures = [
            tenure_of(entry)
            for entry in holder.table.holder.held()
            if deputy.member_id in entry.deputies
        ]
        promised = tuple(
            tenure
            for tenure in tenures
            if deputy.table.deputy.promise(
                holder.member_id, tenure, self.clock(deputy)
            )
        )
        self.in_flight.append(
            Promised(
                holder,
                deputy.member_id,
                promised,
                deputy.number,
                self.clock(holder),
            )
        )

    def deliver(self, is_lost: bool) -> None:
        """Let the oldest message arrive, or lose it."""
        message = self.in_flight.pop(0)
        if not is_lost and message.recipient in self.processes:
            message.arrive(self.clock(message.recipient))
            self.check()

    def release(self, process: Process) -> None:
        """Release what the process stopped using for long enough."""
        now_seconds = self.clock(process)
        process.table.update_releases(now_seconds)
        ready = process.table.releases.ready(
            SETTINGS.drain_seconds(DEADLINE_SECONDS), now_seconds
        )
        process.table.releases.release(ready)

    def start_writer(self, process: Process) -> None:
        """Let a process read the record and write itself in as writer."""
        if self.is_up:
            now_seconds = self.clock(process)
            stored = self.stored or StoredRecord(process.record, 0)
            process.adopt(stored.record, now_seconds)
            process.writer.begin(stored, now_seconds)
            process.is_writer = True
            self.write(process)

    def write(
        self, process: Process, *, is_late: bool = False, is_lost: bool = False
    ) -> None:
        """Write the record; the write may land late or its reply be lost."""
        now_seconds = self.clock(process)
        own = Sent(process, process.compose(now_seconds), now_seconds)
        sent = {**process.waiting, process.member_id: own}
        process.waiting = {}
        attempt = process.writer.prepare(
            {member_id: one.request for member_id, one in sent.items()},
            facts_at(process.number),
            frozenset(),
            now_seconds,
        )
        if is_late:
            self.late_writes.append(attempt)
        is_known = not is_late and self.store(attempt) and not is_lost
        if self.settle(process, attempt, is_known):
            self.answer(process, attempt.record, sent.values())

    def store(self, attempt: Attempt) -> bool:
        """Store an attempt if its version still stands."""
        version = self.stored.version if self.stored else 0
        if not self.is_up or version != attempt.base_version:
            return False
        self.stored = StoredRecord(attempt.record, version + 1)
        return True

    def settle(
        self, process: Process, attempt: Attempt, is_known: bool
    ) -> bool:
        """Let the writer find out whether its attempt took effect."""
        now_seconds = self.clock(process)
        if is_known:
            process.writer.note_written(
                attempt, attempt.base_version + 1, now_seconds
            )
            return True
        if not self.is_up or self.stored is None:
            return False
        settlement = process.writer.settle(attempt, self.stored, now_seconds)
        if settlement is Settlement.deposed:
            process.is_writer = False
            process.adopt(self.stored.record, now_seconds)
        return settlement is Settlement.written

    def answer(
        self, writer: Process, record: GroupRecord, sent: Iterable[Sent]
    ) -> None:
        """Answer the heartbeats that a write covers."""
        for one in sent:
            covered = Covered(one.sender, record, one.started_seconds)
            if one.sender is writer:
                covered.arrive(self.clock(writer))
            else:
                self.in_flight.append(covered)


def run_periods(world: World, count: int, by_role: Sequence[Mode]) -> None:
    """Run periods with a mode each for holder, deputies and others.

    The roles are those for the first slice when the periods start.
    """
    roles: tuple[MemberId, ...] = ()
    if world.stored:
        roles = world.stored.record.candidates(SLICES[0])
    modes = dict.fromkeys(world.processes, by_role[-1])
    for process in world.processes:
        if process.member_id in roles:
            modes[process] = by_role[roles.index(process.member_id)]
    for _ in range(count):
        run_period(world, modes)


def run_period(world: World, modes: Mapping[Process, Mode]) -> None:
    """Run one period with a mode for each process."""
    active = [
        process
        for process, mode in modes.items()
        if mode is not Mode.silent and not process.is_paused
    ]
    reached = [one for one in active if modes[one] is not Mode.apart]
    for process in active:
        if modes[process] not in {Mode.stale, Mode.apart}:
            process.number = world.number
        world.release(process)
    report_and_write(
        world, reached, [one for one in reached if modes[one] is Mode.unheard]
    )
    deliver_all(world, modes, frozenset((Mode.deaf,)))
    for holder, deputy in itertools.permutations(active, 2):
        if (holder in reached) == (deputy in reached):
            world.promise(holder, deputy)
        if holder not in reached and deputy not in reached:
            world.probe(holder, deputy)
    deliver_all(world, modes, frozenset())
    world.advance(1.0)


def report_and_write(
    world: World, reached: Sequence[Process], unheard: Sequence[Process]
) -> None:
    """Let members report to the writer, which one of them becomes."""
    if reached and not any(one.is_writer for one in reached):
        world.start_writer(reached[0])
    for sender in reached:
        if sender not in unheard:
            world.beat(sender)
    for writer in reached:
        if writer.is_writer:
            world.write(writer)


def deliver_all(
    world: World, modes: Mapping[Process, Mode], losing: Set[Mode]
) -> None:
    """Deliver all messages, lose some, and keep those that are late."""
    for message in tuple(world.in_flight):
        recipient = message.recipient
        mode = modes.get(recipient, Mode.well)
        if mode in {Mode.late, Mode.silent} or recipient.is_paused:
            world.in_flight.remove(message)
            world.in_flight.append(message)
        else:
            world.deliver(is_lost=mode in losing)
