"""List the replicas that holds are checked against."""

import itertools
from collections.abc import Iterable, Iterator

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.models import Configuration, ListedReplica, VmState
from dragonflyramp.operators._holds import fixed_replicas
from dragonflyramp.platform import VirtualMachine, VmList
from dragonflyramp.results import ResultCode

#: Keeps the request line of one call under the usual limit of 8 KB.
_SERVICES_PER_CALL = 64


@attrs.frozen(kw_only=True)
class Fleet:
    """Hold the replicas of a configuration, without and with leaving ones."""

    live: tuple[ListedReplica, ...]
    known: tuple[ListedReplica, ...]


async def list_fleet(
    vms: VmList, configuration: Configuration
) -> Result[Fleet, ResultCode]:
    """List the replicas of all shards; fail as `VmList` states.

    A service that lists its replicas in the text has no others.
    """
    machines: list[VirtualMachine] = []
    for services in _batches(_unlisted_shards(configuration)):
        listing = await vms.list_vms(services, '')
        if isinstance(listing, Failure):
            return listing
        found = listing.unwrap()
        machines.extend(found.machines if found else ())
    return Success(_fleet(fixed_replicas(configuration), machines))


def _unlisted_shards(configuration: Configuration) -> Iterator[str]:
    for service in configuration.services.values():
        if not service.depends_on and not service.replicas:
            yield service.name


def _batches(services: Iterable[str]) -> Iterator[tuple[str, ...]]:
    remaining = iter(services)
    while batch := tuple(itertools.islice(remaining, _SERVICES_PER_CALL)):
        yield batch


def _fleet(
    fixed: tuple[ListedReplica, ...], machines: list[VirtualMachine]
) -> Fleet:
    live = [found for found in machines if found.state is VmState.live]
    return Fleet(
        live=(*fixed, *_replicas_of(live)),
        known=(*fixed, *_replicas_of(machines)),
    )


def _replicas_of(machines: Iterable[VirtualMachine]) -> Iterator[ListedReplica]:
    return (machine.replica for machine in machines)
