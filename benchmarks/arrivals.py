"""Draw the arrivals of an open load from a seed."""

import random
from collections.abc import Iterator

import attrs


@attrs.frozen(kw_only=True)
class SearchedService:
    """Describe a service that callers search."""

    name: str
    deadline_ms: int
    #: A search counts as completed from this coverage on.
    coverage_target: float


@attrs.frozen(kw_only=True)
class LoadSpec:
    """Describe an open load; all services get the same rate.

    `new_share` of the searches have a body that no other search has, the
    others one of `popular_bodies`. `caller_latency_ms` is one way.
    """

    fronts: tuple[str, ...]
    services: tuple[SearchedService, ...]
    per_second: float
    seconds: float
    seed: int
    caller_latency_ms: float = 0
    new_share: float = 0.3
    popular_bodies: int = 200


@attrs.frozen(kw_only=True)
class Arrival:
    """Describe one search and its intended time since the start."""

    at_seconds: float
    service: SearchedService
    front: str
    body: dict[str, object]


def draw_arrivals(spec: LoadSpec) -> Iterator[Arrival]:
    """Draw exponential gaps; the same seed gives the same arrivals."""
    rng = random.Random(spec.seed)
    at_seconds = rng.expovariate(spec.per_second)
    turn = 0
    while at_seconds < spec.seconds:
        yield Arrival(
            at_seconds=at_seconds,
            service=rng.choice(spec.services),
            front=spec.fronts[turn % len(spec.fronts)],
            body=_body(spec, rng, turn),
        )
        at_seconds += rng.expovariate(spec.per_second)
        turn += 1


def _body(spec: LoadSpec, rng: random.Random, turn: int) -> dict[str, object]:
    popular = rng.randrange(spec.popular_bodies)
    if rng.random() < spec.new_share:
        return {'date': f'new-{spec.seed}-{turn}'}
    return {'date': f'popular-{popular}'}
