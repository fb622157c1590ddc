"""Test that an accepted configuration never reverts, whatever fails."""

import asyncio

import attrs
import pytest

from dragonflyramp.operators import Accepted, Refused, notify, open_daemons
from dragonflyramp.results import ResultCode
from tests.standins.keepers import (
    Times,
    look,
    make_keeper,
)
from tests.standins.member_calls import Links
from tests.standins.member_texts import publish
from tests.standins.memory_objects import MemoryPlatform
from tests.systems import System, SystemSpec, eventually, running

#: More than a heartbeat period, in which a stale number would spread.
_READ_SECONDS = 0.1
_STEADY_READS = 15
_CALL_SECONDS = 5


@pytest.mark.parametrize(
    ('numbers', 'is_isolated', 'expected'),
    [
        ((1, 1), False, 1),
        ((2, 2), False, 2),
        ((1, 2), False, 2),
        # Peers without contact for too long cannot vouch for anything.
        ((1, 1), True, 1),
    ],
)
async def test_start_in_an_outage(
    numbers: tuple[int, int], is_isolated: bool, expected: int
) -> None:
    """A new daemon has what its peers have, and later only newer texts."""
    platform, links, times = MemoryPlatform(), Links(), Times()
    peers = [
        make_keeper(name, platform, links, ('a', 'b'), times.clock)
        for name in 'ab'
    ]
    for number in (1, 2):
        publish(platform, number, [f'service-{number}'])
        await look(
            *(
                peer
                for peer, wanted in zip(peers, numbers, strict=True)
                if wanted >= number
            )
        )
    if is_isolated:
        times.pass_isolation()
    started = make_keeper('c', platform, links, ('a', 'b'), times.clock)
    started.store.faults.is_down = True
    await look(started)
    # A heartbeat of each peer shows its number.
    for peer in peers:
        started.texts.hint(peer.number, peer.view.own.address)
    await look(started)
    assert started.number == expected
    assert times.isolated(started) == [is_isolated]
    started.store.faults.is_down = False
    started.store.faults.stale_reads = 1
    await look(started)
    assert started.number == expected
    await look(started)
    assert started.number == 2
    assert times.isolated(started) == [False]


_TEXT = b"""format = 1
user = "tests"
[failure_domains.recife]
region = "r"
[failure_domains.natal]
region = "r"
[services.a]
"""
_HELD = b"""[holds.natal]
kind = "failure_domain"
by = "test"
at = "2026-01-01T00:00:00Z"
reason = "test"
"""


@attrs.define(eq=False)
class Numbers:
    """Follow the numbers that daemons have adopted."""

    system: System
    seen: dict[str, list[int]] = attrs.field(factory=dict)

    async def wait(self, number: int) -> None:
        """Wait until all daemons have a number, and check the way there."""

        async def is_reached() -> bool:  # noqa: WPS430 - to wait for
            return await self._read() == {number}

        await eventually(is_reached)

    async def check_steady(self, number: int) -> None:
        """Check that all daemons keep a number for some periods."""
        await self.wait(number)
        for _ in range(_STEADY_READS):
            await asyncio.sleep(_READ_SECONDS)
            assert await self._read() == {number}

    async def _read(self) -> set[int]:
        for daemon in (*self.system.fronts, *self.system.relays):
            status = await daemon.status()
            seen = self.seen.setdefault(daemon.member_id, [0])
            seen.append(status['configuration'])
            assert seen[-1] >= seen[-2]
        return {seen[-1] for seen in self.seen.values()}


async def test_accepted_changes_stay_in_force() -> None:
    """Operators that race, scripts and a bad platform must revert nothing."""
    spec = SystemSpec(text=_TEXT, fronts=1, relays=1)
    async with running(spec) as system:
        numbers = Numbers(system)
        await numbers.wait(1)
        # Two operators race, and the reply to the winner is lost.
        await system.platform.switch(lost_replies=1, lost_prefix='texts/')
        outcomes = await asyncio.gather(
            system.try_push(b'%b# ana\n' % _TEXT, 1),
            system.try_push(b'%b# rui\n' % _TEXT, 1),
        )
        winners = [one for one in outcomes if isinstance(one, Accepted)]
        assert len(winners) == 1
        await system.take_out('natal')
        await numbers.wait(3)
        # The winner's command was paused and hands its change out now.
        await _notify(system, winners[0])
        await numbers.check_steady(3)
        # A script pushes an old copy, and one without the hold.
        for base, code in (
            (1, ResultCode.stale_base),
            (3, ResultCode.hold_protected),
        ):
            refused = await system.try_push(_TEXT, base)
            assert isinstance(refused, Refused)
            assert refused.has_code(code)
        await numbers.check_steady(3)
        # The platform answers with the version before the last one.
        await system.platform.switch(stale=True)
        peers = ','.join(
            one.member_address for one in (*system.fronts, *system.relays)
        )
        await system.start_relay('recife', peers=peers)
        await numbers.check_steady(3)
        # Only the peers of a daemon that starts know the configuration.
        await system.platform.switch(stale=False, down=True)
        await system.start_front('natal', peers=peers)
        await numbers.check_steady(3)
        await system.platform.switch(down=False)
        kept = await system.try_push(_TEXT + _HELD, 3)
        assert isinstance(kept, Accepted)
        await numbers.check_steady(4)


async def _notify(system: System, change: Accepted) -> None:
    addresses = [
        daemon.status_address for daemon in (*system.fronts, *system.relays)
    ]
    async with open_daemons(_CALL_SECONDS) as daemons:
        await notify(daemons, addresses, change)
