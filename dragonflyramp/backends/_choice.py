"""Choose the replica that is expected to answer first."""

import random
from collections.abc import Sequence
from typing import Protocol

import attrs

from dragonflyramp.backends._replicas import Replica

#: Cost of another failure domain: its round trip and its priced bytes.
_REMOTE_MS = 5
#: A new connection holds a slot of the replica for about this long.
_CONNECT_MS = 6
#: A cold replica takes about this many times as long.
_COLD_FACTOR = 1.6
#: A failed send costs the time of the next one.
_FAILURE_FACTOR = 4
#: A send that takes this many times the usual latency tells of a pause.
_STALL_FACTOR = 1.5
#: Spreads sends over replicas that are expected to be equally fast.
_JITTER_SHARE = 0.15


@attrs.frozen(kw_only=True)
class Surroundings:
    """Hold what a choice depends on besides the replicas."""

    failure_domain: str
    typical_ms: float
    now_seconds: float


class Choice(Protocol):
    """Choose among replicas that may get a send.

    Answers the load of a search over many shards, in which the slowest
    choice sets the wait.
    """

    def choose(
        self,
        candidates: Sequence[Replica],
        around: Surroundings,
        rng: random.Random,
    ) -> Replica | None:
        """Choose one; None without candidates."""


@attrs.frozen
class FastestChoice(Choice):
    """Choose by expected latency, suspects last."""

    def choose(
        self,
        candidates: Sequence[Replica],
        around: Surroundings,
        rng: random.Random,
    ) -> Replica | None:
        """Choose the lowest expected latency with some jitter."""
        trusted = [
            one for one in candidates if not one.is_suspect(around.now_seconds)
        ]
        jitter_ms = around.typical_ms * _JITTER_SHARE
        return min(
            trusted or candidates,
            key=lambda one: expected_ms(one, around) + jitter_ms * rng.random(),
            default=None,
        )


@attrs.frozen
class RandomChoice(Choice):
    """Choose any; the simple variant for comparisons."""

    def choose(
        self,
        candidates: Sequence[Replica],
        around: Surroundings,
        rng: random.Random,
    ) -> Replica | None:
        """Choose without looking."""
        return rng.choice(candidates) if candidates else None


def expected_ms(replica: Replica, around: Surroundings) -> float:
    """Estimate when a send that starts now would be answered."""
    now_seconds = around.now_seconds
    slots = replica.entry.slots
    work_ms = around.typical_ms * _slowness(replica, around)
    if replica.is_cold(now_seconds):
        work_ms *= _COLD_FACTOR
    queued = replica.queued(now_seconds)
    over = max(0, queued + 1 - slots)
    expected = work_ms * (1 + over / slots)
    expected *= 1 + _FAILURE_FACTOR * replica.health.failure_rate
    # Prefers the less loaded replica while all have free slots.
    expected += work_ms * queued / (slots * slots)
    if replica.entry.failure_domain != around.failure_domain:
        expected += _REMOTE_MS
    if not replica.connections.has_idle(now_seconds):
        expected += _CONNECT_MS
    return expected


def _slowness(replica: Replica, around: Surroundings) -> float:
    """Count a send without an answer as a sample of what it took so far."""
    slowness = replica.pace.slowness(around.now_seconds)
    waited_ms = replica.oldest_seconds(around.now_seconds) * 1000
    stalled = waited_ms / max(1, around.typical_ms)
    if stalled > _STALL_FACTOR:
        return max(slowness, stalled)
    return slowness
