"""Keep what is known of one replica: load, latency, failures, connections."""

import math
from collections.abc import Callable

import attrs

from dragonflyramp.backends._connections_http import (
    Connection,
    ConnectionFactory,
    ConnectionHooks,
)
from dragonflyramp.backends._sends import Send
from dragonflyramp.backends._shares import ConnectionShare
from dragonflyramp.messages import Load
from dragonflyramp.replicas import ReplicaEntry, ReplicaState
from dragonflyramp.runtime import TaskSet

#: Weight of the newest sample in the moving averages. A pause of 150 ms shows
#: in one or two samples and fades as fast.
_NEWEST_WEIGHT = 0.35
#: Without samples a slow replica counts as usual again after about this time,
#: so that a real request finds out.
_FADE_SECONDS = 1.5
#: An own sample this new goes before what other daemons tell.
_OWN_SECONDS = 0.3
#: A reported load is believed for about the time of a few requests.
_LOAD_SECONDS = 0.3
#: First and longest time for which a failed replica gets no requests.
_FIRST_SUSPICION_SECONDS = 0.2
_LONGEST_SUSPICION_SECONDS = 2


@attrs.define(eq=False)
class Pace:
    """Estimate how fast a replica answers, and what waits there."""

    #: Latency relative to that of the route's typical request.
    _slowness: float = 1
    _slowness_seconds: float = -math.inf
    #: What other daemons told.
    _told: float = 1
    _told_seconds: float = -math.inf
    _load: Load | None = None
    _load_seconds: float = -math.inf

    def slowness(self, now_seconds: float) -> float:
        """Estimate latency relative to the usual one."""
        age_seconds = now_seconds - self._slowness_seconds
        own = _faded(self._slowness, age_seconds, _FADE_SECONDS)
        if self._told == 1 or age_seconds < _OWN_SECONDS:
            return own
        told_age_seconds = now_seconds - self._told_seconds
        return max(own, _faded(self._told, told_age_seconds, _FADE_SECONDS))

    def reported(self, now_seconds: float) -> int:
        """Tell what ran and waited at the replica a moment ago."""
        is_old = now_seconds - self._load_seconds > _LOAD_SECONDS
        if self._load is None or is_old:
            return 0
        return self._load.running + self._load.waiting

    def note_latency(self, ratio: float, now_seconds: float) -> None:
        """Learn from the latency of a send relative to the usual one."""
        age_seconds = now_seconds - self._slowness_seconds
        current = _faded(self._slowness, age_seconds, _FADE_SECONDS)
        self._slowness = current + _NEWEST_WEIGHT * (ratio - current)
        self._slowness_seconds = now_seconds

    def note_told(self, ratio: float, now_seconds: float) -> None:
        """Learn from what other daemons measured."""
        self._told = ratio
        self._told_seconds = now_seconds

    def note_load(self, load: Load, now_seconds: float) -> None:
        """Take over what the replica reported."""
        self._load = load
        self._load_seconds = now_seconds


@attrs.define(eq=False)
class Health:
    """Keep a replica that fails away from requests, longer each time."""

    failure_rate: float = 0
    _suspect_until_seconds: float = -math.inf
    _suspicion_seconds: float = 0

    @property
    def is_on_trial(self) -> bool:
        """Tell whether no request went well since the last failure."""
        return self._suspicion_seconds > 0

    def is_suspect(self, now_seconds: float) -> bool:
        """Tell whether a failure is too recent for another request."""
        return now_seconds < self._suspect_until_seconds

    def note_success(self) -> None:
        """End all suspicion."""
        self.failure_rate *= 1 - _NEWEST_WEIGHT
        self._suspicion_seconds = 0
        self._suspect_until_seconds = -math.inf

    def note_error(self) -> None:
        """Learn that a request failed at a replica that answers."""
        self.failure_rate += _NEWEST_WEIGHT * (1 - self.failure_rate)

    def note_failure(self, now_seconds: float) -> None:
        """Suspect a replica that does not answer."""
        self.note_error()
        if self.is_suspect(now_seconds):
            return
        self._suspicion_seconds = min(
            _LONGEST_SUSPICION_SECONDS,
            max(_FIRST_SUSPICION_SECONDS, 2 * self._suspicion_seconds),
        )
        self._suspect_until_seconds = now_seconds + self._suspicion_seconds

    def note_misdirected(self, now_seconds: float) -> None:
        """Give up a replica whose address another one has."""
        self._suspicion_seconds = _LONGEST_SUSPICION_SECONDS
        self._suspect_until_seconds = now_seconds + _LONGEST_SUSPICION_SECONDS


@attrs.define(eq=False)
class Replica:
    """Hold the state of one replica as this daemon sees it."""

    entry: ReplicaEntry
    warm_seconds: float
    connections: 'ConnectionPool'
    pace: Pace = attrs.field(factory=Pace)
    health: Health = attrs.field(factory=Health)
    #: Start of each send without an outcome.
    running: dict[Send, float] = attrs.field(factory=dict)

    @property
    def is_ready(self) -> bool:
        """Tell whether the replica says that it serves."""
        return self.entry.state is ReplicaState.ready

    def is_suspect(self, now_seconds: float) -> bool:
        """Tell whether failures speak against a send.

        After the suspicion one real request at a time finds out.
        """
        if self.health.is_suspect(now_seconds):
            return True
        return self.health.is_on_trial and bool(self.running)

    def is_cold(self, now_seconds: float) -> bool:
        """Tell whether the replica is still warming up."""
        return now_seconds < self.warm_seconds

    def oldest_seconds(self, now_seconds: float) -> float:
        """Tell how long the oldest send without an outcome takes already."""
        return now_seconds - min(self.running.values(), default=now_seconds)

    def queued(self, now_seconds: float) -> int:
        """Estimate how many requests run or wait at the replica."""
        return max(len(self.running), self.pace.reported(now_seconds))


@attrs.define(eq=False)
class ConnectionPool:
    """Hold this daemon's connections to one replica."""

    address: str
    _make: ConnectionFactory
    _tasks: TaskSet
    #: Called when a send may find room that found none before.
    _on_room: Callable[[], None]
    #: What this daemon may have of the replica's connections now.
    share: ConnectionShare = ConnectionShare(most=1, kept=1)
    _idle: list[Connection] = attrs.field(factory=list)
    _open: set[Connection] = attrs.field(factory=set)

    def has_idle(self, now_seconds: float) -> bool:
        """Tell whether a send would need no new connection."""
        while self._idle:
            if self._idle[-1].is_usable(now_seconds):
                return True
            self._idle.pop().close()
        return False

    def has_room(self, now_seconds: float) -> bool:
        """Tell whether a send would find or open a connection."""
        return self.has_idle(now_seconds) or len(self._open) < self.share.most

    def take(self, send: Send, now_seconds: float) -> Connection:
        """Make a send on an idle connection or a new one."""
        is_idle = self.has_idle(now_seconds)
        connection = self._idle.pop() if is_idle else self.open()
        connection.take(send)
        return connection

    def open(self) -> Connection:
        """Open one more connection; it is kept for a later send."""
        hooks = ConnectionHooks(on_idle=self._keep, on_end=self._forget)
        connection = self._make(self.address, hooks)
        self._open.add(connection)
        self._tasks.start(connection.run(), 'connection')
        return connection

    def retire(self) -> None:
        """Close the idle connections; busy ones end their send."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _keep(self, connection: Connection) -> None:
        if len(self._open) > max(1, self.share.kept):
            # Others may need what this daemon has beyond its share.
            connection.close()
            return
        self._idle.append(connection)
        self._on_room()

    def _forget(self, connection: Connection) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._on_room()


def _faded(slowness: float, age_seconds: float, fade_seconds: float) -> float:
    left = math.exp(-max(0, age_seconds) / fade_seconds)
    return 1 + (slowness - 1) * left
