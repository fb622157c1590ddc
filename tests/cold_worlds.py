"""Run one small system through faults while its servers are cold."""

import asyncio
import contextlib
import json
import signal
import types
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import attrs

from tests.outside import ServerOptions
from tests.systems import Daemon, System, SystemSpec, eventually, running

DOMAINS = ('a', 'b', 'c')
SHARDS = ('desk-1', 'desk-2')
COLD_PER_SECOND = 15
LEASE_TERM_SECONDS = 1.0
_SEARCH_PERIOD_SECONDS = 0.015
_DEADLINE_MS = 300
_RELAYS = 3
_FRONTS = 2

_FLAGS = types.MappingProxyType(
    {
        'renewal_period_seconds': 0.25,
        'lease_term_seconds': LEASE_TERM_SECONDS,
        'isolation_seconds': LEASE_TERM_SECONDS,
        'status_period_seconds': 0.25,
        'vm_list_period_seconds': 0.5,
    }
)

_DOMAIN_TEXT = '[failure_domains.{0}]\nregion = "test"\n'
_SHARD_TEXT = """
[services.{0}]
slots = 3
connections = 30
connection_cost_ms = 1
cold_requests_per_second = {1}
"""
_TEXT = """
[services.desk]
depends_on = {0}
deadline_ms = {1}
coverage_target = 1.0
answer_after_ms = 0
canary_shards = 0
slices = 1
"""


def text() -> bytes:
    """Give the operators' text of the system."""
    return ''.join(
        (
            'format = 1\nuser = "test"\n',
            *map(_DOMAIN_TEXT.format, DOMAINS),
            _TEXT.format(json.dumps(SHARDS), _DEADLINE_MS),
            *(_SHARD_TEXT.format(shard, COLD_PER_SECOND) for shard in SHARDS),
        )
    ).encode()


@attrs.define(eq=False)
class ColdWorld:
    """Load a system with many callers, and compare what its servers saw.

    One slice has its owner and both deputies among three relays.
    """

    system: System
    answers: int = 0
    seen_violations: int = 0
    _frozen: list[Daemon] = attrs.field(factory=list)

    async def load(self) -> None:
        """Search much faster than cold servers bear, until cancelled."""
        async with asyncio.TaskGroup() as group:
            turn = 0
            while True:
                turn += 1
                group.create_task(self._search(turn))
                await asyncio.sleep(_SEARCH_PERIOD_SECONDS)

    async def totals(self) -> dict[str, Any]:
        """Read the numbers that the servers recorded."""
        return await self.system.backends.records('/totals')

    async def new_violations(self) -> int:
        """Count the requests that were more than a cold server bears.

        Each is counted by one call only.
        """
        totals = await self.totals()
        found: int = sum(one['violations'] for one in totals.values())
        new = found - self.seen_violations
        self.seen_violations = found
        return new

    async def received(self) -> int:
        """Count the requests that arrived at servers."""
        totals = await self.totals()
        found: int = sum(one['received'] for one in totals.values())
        return found

    async def all_cold(self) -> None:
        """Let every server crash and come back cold."""
        await self.system.backends.control('*', 'crash')

    async def domain(self, failure_domain: str, action: str) -> None:
        """Do an action at every server of a failure domain."""
        for machine in self.system.backends.machines:
            replica = machine.replica
            if replica.failure_domain == failure_domain:
                await self.system.backends.control(replica.replica_id, action)

    async def zone(self, direction: str, failure_domain: str) -> None:
        """Take a failure domain out, or bring it back."""
        reason = ('--reason=test',) if direction == 'out' else ()
        code, lines = await self.system.command(
            'zone', direction, failure_domain, *reason
        )
        assert code == 0, lines

    async def outage(self, *, down: bool) -> None:
        """Let the platform be down or up."""
        await self.system.platform.switch(down=down)

    async def wait_warm(self) -> None:
        """Wait until every server is warm, and the owner knows."""

        async def is_warm() -> bool:  # noqa: WPS430 - a condition to wait for
            totals = await self.totals()
            if any(one['cold'] for one in totals.values()):
                return False
            owner = await self.find_owner()
            if owner is None:
                return False
            replicas = (await owner.status())['replicas']
            states = {replica['state'] for replica in replicas}
            return len(replicas) == len(totals) and states == {'warm'}

        await eventually(is_warm)

    async def find_owner(self) -> Daemon | None:
        """Find the relay that holds a lease in use."""
        for relay in self.running(self.system.relays):
            if (await relay.status())['held']:
                return relay
        return None

    async def wait_owner(self, *, but: Daemon | None = None) -> Daemon:
        """Wait until a relay, but not the given one, holds the slice."""
        found: list[Daemon] = []

        async def is_held() -> bool:  # noqa: WPS430 - a condition to wait for
            for relay in self.running(self.system.relays):
                if relay is not but and (await relay.status())['held']:
                    found.append(relay)
            return bool(found)

        await eventually(is_held)
        return found[0]

    async def deputy(self) -> Daemon:
        """Find a relay that is not the owner, so it is a deputy."""
        owner = await self.wait_owner()
        return next(
            relay
            for relay in self.running(self.system.relays)
            if relay is not owner
        )

    async def record(self) -> dict[str, Any]:
        """Read the group record from the platform."""
        reply = await self.system.calls.get(
            self.system.platform.address, '/objects/groups/main'
        )
        return reply.body

    async def writer(self) -> Daemon:
        """Find the daemon that writes the group record."""
        daemons = self.running(self.system.relays + self.system.fronts)
        writer_id = (await daemons[0].status())['writer']
        return next(one for one in daemons if one.member_id == writer_id)

    async def kill(self, daemon: Daemon) -> None:
        """End a process at once."""
        await daemon.program.kill()

    @contextlib.asynccontextmanager
    async def frozen(self, daemon: Daemon) -> AsyncIterator[None]:
        """Freeze a process for the length of the context."""
        daemon.program.send_signal(signal.SIGSTOP)
        self._frozen.append(daemon)
        try:
            yield
        finally:
            daemon.program.send_signal(signal.SIGCONT)
            self._frozen.remove(daemon)

    def running(self, daemons: list[Daemon]) -> list[Daemon]:
        """List the processes that neither ended nor are frozen."""
        return [
            daemon
            for daemon in daemons
            if daemon.program.process.returncode is None
            and daemon not in self._frozen
        ]

    async def restart_relay(self, daemon: Daemon, peer: Daemon) -> None:
        """Start a relay at the member address of one that ended."""
        await self.system.start_relay(
            daemon.failure_domain,
            member_address=daemon.member_address,
            peers=peer.member_address,
        )

    async def repair(self) -> None:
        """Bring the system back to its full size, settled."""
        await self.outage(down=False)
        system = self.system
        for index in range(_RELAYS - len(self.running(system.relays))):
            await system.start_relay(DOMAINS[index])
        for index in range(_FRONTS - len(self.running(system.fronts))):
            await system.start_front(DOMAINS[index])
        await eventually(self._is_settled)

    async def _is_settled(self) -> bool:
        """Tell whether the relays that run are the owner and its deputies."""
        daemons = self.running(self.system.relays + self.system.fronts)
        if not all([await daemon.is_ready() for daemon in daemons]):
            return False
        entry = (await self.record())['slices'][0]
        relays = self.running(self.system.relays)
        moving = entry.get('former') or entry.get('successor')
        named = {entry['holder'], *entry['deputies']}
        if moving or named != {relay.member_id for relay in relays}:
            return False
        return await self.find_owner() is not None

    async def _search(self, turn: int) -> None:
        fronts = self.running(self.system.fronts)
        if not fronts:
            return
        address = fronts[turn % len(fronts)].listen_address
        # A killed or frozen front costs its callers their answers.
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            reply = await self.system.calls.search(
                address, 'desk', {'same': 'body'}, deadline_ms=_DEADLINE_MS
            )
            self.answers += reply.status == 200


@contextlib.asynccontextmanager
async def cold_world(**flags: object) -> AsyncIterator[ColdWorld]:
    """Run a system whose servers are all cold, under load."""
    spec = SystemSpec(
        text=text(),
        fronts=_FRONTS,
        relays=_RELAYS,
        flags={**_FLAGS, **flags},
        servers=ServerOptions(common={'service_ms': 8, 'cold': True}),
    )
    async with running(spec) as system:
        world = ColdWorld(system)
        load = asyncio.create_task(world.load())
        try:
            yield world
        finally:
            load.cancel()
            await asyncio.wait([load])
