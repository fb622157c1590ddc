"""Compare admission control with none where kinds of requests contend.

Run `python -m benchmarks.contention --kinds lookups --scale 1 --seed 1`.

60 fronts send lookups of 64.6 ms to 7 replicas with 2 slots, or searches of
3.75 ms (urgent) and 11.2 ms to 36 shards of 3 replicas with 4 slots, at the
peak rates of docs/hard-load.md multiplied by the scale. A tenth of the
replicas is slow. Lookups come from twelve tenants: four of each of three
priorities, and one of the least urgent sends six times as much as the others.
The table has a line for each priority: requests sent, and the shares of them
that were served, served within the latency target, and rejected.
"""

import argparse
import sys
from collections.abc import Iterable

import attrs
from loguru import logger

from benchmarks.emulator import (
    ContentionRun,
    Experiment,
    Fault,
    Kind,
    KindStatistics,
    make_lookup_route,
    make_search_route,
    run_contention,
)
from dragonflyramp.tenants import Tenant

_LOOKUPS_PER_SECOND = 10.5 * 2.5
_URGENT_SEARCHES_PER_SECOND = 18.2 * 1.8
_SEARCHES_PER_SECOND = 31.6 * 1.8
_PRIORITY_COUNT = 3
_TENANT_COUNT = 12
#: A tenant at six times its usual rate beside the others.
_LARGE_TENANT_FACTOR = 6
_SLOW_SHARE = 0.1
_SLOW_FACTOR = 7

_SHARDS = Experiment(
    name='contention',
    seed=1,
    seconds=13,
    fronts=60,
    failure_domains=3,
    shards=36,
    replicas=3,
    slots=4,
    queue=24,
    connections=62,
    searches_per_second=_SEARCHES_PER_SECOND,
    work_ms=11.2,
    pause_ms=100,
    pause_every_seconds=2.4,
    cross_domain_ms=1.8,
    target_ms=135,
    timeout_ms=2000,
    budget_slack=156,
    min_share=0.89,
    faults=(
        Fault(
            kind='slow',
            at_seconds=0,
            for_seconds=60,
            share=_SLOW_SHARE,
            factor=_SLOW_FACTOR,
        ),
    ),
)
_LOOKUPS = attrs.evolve(_SHARDS, replicas=7, slots=2, connect_ms=1, pause_ms=0)
_TENANTS = tuple(
    Tenant(name=f'tenant-{index}', priority=index % _PRIORITY_COUNT)
    for index in range(_TENANT_COUNT)
)
_LARGE_TENANT = _TENANTS[-1].name


def main() -> None:
    """Print what callers get with and without admission control."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--kinds', choices=('lookups', 'searches'))
    parser.add_argument('--scale', type=float, default=1)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=13)
    options = parser.parse_args()
    logger.remove()
    run = make_run(options.kinds, options.scale, options.seed, options.seconds)
    for has_admission in (False, True):
        statistics = run_contention(
            attrs.evolve(run, has_admission=has_admission)
        )
        name = 'priority' if has_admission else 'all'
        sys.stdout.write(f'{name}\n{_format_table(statistics)}')


def make_run(
    kinds_name: str, scale: float, seed: int, seconds: float = _SHARDS.seconds
) -> ContentionRun:
    """Create a run of lookups or searches with admission control."""
    create_kinds = {'lookups': _make_lookups, 'searches': _make_searches}
    return ContentionRun(
        experiment=attrs.evolve(_SHARDS, seed=seed, seconds=seconds),
        lookup_experiment=attrs.evolve(_LOOKUPS, seed=seed),
        kinds=create_kinds[kinds_name](scale),
        tenants=_TENANTS,
    )


def _make_lookups(scale: float) -> tuple[Kind, ...]:
    route = make_lookup_route(_SHARDS, 'lookup', 520, 1)
    weights = {
        tenant.name: (
            _LARGE_TENANT_FACTOR if tenant.name == _LARGE_TENANT else 1
        )
        for tenant in _TENANTS
    }
    return tuple(
        Kind(
            route=route,
            tenant=name,
            requests_per_second=scale
            * _LOOKUPS_PER_SECOND
            * weight
            / sum(weights.values()),
            work_ms=64.6,
        )
        for name, weight in weights.items()
    )


def _make_searches(scale: float) -> tuple[Kind, ...]:
    return (
        Kind(
            route=make_search_route(_SHARDS, 'urgent', 46.1, 0),
            tenant='tenant-0',
            requests_per_second=scale * _URGENT_SEARCHES_PER_SECOND,
            work_ms=3.75,
        ),
        Kind(
            route=make_search_route(_SHARDS, 'normal', 135, 2),
            tenant='tenant-2',
            requests_per_second=scale * _SEARCHES_PER_SECOND,
            work_ms=11.2,
        ),
    )


def _format_table(statistics: list[KindStatistics]) -> str:
    groups: dict[str, list[KindStatistics]] = {}
    for counts in statistics:
        groups.setdefault(_group_name(counts), []).append(counts)
    rows = [_format_row(name, groups[name]) for name in sorted(groups)]
    return ''.join((*rows, _format_row('together', statistics)))


def _group_name(counts: KindStatistics) -> str:
    if counts.kind.tenant == _LARGE_TENANT:
        return 'large tenant'
    priorities = {tenant.name: tenant.priority for tenant in _TENANTS}
    priority = priorities[counts.kind.tenant]
    return f'priority {priority}'


def _format_row(name: str, statistics: Iterable[KindStatistics]) -> str:
    rows = [
        (
            counts.sent_count,
            counts.served_count,
            counts.on_time_count,
            counts.rejected_count,
        )
        for counts in statistics
    ]
    sent, *others = map(sum, zip(*rows, strict=True))
    cells = [
        name.ljust(14),
        str(sent).rjust(7),
        *(format(count / max(1, sent), '9.1%') for count in others),
    ]
    return ''.join(('  ', *cells, '\n'))


if __name__ == '__main__':
    main()
