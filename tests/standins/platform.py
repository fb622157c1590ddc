"""Stand in for the platform: in memory, over HTTP, or as a process.

Run `python -m tests.standins.platform --port 0`; it prints one JSON line
with its address.
"""

import argparse
import asyncio
import collections
import json
from collections.abc import Sequence
from typing import Any

import attrs
from aiohttp import web
from aiohttp.typedefs import Handler
from returns.result import Failure, Result, Success

from dragonflyramp.models import Replica, VmState
from dragonflyramp.platform import (
    ABSENT,
    MAX_OBJECT_BYTES,
    ObjectStore,
    VersionedObject,
    VirtualMachine,
    VmList,
    VmListing,
)
from dragonflyramp.results import ResultCode
from tests.standins.hooks import Hooks, reset

#: No object of a test reaches it.
_HIGH_VERSION = 10**9


@attrs.define(kw_only=True)
class Faults:
    """Hold the switchable faults."""

    #: Every call fails, and so do the watches that wait.
    down: bool = False
    vms_down: bool = False
    delay_ms: float = 0
    #: The next writes of names with the prefix take effect unanswered.
    lost_replies: int = 0
    lost_prefix: str = ''
    #: The first lost reply starts an outage.
    down_after: bool = False
    #: Reads and watches see the version before the last one.
    stale: bool = False
    watch_delay_ms: float = 0
    #: Answer every call with this text, and every read with a high version;
    #: waiting watches end.
    garbage: str = ''


class MemoryPlatform(ObjectStore, VmList):
    """Keep the objects and the VM list, count calls by kind."""

    def __init__(self) -> None:
        """Start empty and without faults."""
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.machines: tuple[VirtualMachine, ...] = ()
        self._vms_version = 1
        self._stored: dict[str, list[VersionedObject]] = {}
        self._changed = asyncio.Event()

    def replace_machines(self, machines: Sequence[VirtualMachine]) -> None:
        """Replace the VM list."""
        self.machines = tuple(machines)
        self._vms_version += 1

    def change_faults(self, **changes: Any) -> None:
        """Change the named faults and wake the watches."""
        self.faults = attrs.evolve(self.faults, **changes)
        self._wake()

    def versions(self) -> dict[str, int]:
        """List the version of each object, regardless of faults."""
        return {name: kept[-1].version for name, kept in self._stored.items()}

    async def read(self, name: str) -> Result[VersionedObject, ResultCode]:
        """Read as `ObjectStore` states."""
        if not await self._answers('read'):
            return Failure(ResultCode.platform_down)
        found = self._visible(name)
        if found is None:
            return Failure(ResultCode.object_missing)
        return Success(found)

    async def write(
        self, name: str, body: bytes, version: int
    ) -> Result[int, ResultCode]:
        """Write as `ObjectStore` states."""
        if not await self._answers('write'):
            return Failure(ResultCode.platform_down)
        if len(body) > MAX_OBJECT_BYTES:
            return Failure(ResultCode.body_too_large)
        kept = self._stored.get(name, [])
        if version != self.versions().get(name, ABSENT):
            return Failure(ResultCode.version_conflict)
        written = VersionedObject(name, version + 1, body)
        self._stored[name] = [*kept[-1:], written]
        self._wake()
        faults = self.faults
        if faults.lost_replies and name.startswith(faults.lost_prefix):
            faults.lost_replies -= 1
            faults.down = faults.down_after
            return Failure(ResultCode.platform_down)
        return Success(written.version)

    async def watch(
        self, name: str, version: int, timeout_seconds: float
    ) -> Result[VersionedObject | None, ResultCode]:
        """Watch as `ObjectStore` states."""
        if not await self._answers('watch'):
            return Failure(ResultCode.platform_down)
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._wait_above(name, version)
        except TimeoutError:
            return Success(None)
        if self.faults.down:
            return Failure(ResultCode.platform_down)
        await asyncio.sleep(self.faults.watch_delay_ms / 1000)
        return Success(self._visible(name))

    async def list_vms(
        self, services: Sequence[str], known_version: str
    ) -> Result[VmListing | None, ResultCode]:
        """List as `VmList` states."""
        if not await self._answers('vms') or self.faults.vms_down:
            return Failure(ResultCode.platform_down)
        version = f'v{self._vms_version}'
        if known_version == version:
            return Success(None)
        machines = [
            machine
            for machine in self.machines
            if machine.replica.shard in services
        ]
        return Success(VmListing(version=version, machines=tuple(machines)))

    async def _answers(self, kind: str) -> bool:
        self.calls[kind] += 1
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        return not self.faults.down

    def _visible(self, name: str) -> VersionedObject | None:
        kept = self._stored.get(name)
        if not kept:
            return None
        return kept[0] if self.faults.stale else kept[-1]

    async def _wait_above(self, name: str, version: int) -> None:
        while not self.faults.down and not self.faults.garbage:
            found = self._visible(name)
            if found and found.version > version:
                return
            await self._changed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class PlatformServer:
    """Serve a platform in memory over HTTP on a loopback port."""

    def __init__(self, platform: MemoryPlatform | None = None) -> None:
        """Serve the given platform or an empty one."""
        self.platform = platform or MemoryPlatform()
        self.hooks = Hooks()
        self.address = ''
        self._runner: web.AppRunner | None = None

    async def start(self, port: int = 0) -> str:
        """Listen and return `IP:port`; port 0 lets the kernel choose."""
        # Objects are bounded by the platform itself, whose limit is exact.
        app = web.Application(
            client_max_size=2 * MAX_OBJECT_BYTES,
            middlewares=[self._answer_garbage],
        )
        app.add_routes(
            [
                web.get('/objects/{name:.+}', self._get),
                web.put('/objects/{name:.+}', self._put),
                web.get('/vms', self._vms),
                web.post('/control', self._control),
                self.hooks.route(),
            ]
        )
        # A slow write takes effect even when its caller has given up.
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, '127.0.0.1', port).start()
        host, chosen = self._runner.addresses[0][:2]
        self.address = f'{host}:{chosen}'
        return self.address

    async def stop(self) -> None:
        """Close the port and every connection."""
        if self._runner:
            await self._runner.cleanup()

    @web.middleware
    async def _answer_garbage(
        self,
        request: web.Request,
        handler: Handler,  # noqa: WPS110 - aiohttp passes it by this name
    ) -> web.StreamResponse:
        reply = await handler(request)
        garbage = self.platform.faults.garbage
        if not garbage or request.path == '/control':
            return reply
        if request.method == 'PUT':
            return web.Response(text=garbage)
        headers = {'X-Object-Version': str(_HIGH_VERSION)}
        return web.Response(text=garbage, headers=headers)

    async def _get(self, request: web.Request) -> web.Response:
        name = request.match_info['name']
        if 'watch' not in request.query:
            await self._run_hook('read', request)
            return _object_reply(request, await self.platform.read(name))
        found = await self.platform.watch(
            name,
            int(request.query['watch']),
            int(request.query['timeout_ms']) / 1000,
        )
        if found == Success(None):
            return web.Response(status=304)
        return _object_reply(request, found)

    async def _put(self, request: web.Request) -> web.Response:
        name = request.match_info['name']
        version = int(request.headers['If-Match'])
        body = await request.read()
        if await self._run_hook('write', request):
            return web.Response()
        written = await self.platform.write(name, body, version)
        await self._run_hook('written', request)
        if isinstance(written, Failure):
            now = self.platform.versions().get(name, ABSENT)
            return _refusal(request, written.failure(), now)
        headers = {'X-Object-Version': str(written.unwrap())}
        return web.Response(headers=headers)

    async def _run_hook(self, step: str, request: web.Request) -> bool:
        """Tell whether a hook dropped the call before it took effect."""
        hook = await self.hooks.run(step, request.match_info['name'])
        if hook is None:
            return False
        if hook.down:
            self.platform.change_faults(down=True)
        if hook.drop:
            reset(request)
        return hook.drop

    async def _vms(self, request: web.Request) -> web.Response:
        found = await self.platform.list_vms(
            request.query.getall('service', []),
            request.headers.get('If-None-Match', ''),
        )
        if isinstance(found, Failure):
            return _refusal(request, found.failure())
        listing = found.unwrap()
        if listing is None:
            return web.Response(status=304)
        vms = [encode_machine(machine) for machine in listing.machines]
        return web.json_response({'version': listing.version, 'vms': vms})

    async def _control(self, request: web.Request) -> web.Response:
        order = await request.json()
        self.platform.change_faults(**order.get('faults', {}))
        machines = order.get('vms')
        if machines is not None:
            self.platform.replace_machines(list(map(_machine, machines)))
        return web.json_response(
            {
                'calls': self.platform.calls,
                'faults': attrs.asdict(self.platform.faults),
                'objects': self.platform.versions(),
            }
        )


def encode_machine(machine: VirtualMachine) -> dict[str, str]:
    """Encode one VM as the listing and `/control` carry it."""
    return {
        'id': machine.replica.replica_id,
        'service': machine.replica.shard,
        'address': machine.replica.address,
        'failure_domain': machine.replica.failure_domain,
        'state': machine.state.value,
    }


def _machine(vm: dict[str, str]) -> VirtualMachine:
    replica = Replica(
        replica_id=vm['id'],
        shard=vm['service'],
        address=vm['address'],
        failure_domain=vm['failure_domain'],
    )
    return VirtualMachine(replica=replica, state=VmState(vm['state']))


def _object_reply(
    request: web.Request, found: Result[Any, ResultCode]
) -> web.Response:
    if isinstance(found, Failure):
        return _refusal(request, found.failure())
    read = found.unwrap()
    headers = {'X-Object-Version': str(read.version)}
    return web.Response(body=read.body, headers=headers)


def _refusal(
    request: web.Request, code: ResultCode, version: int = ABSENT
) -> web.Response:
    if code is ResultCode.platform_down:
        # An outage shows as a closed connection, not as an answer.
        reset(request)
    headers = {'X-Object-Version': str(version)}
    return web.Response(status=code.meaning.http_status, headers=headers)


async def _serve(port: int) -> None:
    server = PlatformServer()
    line = json.dumps({'address': await server.start(port)})
    print(line, flush=True)  # noqa: WPS421 - the parent reads this line
    await asyncio.Event().wait()


def main() -> None:
    """Serve until the process is stopped."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=0)
    asyncio.run(_serve(parser.parse_args().port))


if __name__ == '__main__':
    main()
