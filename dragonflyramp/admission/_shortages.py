"""Assess whether capacity is short for a request."""

import random

import attrs

from dragonflyramp.admission._contentions import Contentions
from dragonflyramp.admission._service_loads import ServiceLoads
from dragonflyramp.admission._tenant_shares import TenantShares
from dragonflyramp.admission._waiting_requests import Order
from dragonflyramp.backends import RequestContext
from dragonflyramp.routes import Route

#: Share of the latency target within which a request is rejected.
_MAX_WAIT_TARGET_SHARE = 0.25
#: Time that is left of it for the decision and the answer.
_ANSWER_MS = 2
#: Callers come back only within this share of the time that they have left.
_CALLER_WAIT_SHARE = 1 / 3
#: Shortest delay after which a caller comes back: load does not fall earlier.
_MIN_RETRY_AFTER_SECONDS = 0.05
#: Expected wait that any request tolerates, in multiples of the longest work
#: on its services: as many requests wait as run. With less, the emulator shows
#: refusals at two thirds of the capacity, where all can be served in time.
_LEAST_ROUNDS = 1.0
#: Added for tenants that have used no more than their share, and for requests
#: that no other goes before.
_FAIR_SHARE_ROUNDS = 0.5
_MOST_URGENT_ROUNDS = 1.0
#: Searches tolerate more by this factor: the wait of the last required shard
#: exceeds the mean by chance. Without it, at seven times the peak load of the
#: specification, 15% of the searches were refused and no more were in time.
_SEARCH_FACTOR = 2
_MS_PER_SECOND = 1000


@attrs.frozen(kw_only=True)
class Shortage:
    """Inputs of the decision on one request, in ms."""

    #: Expected wait for a slot.
    wait_ms: float
    #: Expected wait up to which the request is admitted.
    tolerated_ms: float
    #: Time for which the request may still wait at this front.
    max_wait_ms: float
    #: Time until the deadline of the caller.
    remaining_ms: float
    #: Time that the request takes without waiting.
    work_ms: float

    @property
    def has_capacity(self) -> bool:
        """Return whether the request is admitted now."""
        return self.wait_ms <= self.tolerated_ms

    @property
    def misses_deadline(self) -> bool:
        """Return whether the request cannot be answered at all."""
        return self.wait_ms + self.work_ms > self.remaining_ms

    @property
    def may_end(self) -> bool:
        """Return whether the load may fall while the request waits."""
        return self.wait_ms - self.tolerated_ms <= self.max_wait_ms

    def retry_after_seconds(self, rng: random.Random) -> float:
        """Return a time at which the wait is over, at random up to twice that.

        Callers that were rejected together do not come back together. Later
        than the caller would wait helps nobody.
        """
        earliest_seconds = max(
            _MIN_RETRY_AFTER_SECONDS, self.wait_ms / _MS_PER_SECOND
        )
        caller_wait_ms = self.remaining_ms * _CALLER_WAIT_SHARE
        latest_seconds = min(
            2 * earliest_seconds, caller_wait_ms / _MS_PER_SECOND
        )
        return round(
            rng.uniform(
                earliest_seconds, max(earliest_seconds, latest_seconds)
            ),
            3,
        )


@attrs.frozen(kw_only=True)
class ShortageAssessor:
    """Compare the expected wait of a request with what it tolerates."""

    contentions: Contentions
    loads: ServiceLoads
    shares: TenantShares

    def assess(self, context: RequestContext, now_seconds: float) -> Shortage:
        """Return the inputs of the decision on a request."""
        route = context.route
        rounds = _LEAST_ROUNDS
        if not self.shares.is_excessive(context.tenant, now_seconds):
            rounds += _FAIR_SHARE_ROUNDS
        if self.contentions.is_most_urgent(context):
            rounds += _MOST_URGENT_ROUNDS
        if route.gather is not None:
            rounds *= _SEARCH_FACTOR
        elapsed_ms = _ms_between(context.received_at_seconds, now_seconds)
        limit_ms = _ms_between(
            context.received_at_seconds, context.deadline_at_seconds
        )
        max_wait_ms = min(route.target_ms, limit_ms) * _MAX_WAIT_TARGET_SHARE
        return Shortage(
            wait_ms=self._wait_ms(route, now_seconds),
            tolerated_ms=rounds * self.contentions.round_ms(context),
            max_wait_ms=max(0, max_wait_ms - elapsed_ms - _ANSWER_MS),
            remaining_ms=limit_ms - elapsed_ms,
            work_ms=self.contentions.work_ms(route),
        )

    def has_capacity(self, context: RequestContext, now_seconds: float) -> bool:
        """Return whether a request is admitted now."""
        return self.assess(context, now_seconds).has_capacity

    def order(self, context: RequestContext, now_seconds: float) -> Order:
        """Order by priority, use of the tenant, and latest start in time."""
        slack_ms = self.contentions.slack_ms(context.route)
        return (
            context.priority,
            self.shares.use_of(context.tenant, now_seconds),
            context.received_at_seconds + slack_ms / _MS_PER_SECOND,
        )

    def _wait_ms(self, route: Route, now_seconds: float) -> float:
        """Return the expected wait for as many services as are required."""
        waits_ms = sorted(
            self.loads.wait_ms(service, now_seconds)
            for service in route.services
        )
        if route.gather is None:
            return waits_ms[0]
        return waits_ms[route.gather.required_count - 1]


def _ms_between(from_seconds: float, to_seconds: float) -> float:
    return (to_seconds - from_seconds) * _MS_PER_SECOND
