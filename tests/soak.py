"""Run the fault soak by hand: `python -m tests.soak --seeds 1-50`."""

import argparse
import asyncio
import pathlib
import sys
import tempfile

from tests.soaks import run_seed

_SECONDS = 12


def main() -> int:
    """Run seeds, some at a time, and print what they broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', default='1-50', help='as 7 or 1-50')
    parser.add_argument('--seconds', type=float, default=_SECONDS)
    parser.add_argument('--jobs', type=int, default=2)
    given = parser.parse_args()
    first, _, last = given.seeds.partition('-')
    seeds = range(int(first), int(last or first) + 1)
    return asyncio.run(_run(seeds, given.seconds, given.jobs))


async def _run(seeds: range, seconds: float, jobs: int) -> int:
    turns = asyncio.Semaphore(jobs)
    broken = await asyncio.gather(
        *(_run_one(seed, seconds, turns) for seed in seeds)
    )
    red = sum(broken)
    sys.stdout.write(f'{len(seeds)} seeds, {red} broke a promise\n')
    return int(red > 0)


async def _run_one(seed: int, seconds: float, turns: asyncio.Semaphore) -> bool:
    async with turns:
        with tempfile.TemporaryDirectory() as folder:
            run = await run_seed(seed, seconds, pathlib.Path(folder))
    sys.stdout.write(
        f'seed {seed}: {run.asked} asked, {run.served} served, '
        f'{len(run.faults)} faults, {len(run.violations)} broken\n'
    )
    for one in run.violations[:10]:
        sys.stdout.write(f'  {one}\n')
    sys.stdout.flush()
    return bool(run.violations)


if __name__ == '__main__':
    sys.exit(main())
