"""Hold what all fetches share: replicas, budgets, latencies, policies."""

import asyncio
import random
from collections.abc import Callable

import attrs

from dragonflyramp.backends._asks import Ask
from dragonflyramp.backends._budgets import Budget, BudgetBounds
from dragonflyramp.backends._choice import Choice, FastestChoice, Surroundings
from dragonflyramp.backends._connections_http import Ending
from dragonflyramp.backends._fetches import Attempt, Fetch
from dragonflyramp.backends._fleets import Fleet
from dragonflyramp.backends._hedging import Hedging, QuantileHedging
from dragonflyramp.backends._latencies import RouteLatencies
from dragonflyramp.backends._replicas import Replica
from dragonflyramp.messages import Reply
from dragonflyramp.routes import Route, ServicePolicy

#: A send that lost to a hedge may still answer for this long; its connection
#: then stays open and the replica's latency is known.
_LINGER_SECONDS = 0.25
#: Connections to a service that the configuration does not describe.
_DEFAULT_CONNECTIONS = 8


@attrs.frozen(kw_only=True)
class Policies:
    """Hold the policies that a measurement may exchange."""

    choice: Choice = attrs.field(factory=FastestChoice)
    hedging: Hedging = attrs.field(factory=QuantileHedging)


@attrs.define(eq=False, kw_only=True)
class Tier:
    """Send requests to the replicas of services."""

    fleet: Fleet
    clock: Callable[[], float]
    rng: random.Random
    failure_domain: str
    bounds: BudgetBounds
    #: Counts the daemons that may be sending, this one included.
    count_daemons: Callable[[float], int]
    policies: Policies = attrs.field(factory=Policies)
    _budgets: dict[str, Budget] = attrs.field(factory=dict)
    _latencies: dict[str, RouteLatencies] = attrs.field(factory=dict)

    def fetch(self, ask: Ask, service: str) -> Fetch:
        """Prepare the fetch of one service's part."""
        return Fetch(self, ask, service)

    def note_request(self, ask: Ask, now_seconds: float) -> None:
        """Count a caller's request for each service that it needs."""
        for service in ask.route.services:
            self._budget(service).note_request(now_seconds)

    def latencies_of(self, route: Route) -> RouteLatencies:
        """Give what is known of a route's latencies."""
        known = self._latencies.get(route.name)
        if known is None:
            known = RouteLatencies(route.target_ms)
            self._latencies[route.name] = known
        return known

    def hedge_delay_ms(self, route: Route) -> float | None:
        """Tell when a part of the route is asked of a second replica."""
        return self.policies.hedging.delay_ms(self.latencies_of(route))

    def choose(
        self, ask: Ask, service: str, tried: set[str], around: Surroundings
    ) -> Replica | None:
        """Choose a replica that was not tried yet."""
        policy = ask.table.services.get(service) or ServicePolicy(
            name=service, max_connections=_DEFAULT_CONNECTIONS
        )
        daemons = self.count_daemons(around.now_seconds)
        candidates = [
            one
            for one in self.fleet.candidates(
                policy, daemons, around.now_seconds
            )
            if one.entry.replica_id not in tried
        ]
        return self.policies.choice.choose(candidates, around, self.rng)

    def take_budget(
        self, service: str, now_seconds: float, *, is_hedge: bool
    ) -> bool:
        """Take one send beyond the first, if the budget allows it."""
        daemons = self.count_daemons(now_seconds)
        return self._budget(service).take(
            daemons, now_seconds, is_hedge=is_hedge
        )

    def note_reply(
        self, attempt: Attempt, reply: Reply, ask: Ask, now_seconds: float
    ) -> None:
        """Learn from a reply."""
        replica = attempt.replica
        if reply.load is not None:
            replica.note_load(reply.load, now_seconds)
        if reply.is_misdirected:
            replica.note_misdirected(now_seconds)
        elif reply.is_not_run:
            replica.note_error()
        elif reply.is_success:
            replica.note_success()
            self._note_latency(attempt, ask, now_seconds)
        else:
            replica.note_error()

    def note_failure(
        self, attempt: Attempt, ending: Ending, now_seconds: float
    ) -> None:
        """Learn from a send without a reply."""
        if ending is Ending.unreachable:
            attempt.replica.note_failure(now_seconds)
        else:
            attempt.replica.note_error()

    def leave(
        self,
        attempt: Attempt,
        ask: Ask,
        now_seconds: float,
        *,
        may_linger: bool,
    ) -> None:
        """Give up a send, after a while if it may still answer."""
        if attempt.send.written_seconds is None or not may_linger:
            _close(attempt)
            return
        self._note_latency(attempt, ask, now_seconds)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(_LINGER_SECONDS, _close, attempt)
        attempt.replica.note_start(attempt.send, attempt.started_seconds)
        attempt.send.outcome.add_done_callback(
            lambda _: self._finish_late(attempt, timer)
        )

    def _finish_late(
        self, attempt: Attempt, timer: asyncio.TimerHandle
    ) -> None:
        timer.cancel()
        attempt.replica.note_end(attempt.send)

    def _note_latency(
        self, attempt: Attempt, ask: Ask, now_seconds: float
    ) -> None:
        written_seconds = attempt.send.written_seconds
        if written_seconds is None:
            return
        latency_ms = (now_seconds - written_seconds) * 1000
        latencies = self.latencies_of(ask.route)
        ratio = latency_ms / max(1, latencies.typical_ms)
        attempt.replica.note_latency(ratio, now_seconds)
        if attempt.purpose == 'first':
            latencies.record(latency_ms)

    def _budget(self, service: str) -> Budget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = Budget(self.bounds)
            self._budgets[service] = budget
        return budget


def _close(attempt: Attempt) -> None:
    """Close the connection unless it went on to another send."""
    if not attempt.send.outcome.done():
        attempt.connection.close()
