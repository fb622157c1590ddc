"""Hold what all fetches share: replicas, budgets, latencies, policies."""

import asyncio
import random
from collections.abc import Callable

import attrs

from dragonflyramp.backends._asks import Ask
from dragonflyramp.backends._attempts import FIRST, RETRY, Attempt
from dragonflyramp.backends._budgets import Budgets
from dragonflyramp.backends._choice import (
    Choice,
    FastestChoice,
    Surroundings,
    expected_ms,
)
from dragonflyramp.backends._fetches import Fetch
from dragonflyramp.backends._fleets import Fleet
from dragonflyramp.backends._hedging import Hedging, QuantileHedging
from dragonflyramp.backends._latencies import Latencies, RouteLatencies
from dragonflyramp.backends._sends import Ending, Send
from dragonflyramp.backends._shares import Peers
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
    budgets: Budgets
    clock: Callable[[], float]
    rng: random.Random
    failure_domain: str
    #: Those that share the bounds with this daemon.
    peers: Peers
    policies: Policies = attrs.field(factory=Policies)
    latencies: Latencies = attrs.field(factory=Latencies)

    def fetch(self, ask: Ask, service: str) -> Fetch:
        """Prepare the fetch of one service's part."""
        return Fetch(self, ask, service)

    def hedge_delay_ms(self, route: Route) -> float | None:
        """Tell when a part of the route is asked of a second replica."""
        return self.policies.hedging.delay_ms(self.latencies.of(route))

    def take_budget(
        self, service: str, now_seconds: float, *, is_hedge: bool
    ) -> bool:
        """Take one send beyond the first, if the budget allows it."""
        budget = self.budgets.of(service)
        daemons = self.peers.counted()
        return budget.take(daemons, now_seconds, is_hedge=is_hedge)

    def start(
        self,
        ask: Ask,
        service: str,
        tried: set[str],
        purpose: str,
        now_seconds: float,
    ) -> Attempt | None:
        """Start a send to the best replica; a retry may go to the same one."""
        around = Surroundings(
            failure_domain=self.failure_domain,
            typical_ms=self.latencies.of(ask.route).typical_ms,
            now_seconds=now_seconds,
        )
        policy = ask.table.services.get(service) or ServicePolicy(
            name=service, max_connections=_DEFAULT_CONNECTIONS
        )
        candidates = self.fleet.candidates(policy, self.peers, now_seconds)
        untried = [
            one for one in candidates if one.entry.replica_id not in tried
        ]
        if untried or purpose != RETRY:
            candidates = untried
        replica = self.policies.choice.choose(candidates, around, self.rng)
        if replica is None:
            return None
        send = Send(
            request=ask.request,
            replica_id=replica.entry.replica_id,
            deadline_seconds=ask.deadline_seconds,
            outcome=asyncio.get_running_loop().create_future(),
        )
        self.fleet.cold_gate.note_send(replica, now_seconds)
        return Attempt(
            send=send,
            replica=replica,
            expected_ms=expected_ms(replica, around),
            connection=replica.connections.take(send, now_seconds),
            purpose=purpose,
            started_seconds=now_seconds,
        )

    def note_reply(
        self, attempt: Attempt, reply: Reply, ask: Ask, now_seconds: float
    ) -> None:
        """Learn from a reply."""
        replica = attempt.replica
        if reply.load is not None:
            replica.pace.note_load(reply.load, now_seconds)
        if reply.is_misdirected:
            replica.health.note_misdirected(now_seconds)
        elif reply.is_success:
            replica.health.note_success()
            _note_latency(self.latencies.of(ask.route), attempt, now_seconds)
        else:
            replica.health.note_error()

    def note_failure(
        self, attempt: Attempt, ending: Ending, now_seconds: float
    ) -> None:
        """Learn from a send without a reply."""
        if ending is Ending.unreachable:
            attempt.replica.health.note_failure(now_seconds)
        elif ending is not Ending.unsent:
            attempt.replica.health.note_error()

    def let_linger(
        self, attempt: Attempt, ask: Ask, now_seconds: float
    ) -> None:
        """Let a send that nobody waits for go on for a while."""
        _note_latency(self.latencies.of(ask.route), attempt, now_seconds)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(_LINGER_SECONDS, attempt.close)
        attempt.replica.running[attempt.send] = attempt.started_seconds
        attempt.send.outcome.add_done_callback(
            lambda _: _end_lingering(attempt, timer)
        )


def _note_latency(
    latencies: RouteLatencies, attempt: Attempt, now_seconds: float
) -> None:
    written_seconds = attempt.send.written_seconds
    if written_seconds is None:
        return
    latency_ms = (now_seconds - written_seconds) * 1000
    ratio = latency_ms / max(1, latencies.typical_ms)
    attempt.replica.pace.note_latency(ratio, now_seconds)
    if attempt.purpose == FIRST:
        latencies.record(latency_ms)


def _end_lingering(attempt: Attempt, timer: asyncio.TimerHandle) -> None:
    timer.cancel()
    attempt.replica.running.pop(attempt.send, None)
