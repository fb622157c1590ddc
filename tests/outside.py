"""Run the stand-ins of the outside systems as processes."""

import json
from collections.abc import Mapping, Sequence
from typing import Any

import attrs

from dragonflyramp.models import Configuration
from dragonflyramp.platform import VirtualMachine
from tests.http_calls import HttpCalls, Reply
from tests.programs import Program
from tests.standins.fleets import fleet_of
from tests.standins.platform import encode_machine

_DOCUMENTS = 100


@attrs.frozen(kw_only=True)
class ServerOptions:
    """Give fields of all backend servers, and of single replicas."""

    common: Mapping[str, object] = attrs.field(factory=dict)
    single: Mapping[str, Mapping[str, object]] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Platform:
    """Drive the stand-in for the platform."""

    calls: HttpCalls
    address: str

    async def switch(self, **faults: object) -> dict[str, Any]:
        """Switch faults; return calls, faults and the objects' versions."""
        reply = await self.calls.post(
            self.address, '/control', {'faults': faults}
        )
        return reply.body

    async def list_machines(self, machines: Sequence[VirtualMachine]) -> None:
        """Replace the VM list."""
        vms = [encode_machine(machine) for machine in machines]
        await self.calls.post(self.address, '/control', {'vms': vms})


@attrs.define(eq=False)
class Backends:
    """Drive the stand-in for the backend servers."""

    calls: HttpCalls
    address: str
    machines: tuple[VirtualMachine, ...]

    async def control(
        self, replica: str, action: str, **extra: object
    ) -> Reply:
        """Do an action at one backend server, or at all with `*`."""
        body = {'replica': replica, 'action': action, **extra}
        return await self.calls.post(self.address, '/control', body)

    async def records(self) -> dict[str, dict[str, Any]]:
        """Read what the backend servers recorded."""
        return (await self.calls.get(self.address, '/records')).body


async def start_platform(calls: HttpCalls, programs: list[Program]) -> Platform:
    """Start the stand-in for the platform."""
    program = await Program.start('tests.standins.platform', ('--port', '0'))
    programs.append(program)
    found = await program.wait_json('address')
    return Platform(calls, found['address'])


async def start_backends(
    calls: HttpCalls,
    programs: list[Program],
    configuration: Configuration,
    options: ServerOptions,
) -> Backends:
    """Start the stand-in for all backend servers of a configuration."""
    machines = fleet_of(configuration)
    servers = [
        {
            **_server(configuration, machine),
            **options.common,
            **options.single.get(machine.replica.replica_id, {}),
        }
        for machine in machines
    ]
    program = await Program.start(
        'tests.standins.backends',
        stdin=json.dumps({'servers': servers}).encode(),
    )
    programs.append(program)
    found = await program.wait_json('control')
    listed = tuple(
        _at_address(machine, found['replicas']) for machine in machines
    )
    return Backends(calls, found['control'], listed)


def _at_address(
    machine: VirtualMachine, addresses: Mapping[str, str]
) -> VirtualMachine:
    address = addresses[machine.replica.replica_id]
    return attrs.evolve(
        machine, replica=attrs.evolve(machine.replica, address=address)
    )


def _server(
    configuration: Configuration, machine: VirtualMachine
) -> dict[str, object]:
    replica = machine.replica
    service = configuration.services[replica.shard]
    snapshot = {
        'id': 's1',
        'generation': 1,
        'documents': _DOCUMENTS,
        'total_documents': _DOCUMENTS * _siblings(configuration, replica.shard),
    }
    return {
        'replica_id': replica.replica_id,
        'shard': replica.shard,
        'failure_domain': replica.failure_domain,
        'slots': service.slots,
        'connections': service.connections,
        'connection_cost_ms': service.connection_cost_ms,
        'cold_requests_per_second': service.cold_requests_per_second,
        'snapshots': [snapshot],
    }


def _siblings(configuration: Configuration, shard: str) -> int:
    """Count the shards of the searched service that a shard belongs to."""
    counts = [
        len(service.depends_on)
        for service in configuration.services.values()
        if shard in service.depends_on
    ]
    return max(counts, default=1)
