"""Test the bound of quotas with a state machine.

It drives four daemons with lost, late, repeated and reordered messages, pauses,
restarts, different numbers of known daemons, and different hubs.
"""

import random
from typing import TypeAlias

import attrs
import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from dragonflyramp.quotas import (
    GrantClient,
    GrantReply,
    GrantRequest,
    KnownDaemons,
    LeaseOffer,
    LeaseStamp,
    QuotaLimit,
    QuotaNode,
)
from dragonflyramp.quotas._accounts import TenantAccount
from dragonflyramp.quotas._choices import is_server
from dragonflyramp.quotas._limits import (
    DEMAND_VALIDITY_SECONDS,
    bucket_capacity,
)
from dragonflyramp.quotas._pools import UnitPool
from tests.quota_models import BOUNDS, create_node

_NAMES = tuple(f'front-{index}' for index in range(4))
_TENANT = 'tenant'
#: Rates with which mistakes of one bucket or one second exceed the bound.
_LIMITS = (QuotaLimit(40, 0), QuotaLimit(5, 30), QuotaLimit(20, 10))
_CALM_STEP_SECONDS = 0.5
_CALM_SECONDS = 6
_ROUNDING_ERROR = 1e-6

_counts = strategies.integers(0, 60)
_indexes = strategies.integers(0, len(_NAMES) - 1)
_Message: TypeAlias = (
    LeaseOffer | LeaseStamp | GrantRequest | tuple[GrantReply, float]
)


class _NoClient(GrantClient):
    async def request_grants(
        self, hub_name: str, request: GrantRequest
    ) -> None:
        """Send nothing: the machine passes the messages."""


@attrs.define(eq=False)
class _ModelFront:
    name: str
    node: QuotaNode
    known: KnownDaemons
    account: TenantAccount = attrs.field(
        factory=lambda: TenantAccount(UnitPool(_TENANT))
    )
    is_paused: bool = False


@attrs.define(eq=False)
class _Letter:
    sender: _ModelFront
    receiver: _ModelFront
    message: _Message
    #: Process of the receiver that gets a reply; replies do not outlive it.
    node: QuotaNode | None = None
    #: Time of an ask on the clock of the front that sent it.
    asked_at_seconds: float = 0


class QuotaMachine(RuleBasedStateMachine):
    """Use units as fast as possible while messages and daemons fail."""

    def __init__(self) -> None:
        """Start four daemons that know each other."""
        super().__init__()
        self.now_seconds: float = 0
        self.limit = _LIMITS[0]
        self.offsets = {
            name: index * 1000.0 for index, name in enumerate(_NAMES)
        }
        self.letters: list[_Letter] = []
        self.sent_at_seconds: list[float] = []
        self.fronts = [
            _ModelFront(
                name, self._create_node(name), KnownDaemons(4, True, _NAMES[:2])
            )
            for name in _NAMES
        ]

    @initialize(limit=strategies.sampled_from(_LIMITS))
    def start(self, limit: QuotaLimit) -> None:
        """Choose the limit of the tenant."""
        self.limit = limit

    @rule(seconds=strategies.sampled_from((0.01, 0.2, 0.5, 1, 3, 5)))
    def advance(self, seconds: float) -> None:
        """Let time pass, in which nothing happens."""
        self.now_seconds += seconds

    @rule(index=_indexes, hub_index=_indexes)
    def poll(self, index: int, hub_index: int) -> None:
        """Send the offer of a poll, which arrives later or never."""
        self._poll(self.fronts[index], self.fronts[hub_index])

    @rule(index=_indexes, hub_index=_indexes, wanted=_counts, ahead=_counts)
    def ask(self, index: int, hub_index: int, wanted: int, ahead: int) -> None:
        """Ask any daemon for units, as many as sixty callers need."""
        self._ask(self.fronts[index], wanted, ahead, self.fronts[hub_index])

    @rule(
        position=strategies.integers(0, 30), is_repeated=strategies.booleans()
    )
    def deliver(self, position: int, is_repeated: bool) -> None:
        """Deliver any message that is under way, perhaps not the last time."""
        if not self.letters:
            return
        letter = self.letters[position % len(self.letters)]
        if not is_repeated:
            self.letters.remove(letter)
        self._deliver(letter)

    @rule(position=strategies.integers(0, 30))
    def lose(self, position: int) -> None:
        """Lose a message."""
        if self.letters:
            self.letters.pop(position % len(self.letters))

    @rule(index=_indexes)
    def use_units(self, index: int) -> None:
        """Send requests with all units that a front holds."""
        self._use_units(self.fronts[index])

    @rule(index=_indexes)
    def pause(self, index: int) -> None:
        """Pause a daemon, or let it run on."""
        front = self.fronts[index]
        front.is_paused = not front.is_paused

    @rule(index=_indexes)
    def restart(self, index: int) -> None:
        """Restart a daemon and its machine, whose clock begins again."""
        front = self.fronts[index]
        self.offsets[front.name] = -self.now_seconds
        front.node = self._create_node(front.name)
        front.account = TenantAccount(UnitPool(_TENANT))
        front.is_paused = False

    @rule(
        index=_indexes,
        count=strategies.integers(len(_NAMES), len(_NAMES) + 2),
        hub_names=strategies.sets(strategies.sampled_from(_NAMES)),
        is_registered=strategies.sampled_from((True, True, True, False)),
    )
    def learn(
        self, index: int, count: int, hub_names: set[str], is_registered: bool
    ) -> None:
        """Change what a daemon knows of the others."""
        self.fronts[index].known = KnownDaemons(
            count, is_registered, tuple(sorted(hub_names))
        )

    @rule(
        hub_names=strategies.sets(strategies.sampled_from(_NAMES), min_size=1),
        seconds=strategies.sampled_from((1, _CALM_SECONDS)),
        is_using=strategies.booleans(),
    )
    def run_calmly(
        self, hub_names: set[str], seconds: float, is_using: bool
    ) -> None:
        """Let daemons that run agree on the hubs; ask all for units.

        The other daemons get no offers, as if they were cut off from these.
        """
        running = [front for front in self.fronts if not front.is_paused]
        for learning in running:
            learning.known = KnownDaemons(
                len(_NAMES), True, tuple(sorted(hub_names))
            )
        for _ in range(round(seconds / _CALM_STEP_SECONDS)):
            self.now_seconds += _CALM_STEP_SECONDS
            for front in running:
                self._run_front(front, hub_names, is_using=is_using)
            self._check()

    @invariant()
    def check_shares(self) -> None:
        """Each share is leased to one hub at a time."""
        leased: dict[str, float] = dict.fromkeys(_NAMES, 0)
        for front in self.fronts:
            leases = front.node.server.leases
            for process_id, lease in leases._leases.items():  # noqa: SLF001
                if lease.is_valid(self._now(front.name)) and is_server(
                    front.name, _TENANT, lease.hub_lists
                ):
                    leased[process_id.partition('/')[0]] += lease.share
        assert max(leased.values()) <= 1 / len(_NAMES) + _ROUNDING_ERROR

    @invariant()
    def check_units(self) -> None:
        """Buckets and fronts hold the capacity, and what was just granted."""
        held: float = 0
        for front in self.fronts:
            now_seconds = self._now(front.name)
            held += front.account.pool.count(now_seconds)
            server = front.node.server
            bucket = server._buckets.get(_TENANT)  # noqa: SLF001
            if bucket is not None:
                server._refill(_TENANT, bucket, now_seconds)  # noqa: SLF001
                held += bucket.level
        assert held <= (
            bucket_capacity(self.limit, BOUNDS)
            + self.limit.rate_per_second * DEMAND_VALIDITY_SECONDS
            + _ROUNDING_ERROR
        )

    @invariant()
    def check_windows(self) -> None:
        """Compare the last window with the bound."""
        starts_at_seconds = self.now_seconds - BOUNDS.window_seconds
        self.sent_at_seconds = [
            sent_at_seconds
            for sent_at_seconds in self.sent_at_seconds
            if sent_at_seconds > starts_at_seconds
        ]
        limit = self.limit
        window_units = limit.rate_per_second * BOUNDS.window_seconds
        proven = (
            bucket_capacity(limit, BOUNDS)
            + window_units
            + limit.rate_per_second * DEMAND_VALIDITY_SECONDS
        )
        assert (
            proven
            <= (window_units + limit.burst) * (1 + BOUNDS.overshoot)
            + BOUNDS.slack
        )
        assert len(self.sent_at_seconds) <= proven

    def _check(self) -> None:
        self.check_shares()
        self.check_units()
        self.check_windows()

    def _run_front(
        self, front: _ModelFront, hub_names: set[str], *, is_using: bool
    ) -> None:
        front.node.refresh(self._now(front.name))
        for hub in self.fronts:
            if hub.name in hub_names:
                self._exchange(self._poll(front, hub))
            wanted = 20 if is_using else 3
            self._exchange(self._ask(front, wanted, 40, hub, offers=False))
        if is_using:
            self._use_units(front)

    def _create_node(self, name: str) -> QuotaNode:
        return create_node(
            name,
            lambda: self._now(name),
            lambda: self.fronts[_NAMES.index(name)].known,
            _NoClient(),
            {},
        )

    def _now(self, name: str) -> float:
        return self.now_seconds + self.offsets[name]

    def _poll(self, front: _ModelFront, hub: _ModelFront) -> _Letter | None:
        if front.is_paused or front is hub:
            return None
        front.node.refresh(self._now(front.name))
        offer = front.node.build_offer(hub.name)
        stamp = LeaseStamp('', 0)
        return self._post(_Letter(front, hub, offer or stamp))

    def _ask(
        self,
        front: _ModelFront,
        wanted: int,
        ahead: int,
        hub: _ModelFront,
        *,
        offers: bool = True,
    ) -> _Letter | None:
        if front.is_paused:
            return None
        now_seconds = self._now(front.name)
        ask = attrs.evolve(
            front.account.build_ask(self.limit, now_seconds),
            wanted=wanted,
            ahead=ahead,
        )
        request = GrantRequest(
            offer=front.node.build_offer(hub.name) if offers else None,
            asks=(ask,),
            settlements=front.account.pool.pop_settlements(),
        )
        return self._post(
            _Letter(
                front,
                hub,
                request,
                front.node,
                now_seconds,
            )
        )

    def _post(self, letter: _Letter) -> _Letter:
        self.letters.append(letter)
        return letter

    def _exchange(self, letter: _Letter | None) -> None:
        """Deliver a message and the reply to it at once."""
        if letter is None:
            return
        known = list(self.letters)
        self.letters.remove(letter)
        self._deliver(letter)
        replies = [new for new in self.letters if new not in known]
        for reply in replies:
            self.letters.remove(reply)
            self._deliver(reply)

    def _deliver(self, letter: _Letter) -> None:
        front = letter.receiver
        if front.is_paused:
            return
        now_seconds = self._now(front.name)
        message = letter.message
        if isinstance(message, tuple):
            if letter.node is front.node:
                reply, asked_at_seconds = message
                front.node.record_stamp(letter.sender.name, reply.stamp)
                for grant in reply.grants:
                    front.account.apply_grant(
                        grant, asked_at_seconds, now_seconds
                    )
                # A call has one reply.
                letter.node = None
        elif isinstance(message, GrantRequest):
            reply = front.node.answer_request(message)
            self._post(
                _Letter(
                    front,
                    letter.sender,
                    (reply, letter.asked_at_seconds),
                    letter.node,
                )
            )
        else:
            self._answer_poll(letter, message)

    def _answer_poll(
        self, letter: _Letter, message: LeaseOffer | LeaseStamp
    ) -> None:
        """Apply an offer or a stamp; an empty stamp asks for one."""
        front = letter.receiver
        if isinstance(message, LeaseStamp) and message.process_id:
            front.node.record_stamp(letter.sender.name, message)
            return
        if isinstance(message, LeaseOffer):
            front.node.accept_offer(message)
        offer = message if isinstance(message, LeaseOffer) else None
        stamp = front.node.build_stamp(offer)
        assert stamp is not None
        self._post(_Letter(front, letter.sender, stamp))

    def _use_units(self, front: _ModelFront) -> None:
        if front.is_paused:
            return
        while front.account.pool.try_take(self._now(front.name)):
            self.sent_at_seconds.append(self.now_seconds)


def test_bound_holds_in_every_window() -> None:
    """No order of messages and failures may exceed the bound of a window."""
    run_state_machine_as_test(
        QuotaMachine,
        settings=settings(
            max_examples=200, stateful_step_count=40, deadline=None
        ),
    )


@pytest.mark.parametrize('seed', range(10))
def test_long_random_walks_keep_the_bound(seed: int) -> None:
    """Mistakes that need many steps must show too."""
    rng = random.Random(seed)
    machine = QuotaMachine()
    machine.start(_LIMITS[seed % len(_LIMITS)])
    for _ in range(300):
        _step(machine, rng)
        machine._check()  # noqa: SLF001


def _step(machine: QuotaMachine, rng: random.Random) -> None:
    index = rng.randrange(len(_NAMES))
    other_index = rng.randrange(len(_NAMES))
    hub_names = set(rng.sample(_NAMES, rng.choice((1, 2, 2))))
    calm_seconds = rng.choice((1, 2, _CALM_SECONDS))
    is_likely = rng.randrange(2) == 0
    steps = (
        lambda: machine.run_calmly(hub_names, calm_seconds, is_likely),
        lambda: machine.advance(rng.choice((0.01, 0.2, 0.5, 1, 3))),
        lambda: machine.poll(index, other_index),
        lambda: machine.deliver(rng.randrange(30), is_likely),
        lambda: machine.ask(index, other_index, 40, 30),
        lambda: machine.restart(index),
        lambda: machine.pause(index),
        lambda: machine.use_units(index),
    )
    rng.choices(steps, (6, 4, 4, 8, 4, 1, 1, 2))[0]()
