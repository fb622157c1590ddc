"""State the targets, and tell which ones the measurements meet.

The bounds were stated before measuring and follow from what the users need.
"""

from collections.abc import Mapping, Sequence

import attrs

from benchmarks import tables
from benchmarks.outcomes import Outcome, cold_peaks

#: Of the naive tier's p99, with a straggler in every shard.
MAX_P99_SHARE = 0.5
MAX_EXTRA_SENDS = 0.05
MIN_ZONE_COVERAGE = 0.999
#: What the stand-in bears while it is cold; above that it collapses.
MAX_COLD_CONCURRENCY = 1
MAX_COLD_PER_SECOND = 2
#: Of the completed searches a second at the best load.
MIN_OVERLOAD_SHARE = 0.9
_P99 = 99


@attrs.frozen(kw_only=True)
class Verdict:
    """Compare one figure with its bound."""

    name: str
    bound: str
    measured: str
    met: bool


def judge(
    ours: Mapping[str, Outcome], naive: Mapping[str, Outcome]
) -> list[Verdict]:
    """Judge the outcomes by experiment."""
    return [
        *_judge_stragglers(ours['stragglers'], naive['stragglers']),
        *_judge_zone(ours['zone']),
        judge_overload(ours['overload']),
    ]


def judge_overload(ours: Outcome) -> Verdict:
    """Compare completed searches with the best of all offered loads."""
    positions = range(len(ours.runs[0]))
    rates = [ours.completed_per_second(position) for position in positions]
    share = rates[0] / max(*rates, 1)
    listed = ', '.join(tables.render_number(rate, 1) for rate in rates)
    return Verdict(
        name='completed searches at twice what the slots serve, of the peak',
        bound=_at_least(MIN_OVERLOAD_SHARE),
        measured=f'{tables.render_share(share)} ({listed} a second)',
        met=share >= MIN_OVERLOAD_SHARE,
    )


def print_verdicts(verdicts: Sequence[Verdict]) -> None:
    """Print target, measured, met or missed."""
    rows = [
        (one.name, one.bound, one.measured, 'met' if one.met else 'MISSED')
        for one in verdicts
    ]
    tables.say(tables.render(('target', 'bound', 'measured', 'verdict'), rows))


def _judge_stragglers(ours: Outcome, naive: Outcome) -> list[Verdict]:
    share = ours.tally.latency_ms(_P99) / naive.tally.latency_ms(_P99)
    return [
        Verdict(
            name='p99 with stragglers, of the naive tier',
            bound=_at_most(MAX_P99_SHARE),
            measured=tables.render_share(share),
            met=share <= MAX_P99_SHARE,
        ),
        Verdict(
            name='extra sends with stragglers',
            bound=_at_most(MAX_EXTRA_SENDS),
            measured=tables.render_share(ours.extra_share),
            met=ours.extra_share <= MAX_EXTRA_SENDS,
        ),
    ]


def _judge_zone(ours: Outcome) -> list[Verdict]:
    coverage = ours.tally.coverage
    peaks = cold_peaks(ours)
    at_once = peaks['largest_cold_concurrency']
    per_second = peaks['largest_cold_per_second']
    return [
        Verdict(
            name='coverage while a failure domain leaves and returns',
            bound=_at_least(MIN_ZONE_COVERAGE),
            measured=tables.render_share(coverage),
            met=coverage >= MIN_ZONE_COVERAGE,
        ),
        Verdict(
            name='largest load on a cold server',
            bound=f'{MAX_COLD_CONCURRENCY} at once, {MAX_COLD_PER_SECOND}/s',
            measured=f'{at_once} at once, {per_second}/s',
            met=at_once <= MAX_COLD_CONCURRENCY
            and per_second <= MAX_COLD_PER_SECOND,
        ),
    ]


def _at_least(share: float) -> str:
    return f'at least {tables.render_share(share)}'


def _at_most(share: float) -> str:
    return f'at most {tables.render_share(share)}'
