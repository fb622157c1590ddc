"""Run a whole system: stand-ins, fronts and relays, each a process."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import Any

import aiohttp
import attrs

from dragonflyramp import operators
from dragonflyramp.models import Configuration
from dragonflyramp.platform import open_platform
from tests.http_calls import HttpCalls
from tests.outside import (
    Backends,
    Platform,
    ServerOptions,
    start_backends,
    start_platform,
)
from tests.programs import ROOT, START_SECONDS, Program

EXAMPLES = pathlib.Path(__file__).parents[1] / 'examples'
_POLL_SECONDS = 0.05
_ANY_PORT = '127.0.0.1:0'
_OK = 200
_OPERATOR = operators.Operator(
    author='test',
    now=lambda: '2026-01-01T00:00:00Z',
    new_write_id=lambda: os.urandom(8).hex(),
)


@attrs.define(eq=False)
class Daemon:
    """Run one front or relay, with the addresses that it chose."""

    calls: HttpCalls
    program: Program
    failure_domain: str
    member_id: str
    member_address: str
    status_address: str
    listen_address: str = ''

    async def status(self) -> dict[str, Any]:
        """Read the status page."""
        return (await self.calls.get(self.status_address, '/status')).body

    async def count(self, name: str) -> int:
        """Read the sum of one counter over its reasons."""
        by_reason = (await self.status())['counters'].get(name, {})
        return sum(by_reason.values())

    async def is_ready(self) -> bool:
        """Ask whether the daemon is ready."""
        reply = await self.calls.get(self.status_address, '/readyz')
        return reply.status == _OK

    async def terminate(self) -> int:
        """Ask the daemon to stop, and return its exit code."""
        self.program.send_signal(signal.SIGTERM)
        return await self.program.wait()


@attrs.frozen(kw_only=True)
class SystemSpec:
    """Describe the system to run; `flags` go to every daemon.

    The daemons are those of the checkout in `root`.
    """

    text: bytes
    fronts: int = 2
    relays: int = 2
    flags: Mapping[str, object] = attrs.field(factory=dict)
    servers: ServerOptions = ServerOptions()
    root: pathlib.Path = ROOT


@attrs.define(eq=False, kw_only=True)
class System:
    """Hold the running processes of one system."""

    spec: SystemSpec
    configuration: Configuration
    calls: HttpCalls
    platform: Platform
    backends: Backends
    programs: list[Program]
    fronts: list[Daemon] = attrs.field(factory=list)
    relays: list[Daemon] = attrs.field(factory=list)

    async def start_front(self, failure_domain: str, **flags: object) -> Daemon:
        """Start a front and wait for its addresses."""
        listen: dict[str, object] = {'listen_address': _ANY_PORT, **flags}
        daemon = await self._start('front', failure_domain, listen)
        self.fronts.append(daemon)
        return daemon

    async def start_relay(self, failure_domain: str, **flags: object) -> Daemon:
        """Start a relay and wait for its addresses."""
        daemon = await self._start('relay', failure_domain, flags)
        self.relays.append(daemon)
        return daemon

    async def command(self, *arguments: str) -> tuple[int, list[str]]:
        """Run the operators' command against this system's platform."""
        address = self.platform.address
        flags = (f'--platform={address}', '--author=test')
        program = await Program.start(
            'dragonflyramp.tools.operator', (*arguments, *flags)
        )
        self.programs.append(program)
        return await program.wait(), program.lines

    async def push(self, text: bytes, base: int | None = None) -> None:
        """Push a text, which must be accepted."""
        outcome = await self.try_push(text, base)
        assert isinstance(outcome, operators.Accepted), outcome

    async def try_push(
        self, text: bytes, base: int | None = None
    ) -> operators.PushOutcome:
        """Push a text and return the outcome."""
        request = operators.PushRequest(text=text, base=base)
        async with self._pusher() as pusher:
            return await operators.push(pusher, _OPERATOR, request)

    async def take_out(self, name: str) -> None:
        """Hold a failure domain or a replica, which must be accepted.

        A command takes some time to start; this returns at the acceptance.
        """
        request = operators.HoldRequest(name=name, reason='test')
        async with self._pusher() as pusher:
            outcome = await operators.take_out(pusher, _OPERATOR, request)
        assert isinstance(outcome, operators.Accepted), outcome

    async def bring_in(self, name: str) -> None:
        """End a hold, which must be accepted."""
        async with self._pusher() as pusher:
            outcome = await operators.bring_in(pusher, _OPERATOR, name)
        assert isinstance(outcome, operators.Accepted), outcome

    async def wait_warm(self, count: int) -> None:
        """Wait until relays list a number of replicas and all are warm."""

        async def is_warm() -> bool:  # noqa: WPS430 - a condition to wait for
            states = [
                replica['state']
                for relay in self.relays
                for replica in (await relay.status())['replicas']
            ]
            return states.count('warm') >= count

        await eventually(is_warm)

    @contextlib.asynccontextmanager
    async def _pusher(self) -> AsyncIterator[operators.Pusher]:
        retries = operators.Retries(rng=random.Random(0))
        async with open_platform(self.platform.address, 5) as platform:
            texts = operators.TextStore(store=platform.store, retries=retries)
            yield operators.Pusher(texts, platform.vms)

    async def _start(
        self, role: str, failure_domain: str, flags: Mapping[str, object]
    ) -> Daemon:
        chosen: dict[str, object] = {
            'platform_address': self.platform.address,
            'member_address': _ANY_PORT,
            'status_address': _ANY_PORT,
            'failure_domain': failure_domain,
            'region': 'test',
            'log_format': 'json',
            **self.spec.flags,
            **flags,
        }
        program = await Program.start(
            f'dragonflyramp.tools.{role}',
            ['--{0}={1}'.format(*flag) for flag in chosen.items()],
            root=self.spec.root,
        )
        self.programs.append(program)
        found = await program.wait_json('member_address')
        return Daemon(
            self.calls,
            program,
            failure_domain,
            found['member_id'],
            found['member_address'],
            found['status_address'],
            found.get('listen_address', ''),
        )


@contextlib.asynccontextmanager
async def running(spec: SystemSpec) -> AsyncIterator[System]:
    """Run a system, ready, for the length of the context."""
    programs: list[Program] = []
    async with aiohttp.ClientSession() as session, _ended(programs):
        system = await _start_system(spec, HttpCalls(session), programs)
        yield system


async def eventually(condition: Callable[[], Awaitable[bool]]) -> None:
    """Wait until a condition holds; the bound only guards against hanging."""
    async with asyncio.timeout(START_SECONDS):
        while not await condition():
            await asyncio.sleep(_POLL_SECONDS)


@contextlib.asynccontextmanager
async def _ended(programs: list[Program]) -> AsyncIterator[None]:
    try:
        yield
    finally:
        for program in programs:
            await program.kill()


async def _start_system(
    spec: SystemSpec, calls: HttpCalls, programs: list[Program]
) -> System:
    configuration = operators.parse_text(spec.text).unwrap()
    platform = await start_platform(calls, programs)
    backends = await start_backends(
        calls, programs, configuration, spec.servers
    )
    await platform.list_machines(backends.machines)
    system = System(
        spec=spec,
        configuration=configuration,
        calls=calls,
        platform=platform,
        backends=backends,
        programs=programs,
    )
    await system.push(spec.text)
    await _start_daemons(system)
    return system


async def _start_daemons(system: System) -> None:
    domains = list(system.configuration.failure_domains)
    for index in range(system.spec.relays):
        await system.start_relay(domains[index % len(domains)])
    for index in range(system.spec.fronts):
        await system.start_front(domains[-1 - index % len(domains)])
    for daemon in (*system.relays, *system.fronts):
        await eventually(daemon.is_ready)
