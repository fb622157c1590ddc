"""Decide how much load a replica may get while it starts cold."""

import enum
import math
from typing import Protocol

import attrs

from dragonflyramp.models import Warmth

_SHORTEST_LATENCY_SECONDS = 0.001


class Verdict(enum.Enum):
    """Judge how one request to a replica ended."""

    completed = 'completed'
    failed = 'failed'
    neutral = 'neutral'


@attrs.frozen(kw_only=True)
class Completion:
    """Describe the end of one request; the baseline is the service's.

    The baseline is current when another replica completed a request while
    this one ran. Without that the whole service may have slowed down.
    """

    verdict: Verdict
    started_seconds: float = 0
    latency_seconds: float = 0
    baseline_seconds: float | None = None
    baseline_is_current: bool = True


@attrs.frozen(kw_only=True)
class Capacity:
    """State what the configuration says that a replica bears."""

    slots: int
    cold_per_second: float


@attrs.define(kw_only=True)
class RampState:
    """Follow the ramp of one instance of a replica.

    `per_second` bounds the starts, `clean` counts the completions since the
    last growth, and `clean_wanted` is the number that ends the cold state.
    """

    capacity: Capacity
    warmth: Warmth
    limit: int
    per_second: float
    clean: int = 0
    clean_wanted: int = 0
    slow_in_a_row: int = 0
    last_slow_seconds: float = -math.inf
    next_start_seconds: float = -math.inf
    last_start_seconds: float
    demoted_seconds: float = -math.inf
    load: float = 0
    load_until_seconds: float = -math.inf

    def rate_admits(self, now_seconds: float) -> bool:
        """Tell whether the rate allows a start now."""
        return now_seconds >= self.next_start_seconds

    def note_load(self, load: float, until_seconds: float) -> None:
        """Keep the load that the server reports, until it is out of date."""
        self.load = load
        self.load_until_seconds = until_seconds


class RampPolicy(Protocol):
    """Bound the requests that run on a replica at once, and their rate."""

    def start(self, capacity: Capacity, now_seconds: float) -> RampState:
        """Give the state of a replica of which nothing is known."""

    def restart(self, state: RampState, now_seconds: float) -> None:
        """Return a replica to cold."""

    def resume(self, state: RampState, warmth: Warmth, limit: float) -> None:
        """Take over what another relay knows of the same instance."""

    def limit(self, state: RampState, now_seconds: float) -> int:
        """Give the number of requests that may run at once."""

    def note_start(self, state: RampState, now_seconds: float) -> None:
        """Count a request that is being sent."""

    def note_end(
        self, state: RampState, completion: Completion, now_seconds: float
    ) -> None:
        """Learn from the end of a request."""


@attrs.frozen(kw_only=True)
class SlowStartRamp:
    """Grow rate and concurrency step by step after clean completions.

    A cold replica leaves the cold state after `cold_completions` clean ones.
    Each later step of `step_completions` doubles the rate and adds one to
    the limit, until the replica is warm.
    """

    #: Fraction of the cold rate that is used. Jitter of the network may bring
    #: requests closer together than they were sent.
    cold_rate_share: float = 0.8
    cold_completions: int = 10
    step_completions: int = 5
    #: A failed step out of cold doubles `cold_completions` up to this number.
    max_cold_completions: int = 80
    #: A latency up to this multiple of the baseline, plus slack, is near it.
    near_factor: float = 2
    #: A latency above this multiple of the baseline, plus slack, is slow.
    slow_factor: float = 3
    slack_seconds: float = 0.005
    #: A single straggler is no sign of a cold server, several in a row are.
    slow_replies: int = 3

    def start(self, capacity: Capacity, now_seconds: float) -> RampState:
        """Start cold."""
        return RampState(
            capacity=capacity,
            warmth=Warmth.cold,
            limit=1,
            per_second=self.cold_rate_share * capacity.cold_per_second,
            clean_wanted=self.cold_completions,
            last_start_seconds=now_seconds,
        )

    def restart(self, state: RampState, now_seconds: float) -> None:
        """Return to cold; a failed ramp makes the next one slower."""
        if state.warmth is Warmth.warming:
            wanted = min(2 * state.clean_wanted, self.max_cold_completions)
            state.clean_wanted = wanted
        elif state.warmth is Warmth.warm:
            state.clean_wanted = self.cold_completions
        self.resume(state, Warmth.cold, 1)
        state.demoted_seconds = now_seconds
        earliest = now_seconds + 1 / state.per_second
        state.next_start_seconds = max(state.next_start_seconds, earliest)

    def resume(self, state: RampState, warmth: Warmth, limit: float) -> None:
        """Take over the warmth; the rate of a warming replica starts over."""
        slots = state.capacity.slots
        cold_rate = self.cold_rate_share * state.capacity.cold_per_second
        state.warmth = warmth
        state.clean = 0
        state.slow_in_a_row = 0
        if warmth is Warmth.warm:
            state.limit = slots
            state.per_second = math.inf
        elif warmth is Warmth.warming:
            state.limit = max(1, min(int(limit), slots))
            state.per_second = 2 * cold_rate
        else:
            state.limit = 1
            state.per_second = cold_rate

    def limit(self, state: RampState, now_seconds: float) -> int:
        """Give the limit, lowered while the server reports overload."""
        limit = state.capacity.slots
        if state.warmth is not Warmth.warm:
            limit = min(state.limit, limit)
        if state.load > 1 and now_seconds < state.load_until_seconds:
            limit = int(limit / state.load)
        return max(1, limit)

    def note_start(self, state: RampState, now_seconds: float) -> None:
        """Space the starts by the rate."""
        state.last_start_seconds = now_seconds
        state.next_start_seconds = now_seconds + 1 / state.per_second

    def note_end(
        self, state: RampState, completion: Completion, now_seconds: float
    ) -> None:
        """Grow after a clean completion; return to cold after a failure."""
        if completion.verdict is Verdict.neutral:
            return
        if completion.verdict is Verdict.failed:
            self.restart(state, now_seconds)
            return
        if _is_within(completion, self.slow_factor, self.slack_seconds):
            state.slow_in_a_row = 0
        elif _is_evidence(state, completion):
            state.slow_in_a_row += 1
            state.last_slow_seconds = now_seconds
        if state.slow_in_a_row >= self.slow_replies:
            self.restart(state, now_seconds)
        elif _is_within(completion, self.near_factor, self.slack_seconds):
            _grow(self, state, completion.latency_seconds)


@attrs.frozen(kw_only=True)
class StaticSplitRamp:
    """Give each of `relays` relays the same fixed share of the slots."""

    relays: int = 1

    def start(self, capacity: Capacity, now_seconds: float) -> RampState:
        """Take every replica as warm."""
        return RampState(
            capacity=capacity,
            warmth=Warmth.warm,
            limit=capacity.slots,
            per_second=math.inf,
            last_start_seconds=now_seconds,
        )

    def restart(self, state: RampState, now_seconds: float) -> None:
        """Change nothing."""

    def resume(self, state: RampState, warmth: Warmth, limit: float) -> None:
        """Change nothing."""

    def limit(self, state: RampState, now_seconds: float) -> int:
        """Give the share, at least one."""
        return max(1, state.capacity.slots // self.relays)

    def note_start(self, state: RampState, now_seconds: float) -> None:
        """Note the time only."""
        state.last_start_seconds = now_seconds

    def note_end(
        self, state: RampState, completion: Completion, now_seconds: float
    ) -> None:
        """Learn nothing."""


def _is_within(
    completion: Completion, factor: float, slack_seconds: float
) -> bool:
    baseline = completion.baseline_seconds
    if baseline is None:
        return True
    return completion.latency_seconds <= factor * baseline + slack_seconds


def _is_evidence(state: RampState, completion: Completion) -> bool:
    """Tell whether a slow reply counts against this replica alone.

    Requests that ran at the same time may have met the same short stall, so
    a slow reply counts only when it started after the last one that did.
    """
    if completion.started_seconds < state.last_slow_seconds:
        return False
    return completion.baseline_is_current


def _grow(
    ramp: SlowStartRamp, state: RampState, latency_seconds: float
) -> None:
    if state.warmth is Warmth.warm:
        return
    state.clean += 1
    wanted = ramp.step_completions
    if state.warmth is Warmth.cold:
        wanted = state.clean_wanted
    if state.clean < wanted:
        return
    state.clean = 0
    state.warmth = Warmth.warming
    state.per_second *= 2
    slots = state.capacity.slots
    state.limit = min(state.limit + 1, slots)
    # With all slots busy the replica completes this many in a second.
    full_rate = slots / max(latency_seconds, _SHORTEST_LATENCY_SECONDS)
    if state.limit == slots and state.per_second >= full_rate:
        ramp.resume(state, Warmth.warm, slots)
