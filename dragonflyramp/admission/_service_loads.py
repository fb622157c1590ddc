"""Estimate how long requests wait for a slot of each service."""

import math
from collections.abc import Iterable

import attrs

from dragonflyramp.bounded_maps import use_entry
from dragonflyramp.messages import Load

#: Time constant with which reports lose weight: about the time in which a full
#: queue of a replica is worked off.
_TIME_CONSTANT_SECONDS = 0.5
#: With less weight, the load is unknown: a single report counts for 0.6 s.
_MIN_WEIGHT = 0.3
#: No sum of reports of a front keeps enough weight for longer.
_MAX_AGE_SECONDS = 2
#: Limit on the services whose load is kept, removed ones included.
_MAX_SERVICES = 4096


@attrs.define(eq=False)
class _WaitEstimate:
    """Mean wait for a slot, weighted by the age of the reports."""

    _weight: float = 0
    _weighted_sum_ms: float = 0
    _at_seconds: float = -math.inf

    def record(self, wait_ms: float, now_seconds: float) -> None:
        decay = _decay_factor(now_seconds - self._at_seconds)
        self._weight = self._weight * decay + 1
        self._weighted_sum_ms *= decay
        self._weighted_sum_ms += wait_ms
        self._at_seconds = now_seconds

    def wait_ms(self, now_seconds: float) -> float:
        weight = self._weight * _decay_factor(now_seconds - self._at_seconds)
        if weight < _MIN_WEIGHT:
            return 0
        return self._weighted_sum_ms / self._weight


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

    def wait_ms(
        self, services: Iterable[str], required_count: int, now_seconds: float
    ) -> float:
        """Return the expected wait until enough services have a free slot.

        It is 0 for services whose load is unknown.
        """
        waits_ms = sorted(
            self._wait_ms_of(service, now_seconds) for service in services
        )
        return waits_ms[required_count - 1] if waits_ms else 0

    def _wait_ms_of(self, service: str, now_seconds: float) -> float:
        estimate = self._by_service.get(service)
        return 0 if estimate is None else estimate.wait_ms(now_seconds)


def _decay_factor(age_seconds: float) -> float:
    return math.exp(-max(0, age_seconds) / _TIME_CONSTANT_SECONDS)
