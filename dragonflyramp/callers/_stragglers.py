"""Decide when a search answers without waiting for the slowest shards."""

from typing import Protocol

import attrs

from dragonflyramp.models import Service


class StragglerPolicy(Protocol):
    """Tell from when on an incomplete answer may be closed."""

    def answer_at(
        self,
        service: Service,
        fraction: float | None,
        received_seconds: float,
    ) -> float | None:
        """Return a monotonic time, or None to wait for the deadline."""


@attrs.frozen
class TargetStragglers:
    """Answer early once the service's coverage target is met.

    An unknown coverage never meets a target.
    """

    def answer_at(
        self,
        service: Service,
        fraction: float | None,
        received_seconds: float,
    ) -> float | None:
        """Return the service's earliest time once the target is met."""
        met = fraction is not None and fraction >= service.coverage_target
        after_seconds = service.answer_after_ms / 1000
        return received_seconds + after_seconds if met else None


@attrs.frozen
class PatientStragglers:
    """Wait for every shard until the deadline: the naive variant."""

    def answer_at(
        self,
        service: Service,
        fraction: float | None,
        received_seconds: float,
    ) -> float | None:
        """Never allow an early answer."""
