"""Give the replicas that stand behind an operators' text."""

import ipaddress
import types
from collections.abc import Iterator

from dragonflyramp.models import Configuration, Service
from dragonflyramp.replicas import ReplicaEntry, ReplicaState

#: Replicas of each shard, by the service that is searched.
_REPLICAS = types.MappingProxyType(
    {
        'planner-desk': 3,
        'couple-portal': 3,
        'contract-office': 5,
        'venue-link': 4,
        'cotizador': 3,
        'facturacion': 3,
        'bodega': 6,
        'cuadrillas': 4,
    }
)


def fleet_of(configuration: Configuration) -> tuple[ReplicaEntry, ...]:
    """List the replicas of all shards, each in another failure domain."""
    return tuple(_entries(configuration))


def _entries(configuration: Configuration) -> Iterator[ReplicaEntry]:
    domains = tuple(configuration.failure_domains)
    address = ipaddress.IPv4Address('10.0.0.1')
    for turn, (shard, count) in enumerate(_counts(configuration).items()):
        for position in range(count):
            yield ReplicaEntry(
                replica_id=f'{shard}-{position}',
                service=shard,
                address=f'{address}:8080',
                failure_domain=domains[(turn + position) % len(domains)],
                state=ReplicaState.ready,
            )
            address += 1


def _counts(configuration: Configuration) -> dict[str, int]:
    counts: dict[str, int] = {}
    for service in configuration.services.values():
        if _is_searched(configuration, service):
            for shard in configuration.shards_of(service.name):
                counts.setdefault(shard, _REPLICAS[service.name])
    return counts


def _is_searched(configuration: Configuration, service: Service) -> bool:
    if service.depends_on:
        return True
    services = configuration.services.values()
    return not any(service.name in other.depends_on for other in services)
