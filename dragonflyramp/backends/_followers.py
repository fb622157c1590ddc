"""Follow the configuration, the VM list and the leases."""

import asyncio

import attrs
from returns.pipeline import is_successful

from dragonflyramp.backends._contexts import TierContext
from dragonflyramp.backends._shard_table import ShardTable, available_replicas
from dragonflyramp.backends._slices import GainedNumbers, served_shards
from dragonflyramp.backends._timed_events import TimedEvent
from dragonflyramp.metrics import counters
from dragonflyramp.models import Configuration, LeaseState, SliceId
from dragonflyramp.platform import VirtualMachine, VmList

_NO_VERSION = ''


@attrs.frozen(kw_only=True)
class _Seen:
    """Hold what changes with time alone, at the last look."""

    leases: tuple[tuple[SliceId, int, LeaseState], ...]
    settled_number: int
    isolated: bool
    available: tuple[str, ...]


class ServingInputs:
    """Hold what decides which shards and replicas are served."""

    def __init__(self, context: TierContext, shard_table: ShardTable) -> None:
        """Start without a configuration."""
        self._context = context
        self._shard_table = shard_table
        self._gained = GainedNumbers()
        self._configuration: Configuration | None = None
        self._machines: tuple[VirtualMachine, ...] = ()
        self.shards_changed = TimedEvent()

    def adopt_configuration(self, configuration: Configuration) -> None:
        """Serve as a configuration with a higher number says."""
        self._gained.adopt(configuration)
        self._configuration = configuration
        self.refresh()

    def adopt_machines(self, machines: tuple[VirtualMachine, ...]) -> None:
        """Serve with the VMs of a new listing."""
        self._machines = machines
        self.refresh()

    def refresh(self) -> None:
        """Bring the shards in step with configuration, VMs and slices."""
        if self._configuration is None:
            return
        served = served_shards(
            self._configuration,
            self._context.lease_table.slice_ids(),
            self._machines,
        )
        changed = served.keys() != self._shard_table.shards.keys()
        self._shard_table.apply(served, self._gained.by_shard())
        if changed:
            self.shards_changed.wake()


class Follower:
    """Follow the configuration, the VM list and the leases."""

    def __init__(
        self, context: TierContext, shard_table: ShardTable, vm_list: VmList
    ) -> None:
        """Start without a configuration."""
        self._context = context
        self._shard_table = shard_table
        self._vm_list = vm_list
        self._inputs = ServingInputs(context, shard_table)

    async def follow_configuration(self) -> None:
        """Adopt each configuration; its number only grows."""
        number = -1
        while True:
            adopted = await self._context.source.wait_change(number)
            number = adopted.number
            self._inputs.adopt_configuration(adopted)

    async def poll_vms(self) -> None:
        """Read the VM list once a period, and when the shards change."""
        version = _NO_VERSION
        listed: tuple[str, ...] = ()
        while True:
            services = tuple(self._shard_table.shards)
            if services != listed:
                version = _NO_VERSION
                listed = services
            if services:
                version = await self._list_vms(services, version)
            period_seconds = self._context.settings.vm_poll_seconds
            await self._inputs.shards_changed.wait(period_seconds)

    async def watch_leases(self) -> None:
        """Look once a period at what changes with time, and act on it."""
        seen: object = None
        while True:
            found = self._look(self._context.clock())
            if found != seen:
                seen = found
                self._inputs.refresh()
                self._shard_table.wake_all()
            await asyncio.sleep(self._context.settings.lease_check_seconds)

    async def _list_vms(self, services: tuple[str, ...], version: str) -> str:
        """Read the list, and give the version that is known afterwards.

        The last list stays in use while the platform does not answer.
        """
        listed = await self._vm_list.list_vms(services, version)
        if not is_successful(listed):
            counters.add('vm_list_failures', listed.failure().name)
            return version
        listing = listed.unwrap()
        if listing is None:
            return version
        self._inputs.adopt_machines(listing.machines)
        return listing.version

    def _look(self, now_seconds: float) -> _Seen:
        table = self._context.lease_table
        leases = [
            table.lease(slice_id, now_seconds) for slice_id in table.slice_ids()
        ]
        return _Seen(
            leases=tuple(
                (lease.slice_id, lease.epoch, lease.state) for lease in leases
            ),
            settled_number=table.settled_number(now_seconds),
            isolated=self._context.source.is_isolated(now_seconds),
            available=available_replicas(
                self._shard_table.shards.values(), now_seconds
            ),
        )
