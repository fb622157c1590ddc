"""Check holds against replicas and against the stored holds.

A shard is dark if holds take all its replicas out of service.
"""

from collections.abc import Collection, Iterable, Iterator, Mapping

import attrs

from dragonflyramp.models import Configuration, Hold, HoldKind, ShardReplica
from dragonflyramp.operators._problems import Problem
from dragonflyramp.results import ResultCode

_MAX_SHARDS_PER_PROBLEM = 5


@attrs.frozen
class DarkShard:
    """Dark shard, and the names of the holds on its replicas."""

    shard: str
    holds: frozenset[str]


def removed_or_changed_holds(
    stored: Iterable[Hold], proposed: Mapping[str, Hold]
) -> tuple[Hold, ...]:
    """Return the stored holds that a proposal removes or changes."""
    return tuple(hold for hold in stored if proposed.get(hold.name) != hold)


def added_or_changed_hold_names(
    stored: Iterable[Hold], proposed: Mapping[str, Hold]
) -> frozenset[str]:
    """Return the names of the holds that a proposal adds or changes."""
    stored_holds = tuple(stored)
    return frozenset(
        name for name, hold in proposed.items() if hold not in stored_holds
    )


def protected_hold_problems(
    removed_or_changed: Iterable[Hold], released_holds: Collection[str]
) -> tuple[Problem, ...]:
    """Return a problem for each of these holds that is not released."""
    return tuple(
        Problem(
            code=ResultCode.hold_protected,
            key=f'holds.{hold.name}',
            sentence=(
                f'set by {hold.by} at {hold.at} ({hold.reason}); '
                f'push with --release {hold.name} to remove or change it'
            ),
        )
        for hold in removed_or_changed
        if hold.name not in released_holds
    )


def dark_shards(
    configuration: Configuration, replicas: Iterable[ShardReplica]
) -> tuple[DarkShard, ...]:
    """Return the shards whose replicas in `replicas` all have a hold.

    Shards without a replica in `replicas` are not included.
    """
    holds_by_shard: dict[str, set[str]] = {}
    served_shards: set[str] = set()
    for replica in replicas:
        hold_names = set(_hold_names_of(configuration, replica))
        holds_by_shard.setdefault(replica.shard, set()).update(hold_names)
        if not hold_names:
            served_shards.add(replica.shard)
    return tuple(
        DarkShard(shard, frozenset(hold_names))
        for shard, hold_names in holds_by_shard.items()
        if shard not in served_shards
    )


def dark_shard_problems(
    configuration: Configuration,
    replicas: Iterable[ShardReplica],
    hold_names: Collection[str],
) -> tuple[Problem, ...]:
    """Return a problem for each hold in `hold_names` that leaves shards dark.

    A shard is exempt if one of the holds on its replicas has `confirm_dark`.
    """
    shards_by_hold: dict[str, list[str]] = {}
    confirmed_holds = {
        hold.name for hold in configuration.holds.values() if hold.confirm_dark
    }
    for dark_shard in dark_shards(configuration, replicas):
        if dark_shard.holds.isdisjoint(confirmed_holds):
            for hold_name in dark_shard.holds.intersection(hold_names):
                shards_by_hold.setdefault(hold_name, []).append(
                    dark_shard.shard
                )
    return tuple(
        _dark_shard_problem(name, shards)
        for name, shards in sorted(shards_by_hold.items())
    )


def unknown_replica_problems(
    configuration: Configuration,
    replicas: Iterable[ShardReplica],
    hold_names: Collection[str],
) -> tuple[Problem, ...]:
    """Return a problem for each hold in `hold_names` on an unknown replica."""
    replica_ids = {replica.replica_id for replica in replicas}
    return tuple(
        Problem(
            code=ResultCode.unknown_name,
            key=f'holds.{name}',
            sentence='no replica in the text or on the platform has this id',
        )
        for name in sorted(hold_names)
        if configuration.holds[name].kind is HoldKind.replica
        and name not in replica_ids
    )


def static_replicas(configuration: Configuration) -> tuple[ShardReplica, ...]:
    """Return the replicas that the operators' text lists."""
    return tuple(
        ShardReplica(
            replica_id=replica.replica_id,
            shard=service.name,
            address=replica.address,
            failure_domain=replica.failure_domain,
        )
        for service in configuration.services.values()
        for replica in service.replicas
    )


def _hold_names_of(
    configuration: Configuration, replica: ShardReplica
) -> Iterator[str]:
    kinds_by_name = {
        replica.replica_id: HoldKind.replica,
        replica.failure_domain: HoldKind.failure_domain,
    }
    for name, kind in kinds_by_name.items():
        hold = configuration.holds.get(name)
        if hold and hold.kind is kind:
            yield name


def _dark_shard_problem(name: str, shards: list[str]) -> Problem:
    shown = ', '.join(shards[:_MAX_SHARDS_PER_PROBLEM])
    hidden = len(shards) - _MAX_SHARDS_PER_PROBLEM
    more = f' and {hidden} more' if hidden > 0 else ''
    return Problem(
        code=ResultCode.hold_leaves_shard_dark,
        key=f'holds.{name}',
        sentence=(
            f'leaves no replica of {shown}{more}; '
            'set confirm_dark = true in the hold '
            '(`zone out`: --confirm_dark) to accept this'
        ),
    )
