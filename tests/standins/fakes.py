"""Fake the links, leases and lists that the backend side of a relay needs."""

import asyncio
from collections.abc import Iterator, Sequence

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.backends import (
    ClientFactory,
    Reply,
    SearchCall,
    Status,
    StatusFailure,
    SubmitCall,
)
from dragonflyramp.models import (
    Configuration,
    Lease,
    LeaseState,
    SliceId,
    Snapshot,
)
from dragonflyramp.platform import VirtualMachine, VmListing
from dragonflyramp.results import ResultCode

_FAR_SECONDS = 1e9


@attrs.define
class FakeLeaseTable:
    """Give the leases that a test sets; slices are held unless it does."""

    slices: tuple[SliceId, ...]
    state: LeaseState = LeaseState.held
    until_seconds: float = _FAR_SECONDS
    epoch: int = 1
    settled: int = 1_000_000

    def lease(self, slice_id: SliceId, now_seconds: float) -> Lease:
        """Give the state that the test set."""
        state = self.state
        if slice_id not in self.slices:
            state = LeaseState.foreign
        return Lease(
            slice_id=slice_id,
            epoch=self.epoch,
            state=state,
            until_seconds=self.until_seconds,
        )

    def slice_ids(self) -> tuple[SliceId, ...]:
        """List the slices."""
        return self.slices

    def settled_number(self, now_seconds: float) -> int:
        """Give the number that the test set."""
        return self.settled


class FakeConfigurationSource:
    """Give the configuration that a test adopts."""

    def __init__(self, configuration: Configuration | None) -> None:
        """Start with a configuration, or without."""
        self.isolated = False
        self._current = configuration
        self._changed = asyncio.Event()

    @property
    def current(self) -> Configuration | None:
        """Return the adopted configuration."""
        return self._current

    def adopt(self, configuration: Configuration) -> None:
        """Adopt a configuration with a higher number."""
        self._current = configuration
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_change(self, number: int) -> Configuration:
        """Wait for a higher number."""
        while self._current is None or self._current.number <= number:
            await self._changed.wait()
        return self._current

    def is_isolated(self, now_seconds: float) -> bool:
        """Tell what the test set."""
        return self.isolated


class FakeVmList:
    """Give the machines that a test sets; it can be down."""

    def __init__(self, machines: Sequence[VirtualMachine] = ()) -> None:
        """Start with these machines."""
        self.down = False
        self.version = 1
        self.machines = tuple(machines)

    def list_machines(self, machines: Sequence[VirtualMachine]) -> None:
        """List exactly these machines from now on."""
        self.machines = tuple(machines)
        self.version += 1

    async def list_vms(
        self, services: Sequence[str], known_version: str
    ) -> Result[VmListing | None, ResultCode]:
        """List the machines of the services."""
        if self.down:
            return Failure(ResultCode.platform_down)
        if known_version == str(self.version):
            return Success(None)
        return Success(
            VmListing(
                version=str(self.version),
                machines=tuple(
                    machine
                    for machine in self.machines
                    if machine.replica.shard in services
                ),
            )
        )


@attrs.define
class ScriptedClient:
    """Answer calls from a script that all clients share, then with ok."""

    address: str
    replies: Iterator[Reply]
    calls: list[ResultCode]
    opened: bool = False

    def is_open(self) -> bool:
        """Tell whether a status was read since the last close."""
        return self.opened

    async def status(self) -> Result[Status, StatusFailure]:
        """Show one snapshot and an instance named after the address."""
        self.opened = True
        return Success(
            Status(
                instance_id=self.address,
                load=None,
                draining=False,
                snapshots=(
                    Snapshot(
                        snapshot_id='s1',
                        generation=1,
                        documents=1,
                        total_documents=1,
                    ),
                ),
            )
        )

    async def search(self, call: SearchCall) -> Reply:
        """Give the next reply, from the snapshot that was asked."""
        return attrs.evolve(self._next(), snapshot_id=call.snapshot_id)

    async def submit(self, call: SubmitCall) -> Reply:
        """Give the next reply."""
        return self._next()

    async def close(self) -> None:
        """Close the connection."""
        self.opened = False

    def _next(self) -> Reply:
        reply = next(self.replies, Reply(code=ResultCode.ok))
        if not reply.sent:
            return Reply(code=ResultCode.connection_reset, sent=False)
        self.calls.append(reply.code)
        return reply


def scripted_clients(
    replies: Iterator[Reply], calls: list[ResultCode]
) -> ClientFactory:
    """Make clients that share a script, and note what they answered."""
    return lambda address: ScriptedClient(address, replies, calls)
