"""Estimate how long requests wait for a slot of each service."""

import math

import attrs

from dragonflyramp.bounded_maps import use_entry
from dragonflyramp.messages import Load

#: Time constant with which reports lose weight. A front gets a few reports per
#: second from a service that is short of capacity, and bursts last 3 to 6 s.
_TIME_CONSTANT_SECONDS = 1.5
#: Weight of the assumption that nothing waits. One report of a replica that is
#: slow while others have free slots is thus not taken for a shortage.
_PRIOR_WEIGHT = 1
#: With less, the load is unknown.
_MIN_WEIGHT = 0.3
#: Without a report of waiting requests for so long, there is no shortage.
_MAX_AGE_SECONDS = 2
#: Limit on the services whose load is kept, removed ones included.
_MAX_SERVICES = 4096


@attrs.define(eq=False)
class _WaitEstimate:
    """Mean wait for a slot, weighted by the age of the reports."""

    weight: float = 0
    weighted_sum_ms: float = 0
    at_seconds: float = -math.inf

    def record(self, wait_ms: float, now_seconds: float) -> None:
        decay = _decay_factor(now_seconds - self.at_seconds)
        self.weight = self.weight * decay + 1
        self.weighted_sum_ms *= decay
        self.weighted_sum_ms += wait_ms
        self.at_seconds = now_seconds

    def wait_ms(self, now_seconds: float) -> float:
        decay = _decay_factor(now_seconds - self.at_seconds)
        weight = self.weight * decay
        if weight < _MIN_WEIGHT:
            return 0
        return self.weighted_sum_ms * decay / (weight + _PRIOR_WEIGHT)


@attrs.define(eq=False)
class ServiceLoads:
    """Expected waits for a slot, from the load that replicas report."""

    _by_service: dict[str, _WaitEstimate] = attrs.field(factory=dict)
    _waits_until_seconds: float = -math.inf

    def record(
        self, service: str, load: Load, work_ms: float, now_seconds: float
    ) -> None:
        """Record the load of a replica; a request occupies a slot for a time.

        `work_ms` is that time without queueing.
        """
        if load.waiting > 0:
            self._waits_until_seconds = now_seconds + _MAX_AGE_SECONDS
        estimate = use_entry(
            self._by_service, service, _WaitEstimate, _MAX_SERVICES
        )
        waiting_per_slot = load.waiting / max(1, load.slots)
        estimate.record(waiting_per_slot * work_ms, now_seconds)

    def may_be_short(self, now_seconds: float) -> bool:
        """Return whether a replica has recently reported waiting requests."""
        return now_seconds < self._waits_until_seconds

    def wait_ms(self, service: str, now_seconds: float) -> float:
        """Return the expected wait for a slot; 0 if it is unknown."""
        estimate = self._by_service.get(service)
        return 0 if estimate is None else estimate.wait_ms(now_seconds)


def _decay_factor(age_seconds: float) -> float:
    return math.exp(-max(0, age_seconds) / _TIME_CONSTANT_SECONDS)
