"""Decide which shards get a request first, alone."""

from typing import Protocol

import attrs

from dragonflyramp.models import Service


class CanaryPolicy(Protocol):
    """Choose the shards that go first and how long to wait for one."""

    def canaries(
        self, service: Service, shards: tuple[str, ...]
    ) -> tuple[str, ...]:
        """List the shards to ask before the rest; empty asks all at once."""

    def wait_seconds(
        self, service: Service, median_seconds: float | None
    ) -> float:
        """Return how long to wait for one canary before asking another."""


@attrs.frozen(kw_only=True)
class FirstShardsCanary:
    """Ask the first shards of the configuration file before the rest."""

    #: Twice the median: at the median itself half of all searches would
    #: ask a second canary.
    median_factor: float = 2
    #: Before any latency is known, and at most, this part of the deadline.
    deadline_fraction: float = 0.1
    floor_ms: float = 2

    def canaries(
        self, service: Service, shards: tuple[str, ...]
    ) -> tuple[str, ...]:
        """List as many shards as the service's canary_shards."""
        return shards[: service.canary_shards]

    def wait_seconds(
        self, service: Service, median_seconds: float | None
    ) -> float:
        """Return a multiple of the service's median part latency."""
        limit = service.deadline_ms * self.deadline_fraction / 1000
        if median_seconds is not None:
            limit = min(limit, median_seconds * self.median_factor)
        return max(limit, self.floor_ms / 1000)


@attrs.frozen
class NoCanary:
    """Ask all shards at once: the naive variant."""

    def canaries(
        self, service: Service, shards: tuple[str, ...]
    ) -> tuple[str, ...]:
        """List no shard."""
        return ()

    def wait_seconds(
        self, service: Service, median_seconds: float | None
    ) -> float:
        """Return the whole deadline; it is not used without canaries."""
        return service.deadline_ms / 1000
