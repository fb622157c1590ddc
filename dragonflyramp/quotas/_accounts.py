"""Decide for one tenant on a front: its units, refusals and asks."""

import contextlib
import math
from collections.abc import Iterator

import attrs

from dragonflyramp.quotas._buckets import (
    MAX_RETRY_AFTER_SECONDS,
    NO_SHARE_RETRY_AFTER_SECONDS,
)
from dragonflyramp.quotas._limits import (
    AHEAD_VALIDITY_SECONDS,
    DEMAND_VALIDITY_SECONDS,
    QuotaLimit,
)
from dragonflyramp.quotas._messages import QuotaAsk, QuotaGrant
from dragonflyramp.quotas._pools import UnitPool

#: Units ahead cover the requests of this time. With one request a second or
#: less, most of them would expire.
_AHEAD_SECONDS = 0.5
#: Time constant of the measured rate.
_RATE_SECONDS = 2.0
_MAX_AHEAD_UNITS = 64
_MAX_WANTED_UNITS = 256
#: Minimum time between log lines on refusals of a tenant.
_LOG_INTERVAL_SECONDS = 5
#: Shorter refusals would cost a message for each request.
_MIN_REFUSAL_SECONDS = 0.02


@attrs.define(eq=False)
class RequestRate:
    """Rate of requests, averaged exponentially."""

    _count: float = 0
    _counted_at_seconds: float = -math.inf

    def record(self, now_seconds: float) -> None:
        """Count a request."""
        self._count = self._decayed_count(now_seconds) + 1
        self._counted_at_seconds = now_seconds

    def per_second(self, now_seconds: float) -> float:
        """Return the requests per second."""
        return self._decayed_count(now_seconds) / _RATE_SECONDS

    def _decayed_count(self, now_seconds: float) -> float:
        elapsed_seconds = max(0, now_seconds - self._counted_at_seconds)
        return self._count * math.exp(-elapsed_seconds / _RATE_SECONDS)


@attrs.define(eq=False)
class RememberedRefusal:
    """Refusal of a quota server, which answers further requests."""

    _until_seconds: float = -math.inf
    _interval_seconds: float = 0
    _refused_count: int = 0
    #: Callers are told no earlier time.
    _earliest_at_seconds: float = -math.inf
    _logged_at_seconds: float = -math.inf

    def record(
        self,
        retry_after_seconds: float,
        now_seconds: float,
        earliest_at_seconds: float = -math.inf,
    ) -> None:
        """Remember a refusal; callers are told a time no earlier than one."""
        self._earliest_at_seconds = earliest_at_seconds
        self._interval_seconds = max(_MIN_REFUSAL_SECONDS, retry_after_seconds)
        self._until_seconds = now_seconds + self._interval_seconds
        self._refused_count = 0

    def is_valid(self, now_seconds: float) -> bool:
        """Return whether requests are refused without an ask."""
        return now_seconds < self._until_seconds

    def pop_delay_seconds(self, now_seconds: float) -> float | None:
        """Return when there is quota for one more caller, if refused now.

        Each caller is told a later time, because each needs a unit.
        """
        if not self.is_valid(now_seconds):
            return None
        delay_seconds = (
            self._until_seconds
            - now_seconds
            + self._refused_count * self._interval_seconds
        )
        self._refused_count += 1
        return min(
            max(delay_seconds, self._earliest_at_seconds - now_seconds),
            MAX_RETRY_AFTER_SECONDS,
        )

    def should_log(self, now_seconds: float) -> bool:
        """Return whether to log a refusal, and count it as logged."""
        if now_seconds - self._logged_at_seconds < _LOG_INTERVAL_SECONDS:
            return False
        self._logged_at_seconds = now_seconds
        return True


@attrs.define(eq=False)
class TenantAccount:
    """Units, refusals and demand of one tenant on one front."""

    pool: UnitPool
    refusal: RememberedRefusal = attrs.field(factory=RememberedRefusal)
    rate: RequestRate = attrs.field(factory=RequestRate)
    #: Requests that wait for an answer of the quota server.
    waiting: int = 0
    granted_at_seconds: float = -math.inf

    @contextlib.contextmanager
    def wait(self) -> Iterator[None]:
        """Count a request that waits for an answer of the quota server."""
        self.waiting += 1
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(self._end_wait)
            yield

    def needs_units_ahead(self, now_seconds: float) -> bool:
        """Return whether to ask before the units run out."""
        target = self._target_units(now_seconds)
        if not target or self.refusal.is_valid(now_seconds):
            return False
        return 2 * self.pool.count(now_seconds) <= target

    def build_ask(self, limit: QuotaLimit, now_seconds: float) -> QuotaAsk:
        """Return an ask for the requests that wait and those expected soon."""
        missing_units = self._target_units(now_seconds) - self.pool.count(
            now_seconds
        )
        return QuotaAsk(
            tenant_name=self.pool.tenant_name,
            limit=limit,
            wanted=min(self.waiting, _MAX_WANTED_UNITS),
            ahead=max(0, missing_units),
        )

    def apply_grant(
        self,
        grant: QuotaGrant,
        asked_at_seconds: float,
        now_seconds: float,
        share_free_in_seconds: float = 0,
    ) -> None:
        """Keep granted units until they expire, counted from the ask.

        A quota server without shares gets some once fronts own theirs again;
        those that started together do so at about the same time.
        """
        self.pool.add(
            grant.units, asked_at_seconds + DEMAND_VALIDITY_SECONDS, None
        )
        self.pool.add(
            grant.ahead,
            asked_at_seconds + AHEAD_VALIDITY_SECONDS,
            grant.grant_id,
        )
        if grant.units or grant.ahead:
            self.granted_at_seconds = now_seconds
        if grant.retry_after_seconds is not None:
            is_without_share = (
                grant.retry_after_seconds == NO_SHARE_RETRY_AFTER_SECONDS
            )
            self.refusal.record(
                grant.retry_after_seconds,
                now_seconds,
                now_seconds + share_free_in_seconds
                if is_without_share
                else -math.inf,
            )

    def _target_units(self, now_seconds: float) -> int:
        rate_per_second = self.rate.per_second(now_seconds)
        return min(_MAX_AHEAD_UNITS, round(rate_per_second * _AHEAD_SECONDS))

    def _end_wait(self) -> None:
        self.waiting -= 1
