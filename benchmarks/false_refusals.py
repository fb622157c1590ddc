"""Measure how often a request that ends no replica is refused as one that does.

Run `python -m benchmarks.false_refusals`. Replicas end by themselves during an
attempt with a given probability, as in the second in which a failure domain is
lost. Four fronts with a store decide as in production; each front gets the same
popular request in turn.
"""

import argparse
import asyncio
import collections
import random
import sys

from loguru import logger

from dragonflyramp.callers import Answer, Refusal, RelayedAnswer
from dragonflyramp.fingerprints import compute_fingerprint
from dragonflyramp.results import ResultCode
from dragonflyramp.suspects import MAX_CRASH_ROUNDS
from tests.front_harnesses import make_request
from tests.suspect_models import World

_END_PROBABILITIES = (0.4, 0.2, 0.1, 0.05, 0.002)
_PATH = 'popular'
_MAX_ATTEMPTS = 2


def main() -> None:
    """Print a row for each probability that an attempt ends its replica."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--requests', type=int, default=50000)
    request_count = parser.parse_args().requests
    logger.disable('dragonflyramp')
    sys.stdout.write(
        'end of a replica  served  failed  refused in a trial  '
        'blocked (of a million)  cube of the probability\n'
    )
    for probability in _END_PROBABILITIES:
        counts = asyncio.run(_measure(probability, request_count))
        row = [
            counts[outcome] / request_count * 1e6
            for outcome in ('served', 'failed', 'refused', 'blocked')
        ]
        cells = '  '.join(f'{cell:.0f}' for cell in row)
        cube = probability**MAX_CRASH_ROUNDS * 1e6
        sys.stdout.write(f'{probability}  {cells}  {cube}\n')


async def _measure(
    probability: float, request_count: int
) -> collections.Counter[str]:
    rng = random.Random(1)
    counts: collections.Counter[str] = collections.Counter()
    world = World()
    for number in range(request_count):
        front = world.fronts[number % len(world.fronts)]
        replica_ends = [
            rng.random() < probability for _ in range(_MAX_ATTEMPTS)
        ]
        counts[_outcome(await front.send(_PATH, replica_ends))] += 1
        await world.deliver_messages()
        if _is_blocked(world):
            counts['blocked'] += 1
            world = World()
    return counts


def _outcome(answer: Answer) -> str:
    if isinstance(answer, RelayedAnswer):
        return 'served'
    is_refused = (
        isinstance(answer, Refusal) and answer.code is ResultCode.crash_suspect
    )
    return 'refused' if is_refused else 'failed'


def _is_blocked(world: World) -> bool:
    table = world.fronts[0].suspects.table
    suspicion = table.find(compute_fingerprint(make_request(path=f'/{_PATH}')))
    return suspicion.crash_rounds >= MAX_CRASH_ROUNDS


if __name__ == '__main__':
    main()
