"""Decide what a relay serves: configuration, VM list and lease table."""

from collections.abc import Iterable

import attrs

from dragonflyramp.backends._ramp import Capacity
from dragonflyramp.models import (
    Configuration,
    FixedReplica,
    Replica,
    Service,
    SliceId,
    VmState,
)
from dragonflyramp.platform import VirtualMachine
from dragonflyramp.slices import slice_map


@attrs.frozen(kw_only=True)
class ServedReplica:
    """State what configuration and VM list say of a replica."""

    replica: Replica
    capacity: Capacity
    held: bool
    listed: VmState


@attrs.frozen(kw_only=True)
class ServedShard:
    """State what a relay serves of one shard."""

    service: Service
    slice_id: SliceId
    replicas: tuple[ServedReplica, ...]


@attrs.define
class GainedNumbers:
    """Remember through which configuration each shard got to its slice.

    When a number was not seen, the shard may have been elsewhere meanwhile,
    so every shard then counts as gained through the new configuration.
    """

    _number: int = -1
    _gained: dict[str, tuple[SliceId, int]] = attrs.field(factory=dict)

    def adopt(self, configuration: Configuration) -> None:
        """Take in a configuration with a higher number."""
        follows = configuration.number == self._number + 1
        known = self._gained if follows else {}
        by_shard = slice_map(configuration).by_shard
        self._gained = {
            shard: _still(known.get(shard), slice_id, configuration.number)
            for shard, slice_id in by_shard.items()
        }
        self._number = configuration.number

    def by_shard(self) -> dict[str, int]:
        """Give for each shard the configuration that moved it last."""
        return {shard: number for shard, (_, number) in self._gained.items()}


def served_shards(
    configuration: Configuration,
    slice_ids: Iterable[SliceId],
    machines: Iterable[VirtualMachine],
) -> dict[str, ServedShard]:
    """List the shards of the slices, with their replicas."""
    by_service: dict[str, list[VirtualMachine]] = {}
    for machine in machines:
        by_service.setdefault(machine.replica.shard, []).append(machine)
    wanted = set(slice_ids)
    return {
        shard: ServedShard(
            service=configuration.services[shard],
            slice_id=slice_id,
            replicas=_replicas(configuration, shard, by_service.get(shard, [])),
        )
        for shard, slice_id in slice_map(configuration).by_shard.items()
        if slice_id in wanted
    }


def _still(
    known: tuple[SliceId, int] | None, slice_id: SliceId, number: int
) -> tuple[SliceId, int]:
    if known is not None and known[0] == slice_id:
        return known
    return slice_id, number


def _replicas(
    configuration: Configuration, shard: str, machines: list[VirtualMachine]
) -> tuple[ServedReplica, ...]:
    service = configuration.services[shard]
    listed = {machine.replica.replica_id: machine.state for machine in machines}
    replicas = [_fixed(shard, fixed) for fixed in service.replicas]
    if not replicas:
        replicas = [machine.replica for machine in machines]
    capacity = Capacity(
        slots=service.slots,
        cold_per_second=service.cold_requests_per_second,
    )
    return tuple(
        ServedReplica(
            replica=replica,
            capacity=capacity,
            held=configuration.is_held(
                replica.replica_id, replica.failure_domain
            ),
            listed=listed.get(replica.replica_id, VmState.live),
        )
        for replica in replicas
    )


def _fixed(shard: str, fixed: FixedReplica) -> Replica:
    return Replica(
        replica_id=fixed.replica_id,
        shard=shard,
        address=fixed.address,
        failure_domain=fixed.failure_domain,
    )
