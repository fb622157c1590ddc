"""List the replicas that holds are checked against."""

from collections.abc import Iterable, Iterator

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.models import Configuration, ShardReplica
from dragonflyramp.operators._hold_checks import static_replicas
from dragonflyramp.replicas import ReplicaEntry, ReplicaState
from dragonflyramp.results import ResultCode
from dragonflyramp.stores import ReplicaLister


@attrs.frozen(kw_only=True)
class ReplicaInventory:
    """Replicas of all shards; `ready` omits the draining ones."""

    ready: tuple[ShardReplica, ...]
    replicas: tuple[ShardReplica, ...]


async def read_inventory(
    replica_lister: ReplicaLister, configuration: Configuration
) -> Result[ReplicaInventory, ResultCode]:
    """Return the replicas of all shards.

    Registered replicas are ignored for a shard whose replicas the text lists.
    Fail as `ReplicaLister.list_replicas` states.
    """
    list_result = await replica_lister.list_replicas()
    if isinstance(list_result, Failure):
        return list_result
    shards = set(_shards_without_static_replicas(configuration))
    entries = [
        entry for entry in list_result.unwrap() if entry.service in shards
    ]
    ready = [entry for entry in entries if entry.state is ReplicaState.ready]
    static = static_replicas(configuration)
    return Success(
        ReplicaInventory(
            ready=(*static, *replicas_from_entries(ready)),
            replicas=(*static, *replicas_from_entries(entries)),
        )
    )


def _shards_without_static_replicas(
    configuration: Configuration,
) -> Iterator[str]:
    for service in configuration.services.values():
        if not service.depends_on and not service.replicas:
            yield service.name


def replicas_from_entries(
    entries: Iterable[ReplicaEntry],
) -> Iterator[ShardReplica]:
    """Convert replica entries of the store to replicas of shards."""
    return (
        ShardReplica(
            replica_id=entry.replica_id,
            shard=entry.service,
            address=entry.address,
            failure_domain=entry.failure_domain,
        )
        for entry in entries
    )
