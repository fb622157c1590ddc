"""Decide which replica gets a request."""

import random
from collections.abc import Sequence
from typing import Protocol

import attrs

_WITHOUT_LATENCY_SECONDS = 0.001


@attrs.frozen(kw_only=True)
class Candidate:
    """Describe a replica that may get one more request now."""

    replica_id: str
    failure_domain: str
    running: int
    latency_seconds: float | None
    warm: bool
    last_start_seconds: float


@attrs.frozen(kw_only=True)
class ChoiceContext:
    """Describe the request that a replica is chosen for.

    A request that others wait for, or that is not repeated, avoids probes.
    """

    failure_domain: str
    avoid_probes: bool


class ChoicePolicy(Protocol):
    """Choose among the candidates; there is at least one."""

    def choose(
        self,
        candidates: Sequence[Candidate],
        choice_context: ChoiceContext,
        *,
        now_seconds: float,
        rng: random.Random,
    ) -> Candidate:
        """Choose the replica for one request."""


@attrs.frozen(kw_only=True)
class LeastLoadedChoice:
    """Take the lowest (running + 1) x recent latency.

    A replica that got nothing for some time is probed first: a cold one must
    get some traffic to become warm, and a slow one to show that it recovered.
    """

    cold_probe_seconds: float = 0.1
    rare_probe_seconds: float = 2
    warm_probe_seconds: float = 1
    #: Scores within this fraction of the lowest one count as equal.
    tie_fraction: float = 0.1

    def choose(
        self,
        candidates: Sequence[Candidate],
        choice_context: ChoiceContext,
        *,
        now_seconds: float,
        rng: random.Random,
    ) -> Candidate:
        """Probe the replica that waited longest, or take the lowest score."""
        waiting = [
            candidate
            for candidate in candidates
            if self._needs_probe(candidate, choice_context, now_seconds)
        ]
        if waiting:
            return min(
                waiting,
                key=lambda candidate: (
                    candidate.warm,
                    candidate.last_start_seconds,
                ),
            )
        return _lowest(candidates, choice_context, self.tie_fraction, rng)

    def _needs_probe(
        self,
        candidate: Candidate,
        choice_context: ChoiceContext,
        now_seconds: float,
    ) -> bool:
        probe_seconds = self.warm_probe_seconds
        if choice_context.avoid_probes:
            probe_seconds = self.rare_probe_seconds
        elif not candidate.warm:
            probe_seconds = self.cold_probe_seconds
        return now_seconds - candidate.last_start_seconds >= probe_seconds


@attrs.frozen
class RandomChoice:
    """Take any candidate."""

    def choose(
        self,
        candidates: Sequence[Candidate],
        choice_context: ChoiceContext,
        *,
        now_seconds: float,
        rng: random.Random,
    ) -> Candidate:
        """Choose at random."""
        return rng.choice(candidates)


def _lowest(
    candidates: Sequence[Candidate],
    choice_context: ChoiceContext,
    tie_fraction: float,
    rng: random.Random,
) -> Candidate:
    known = [
        candidate.latency_seconds
        for candidate in candidates
        if candidate.latency_seconds is not None
    ]
    fallback = min(known, default=_WITHOUT_LATENCY_SECONDS)
    scored = [
        (_score(candidate, fallback), candidate) for candidate in candidates
    ]
    bound = min(score for score, _ in scored) * (1 + tie_fraction)
    tied = [candidate for score, candidate in scored if score <= bound]
    near = [
        candidate
        for candidate in tied
        if candidate.failure_domain == choice_context.failure_domain
    ]
    return rng.choice(near or tied)


def _score(candidate: Candidate, fallback_seconds: float) -> float:
    latency_seconds = candidate.latency_seconds
    if latency_seconds is None:
        latency_seconds = fallback_seconds
    return (candidate.running + 1) * latency_seconds
