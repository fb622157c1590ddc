"""Bound the extra sends of each service, over all daemons together."""

import collections

import attrs

#: Sends arrive in another window than the one in which they were counted.
_SAFETY_SHARE = 0.85
#: Hedges leave this share of the budget to retries, which come after failures.
_HEDGE_SHARE = 0.75
#: Requests are counted in steps of this length.
_STEP_SECONDS = 0.5


@attrs.frozen(kw_only=True)
class BudgetBounds:
    """Hold what all daemons together may send beyond first sends."""

    ratio: float
    window_seconds: float
    slack: float


@attrs.define(eq=False)
class Budget:
    """Count the first and extra sends of one service at this daemon.

    The ratio applies to the daemon's own requests; the slack is divided by
    the number of daemons that may be sending, so no daemon has to ask.
    """

    _bounds: BudgetBounds
    _extra: collections.deque[float] = attrs.field(factory=collections.deque)
    _steps: collections.deque[list[float]] = attrs.field(
        factory=collections.deque
    )
    _requests: float = 0

    def note_request(self, now_seconds: float) -> None:
        """Count a caller's request."""
        if not self._steps or now_seconds - self._steps[-1][0] > _STEP_SECONDS:
            self._steps.append([now_seconds, 0])
        self._steps[-1][1] += 1
        self._requests += 1

    def left(self, daemons: int, now_seconds: float) -> float:
        """Tell how many extra sends are allowed now."""
        return self._allowed(daemons, now_seconds) - len(self._extra)

    def take(self, daemons: int, now_seconds: float, *, is_hedge: bool) -> bool:
        """Take one extra send if the budget allows it."""
        allowed = self._allowed(daemons, now_seconds)
        if is_hedge:
            allowed *= _HEDGE_SHARE
        if len(self._extra) + 1 > allowed:
            return False
        self._extra.append(now_seconds)
        return True

    def _allowed(self, daemons: int, now_seconds: float) -> float:
        start_seconds = now_seconds - self._bounds.window_seconds
        while self._extra and self._extra[0] < start_seconds:
            self._extra.popleft()
        while self._steps and self._steps[0][0] < start_seconds:
            self._requests -= self._steps.popleft()[1]
        shared = self._bounds.slack / max(1, daemons)
        return _SAFETY_SHARE * (self._bounds.ratio * self._requests + shared)
