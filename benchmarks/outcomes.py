"""Sum up the runs of one experiment with one set of policies."""

import collections
from collections.abc import Callable, Mapping, Sequence

import attrs

from benchmarks import tables
from benchmarks.experiments import Experiment
from benchmarks.tallies import Tally, add_up
from benchmarks.worlds import Phase, World
from dragonflyramp.results import ResultCode

_P50 = 50
_P99 = 99
_P999 = 99.9
_MS = 1000
_HEAD = (
    'tier',
    'searches/s',
    'answered',
    'p50 ms',
    'p99 ms',
    'of runs',
    'p99.9 ms',
    'coverage',
    'of runs',
    'extra sends',
    'each search',
    'complete/s',
)


@attrs.frozen(kw_only=True)
class Outcome:
    """Hold the runs of one experiment, one list of phases for each seed."""

    experiment: Experiment
    label: str
    runs: Sequence[Sequence[Phase]]

    @property
    def main(self) -> list[Phase]:
        """List the phase to compare of each run."""
        return [phases[0] for phases in self.runs]

    @property
    def tally(self) -> Tally:
        """Add up the phases to compare."""
        return add_up(phase.tally for phase in self.main)

    @property
    def extra_sends(self) -> int:
        """Count the extra sends."""
        return sum(phase.usage.extra_sends for phase in self.main)

    @property
    def extra_share(self) -> float:
        """Give the extra sends as a fraction of the necessary ones."""
        extra = sum(phase.usage.extra_sends for phase in self.main)
        return extra / max(
            1, sum(phase.usage.first_sends for phase in self.main)
        )

    def completed_per_second(self, position: int = 0) -> float:
        """Give the completed searches a second in one phase of each run."""
        phases = [run[position] for run in self.runs]
        seconds = sum(phase.load.seconds for phase in phases)
        return sum(phase.tally.completed for phase in phases) / seconds


async def measure(world: World, experiment: Experiment) -> Outcome:
    """Run an experiment once for each of its seeds."""
    return Outcome(
        experiment=experiment,
        label=world.tier.label,
        runs=[await experiment.run(world, seed) for seed in experiment.seeds],
    )


def print_outcomes(outcomes: Sequence[Outcome]) -> None:
    """Print the outcomes of one experiment side by side."""
    tables.say(tables.render(_HEAD, map(_cells, outcomes)))
    for outcome in outcomes:
        refused = tables.render_counts(outcome.tally.refused())
        tables.say(f'{outcome.label}: refused: {refused}')
        missing = tables.render_counts(_missing(outcome.tally))
        tables.say(f'{outcome.label}: missing shards: {missing}')
        busiest = ', '.join(_processors(outcome))
        tables.say(f'{outcome.label}: busiest process: {busiest}')


def cold_peaks(outcome: Outcome) -> Mapping[str, int]:
    """Give the largest load on a cold server up to the last run."""
    usage = outcome.main[-1].usage
    peaks: collections.Counter[str] = collections.Counter()
    for server in usage.backends.values():
        for name in ('largest_cold_concurrency', 'largest_cold_per_second'):
            peaks[name] = max(peaks[name], server[name])
        peaks['violations'] += server['violations']
    return peaks


def _cells(outcome: Outcome) -> list[str]:
    tally = outcome.tally
    offered = outcome.main[0].load.per_second
    number = tables.render_number
    return [
        outcome.label,
        number(offered, 0),
        f'{tally.answered} of {tally.arrived}',
        number(tally.latency_ms(_P50), 1),
        number(tally.latency_ms(_P99), 1),
        _spread(outcome, lambda one: one.latency_ms(_P99), 1),
        number(tally.latency_ms(_P999), 1),
        number(tally.coverage, 4),
        _spread(outcome, lambda one: one.coverage, 4),
        tables.render_share(outcome.extra_share),
        number(outcome.extra_sends / max(1, tally.arrived), 2),
        number(outcome.completed_per_second(), 1),
    ]


def _missing(tally: Tally) -> Mapping[str, int]:
    return {
        ResultCode(int(code)).name: count
        for code, count in tally.missing.most_common()
    }


def _spread(
    outcome: Outcome, number: Callable[[Tally], float], digits: int
) -> str:
    numbers = [number(phase.tally) for phase in outcome.main]
    return tables.render_range(numbers, digits)


def _processors(outcome: Outcome) -> list[str]:
    """Name the busiest process of each kind, as a share of one processor."""
    usages = [phase.usage for phase in outcome.main]
    shares = {
        group: max(usage.busiest(group) for usage in usages)
        for group in ('fronts', 'relays', 'backends')
    }
    shares['load generator'] = max(
        phase.tally.processor_seconds / phase.usage.seconds
        for phase in outcome.main
    )
    lag_ms = tables.render_number(outcome.tally.largest_lag_seconds * _MS, 0)
    return [
        *(
            f'{group} {tables.render_share(share)}'
            for group, share in shares.items()
        ),
        f'load generator at most {lag_ms} ms late',
    ]
