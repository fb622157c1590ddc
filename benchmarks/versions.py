"""Compare the daemons of an earlier checkout with the present ones.

Run `python -m benchmarks.versions DIRECTORY [EXPERIMENT ...]`, where the
directory holds a checkout, as from `git worktree add DIRECTORY COMMIT`.
"""

import pathlib
import sys
from collections.abc import Sequence

import attrs

from benchmarks.comparisons import Comparison, compare
from benchmarks.experiments import ALL
from benchmarks.worlds import OURS


def main(arguments: Sequence[str]) -> None:
    """Compare two versions in the named experiments, or in all."""
    root = pathlib.Path(arguments[0]).resolve()
    names = arguments[1:]
    earlier = attrs.evolve(OURS, label='earlier', root=root)
    now = attrs.evolve(OURS, label='now')
    compare(
        Comparison(
            tiers=(earlier, now),
            experiments=[
                experiment
                for experiment in ALL
                if not names or experiment.name in names
            ],
        )
    )


if __name__ == '__main__':
    main(sys.argv[1:])
