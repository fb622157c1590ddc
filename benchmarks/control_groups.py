"""Measure heartbeats and the spread of changes against one group writer."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import aiohttp
import attrs

from benchmarks.children import Child, Reply
from benchmarks.forwarders import Forwarder
from benchmarks.pushes import push_text
from benchmarks.slopes import RUNS, Figure, fit_line, print_figures
from benchmarks.tables import render_number, say
from benchmarks.texts import make_text
from dragonflyramp.platform import open_platform
from tests.http_calls import HttpCalls
from tests.outside import Platform, start_platform
from tests.programs import Program

#: Rounds of heartbeats until all members know a record that stands still.
_SETTLING = 3
#: An offer that a busy member misses is repaired by the next heartbeat.
_TRIES = 4
#: Members in one process; more take long to start there.
_MAX_MEMBERS = 250
_MODULE = 'benchmarks.member_processes'
_MICROSECONDS = 1_000_000
_SERVICES = 45


@attrs.frozen(kw_only=True)
class GroupPlan:
    """Say how many members one writer has, and what is measured.

    Only the full group of the design is measured `in_detail`. The larger
    groups show the slope; they need a higher limit of members than the
    product has.
    """

    count: int
    period_seconds: float
    rounds: int = 2
    in_detail: bool = False
    role: str = 'members'


SMALL = (
    GroupPlan(count=31, period_seconds=0.5, in_detail=True),
    GroupPlan(count=50, period_seconds=0.5),
    GroupPlan(count=200, period_seconds=1),
)
LARGE = (GroupPlan(count=1000, period_seconds=5, rounds=1, role='callers'),)


@attrs.define(eq=False, kw_only=True)
class Group:
    """Hold a writer in one process, and its members in others."""

    plan: GroupPlan
    platform: Platform
    writer: Child
    members: list[Child]
    forwarder: Forwarder
    number: int = 1

    async def beat(self) -> 'Beats':
        """Let all members send some heartbeats, and read what it took."""
        before = Reading(await self.writer.ask('usage'), self.forwarder)
        started = await self._ask_members('usage')
        ended = await self._ask_members(
            'beat',
            writer=self.forwarder.address,
            rounds=self.plan.rounds,
            period_seconds=self.plan.period_seconds,
        )
        after = Reading(await self.writer.ask('usage'), self.forwarder)
        return Beats(
            heartbeats=self.plan.count * self.plan.rounds,
            writes=after.reply['renewal'] - before.reply['renewal'],
            member_us=sum(map(_spent_us, started, ended)),
            writer_us=_spent_us(before.reply, after.reply),
            up_bytes=after.there - before.there,
            down_bytes=after.back - before.back,
        )

    async def rest(self) -> float:
        """Give the processor time of a write without heartbeats."""
        before = await self.writer.ask('usage')
        await asyncio.sleep(2 * self.plan.period_seconds)
        after = await self.writer.ask('usage')
        writes = after['renewal'] - before['renewal']
        return _spent_us(before, after) / max(1, int(writes))

    async def change(self) -> 'Spread':
        """Push changes until the offers of one reach all members."""
        for _ in range(_TRIES):
            spread = await self._offer_change()
            if spread is not None:
                return spread
            say('a member missed an offer; its run is not counted')
            await self.beat()
        raise RuntimeError('members missed offers in every run')

    async def _offer_change(self) -> 'Spread | None':
        """Push a change, and read what it took to reach all members."""
        before = await self.writer.ask('usage')
        started = await self._ask_members('usage')
        ended = await self._push_next()
        if not all(reply['is_adopted'] for reply in ended):
            return None
        await asyncio.sleep(self.plan.period_seconds / 2)
        after = await self.writer.ask('usage')
        bytes_sent = after['requests']['Offer'] - before['requests'].get(
            'Offer', 0
        )
        return Spread(
            member_us=sum(map(_spent_us, started, ended)) / self.plan.count,
            writer_us=_spent_us(before, after) / self.plan.count,
            offer_bytes=bytes_sent / self.plan.count,
        )

    async def _push_next(self) -> list[Reply]:
        self.number += 1
        await push(self.platform, self.number)
        return await self._ask_members(
            'adopted',
            number=self.number,
            limit_seconds=2 * self.plan.period_seconds + 2,
        )

    async def _ask_members(self, order: str, **fields: object) -> list[Reply]:
        return await asyncio.gather(
            *(child.ask(order, **fields) for child in self.members)
        )


class Reading:
    """Hold what the writer and the forwarder counted at one moment."""

    def __init__(self, reply: Reply, forwarder: Forwarder) -> None:
        """Copy the counts of the forwarder."""
        self.reply = reply
        self.there = forwarder.there
        self.back = forwarder.back


@attrs.frozen(kw_only=True)
class Beats:
    """Hold the cost of some rounds of heartbeats."""

    heartbeats: int
    writes: int
    member_us: float
    writer_us: float
    up_bytes: int
    down_bytes: int


@attrs.frozen(kw_only=True)
class Spread:
    """Hold the cost of one change, by member."""

    member_us: float
    writer_us: float
    offer_bytes: float


async def run() -> None:
    """Print the cost of heartbeats and of changes by number of members."""
    small, large = await asyncio.gather(
        _measure_all(SMALL), _measure_all(LARGE)
    )
    points = []
    for group in (*small, *large):
        count = group.plan.count
        print_figures(f'{count} members', group.figures)
        points.append((count, group.write_us))
    start, slope = fit_line(points)
    say()
    say(
        f'one write at the writer: {render_number(start, 0)} us '
        f'+ {render_number(slope, 0)} us for each member'
    )


async def push(platform: Platform, number: int) -> None:
    """Push the text of a number, which must be accepted."""
    text = make_text(_SERVICES, slots=1 + number % 20)
    async with open_platform(platform.address, 5) as opened:
        await push_text(opened.store, opened.vms, text, number - 1)


@attrs.frozen
class GroupResult:
    """Hold the figures of one group."""

    plan: GroupPlan
    figures: list[Figure]
    write_us: float


async def _measure_all(plans: tuple[GroupPlan, ...]) -> list[GroupResult]:
    return [await _measure(plan) for plan in plans]


async def _measure(plan: GroupPlan) -> GroupResult:
    async with _open_group(plan) as group:
        for _ in range(_SETTLING):
            await group.beat()
        beats = [await group.beat() for _ in range(RUNS)]
        details = []
        if plan.in_detail:
            details = await _details(group)
        await group.change()
        spreads = [await group.change() for _ in range(RUNS)]
    per_write = Figure(
        'writer: a write with all heartbeats',
        'us',
        tuple(one.writer_us / one.writes for one in beats),
    )
    figures = [
        *_heartbeat_figures('heartbeat', beats),
        per_write,
        *details,
        *_spread_figures(spreads, plan),
    ]
    return GroupResult(plan, figures, per_write.median)


async def _details(group: Group) -> list[Figure]:
    rests = [await group.rest() for _ in range(RUNS)]
    beats = [await _beat_after_change(group) for _ in range(RUNS)]
    return [
        Figure('writer: a write without heartbeats', 'us', tuple(rests)),
        *_heartbeat_figures('heartbeat after a change', beats),
    ]


async def _beat_after_change(group: Group) -> Beats:
    """Measure the heartbeats that follow a change of the configuration."""
    await group.change()
    return await group.beat()


def _heartbeat_figures(name: str, beats: list[Beats]) -> list[Figure]:
    return [
        Figure(
            f'{name}: {part}',
            unit,
            tuple(getattr(one, field) / one.heartbeats for one in beats),
        )
        for part, unit, field in (
            ('member', 'us', 'member_us'),
            ('writer', 'us', 'writer_us'),
            ('member to writer', 'B', 'up_bytes'),
            ('writer to member', 'B', 'down_bytes'),
        )
    ]


def _spread_figures(spreads: list[Spread], plan: GroupPlan) -> list[Figure]:
    """Leave out the members' side when one of them adopts for many."""
    figures = [
        Figure(
            f'offer of a change: {part}',
            unit,
            tuple(getattr(one, field) for one in spreads),
        )
        for part, unit, field in (
            ('member', 'us', 'member_us'),
            ('writer, by member', 'us', 'writer_us'),
            ('message', 'B', 'offer_bytes'),
        )
    ]
    return figures if plan.role == 'members' else figures[1:]


def _spent_us(before: Reply, after: Reply) -> float:
    spent = after['processor_seconds'] - before['processor_seconds']
    return float(spent) * _MICROSECONDS


@contextlib.asynccontextmanager
async def _open_group(plan: GroupPlan) -> AsyncIterator[Group]:
    programs: list[Program] = []
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        stack.push_async_callback(_kill, programs)
        platform = await _start_platform(session, programs)
        children = [
            await stack.enter_async_context(Child.running(_MODULE))
            for _ in (1, *_shares(plan.count))
        ]
        writer = await _start_all(children, platform, plan)
        forwarder = await stack.enter_async_context(Forwarder.running(writer))
        yield Group(
            plan=plan,
            platform=platform,
            writer=children[0],
            members=children[1:],
            forwarder=forwarder,
        )


async def _start_platform(
    session: aiohttp.ClientSession, programs: list[Program]
) -> Platform:
    platform = await start_platform(HttpCalls(session), programs)
    await push(platform, 1)
    return platform


async def _kill(programs: list[Program]) -> None:
    for program in programs:
        await program.kill()


def _shares(count: int) -> list[int]:
    """Divide members among processes, none of which gets too many."""
    processes = -(-count // _MAX_MEMBERS)
    return [count // processes for _ in range(processes)]


async def _start_all(
    children: list[Child], platform: Platform, plan: GroupPlan
) -> str:
    """Start the writer and then the members; give the writer's address."""
    writer = await _start(children[0], platform, plan, 1, 'writer')
    await asyncio.gather(
        *(
            _start(child, platform, plan, share, plan.role)
            for child, share in zip(
                children[1:], _shares(plan.count), strict=True
            )
        )
    )
    return writer


async def _start(
    child: Child, platform: Platform, plan: GroupPlan, count: int, role: str
) -> str:
    reply = await child.ask(
        'start',
        platform=platform.address,
        count=count,
        role=role,
        renewal_period_seconds=plan.period_seconds,
        # Members pause between the rounds for longer than a term.
        lease_term_seconds=60,
        max_members=plan.count + 1,
    )
    return str(reply['address'])
