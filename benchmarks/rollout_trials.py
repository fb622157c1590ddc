"""Measure how rollouts of good and bad versions end, in a model.

Run `python -m benchmarks.rollout_trials --seeds 30`. The model of the tests
plays fronts, replicas and a store under load, with rates of requests at which
the bound on exposure leaves many or few answers of the target version.
"""

import argparse
import asyncio
import collections
import sys

import attrs
from loguru import logger

from tests.rollout_models import (
    DURATION_SECONDS,
    Behaviour,
    RolloutModel,
    create_model,
)
from tests.test_rollouts import BEHAVIOURS

_FRONT_COUNT = 79
_REPLICA_COUNTS = (11, 11)
_REQUESTS_PER_SECOND = (200, 60, 30)


@attrs.frozen
class _Trial:
    state: str
    ended_at_seconds: float
    #: Requests that the target got before the decision, and their share.
    exposed_count: int
    exposed_share: float


def main() -> None:
    """Print a row for each rate of requests and behaviour of the version."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=10)
    seed_count = parser.parse_args().seeds
    logger.disable('dragonflyramp')
    sys.stdout.write(
        'requests/s  version  ends  latest end, s  '
        'greatest exposure: share, requests\n'
    )
    for requests_per_second in _REQUESTS_PER_SECOND:
        for name, behaviour in BEHAVIOURS.items():
            trials = [
                asyncio.run(_play(behaviour, requests_per_second, seed))
                for seed in range(seed_count)
            ]
            row = _format(trials)
            sys.stdout.write(f'{requests_per_second}  {name}  {row}\n')
            sys.stdout.flush()


async def _play(
    behaviour: Behaviour, requests_per_second: float, seed: int
) -> _Trial:
    model: RolloutModel = create_model(
        behaviour, seed, _FRONT_COUNT, _REPLICA_COUNTS
    )
    model.requests_per_second = requests_per_second
    model.order()
    await model.run_until(DURATION_SECONDS + 1)
    exposed_count = sum(sent.is_tested for sent in model.target)
    total = sum(sent.at_seconds <= DURATION_SECONDS for sent in model.sent)
    return _Trial(
        model.state,
        model.ended_at_seconds or float('inf'),
        exposed_count,
        exposed_count / total,
    )


def _format(trials: list[_Trial]) -> str:
    ends = dict(collections.Counter(trial.state for trial in trials))
    latest_seconds = max(trial.ended_at_seconds for trial in trials)
    exposed_share = max(trial.exposed_share for trial in trials)
    exposed_count = max(trial.exposed_count for trial in trials)
    return f'{ends}  {latest_seconds:.1f}  {exposed_share:.3f}, {exposed_count}'


if __name__ == '__main__':
    main()
