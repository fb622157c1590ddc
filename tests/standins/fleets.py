"""Give the VM list that stands behind an operators' text."""

import ipaddress
import types
from collections.abc import Callable, Iterator

from dragonflyramp.models import Configuration, Replica, Service, VmState
from dragonflyramp.platform import VirtualMachine

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
_OTHER_REPLICAS = 3


def fake_address(index: int) -> str:
    """Return a distinct address on which nothing listens."""
    host = ipaddress.IPv4Address('10.0.0.1') + index
    return f'{host}:8080'


def fleet_of(
    configuration: Configuration,
    address_of: Callable[[int], str] = fake_address,
    *,
    other_replicas: int = _OTHER_REPLICAS,
) -> tuple[VirtualMachine, ...]:
    """List the VMs of all shards; `address_of` gets the index of each.

    Shards below a service that neither user has get `other_replicas`.

    Replicas of a shard are in different failure domains as far as there are
    enough, and the first domain varies between shards.
    """
    counts = _counts(configuration, other_replicas)
    replicas = list(_replicas(configuration, counts, address_of))
    return tuple(
        VirtualMachine(replica=replica, state=VmState.live)
        for replica in replicas
    )


def _replicas(
    configuration: Configuration,
    counts: dict[str, int],
    address_of: Callable[[int], str],
) -> Iterator[Replica]:
    domains = tuple(configuration.failure_domains)
    total = 0
    for turn, (shard, count) in enumerate(counts.items()):
        for position in range(count):
            yield Replica(
                replica_id=f'{shard}-{position}',
                shard=shard,
                address=address_of(total),
                failure_domain=domains[(turn + position) % len(domains)],
            )
            total += 1


def _counts(
    configuration: Configuration, other_replicas: int
) -> dict[str, int]:
    counts: dict[str, int] = {}
    for service in configuration.services.values():
        if _is_searched(configuration, service):
            count = _REPLICAS.get(service.name, other_replicas)
            for shard in configuration.shards_of(service.name):
                counts.setdefault(shard, count)
    return counts


def _is_searched(configuration: Configuration, service: Service) -> bool:
    if service.depends_on:
        return True
    services = configuration.services.values()
    return not any(service.name in other.depends_on for other in services)
