"""Limit retries and hedges of each service across all daemons."""

import collections

import attrs

from dragonflyramp.bounded_maps import use_entry
from dragonflyramp.rendezvous import rendezvous_hash

#: Share of the budget that daemons spend. The rest is a margin, because a
#: replica may receive extra requests in another window than the one in which
#: they were counted.
_USABLE_BUDGET_SHARE = 0.85
#: Share of the budget that hedges may use. The rest is reserved for retries,
#: which are sent only after a failure.
_HEDGE_SHARE = 0.9
#: Requests are counted in buckets of this length.
_BUCKET_SECONDS = 0.5
#: Limit on the services whose budgets are kept, those of earlier configurations
#: included.
_MAX_SERVICES = 16_384


@attrs.frozen(kw_only=True)
class BudgetBounds:
    """Bounds on the extra requests that all daemons send in a window.

    Extra requests are retries and hedges.
    """

    #: Extra requests per caller request.
    ratio: float
    window_seconds: float
    #: Extra requests per window in addition to the ratio.
    slack: float


@attrs.define
class _Bucket:
    started_at_seconds: float
    request_count: int = 0


@attrs.define(eq=False)
class Budget:
    """Budget of one daemon for the extra requests to one service.

    The ratio applies to the daemon's own requests and the slack is divided by
    the number of daemons, so daemons need no coordination.
    """

    _bounds: BudgetBounds
    #: Monotonic times of the extra requests in the window.
    _extra_request_times: collections.deque[float] = attrs.field(
        factory=collections.deque
    )
    _buckets: collections.deque[_Bucket] = attrs.field(
        factory=collections.deque
    )

    def record_request(self, now_seconds: float) -> None:
        """Count a request from a caller."""
        last = self._buckets[-1] if self._buckets else None
        if (
            last is None
            or now_seconds - last.started_at_seconds > _BUCKET_SECONDS
        ):
            last = _Bucket(now_seconds)
            self._expire(now_seconds - self._bounds.window_seconds)
            self._buckets.append(last)
        last.request_count += 1

    def try_spend(
        self,
        daemon_count: int,
        now_seconds: float,
        *,
        is_hedge: bool,
        rounding_offset: float = 0,
    ) -> bool:
        """Spend one extra request; return False if the budget is exhausted.

        The limit plus the offset is rounded down to whole requests.
        """
        limit = self._limit(daemon_count, now_seconds)
        if is_hedge:
            limit *= _HEDGE_SHARE
        if len(self._extra_request_times) >= int(limit + rounding_offset):
            return False
        self._extra_request_times.append(now_seconds)
        return True

    def remaining_share(self, daemon_count: int, now_seconds: float) -> float:
        """Return the unspent share of the budget, from 0 to 1."""
        limit = max(1, self._limit(daemon_count, now_seconds))
        used_share = len(self._extra_request_times) / limit
        return max(0, 1 - used_share)

    def _limit(self, daemon_count: int, now_seconds: float) -> float:
        self._expire(now_seconds - self._bounds.window_seconds)
        request_count = sum(bucket.request_count for bucket in self._buckets)
        slack = self._bounds.slack / max(1, daemon_count)
        return _USABLE_BUDGET_SHARE * (
            self._bounds.ratio * request_count + slack
        )

    def _expire(self, window_starts_at_seconds: float) -> None:
        while (
            self._extra_request_times
            and self._extra_request_times[0] < window_starts_at_seconds
        ):
            self._extra_request_times.popleft()
        while (
            self._buckets
            and self._buckets[0].started_at_seconds < window_starts_at_seconds
        ):
            self._buckets.popleft()


def rounding_offset(service: str, rank: int, daemon_count: int) -> float:
    """Return what a daemon adds to its share before it is rounded down.

    The offsets of all daemons are 0, 1/n, 2/n up to (n - 1)/n, so that equal
    shares, once rounded, add up to the whole rounded down. Without them, many
    daemons with a share below two requests would together leave half of the
    budget unused. The order differs from service to service, so that no daemon
    gets less of all.
    """
    shift = int.from_bytes(rendezvous_hash('budget', service))
    return (rank + shift) % max(1, daemon_count) / max(1, daemon_count)


@attrs.define(eq=False)
class Budgets:
    """Budgets of all services by name."""

    _bounds: BudgetBounds
    _by_service: dict[str, Budget] = attrs.field(factory=dict)

    def for_service(self, service: str) -> Budget:
        """Return the budget of a service, created on first use."""
        return use_entry(
            self._by_service,
            service,
            lambda: Budget(self._bounds),
            _MAX_SERVICES,
        )

    def min_remaining_share(
        self, daemon_count: int, now_seconds: float
    ) -> float:
        """Return the smallest remaining share of any service, from 0 to 1."""
        return min(
            (
                budget.remaining_share(daemon_count, now_seconds)
                for budget in self._by_service.values()
            ),
            default=1,
        )
