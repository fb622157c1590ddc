"""Test that nothing new goes where operators or servers want none."""

import asyncio
import contextlib
import signal
import time
from collections.abc import AsyncIterator

import attrs

from dragonflyramp.models import VmState
from tests.arrivals import BOUND_SECONDS, Load
from tests.outside import ServerOptions
from tests.standins.tcp_links import TcpLink, tcp_link
from tests.systems import System, SystemSpec, eventually, running

#: Longer than the period of the VM list and of the statuses.
_OBSERVED_SECONDS = 3
_DOMAIN = 'recife'
_SHARDS = tuple('abcde')
_TEXT = """format = 1
user = "tests"
[failure_domains.recife]
region = "r"
[failure_domains.natal]
region = "r"
[services.desk]
depends_on = ["a", "b", "c", "d", "e"]
slices = 2
deadline_ms = 400
"""
_SHARD = """[services.{0}]
slots = 3
connections = 30
cold_requests_per_second = 20
"""


@attrs.define(eq=False)
class ZoneCase:
    """Take a failure domain out and in, with faults in between."""

    load: Load
    link: TcpLink
    out_seconds: float = 0

    @property
    def system(self) -> System:
        """Return the system that runs."""
        return self.load.system

    async def take_out(self) -> None:
        """Take the failure domain out and wait until its work ends."""
        await self.system.take_out(_DOMAIN)
        self.out_seconds = time.monotonic()
        await self.load.wait_end(self._held(), self.out_seconds)

    async def check_still_out(self) -> None:
        """Check that only the others got work since the bound passed."""
        others = set(self.load.replicas()) - set(self._held())
        await self.load.wait_work(*others)
        arrived = await self.load.arrivals(self._held())
        assert arrived[-1] <= self.out_seconds + BOUND_SECONDS

    async def bring_in(self) -> None:
        """Check once more, end the hold and wait for work."""
        await self.check_still_out()
        await self.system.bring_in(_DOMAIN)
        await self.load.wait_work(*self._held())

    async def start(self, **flags: object) -> None:
        """Start one more daemon of each role, and search through it."""
        front, relay = await asyncio.gather(
            self.system.start_front('natal', **flags),
            self.system.start_relay('natal', **flags),
        )
        await eventually(front.is_ready)
        await eventually(relay.is_ready)
        self.load.fronts = [front]

    async def stop_oldest(self) -> None:
        """Stop all daemons but the newest of each role."""
        daemons = (*self.system.fronts[:-1], *self.system.relays[:-1])
        codes = await asyncio.gather(*(one.terminate() for one in daemons))
        assert set(codes) == {0}
        self.system.fronts = self.system.fronts[-1:]
        self.system.relays = self.system.relays[-1:]

    def _held(self) -> list[str]:
        return self.load.replicas(_DOMAIN)


@contextlib.asynccontextmanager
async def _zone_case(pairs: int) -> AsyncIterator[ZoneCase]:
    """Run relays and fronts; one relay reaches the platform over a link."""
    async with (
        _backends() as system,
        tcp_link(system.platform.address) as link,
    ):
        await asyncio.gather(
            system.start_relay(_DOMAIN, platform_address=link.address),
            system.start_front(_DOMAIN),
            *(system.start_relay('natal') for _ in range(pairs - 1)),
            *(system.start_front('natal') for _ in range(pairs - 1)),
        )
        async with _searched(system) as load:
            yield ZoneCase(load, link)


@contextlib.asynccontextmanager
async def _backends() -> AsyncIterator[System]:
    """Run the stand-ins; the test starts the daemons."""
    shards = ''.join(map(_SHARD.format, _SHARDS))
    spec = SystemSpec(
        text=f'{_TEXT}{shards}'.encode(),
        fronts=0,
        relays=0,
        flags={'drain_notice_seconds': 0.1},
        servers=ServerOptions(common={'cold': False}),
    )
    async with running(spec) as system:
        yield system


@contextlib.asynccontextmanager
async def _searched(system: System) -> AsyncIterator[Load]:
    """Search, and wait until every replica gets work."""
    for daemon in (*system.relays, *system.fronts):
        await eventually(daemon.is_ready)
    load = Load(system, 'desk', list(system.fronts))
    load.begin()
    for replica in load.replicas():
        await load.wait_work(replica)
    yield load
    await load.end()


async def test_a_zone_out_reaches_daemons_with_faults() -> None:
    """A daemon that misses the change would go on sending there."""
    async with _zone_case(2) as case:
        # The domain out twice, and in once.
        await case.take_out()
        again = ('zone', 'out', _DOMAIN, '--reason=x')
        assert (await case.system.command(*again))[0] == 0
        await case.bring_in()
        # Watches that are answered too late.
        await case.system.platform.switch(watch_delay_ms=60_000)
        await case.take_out()
        await case.system.platform.switch(watch_delay_ms=0)
        await case.bring_in()
        # A relay that reaches only the other daemons.
        case.link.cut()
        await case.take_out()
        case.link.heal()
        await case.bring_in()
        await _freeze(case)


async def _freeze(case: ZoneCase) -> None:
    """Freeze a relay and a front, and let searches wait in their sockets.

    The load pauses before, because a request that was being written when
    its process was frozen is completed when the process goes on.
    """
    system, load = case.system, case.load
    frozen = (system.relays[0], system.fronts[0])
    await load.end()
    for daemon in frozen:
        daemon.program.send_signal(signal.SIGSTOP)
    load.begin()
    await case.take_out()
    load.fronts = system.fronts[1:]
    left_seconds = case.out_seconds + BOUND_SECONDS - time.monotonic()
    await asyncio.sleep(max(0, left_seconds))
    for resumed in frozen:
        resumed.program.send_signal(signal.SIGCONT)
    load.fronts = system.fronts
    for ready in frozen:
        await eventually(ready.is_ready)
    await case.bring_in()


async def test_a_zone_out_holds_for_new_daemons() -> None:
    """A daemon that starts later must not start without the hold."""
    async with _zone_case(1) as case:
        await case.take_out()
        await case.start()
        await case.stop_oldest()
        await case.check_still_out()
        # In an outage only the peers know of the hold.
        await case.system.platform.switch(down=True)
        peers = [*case.system.fronts, *case.system.relays]
        addresses = ','.join(one.member_address for one in peers)
        await case.start(peers=addresses)
        await case.check_still_out()
        await case.system.platform.switch(down=False)
        await case.stop_oldest()
        await case.bring_in()


async def test_each_sign_of_leaving_ends_new_work() -> None:
    """A backend server that leaves must be left alone until it is new."""
    async with _backends() as system:
        await system.start_relay('natal')
        await system.start_front('natal')
        async with _searched(system) as load:
            await _leave(load)


async def _leave(load: Load) -> None:
    system, backends = load.system, load.system.backends
    leaving = [f'{shard}-0' for shard in _SHARDS]
    held, *others = leaving
    since_seconds = time.monotonic()
    await system.take_out(held)
    await backends.control('b-0', 'set', faults={'draining_replies': True})
    await backends.control('c-0', 'set', faults={'draining_status': True})
    await backends.control('d-0', 'stop_listening')
    await _list(system, 'e-0', VmState.leaving)
    await load.wait_end(leaving, since_seconds)
    # The signs end, but the same instance still runs.
    await backends.control('b-0', 'set', faults={'draining_replies': False})
    await backends.control('c-0', 'set', faults={'draining_status': False})
    await backends.control('d-0', 'start_listening')
    await _list(system, 'e-0', VmState.live)
    await asyncio.sleep(_OBSERVED_SECONDS)
    await load.wait_end(leaving, since_seconds)
    for replica in others:
        await backends.control(replica, 'restart')
    for replica in others:
        await load.wait_work(replica)
    await system.bring_in(held)
    await load.wait_work(held)


async def _list(system: System, replica_id: str, state: VmState) -> None:
    """List all VMs as live but one."""
    await system.platform.list_machines(
        [
            attrs.evolve(machine, state=state)
            if machine.replica.replica_id == replica_id
            else machine
            for machine in system.backends.machines
        ]
    )
