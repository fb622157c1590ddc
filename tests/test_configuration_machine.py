"""Search for faults and exchanges that revert a configuration."""

import asyncio
from collections.abc import Collection, Coroutine

import attrs
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from dragonflyramp.models import MemberId
from tests.standins.keepers import (
    SETTINGS,
    Keeper,
    Times,
    group_record,
    look,
    make_keeper,
)
from tests.standins.member_calls import Links
from tests.standins.member_texts import parts_of, publish, root_of
from tests.standins.memory_objects import MemoryPlatform

_NAMES = 'abc'
_names = st.sampled_from(_NAMES)
_texts = st.sampled_from((['alpha'], ['alpha', 'beta'], ['beta'], ['gamma']))


@attrs.define(eq=False)
class Daemon:
    """Hold a daemon's keeper and what was seen of it after each step.

    `answered` is the number in the platform's last answer to it.
    """

    keeper: Keeper
    seen: int = 0
    answered: int = 0
    is_isolated: bool = True


class FaultMachine(RuleBasedStateMachine):
    """Let daemons start, stop and exchange texts while everything fails.

    The steps are those of the real tasks, and the machine sets the time.
    """

    def __init__(self) -> None:
        """Start all daemons after the second accepted change."""
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.platform = MemoryPlatform()
        self.links = Links()
        self.times = Times()
        self.running: dict[str, Daemon] = {}
        self.accepted: list[list[str]] = []
        self.accept(['alpha'])
        self.accept(['beta'])
        for name in _NAMES:
            self.start(name)
            self.look(name, is_stale=False)

    def run(self, step: Coroutine[object, object, object]) -> None:
        """Run one step to its end."""
        self.loop.run_until_complete(step)

    @invariant()
    def never_goes_back(self) -> None:
        """Check that each daemon has what was accepted under its number."""
        for daemon in self.running.values():
            one = daemon.keeper
            assert one.number >= daemon.seen
            daemon.seen = one.number
            assert one.number <= len(self.accepted)
            current = one.keeper.current
            if current is not None:
                expected = self.accepted[one.number - 1]
                assert current.number == one.number
                assert list(current.services) == expected

    @invariant()
    def ends_isolation_with_the_newest(self) -> None:
        """Check that isolation ended at the platform or at a peer.

        The platform answered with no higher number. The peer was not
        isolated before the step, and has the same number.
        """
        resumed = [
            name
            for name, daemon in self.running.items()
            if daemon.is_isolated
            and self.times.isolated(daemon.keeper) == [False]
        ]
        assert all(map(self._knows_newest, resumed))
        for daemon in self.running.values():
            daemon.is_isolated = self.times.isolated(daemon.keeper)[0]

    @rule(name=_names)
    def start(self, name: str) -> None:
        """Start a daemon, or replace it by a new one."""
        one = make_keeper(
            name, self.platform, self.links, tuple(_NAMES), self.times.clock
        )
        one.view.adopt(group_record(_NAMES))
        self.running[name] = Daemon(one)

    @rule(name=_names)
    def stop(self, name: str) -> None:
        """Stop a daemon."""
        self.running.pop(name, None)
        self.links.servers.pop(name, None)

    @rule(services=_texts)
    def accept(self, services: list[str]) -> None:
        """Accept a change at the platform."""
        self.accepted.append(services)
        publish(self.platform, len(self.accepted), services)

    @rule(seconds=st.sampled_from((0.05, 0.1, SETTINGS.isolation_seconds)))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.times.now_seconds += seconds

    @rule(name=_names, is_stale=st.booleans())
    def look(self, name: str, is_stale: bool) -> None:
        """Let a daemon try its sources; the platform's answer may be old."""
        for daemon in self._daemons(name):
            daemon.answered = len(self.accepted)
            if is_stale:
                daemon.answered = min(1, daemon.answered)
            faults = daemon.keeper.store.faults
            faults.stale_reads = int(is_stale)
            self.run(look(daemon.keeper))
            faults.stale_reads = 0

    @rule(name=_names, other=_names)
    def offer(self, name: str, other: str) -> None:
        """Let a daemon offer its text to another one."""
        for daemon in self._daemons(name):
            one = daemon.keeper
            if one.texts.text:
                offers = one.keeper._offers
                self.run(offers.send(MemberId(other), one.texts.text))

    @rule(name=_names, other=_names)
    def heartbeat(self, name: str, other: str) -> None:
        """Let a heartbeat show a number and count as contact."""
        if {name, other} <= set(self.running):
            one = self.running[other].keeper
            one.view.contacts.note_member()
            one.texts.hint(self.running[name].keeper.number, name)

    @rule(name=_names, age=st.integers(0, 3))
    def notify(self, name: str, age: int) -> None:
        """Let an operator's command, or an old script, send a text."""
        number = len(self.accepted) - age
        for daemon in self._daemons(name if number > 0 else ''):
            services = self.accepted[number - 1]
            offered = daemon.keeper.keeper.take_operator_offer(
                root_of(number, services), parts_of(services)
            )
            self.run(offered)

    @rule(names=st.sets(_names), is_down=st.booleans())
    def switch_platform(self, names: set[str], is_down: bool) -> None:
        """Cut daemons off from the platform, or connect them again."""
        for daemon in self._daemons(names):
            faults = daemon.keeper.store.faults
            faults.is_down = is_down

    @rule(name=_names)
    def cut_off(self, name: str) -> None:
        """Cut a daemon off from the others."""
        self.links.isolate(name, set(_NAMES))

    @rule()
    def heal(self) -> None:
        """Restore all links."""
        self.links.heal()

    def teardown(self) -> None:
        """Check that all reach the newest text after all faults."""
        self.heal()
        self.switch_platform(set(_NAMES), is_down=False)
        self.accept(['healed'])
        for name in _NAMES:
            if name not in self.running:
                self.start(name)
            self.look(name, is_stale=False)
        self.never_goes_back()
        self.loop.close()
        keepers = [daemon.keeper for daemon in self.running.values()]
        assert {one.number for one in keepers} == {len(self.accepted)}
        assert not any(self.times.isolated(*keepers))

    def _daemons(self, names: Collection[str]) -> list[Daemon]:
        """Give those of some daemons that run."""
        return [self.running[one] for one in names if one in self.running]

    def _knows_newest(self, name: str) -> bool:
        daemon = self.running[name]
        one = daemon.keeper
        if not one.store.faults.is_down and one.number == daemon.answered:
            return True
        return any(
            peer.keeper.number == one.number and not peer.is_isolated
            for other, peer in self.running.items()
            if frozenset((name, other)) not in self.links.cut
        )


def test_spread_with_faults() -> None:
    """A daemon that goes back reverts what an operator decided."""
    run_state_machine_as_test(
        FaultMachine,
        settings=settings(
            max_examples=150,
            stateful_step_count=40,
            derandomize=True,
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
