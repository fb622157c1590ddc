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
    """Give fields of all backend servers, and of single replicas.

    The servers are spread over a number of processes of one module. Shards
    below a service that neither user has get `other_replicas`.
    """

    common: Mapping[str, object] = attrs.field(factory=dict)
    single: Mapping[str, Mapping[str, object]] = attrs.field(factory=dict)
    processes: int = 1
    other_replicas: int = 3
    module: str = 'tests.standins.backends'


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


@attrs.frozen(eq=False)
class BackendProcess:
    """Describe one process of the stand-in and the servers in it.

    `specs` describe the servers as the process was told of them.
    """

    address: str
    machines: tuple[VirtualMachine, ...]
    program: Program
    specs: tuple[Mapping[str, object], ...]

    def runs(self, replica: str) -> bool:
        """Tell whether a server is in this process."""
        return any(
            machine.replica.replica_id == replica for machine in self.machines
        )


@attrs.define(eq=False)
class Backends:
    """Drive the stand-in for the backend servers."""

    calls: HttpCalls
    processes: tuple[BackendProcess, ...]

    @property
    def machines(self) -> tuple[VirtualMachine, ...]:
        """List the VMs of all backend servers."""
        return tuple(
            machine
            for process in self.processes
            for machine in process.machines
        )

    async def control(
        self, replica: str, action: str, **extra: object
    ) -> list[Reply]:
        """Do an action at one backend server, or at all with `*`."""
        body = {'replica': replica, 'action': action, **extra}
        return [
            await self.calls.post(process.address, '/control', body)
            for process in self.processes
            if replica == '*' or process.runs(replica)
        ]

    async def records(self, path: str = '/records') -> dict[str, Any]:
        """Read what the backend servers recorded; /totals has no ids."""
        found: dict[str, Any] = {}
        for process in self.processes:
            reply = await self.calls.get(process.address, path)
            found.update(reply.body)
        return found


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
    machines = fleet_of(configuration, other_replicas=options.other_replicas)
    count = options.processes
    shares = [machines[index::count] for index in range(count)]
    processes = [
        await _start_process(programs, configuration, options, share)
        for share in shares
    ]
    return Backends(calls, tuple(processes))


async def _start_process(
    programs: list[Program],
    configuration: Configuration,
    options: ServerOptions,
    machines: Sequence[VirtualMachine],
) -> BackendProcess:
    servers = tuple(
        {
            **_server(configuration, machine),
            **options.common,
            **options.single.get(machine.replica.replica_id, {}),
        }
        for machine in machines
    )
    return await run_servers(programs, options.module, servers, machines)


async def run_servers(
    programs: list[Program],
    module: str,
    servers: Sequence[Mapping[str, object]],
    machines: Sequence[VirtualMachine],
) -> BackendProcess:
    """Start one process of the stand-in, on ports of the kernel's choice."""
    program = await Program.start(
        module, stdin=json.dumps({'servers': servers}).encode()
    )
    programs.append(program)
    found = await program.wait_json('control')
    listed = tuple(
        _at_address(machine, found['replicas']) for machine in machines
    )
    return BackendProcess(found['control'], listed, program, tuple(servers))


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
