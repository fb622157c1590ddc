"""Stand in for many backend servers in one process.

Run `python -m tests.standins.backends [FILE]` with a JSON description of the
fleet in FILE or on standard input. It prints one JSON line with the address
of each server and of the control port, and runs until SIGTERM or SIGINT.
"""

import asyncio
import json
import pathlib
import signal
import sys
from collections.abc import Iterable, Mapping
from typing import Any, Self

import attrs
import cattrs
from aiohttp import web

from tests.standins.backend_models import ServerSpec, SnapshotSpec
from tests.standins.backend_servers import BackendServer
from tests.standins.hooks import Hooks


@attrs.frozen(kw_only=True)
class FleetSpec:
    """Describe all servers, and where the control port listens."""

    servers: tuple[ServerSpec, ...]
    control_address: str = '127.0.0.1:0'


class Fleet:
    """Run backend servers; use it as an asynchronous context manager."""

    def __init__(self, specs: Iterable[ServerSpec]) -> None:
        """Listen only when entered."""
        self.hooks = Hooks()
        self.servers = {
            spec.replica_id: BackendServer(spec, self.hooks) for spec in specs
        }

    async def __aenter__(self) -> Self:
        """Start all servers."""
        for server in self.servers.values():
            await server.start()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop all servers."""
        await asyncio.gather(
            *(server.stop() for server in self.servers.values())
        )

    def __getitem__(self, replica_id: str) -> BackendServer:
        """Give a server by the id of its replica."""
        return self.servers[replica_id]

    def addresses(self) -> dict[str, str]:
        """Give the address of each replica."""
        return {
            replica_id: server.address
            for replica_id, server in self.servers.items()
        }


@attrs.frozen(kw_only=True)
class Control:
    """Ask for one action at one server, or at all with the replica `*`.

    Actions: set (with `faults`), freeze, turn_cold, turn_warm, crash,
    restart, stop_listening, start_listening, snapshots (with `snapshots`).
    """

    replica: str
    action: str
    faults: Mapping[str, Any] = attrs.field(factory=dict)
    snapshots: tuple[SnapshotSpec, ...] = ()


class ControlPort:
    """Serve POST /control, GET /records and GET /totals for a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        """Listen only after `start`."""
        self._fleet = fleet
        app = web.Application()
        app.router.add_post('/control', self._control)
        app.router.add_get('/records', self._records)
        app.router.add_get('/totals', self._totals)
        app.add_routes([fleet.hooks.route()])
        self._runner = web.AppRunner(app, access_log=None)

    async def start(self, address: str) -> str:
        """Listen, and give the address with the chosen port."""
        host, _, port = address.rpartition(':')
        await self._runner.setup()
        await web.TCPSite(self._runner, host, int(port)).start()
        chosen = self._runner.addresses[0][1]
        return f'{host}:{chosen}'

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def _control(self, request: web.Request) -> web.Response:
        control = cattrs.structure(await request.json(), Control)
        wanted = self._fleet.servers
        if control.replica != '*':
            wanted = {control.replica: self._fleet[control.replica]}
        for server in wanted.values():
            await apply_control(server, control)
        return web.json_response({'servers': list(wanted)})

    async def _records(self, request: web.Request) -> web.Response:
        return web.json_response(self._described())

    async def _totals(self, request: web.Request) -> web.Response:
        """Answer with the numbers only; the ids grow with each request."""
        return web.json_response(
            {
                replica_id: {
                    name: number
                    for name, number in described.items()
                    if isinstance(number, int | float)
                }
                for replica_id, described in self._described().items()
            }
        )

    def _described(self) -> dict[str, dict[str, object]]:
        return {
            replica_id: {
                'instance': server.instance_id,
                'cold': server.load.cold,
                **server.records.as_dict(),
            }
            for replica_id, server in self._fleet.servers.items()
        }


async def apply_control(server: BackendServer, control: Control) -> None:
    """Do one action at one server."""
    actions = {
        'freeze': server.freeze,
        'turn_cold': server.turn_cold,
        'turn_warm': server.turn_warm,
        'crash': server.crash,
        'restart': server.restart,
        'stop_listening': server.stop_listening,
    }
    match control.action:
        case 'set':
            for name, setting in control.faults.items():
                setattr(server.faults, name, setting)
        case 'snapshots':
            server.hold_snapshots(control.snapshots)
        case 'start_listening':
            await server.start_listening()
        case _:
            actions[control.action]()


async def serve(spec: FleetSpec) -> None:
    """Run a fleet and its control port until a signal arrives."""
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    async with Fleet(spec.servers) as fleet:
        port = ControlPort(fleet)
        control = await port.start(spec.control_address)
        addresses = {'control': control, 'replicas': fleet.addresses()}
        sys.stdout.write(f'{json.dumps(addresses)}\n')
        sys.stdout.flush()
        await stop.wait()
        await port.stop()


def main(arguments: list[str]) -> None:
    """Read the description of the fleet and run it."""
    text = (
        pathlib.Path(arguments[0]).read_text()
        if arguments
        else sys.stdin.read()
    )
    asyncio.run(serve(cattrs.structure(json.loads(text), FleetSpec)))


if __name__ == '__main__':
    main(sys.argv[1:])
