"""Test what the writer decides on the group record."""

from collections.abc import Mapping, Sequence

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from dragonflyramp.members import MemberDescription, MembershipSettings, Role
from dragonflyramp.members._assignments import next_record
from dragonflyramp.members._group_json import decode_record, encode_record
from dragonflyramp.members._groups import (
    GroupRecord,
    MemberEntry,
    SliceEntry,
)
from dragonflyramp.members._messages import Heartbeat, SliceEpoch
from dragonflyramp.members._observations import Observations
from dragonflyramp.members._rendezvous import order
from dragonflyramp.members._takeovers import may_take_over
from dragonflyramp.members._vm_evidence import VmEvidence
from dragonflyramp.members._writer_views import ConfigurationFacts, WriterView
from dragonflyramp.members._writing import (
    GroupWriter,
    Settlement,
    StoredRecord,
)
from dragonflyramp.models import MemberId, SliceId
from dragonflyramp.results import ResultCode

SETTINGS = MembershipSettings()
ALPHA = SliceId('alpha/0')
FACTS = ConfigurationFacts(
    number=1, slice_ids=frozenset((ALPHA,)), longest_deadline_seconds=1
)
#: Term x (1 + drift) plus the longest deadline.
LAPSE_SECONDS = 4.15


def member(name: str, **changes: object) -> MemberEntry:
    """Make a member; its name starts with its failure domain."""
    entry = MemberEntry(
        member_id=MemberId(name),
        role=Role.front if 'front' in name else Role.relay,
        address=f'{name}:1',
        status_address='',
        failure_domain=name[0],
        joined=1,
        renewal=5,
        configuration_number=1,
    )
    return attrs.evolve(entry, **changes)  # type: ignore[arg-type]


def held_slice(holder: str, *deputies: str, **changes: object) -> SliceEntry:
    """Make the slice alpha at epoch 3."""
    entry = SliceEntry(
        slice_id=ALPHA,
        holder=MemberId(holder),
        epoch=3,
        renewal=5,
        deputies=tuple(map(MemberId, deputies)),
    )
    return attrs.evolve(entry, **changes)  # type: ignore[arg-type]


def group(entry: SliceEntry | None, *members: MemberEntry) -> GroupRecord:
    """Make a record at renewal 5, written by the first member."""
    record = GroupRecord(
        renewal=5, writer=members[0].member_id, configuration_number=1
    )
    return record.with_members(members).with_slices([entry] if entry else [])


def beat(entry: MemberEntry, **changes: object) -> Heartbeat:
    """Make a heartbeat of a member that knows the record."""
    description = MemberDescription(
        member_id=entry.member_id,
        role=entry.role,
        address=entry.address,
        status_address='',
        failure_domain=entry.failure_domain,
    )
    report = Heartbeat(member=description, configuration_number=1, renewal=5)
    return attrs.evolve(report, **changes)  # type: ignore[arg-type]


def view_of(
    record: GroupRecord,
    reports: Sequence[Heartbeat],
    *,
    now_seconds: float = 0.5,
    **changes: object,
) -> WriterView:
    """Make the view of a writer that first saw the record at time 0."""
    observations = Observations()
    observations.look(record, 0)
    view = WriterView(
        now_seconds=now_seconds,
        renewal=record.renewal + 1,
        settings=SETTINGS,
        facts=FACTS,
        reports={report.member.member_id: report for report in reports},
        observations=observations,
    )
    return attrs.evolve(view, **changes)  # type: ignore[arg-type]


def decide(view: WriterView, record: GroupRecord) -> GroupRecord:
    """Decide on the next record."""
    return next_record(record, record.writer, view)


def alpha(record: GroupRecord) -> SliceEntry:
    """Return the slice alpha."""
    return record.slices[ALPHA]


names = st.text(alphabet='abc', min_size=1, max_size=3).map(MemberId)


@settings(derandomize=True)
@given(ids=st.sets(names, min_size=2), index=st.integers(0))
def test_order_moves_few(ids: set[MemberId], index: int) -> None:
    """A member that leaves must not reorder the others."""
    ordered = order('key', ids)
    gone = ordered[index % len(ordered)]
    assert order('key', ids - {gone}) == [one for one in ordered if one != gone]


def test_records_survive_json() -> None:
    """A writer that reads its own record differently would undo itself."""
    record = group(
        held_slice('a1', 'b1', former=(MemberId('c1'),), renamed=4),
        member('a1', leaving=True),
        member('b-front'),
    )
    assert decode_record(encode_record(record)).unwrap() == record


@pytest.mark.parametrize(
    'body',
    [b'', b'null', b'[]', b'{}', b'\xff', b'{"renewal":"x"}', b'[' * 99999],
)
def test_malformed_records_are_refused(body: bytes) -> None:
    """A damaged object must not end a daemon."""
    assert decode_record(body) == Failure(ResultCode.bad_message)


HOLDER = member('a1')
DEPUTY = member('b1')
TENURE = SliceEpoch(ALPHA, 3)
ONE_WORD = frozenset(((DEPUTY.member_id, TENURE),))
OLD_WORD = frozenset(((DEPUTY.member_id, SliceEpoch(ALPHA, 2)),))


@pytest.mark.parametrize(
    ('deputies', 'former', 'changes', 'allowed'),
    [
        ('', '', {}, True),
        ('', '', {'now_seconds': LAPSE_SECONDS - 0.01}, False),
        ('b1', '', {}, False),
        ('b1', '', {'renounced': ONE_WORD}, True),
        ('b1 c1', '', {'renounced': ONE_WORD}, True),
        ('b1', '', {'renounced': OLD_WORD}, False),
        ('b1', 'c1', {'renounced': ONE_WORD}, False),
        ('b1', 'b1 c1', {'renounced': ONE_WORD}, True),
        ('b1', '', {'absent_hosts': {'a1'}}, False),
        ('b1', '', {'absent_hosts': {'a1', 'b1'}}, True),
        ('b1', 'c1', {'absent_hosts': {'a1', 'b1'}}, False),
        ('b2', '', {'absent_hosts': {'b2'}}, True),
        ('b1 b2', '', {'absent_hosts': {'b1'}}, False),
    ],
)
def test_takeover_conditions(
    deputies: str, former: str, changes: Mapping[str, object], allowed: bool
) -> None:
    """A takeover that comes early gives two relays the same slice.

    In the last two rows a newer member listens at the holder's address.
    """
    entry = held_slice('a1', *deputies.split(), former=tuple(former.split()))
    others = [member(one) for one in ('b1', 'b2', 'c1', 'w1')]
    if 'b2' in deputies:
        others.append(member('a2', address='a1:1', joined=4))
    record = group(entry, HOLDER, *others)
    given_changes = {'now_seconds': LAPSE_SECONDS, **changes}
    view = view_of(record, [], **given_changes)  # type: ignore[arg-type]
    assert may_take_over(entry, record, view) is allowed


def test_a_renewal_ends_a_takeover() -> None:
    """A holder that reports in the same write must keep its slice."""
    record = group(held_slice('a1'), HOLDER, DEPUTY)
    view = view_of(record, [beat(HOLDER)], now_seconds=LAPSE_SECONDS)
    assert alpha(decide(view, record)).holder == 'a1'


def test_a_takeover_prefers_relay_deputies() -> None:
    """Any other relay would start with cold replicas."""
    others = [member(f'{one}1') for one in 'cdefgh']
    for deputy in others:
        record = group(held_slice('a1', deputy.member_id), HOLDER, *others)
        view = view_of(
            record,
            [beat(one) for one in others],
            now_seconds=LAPSE_SECONDS,
            renounced=frozenset(((deputy.member_id, TENURE),)),
        )
        taken = alpha(decide(view, record))
        assert (taken.holder, taken.epoch) == (deputy.member_id, 4)


@pytest.mark.parametrize(
    ('others', 'held_domains', 'chosen'),
    [
        ('b1 c1', '', {'b1', 'c1'}),
        ('b-front c-front', '', {'b-front', 'c-front'}),
        ('b-front a2 c1', '', {'a2', 'c1'}),
        ('a2 b1 c1', '', {'b1', 'c1'}),
        ('b1 b2 a2', '', {'b1', 'a2', 'b2'}),
        ('b1 c1 d-front', 'c', {'b1', 'd-front'}),
        ('b1', '', {'b1'}),
    ],
)
def test_choice_of_deputies(
    others: str, held_domains: str, chosen: set[str]
) -> None:
    """Deputies in the holder's domain, or fronts, may fail it."""
    members = [HOLDER, *map(member, others.split())]
    record = group(held_slice('a1'), *members)
    facts = attrs.evolve(FACTS, held_domains=frozenset(held_domains))
    view = view_of(record, [beat(one) for one in members], facts=facts)
    deputies = alpha(decide(view, record)).deputies
    assert len(deputies) == min(2, len(members) - 1)
    assert set(deputies) <= chosen


def test_dead_deputies_are_renamed_once() -> None:
    """The holder may rely on the former ones until it confirms."""
    members = [HOLDER, DEPUTY, member('c1'), member('d1')]
    record = group(held_slice('a1', 'b1', 'c1'), *members)
    reports = [beat(HOLDER), beat(members[2]), beat(members[3])]
    renamed = decide(view_of(record, reports, now_seconds=3), record)
    assert set(alpha(renamed).deputies) == {'c1', 'd1'}
    assert alpha(renamed).former == ('b1', 'c1')

    unconfirmed = decide(view_of(renamed, reports), renamed)
    assert alpha(unconfirmed).former == ('b1', 'c1')
    reports[0] = beat(HOLDER, renewal=6)
    confirmed = decide(view_of(renamed, reports), renamed)
    assert alpha(confirmed).former == ()


def test_deputies_stay_while_the_holder_is_silent() -> None:
    """A silent holder cannot learn whom it must ask."""
    members = [HOLDER, DEPUTY, member('c1')]
    record = group(held_slice('a1', 'b1'), *members)
    view = view_of(record, [beat(members[2])], now_seconds=3)
    assert alpha(decide(view, record)).deputies == ('b1',)


def test_renouncing_starts_a_new_tenure() -> None:
    """A deputy that renounced could otherwise never promise again."""
    record = group(held_slice('a1', 'b1'), HOLDER, DEPUTY)
    reports = [beat(HOLDER), beat(DEPUTY)]
    view = view_of(record, reports, renounced=ONE_WORD)
    entry = alpha(decide(view, record))
    assert (entry.holder, entry.epoch) == ('a1', 4)
    assert (entry.deputies, entry.former) == (('b1',), ())


@pytest.mark.parametrize(
    ('relays', 'held_domains', 'possible'),
    [
        ('a1 b1', '', {'a1', 'b1'}),
        ('a1 b1', 'b', {'a1'}),
        ('a1 b1', 'ab', {'a1', 'b1'}),
        ('a1 x-front', '', {'a1'}),
        ('x-front', '', {''}),
    ],
)
def test_choice_of_holders(
    relays: str, held_domains: str, possible: set[str]
) -> None:
    """A front serves no slice; a domain taken out should serve none."""
    members = [member(one) for one in relays.split()]
    record = group(None, *members)
    facts = attrs.evolve(FACTS, held_domains=frozenset(held_domains))
    view = view_of(record, [beat(one) for one in members], facts=facts)
    assert alpha(decide(view, record)).holder in possible


def test_a_leaving_relay_hands_everything_over() -> None:
    """A planned stop must not wait for leases to lapse."""
    members = [HOLDER, DEPUTY, member('c1')]
    record = group(held_slice('a1', 'b1'), *members)
    reports = [beat(HOLDER, leaving=True), beat(DEPUTY), beat(members[2])]
    leaving = decide(view_of(record, reports), record)
    successor = alpha(leaving).successor
    assert successor in {'b1', 'c1'}

    reports[0] = beat(HOLDER, leaving=True, released=(TENURE,))
    released = alpha(decide(view_of(leaving, reports), leaving))
    assert (released.holder, released.epoch) == (successor, 4)
    assert 'a1' not in released.named


@pytest.mark.parametrize(
    ('successor_changes', 'deputies', 'holder'),
    [
        ({'leaving': True}, (), 'a1'),
        ({'leaving': True}, ('c1',), 'c1'),
        ({}, (), 'b1'),
    ],
)
def test_a_released_slice_has_a_holder(
    successor_changes: dict[str, bool], deputies: tuple[str, ...], holder: str
) -> None:
    """A successor that stops before the slice is its own must cost nothing.

    A slice without a holder is reported by no relay, and fronts refuse.
    """
    members = [HOLDER, DEPUTY, member('c1')][: 2 + len(deputies)]
    entry = held_slice('a1', *deputies, successor=MemberId('b1'))
    record = group(entry, *members)
    reports = [beat(one) for one in members]
    reports[0] = beat(HOLDER, released=(TENURE,))
    reports[1] = beat(DEPUTY, **successor_changes)
    decided = alpha(decide(view_of(record, reports), record))
    assert (decided.holder, decided.epoch) == (holder, 4)


@pytest.mark.parametrize(
    ('number', 'now_seconds', 'successor'),
    [(2, 3, ''), (1, 2.9, ''), (1, 3, 'b1')],
)
def test_a_relay_without_configuration_hands_over(
    number: int, now_seconds: float, successor: str
) -> None:
    """Its leases lapse, because they need the newest configuration."""
    behind = attrs.evolve(HOLDER, configuration_number=number)
    current = attrs.evolve(DEPUTY, configuration_number=2)
    record = attrs.evolve(
        group(held_slice('a1', 'b1'), behind, current), configuration_number=2
    )
    facts = attrs.evolve(FACTS, number=2)
    reports = [beat(behind, configuration_number=number), beat(current)]
    view = view_of(record, reports, now_seconds=now_seconds, facts=facts)
    assert alpha(decide(view, record)).successor == successor


def test_a_joining_relay_gets_slices_by_handover() -> None:
    """A move without handover would make warm replicas cold."""
    ids = [SliceId(f's/{index}') for index in range(40)]
    record = group(None, HOLDER, DEPUTY).with_slices(
        held_slice('a1', 'b1', slice_id=one) for one in ids
    )
    facts = attrs.evolve(FACTS, slice_ids=frozenset(ids))
    view = view_of(record, [beat(HOLDER), beat(DEPUTY)], facts=facts)
    slices = decide(view, record).slices.values()
    assert {entry.holder for entry in slices} == {'a1'}
    moving = [entry for entry in slices if entry.successor]
    assert len(moving) == SETTINGS.max_handovers
    silent = decide(view_of(record, [beat(HOLDER)], facts=facts), record)
    assert not any(one.successor for one in silent.slices.values())


@pytest.mark.parametrize(
    ('number', 'released', 'stays'),
    [(1, (), True), (1, (TENURE,), False), (0, (TENURE,), True)],
)
def test_slices_are_dropped_when_given_up(
    number: int, released: tuple[SliceEpoch, ...], stays: bool
) -> None:
    """The holder may still serve shards that another slice has now."""
    record = group(held_slice('a1'), HOLDER, DEPUTY)
    facts = attrs.evolve(FACTS, number=number, slice_ids=frozenset())
    reports = [beat(HOLDER, released=released), beat(DEPUTY)]
    decided = decide(view_of(record, reports, facts=facts), record)
    assert (ALPHA in decided.slices) is stays


def test_a_slice_that_returns_gets_a_higher_epoch() -> None:
    """Promises of its earlier life must not count again."""
    record = attrs.evolve(group(None, HOLDER), renewal=70)
    assert alpha(decide(view_of(record, [beat(HOLDER)]), record)).epoch > 70


def test_silent_members_expire_unless_named() -> None:
    """The address of a dead holder tells whether its process ended."""
    record = group(held_slice('a1', 'b1'), HOLDER, DEPUTY, member('c1'))
    view = view_of(record, [], now_seconds=LAPSE_SECONDS)
    assert set(decide(view, record).members) == {'a1', 'b1'}


def test_a_full_group_refuses_members() -> None:
    """A record that grows without bound would stop all renewals."""
    full = attrs.evolve(SETTINGS, max_members=2)
    record = group(None, HOLDER, DEPUTY)
    reports = [beat(HOLDER), beat(DEPUTY), beat(member('c1'))]
    view = view_of(record, reports, settings=full)
    assert set(decide(view, record).members) == {'a1', 'b1'}


def attempt_of(writer: GroupWriter, now_seconds: float) -> GroupRecord:
    """Return the record of the next attempt."""
    return writer.prepare({}, FACTS, frozenset(), now_seconds).record


def test_attempts_are_settled_by_their_number() -> None:
    """A lost reply must be neither a success nor a failure by guess."""
    record = group(None, HOLDER, DEPUTY)
    writer = GroupWriter(HOLDER.member_id, SETTINGS)
    writer.begin(StoredRecord(record, 7), 0)
    lost = writer.prepare({}, FACTS, frozenset(), 0)
    other = attrs.evolve(lost.record, writer=DEPUTY.member_id)
    found = (
        (StoredRecord(record, 6), Settlement.unknown),
        (StoredRecord(record, 7), Settlement.not_written),
        (StoredRecord(other, 8), Settlement.deposed),
        (StoredRecord(lost.record, 8), Settlement.written),
    )
    assert attempt_of(writer, 0).renewal == lost.record.renewal + 1
    for stored, settlement in found:
        assert writer.settle(lost, stored, 1) is settlement


def test_takeovers_wait_after_an_outage() -> None:
    """Members need time to report before they are taken for dead."""
    record = group(held_slice('a1'), DEPUTY, HOLDER)
    writer = GroupWriter(DEPUTY.member_id, SETTINGS)
    writer.begin(StoredRecord(record, 7), 0)
    reports = {DEPUTY.member_id: beat(DEPUTY)}
    after = writer.prepare(reports, FACTS, frozenset(), 60)
    assert alpha(after.record).holder == 'a1'
    for step in range(6):
        after = writer.prepare(reports, FACTS, frozenset(), 60 + step)
        writer.note_written(after, 8 + step, 60 + step)
    assert alpha(after.record).holder == 'b1'


def test_missing_vms_must_have_been_missing() -> None:
    """The list lags, and one without this host does not list daemons."""
    evidence = VmEvidence()
    evidence.see_listing({'w'}, 'w', [HOLDER], 0)
    assert evidence.absent(4, 3.9) == frozenset()
    evidence.see_listing({'w'}, 'w', [HOLDER], 4)
    assert evidence.absent(4, 4) == {'a1'}
    evidence.see_listing(set(), 'w', [HOLDER], 5)
    assert evidence.absent(0, 5) == frozenset()
