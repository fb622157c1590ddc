"""Define the situations in which the policies are measured."""

import asyncio
import functools
import time
from collections.abc import Sequence
from typing import Protocol

import attrs

from benchmarks.worlds import Load, Phase, World

#: Extra time of a straggling replica; 20 times the usual service time.
STRAGGLE_MS = 200
_GENTLE_SECONDS = 2
_ZONE_OUT_SECONDS = 1
#: Operators are promised that nothing new arrives after 5 s.
_ZONE_DOWN_SECONDS = 7
_ZONE_BACK_SECONDS = 9


class Experiment(Protocol):
    """Put a system into a situation under load."""

    @property
    def name(self) -> str:
        """Name the experiment on the command line."""

    @property
    def title(self) -> str:
        """Say in a few words what happens."""

    @property
    def seeds(self) -> tuple[int, ...]:
        """List the seeds, one for each run."""

    async def run(self, world: World, seed: int) -> list[Phase]:
        """Run once; the first phase is the one to compare."""


@attrs.frozen(kw_only=True)
class Steady:
    """Load a healthy system."""

    name: str = 'steady'
    title: str = 'all servers warm and healthy'
    seeds: tuple[int, ...] = (11, 12, 13)
    seconds: float = 6
    new_share: float = 0.3

    async def run(self, world: World, seed: int) -> list[Phase]:
        """Run one load."""
        load = Load(
            per_second=world.size.per_second,
            seconds=self.seconds,
            seed=seed,
            new_share=self.new_share,
        )
        return [await world.run(load)]


@attrs.frozen(kw_only=True)
class Stragglers:
    """Let one replica of every shard take longer."""

    name: str = 'stragglers'
    title: str = f'one replica of every shard is {STRAGGLE_MS} ms slower'
    seeds: tuple[int, ...] = (21, 22, 23)
    seconds: float = 6

    async def run(self, world: World, seed: int) -> list[Phase]:
        """Run one load, with another straggler for each seed."""
        position = seed % world.size.replicas
        slow = [
            machine.replica.replica_id
            for machine in world.searched_machines()
            if machine.replica.replica_id.endswith(f'-{position}')
        ]
        await world.set_faults(slow, straggle_ms=STRAGGLE_MS)
        load = Load(
            per_second=world.size.per_second, seconds=self.seconds, seed=seed
        )
        phase = await world.run(load)
        await world.set_faults(slow, straggle_ms=0)
        await world.run(attrs.evolve(load, seconds=_GENTLE_SECONDS))
        return [phase]


@attrs.frozen(kw_only=True)
class Overload:
    """Offer what the slots serve, and twice that."""

    name: str = 'overload'
    title: str = 'twice what the slots of one service serve'
    seeds: tuple[int, ...] = (31, 32)
    seconds: float = 5
    factors: tuple[float, ...] = (2, 1, 0.7)

    async def run(self, world: World, seed: int) -> list[Phase]:
        """Run the highest load first, when nothing is learnt from others."""
        size = world.size
        await world.set_faults(['*'], straggle_ms=size.overload_extra_ms)
        phases = [
            await world.run(
                Load(
                    per_second=factor * size.slots_per_second(),
                    seconds=self.seconds,
                    seed=seed,
                    services=size.searched[:1],
                )
            )
            for factor in self.factors
        ]
        await world.set_faults(['*'], straggle_ms=0)
        await world.warm_up()
        return phases


@attrs.frozen(kw_only=True)
class ZoneOut:
    """Take a failure domain out, and bring it back with cold servers."""

    name: str = 'zone'
    title: str = 'a failure domain leaves and returns cold'
    seeds: tuple[int, ...] = (41, 42)
    seconds: float = 20

    async def run(self, world: World, seed: int) -> list[Phase]:
        """Run one load, with another failure domain for each seed."""
        await world.system.backends.control('*', 'turn_warm')
        await world.warm_up()
        domains = tuple(world.system.configuration.failure_domains)
        domain = domains[seed % len(domains)]
        load = Load(
            per_second=world.size.per_second, seconds=self.seconds, seed=seed
        )
        during = functools.partial(_take_out_and_in, world, domain)
        return [await world.run(load, during)]


ALL: Sequence[Experiment] = (Steady(), Stragglers(), Overload(), ZoneOut())


async def _take_out_and_in(world: World, domain: str) -> None:
    """Follow the times above, counted from the start of the load."""
    start_seconds = time.monotonic()
    await _sleep_until(start_seconds + _ZONE_OUT_SECONDS)
    await _command(world, 'zone', 'out', domain, '--reason=benchmark')
    await _sleep_until(start_seconds + _ZONE_DOWN_SECONDS)
    await _control_all(world, domain, ('stop_listening', 'restart'))
    await _bring_back(world, domain, start_seconds + _ZONE_BACK_SECONDS)


async def _bring_back(world: World, domain: str, at_seconds: float) -> None:
    await _sleep_until(at_seconds)
    await _control_all(world, domain, ('start_listening',))
    await _command(world, 'zone', 'in', domain)


async def _control_all(
    world: World, domain: str, actions: Sequence[str]
) -> None:
    for machine in world.system.backends.machines:
        replica = machine.replica
        if replica.failure_domain == domain:
            for action in actions:
                await world.system.backends.control(replica.replica_id, action)


async def _command(world: World, *arguments: str) -> None:
    code, lines = await world.system.command(*arguments)
    if code:
        raise RuntimeError('\n'.join(lines))


async def _sleep_until(at_seconds: float) -> None:
    await asyncio.sleep(at_seconds - time.monotonic())
