"""Run a user's system with one set of policies, and put load on it."""

import contextlib
import json
import pathlib
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterable,
    Mapping,
)

import attrs
import cattrs

from benchmarks import meters, sizes
from benchmarks.arrivals import LoadSpec, SearchedService
from benchmarks.tallies import Tally, decode_tally
from dragonflyramp.platform import VirtualMachine
from tests.outside import ServerOptions
from tests.programs import ROOT, Program
from tests.systems import System, SystemSpec, running

_WARM_UP_SECONDS = 4
_MAX_WARM_UPS = 12
_SEED = 1

During = Callable[[], Awaitable[None]]


@attrs.frozen(kw_only=True)
class Tier:
    """Describe the policies of a system: flags, and edits of the text.

    The daemons are those of the checkout in `root`.
    """

    label: str
    flags: Mapping[str, object] = attrs.field(factory=dict)
    edits: Mapping[str, str] = attrs.field(factory=dict)
    #: Without a ramp there is nothing to wait for after the start.
    has_ramp: bool = True
    root: pathlib.Path = ROOT

    def text_for(self, size: sizes.UserSize) -> str:
        """Edit the operators' text of a user."""
        text = size.text
        for old, new in self.edits.items():
            text = text.replace(old, new)
        return text


OURS = Tier(label='ours')
NAIVE = Tier(
    label='naive',
    flags={'policy': 'naive', 'naive_relays': sizes.RELAYS},
    has_ramp=False,
)


@attrs.frozen(kw_only=True)
class Load:
    """Ask for an open load of the services together; by default of all."""

    per_second: float
    seconds: float
    seed: int
    services: tuple[str, ...] = ()
    new_share: float = 0.3


@attrs.frozen(kw_only=True)
class Phase:
    """Hold what a load met and what the system did meanwhile."""

    load: Load
    tally: Tally
    usage: meters.Usage


@attrs.define(eq=False, kw_only=True)
class World:
    """Hold a running system."""

    size: sizes.UserSize
    tier: Tier
    system: System

    async def run(self, load: Load, during: During | None = None) -> Phase:
        """Put a load on the system, and do something at the same time."""
        before = await meters.read(self.system)
        tally = await _run_load(self.system, _load_spec(self, load), during)
        after = await meters.read(self.system)
        usage = meters.difference(before, after)
        return Phase(load=load, tally=tally, usage=usage)

    async def warm_up(self) -> None:
        """Search gently until every searched replica is warm."""
        gentle = Load(
            per_second=self.size.warm_per_second,
            seconds=_WARM_UP_SECONDS,
            seed=_SEED,
            new_share=0,
        )
        await self.run(gentle)
        for _ in range(_MAX_WARM_UPS):
            if not self.tier.has_ramp or await self._is_warm():
                return
            await self.run(gentle)
        raise RuntimeError('the replicas did not become warm')

    async def set_faults(
        self, replicas: Iterable[str], **faults: object
    ) -> None:
        """Switch faults of some backend servers."""
        for replica in replicas:
            await self.system.backends.control(replica, 'set', faults=faults)

    def searched_machines(self) -> list[VirtualMachine]:
        """List the VMs of all searched shards."""
        shards = {
            shard
            for service in self.size.searched
            for shard in self.system.configuration.shards_of(service)
        }
        return [
            machine
            for machine in self.system.backends.machines
            if machine.replica.shard in shards
        ]

    async def _is_warm(self) -> bool:
        warm = {
            replica['replica_id']
            for relay in self.system.relays
            for replica in (await relay.status())['replicas']
            if replica['state'] == 'warm'
        }
        return warm >= {
            machine.replica.replica_id for machine in self.searched_machines()
        }


async def _run_load(
    system: System, spec: LoadSpec, during: During | None
) -> Tally:
    program = await Program.start(
        'benchmarks.loads', stdin=json.dumps(cattrs.unstructure(spec)).encode()
    )
    system.programs.append(program)
    await program.wait_json('started')
    if during is not None:
        await during()
    encoded = await program.wait_json('latencies')
    await program.wait()
    return decode_tally(encoded)


def _load_spec(world: World, load: Load) -> LoadSpec:
    services = world.system.configuration.services
    return LoadSpec(
        fronts=tuple(front.listen_address for front in world.system.fronts),
        services=tuple(
            SearchedService(
                name=name,
                deadline_ms=services[name].deadline_ms,
                coverage_target=services[name].coverage_target,
            )
            for name in load.services or world.size.searched
        ),
        per_second=load.per_second,
        seconds=load.seconds,
        seed=load.seed,
        caller_latency_ms=world.size.caller_latency_ms,
        new_share=load.new_share,
    )


@contextlib.asynccontextmanager
async def open_world(size: sizes.UserSize, tier: Tier) -> AsyncIterator[World]:
    """Start a system with warm servers and let the relays learn that."""
    spec = SystemSpec(
        text=tier.text_for(size).encode(),
        fronts=sizes.FRONTS,
        relays=sizes.RELAYS,
        flags=tier.flags,
        root=tier.root,
        servers=ServerOptions(
            common={
                'service_ms': size.service_ms,
                'service_spread': size.service_spread,
                'latency_ms': size.domain_latency_ms,
                'cold': False,
            },
            processes=sizes.BACKEND_PROCESSES,
            module='benchmarks.servers',
        ),
    )
    async with running(spec) as system:
        world = World(size=size, tier=tier, system=system)
        await world.warm_up()
        yield world
