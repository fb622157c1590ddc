"""Model what a backend server bears while it is cold."""

import collections

import attrs

from tests.standins.backend_models import Records, ServerSpec

_MS = 1000


@attrs.define(kw_only=True)
class LoadModel:
    """Follow the requests of one instance, and collapse under overload."""

    spec: ServerSpec
    records: Records
    cold: bool
    running: int = 0
    clean: int = 0
    collapsed_until_seconds: float = 0
    _starts: collections.deque[float] = attrs.field(factory=collections.deque)

    def turn_cold(self) -> None:
        """Lose the warmth without any other sign."""
        self.cold = True
        self.clean = 0

    def turn_warm(self) -> None:
        """End the cold start, and an overload."""
        self.cold = False
        self.collapsed_until_seconds = 0

    def begin(self, now_seconds: float) -> None:
        """Count a request that starts."""
        self.running += 1
        self._starts.append(now_seconds)
        while self._starts[0] <= now_seconds - 1:
            self._starts.popleft()
        records = self.records
        records.largest_concurrency = max(
            records.largest_concurrency, self.running
        )
        if self.cold:
            self._check_cold(now_seconds)

    def end(self, *, clean: bool, now_seconds: float) -> None:
        """Count a request that ends."""
        self.running -= 1
        if clean and self.cold and not self.is_collapsed(now_seconds):
            self.clean += 1
            self.cold = self.clean < self.spec.warm_after

    def is_collapsed(self, now_seconds: float) -> bool:
        """Tell whether an overload is not over yet."""
        return now_seconds < self.collapsed_until_seconds

    def _check_cold(self, now_seconds: float) -> None:
        records = self.records
        records.largest_cold_concurrency = max(
            records.largest_cold_concurrency, self.running
        )
        records.largest_cold_per_second = max(
            records.largest_cold_per_second, len(self._starts)
        )
        allowed = max(1, self.spec.cold_requests_per_second)
        if self.running > 1 or len(self._starts) > allowed:
            records.violations += 1
            self.clean = 0
            collapse_seconds = self.spec.collapse_ms / _MS
            self.collapsed_until_seconds = now_seconds + collapse_seconds
