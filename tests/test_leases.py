"""Test that no two relays use one slice for cold replicas at once."""

import itertools
from collections.abc import Callable

import attrs
import pytest
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from dragonflyramp.members import (
    MembershipSettings,
    _assignments,
    _deputies,
    _settled,
    _takeovers,
)
from dragonflyramp.members._groups import GroupRecord, SliceEntry
from dragonflyramp.members._leases import NEVER, HolderLeases, tenure_of
from dragonflyramp.members._promises import DeputyPromises
from dragonflyramp.members._writer_views import WriterView
from tests.standins.lease_world import (
    RELAYS,
    Covered,
    Mode,
    TwoUsers,
    World,
    run_period,
    run_periods,
)

WELL = (Mode.well,) * 4

#: Longer than the period between promises, far shorter than the lapse.
EARLY_SECONDS = 1.2

indexes = st.integers(0, RELAYS - 1)
counts = st.integers(1, 6)
# Members that are well keep the group working between the faults.
modes = st.sampled_from((*Mode, Mode.well, Mode.well, Mode.well))
# For the holder of the first slice, its two deputies and all others.
by_roles = st.tuples(modes, modes, modes, modes)


class LeaseMachine(RuleBasedStateMachine):
    """Run holders, deputies and writers through faults of all kinds."""

    def __init__(self) -> None:
        """Start relays without a group."""
        super().__init__()
        self.world = World()

    @initialize()
    def settle_down(self) -> None:
        """Let the group share out its slices."""
        run_periods(self.world, 4, WELL)

    @invariant()
    def has_one_user(self) -> None:
        """Check that no two relays use one slice."""
        self.world.check()

    @rule(count=counts, by_role=by_roles)
    def run_with_faults(self, count: int, by_role: tuple[Mode, ...]) -> None:
        """Run periods with faults of members."""
        run_periods(self.world, count, by_role)

    @rule(count=counts, by_role=by_roles)
    def run_in_outage(self, count: int, by_role: tuple[Mode, ...]) -> None:
        """Run periods in which the platform is down too."""
        self.world.is_up = False
        run_periods(self.world, count, by_role)
        self.world.is_up = True

    @rule(count=counts)
    def run_well(self, count: int) -> None:
        """Run periods without new faults."""
        run_periods(self.world, count, WELL)

    @rule(seconds=st.sampled_from((0.25, 0.5, 2.5)))
    def advance(self, seconds: float) -> None:
        """Let time pass in which nobody does anything."""
        self.world.advance(seconds)

    @rule(one=indexes, other=indexes, is_late=st.booleans())
    def exchange(self, one: int, other: int, is_late: bool) -> None:
        """Let two members act between the periods."""
        first, second = (self.world.processes[at] for at in (one, other))
        self.world.probe(first, second)
        self.world.beat(first)
        self.world.promise(first, second)
        if second.is_writer:
            self.world.write(second, is_late=is_late, is_lost=True)

    @rule(index=indexes, is_paused=st.booleans())
    def pause(self, index: int, is_paused: bool) -> None:
        """Pause a process, or let a paused one go on."""
        self.world.processes[index].is_paused = is_paused

    @rule(index=indexes)
    def restart(self, index: int) -> None:
        """Replace a process by a new one at the same address."""
        self.world.processes[index] = self.world.make_process(index)

    @rule(index=indexes, is_leaving=st.booleans())
    def leave(self, index: int, is_leaving: bool) -> None:
        """Let a process release its slices."""
        table = self.world.processes[index].table
        table.is_releasing_all = is_leaving

    @rule(index=indexes)
    def contend(self, index: int) -> None:
        """Let a process become the writer, and late writes land after."""
        self.world.start_writer(self.world.processes[index])
        while self.world.late_writes:
            self.world.store(self.world.late_writes.pop())

    @rule()
    def change_configuration(self) -> None:
        """Accept a change that moves the shard to the other slice."""
        self.world.number += 1


#: Without it the names in this file would decide what is searched.
SEED = 1
SEARCH = settings(
    max_examples=120,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


def test_no_two_relays_use_one_slice() -> None:
    """Two owners would load a cold replica with more than it can handle."""
    run_state_machine_as_test(seed(SEED)(LeaseMachine), settings=SEARCH)


def test_the_search_finds_two_users(monkeypatch: pytest.MonkeyPatch) -> None:
    """A search that cannot fail would prove nothing."""
    monkeypatch.setattr(_takeovers, '_extension_lapsed', lambda *_: True)
    naive = settings(SEARCH, phases=(Phase.generate,), print_blob=False)
    with pytest.raises(TwoUsers):
        run_state_machine_as_test(seed(SEED)(LeaseMachine), settings=naive)


@attrs.frozen
class Scenario:
    """Describe faults by process, and the rule that they put to the test.

    `modes` has one letter for each process: well, silent, deaf, unheard,
    late or apart. `naive` replaces the rule by a weaker one.
    """

    rule: str
    naive: tuple[object, str, Callable[..., object]]
    modes: tuple[tuple[int, str], ...]
    first_id: int = 0
    is_leaving: bool = False
    is_changed: bool = False


def renounce_early(
    promises: DeputyPromises, longest_seconds: float, now_seconds: float
) -> None:
    """Renounce what was promised more than EARLY_SECONDS ago."""
    for tenure in promises._named:
        silent_seconds = now_seconds - promises._last_seconds(tenure)
        if silent_seconds > EARLY_SECONDS:
            promises._renounced[tenure.slice_id] = tenure.epoch


def extend_by_any(leases: HolderLeases, entry: SliceEntry) -> float:
    """Extend a lease by the latest exchange with one deputy."""
    starts = leases._promised.get(tenure_of(entry), {})
    return max(starts.values(), default=NEVER)


def rename_at_once(
    entry: SliceEntry, record: GroupRecord, view: WriterView
) -> SliceEntry:
    """Rename deputies and forget the former ones."""
    renamed = _deputies.with_renamed_deputies(entry, record, view)
    return attrs.evolve(renamed, former=())


def count_from_arrival(covered: Covered, now_seconds: float) -> None:
    """Count a lease from when the reply arrives."""
    covered.recipient.adopt(covered.record, now_seconds)
    covered.recipient.table.holder.note_renewal(
        now_seconds, shown=1, adopted=covered.recipient.number
    )


SCENARIOS = (
    Scenario(
        'a takeover waits for a deputy to renounce',
        (_takeovers, '_extension_lapsed', lambda *_: True),
        ((6, 'wwaaa'),),
    ),
    Scenario(
        'a takeover waits for the term',
        (MembershipSettings, 'lapse_seconds', lambda *_: 1.8),
        ((3, 'wwsww'),),
    ),
    Scenario(
        'a deputy renounces only after its own last promise lapsed',
        (DeputyPromises, 'renounce', renounce_early),
        ((3, 'wwuww'), (3, 'wwaww')),
    ),
    Scenario(
        'all deputies extend a lease',
        (HolderLeases, '_extended', extend_by_any),
        ((9, 'wwaaw'),),
    ),
    Scenario(
        'the former deputies count until the holder knows the new ones',
        (_assignments, 'with_renamed_deputies', rename_at_once),
        ((4, 'wwduu'), (6, 'wwaaa')),
    ),
    Scenario(
        'a lease counts from the start of its heartbeat',
        (Covered, 'arrive', count_from_arrival),
        ((1, 'wwlww'), (4, 'wwsww'), (4, 'wwwww')),
    ),
    Scenario(
        'a release waits for the requests in flight',
        (MembershipSettings, 'drain_seconds', lambda *_: 0),
        ((3, 'wwwww'),),
        is_leaving=True,
    ),
    Scenario(
        'a moved shard waits for the requests in flight',
        (MembershipSettings, 'settle_seconds', lambda *_: 0),
        ((3, 'wwwww'),),
        is_changed=True,
    ),
    Scenario(
        'a moved shard waits for every holder to report the number',
        (_settled, 'reflected_number', lambda one: one.configuration_number),
        ((9, 'awawa'),),
        first_id=9,
        is_changed=True,
    ),
)


def play(scenario: Scenario) -> None:
    """Run a scenario against a settled group."""
    world = World(ids=itertools.count(scenario.first_id))
    run_periods(world, 6, WELL)
    world.number += scenario.is_changed
    world.processes[2].table.is_releasing_all = scenario.is_leaving
    letters = {mode.name[0]: mode for mode in Mode if mode is not Mode.stale}
    for count, modes in scenario.modes:
        by_process = [letters[letter] for letter in modes]
        for _ in range(count):
            run_period(world, dict(zip(world.processes, by_process)))


@pytest.mark.parametrize('scenario', SCENARIOS, ids=lambda one: one.rule)
def test_each_rule_is_needed(
    scenario: Scenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A rule that is weakened must not go unnoticed."""
    play(scenario)
    monkeypatch.setattr(*scenario.naive)
    with pytest.raises(TwoUsers):
        play(scenario)
