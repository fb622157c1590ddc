"""Compare policies in an emulated installation.

Run `python -m benchmarks.experiment benchmarks/experiments/stragglers.toml`.
"""

import argparse
import pathlib
import sys
from collections.abc import Mapping

from loguru import logger

from benchmarks.emulator import (
    POLICIES,
    Experiment,
    Outcome,
    play,
    read_experiment,
)

_QUANTILES = (50, 99, 99.9)
_ALL_PERCENT = 100
#: Points of the drawing: the share of the searches that took longer.
_SLOWER_PERCENT = (100, 70, 40, 20, 10, 4, 2, 1, 0.4, 0.1)
_HEAD = 'policy        searches  p50 ms  p99 ms  p99.9  in target  worth  extra'


def main() -> None:
    """Print a table, and draw the latencies if asked to."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('file', type=pathlib.Path)
    parser.add_argument('--policies', default=','.join(POLICIES))
    parser.add_argument('--plot', type=pathlib.Path, help='a file to draw to')
    given = parser.parse_args()
    logger.remove()
    experiment = read_experiment(given.file)
    outcomes = {
        name: play(experiment, POLICIES[name])
        for name in given.policies.split(',')
    }
    sys.stdout.write(f'{experiment.name}, seed {experiment.seed}\n{_HEAD}\n')
    for name, outcome in outcomes.items():
        sys.stdout.write(f'{_row(name, outcome)}\n')
    if given.plot:
        _draw(experiment, outcomes, given.plot)


def _row(name: str, outcome: Outcome) -> str:
    searches = max(1, outcome.searches)
    quantiles = [
        outcome.latencies.get_value_at_percentile(quantile)
        for quantile in _QUANTILES
    ]
    cells = [
        str(outcome.searches).rjust(10),
        *(str(quantile).rjust(8) for quantile in quantiles),
        _percent(outcome.in_target / searches).rjust(11),
        _percent(outcome.worth / searches).rjust(7),
        _percent(outcome.extra_share).rjust(7),
    ]
    return name.ljust(12) + ''.join(cells)


def _percent(share: float) -> str:
    return format(share * 100, '.1f')


def _draw(
    experiment: Experiment,
    outcomes: Mapping[str, Outcome],
    path: pathlib.Path,
) -> None:
    """Draw the share of the searches that took longer, by latency."""
    from matplotlib import pyplot  # noqa: PLC0415 - slow, and rarely needed

    figure, axes = pyplot.subplots()
    for name, outcome in outcomes.items():
        latencies_ms = [
            outcome.latencies.get_value_at_percentile(_ALL_PERCENT - slower)
            for slower in _SLOWER_PERCENT
        ]
        axes.semilogy(latencies_ms, _SLOWER_PERCENT, label=name)
    axes.axvline(experiment.target_ms, linestyle=':')
    axes.set_xlabel('latency, ms')
    axes.set_ylabel('searches that took longer, %')
    axes.legend()
    figure.savefig(path)


if __name__ == '__main__':
    main()
