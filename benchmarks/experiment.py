"""Compare sets of policies in an emulated deployment.

Run `python -m benchmarks.experiment benchmarks/experiments/stragglers.toml`.

The table has a line for each set of policies: the number of searches after the
warm-up; percentiles of their latency; "on time", the share of searches answered
within the latency target; "value", the mean of the squared share of shards that
an answer covers, where errors and late answers count as 0; and "extra", the
requests to replicas beyond one per part, as a percentage of the number of
parts, including those of the warm-up.
"""

import argparse
import pathlib
import sys
from collections.abc import Mapping

from loguru import logger

from benchmarks.emulator import (
    POLICY_SETS,
    Experiment,
    RunStatistics,
    read_experiment,
    run_experiment,
)

_PERCENTILES = (50, 99, 99.9)
_MAX_PERCENTILE = 100
#: The plot has a point at the latency that each percentage of searches exceeds.
_TAIL_PERCENTAGES = (100, 70, 40, 20, 10, 4, 2, 1, 0.4, 0.1)
_TABLE_HEADER = (
    'policy        searches     p50     p99   p99.9    on time  value  extra\n'
    '                            ms      ms      ms          %      %      %'
)


def main() -> None:
    """Run an experiment with each set of policies, and print the statistics."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('file', type=pathlib.Path)
    parser.add_argument('--policies', default=','.join(POLICY_SETS))
    parser.add_argument(
        '--plot',
        type=pathlib.Path,
        help='file for a latency plot, such as plot.png',
    )
    options = parser.parse_args()
    logger.remove()
    experiment = read_experiment(options.file)
    statistics_by_policy = {
        name: run_experiment(experiment, POLICY_SETS[name])
        for name in options.policies.split(',')
    }
    sys.stdout.write(
        f'{experiment.name}, seed {experiment.seed}\n{_TABLE_HEADER}\n'
    )
    for name, statistics in statistics_by_policy.items():
        sys.stdout.write(f'{_format_row(name, statistics)}\n')
    if options.plot:
        _plot_latencies(experiment, statistics_by_policy, options.plot)


def _format_row(name: str, statistics: RunStatistics) -> str:
    search_count = max(1, statistics.search_count)
    latencies_ms = [
        statistics.latency_ms_histogram.get_value_at_percentile(percentile)
        for percentile in _PERCENTILES
    ]
    cells = [
        str(statistics.search_count).rjust(10),
        *(str(latency_ms).rjust(8) for latency_ms in latencies_ms),
        _format_percent(statistics.on_time_count / search_count).rjust(11),
        _format_percent(statistics.value_sum / search_count).rjust(7),
        _format_percent(statistics.extra_request_ratio).rjust(7),
    ]
    return name.ljust(12) + ''.join(cells)


def _format_percent(ratio: float) -> str:
    return format(ratio * 100, '.1f')


def _plot_latencies(
    experiment: Experiment,
    statistics_by_policy: Mapping[str, RunStatistics],
    path: pathlib.Path,
) -> None:
    """Plot the percentage of searches that exceed each latency."""
    from matplotlib import pyplot  # noqa: PLC0415 - slow import, rarely used

    figure, axes = pyplot.subplots()
    for name, statistics in statistics_by_policy.items():
        latencies_ms = [
            statistics.latency_ms_histogram.get_value_at_percentile(
                _MAX_PERCENTILE - tail_percentage
            )
            for tail_percentage in _TAIL_PERCENTAGES
        ]
        axes.semilogy(latencies_ms, _TAIL_PERCENTAGES, label=name)
    axes.axvline(experiment.target_ms, linestyle=':')
    axes.set_xlabel('latency (ms)')
    axes.set_ylabel('searches with a higher latency (%)')
    axes.legend()
    figure.savefig(path)


if __name__ == '__main__':
    main()
