"""Show the whole path: searches, a zone out, and a planned stop.

Run `make demo`. It ends with exit code 0 when everything held.
"""

import asyncio
import collections
import sys

import attrs

from tests.http_calls import Reply
from tests.outside import ServerOptions
from tests.systems import (
    EXAMPLES,
    Daemon,
    System,
    SystemSpec,
    running,
)

_FAILURE_DOMAIN = 'recife'
_SETTLE_SECONDS = 5
_LOAD_PERIOD_SECONDS = 0.05
_OK = 200
_SEARCHED_REPLICAS = 75


@attrs.define(eq=False)
class Load:
    """Search at a steady rate and keep every reply."""

    system: System
    replies: list[Reply] = attrs.field(factory=list)

    async def run(self) -> None:
        """Search until cancelled, alternating between the ready fronts."""
        async with asyncio.TaskGroup() as group:
            turn = 0
            while True:
                turn += 1
                group.create_task(self._search(turn))
                await asyncio.sleep(_LOAD_PERIOD_SECONDS)

    def codes(self) -> dict[str, int]:
        """Count the replies by status."""
        return dict(
            collections.Counter(str(reply.status) for reply in self.replies)
        )

    async def _search(self, turn: int) -> None:
        ready = [
            front for front in self.system.fronts if await front.is_ready()
        ]
        front = ready[turn % len(ready)]
        service = ('planner-desk', 'couple-portal')[turn % 2]
        self.replies.append(
            await self.system.calls.search(
                front.listen_address, service, {'date': turn}
            )
        )


def main() -> int:
    """Run the demonstration and return the exit code."""
    return asyncio.run(_demonstrate())


async def _demonstrate() -> int:
    spec = SystemSpec(
        text=(EXAMPLES / 'forrozeira.toml').read_bytes(),
        servers=ServerOptions(common={'service_ms': 4, 'cold': False}),
    )
    async with running(spec) as system:
        _say('2 fronts, 2 relays and 84 backend servers run')
        await _show_searches(system)
        await _show_zone_out(system)
        await _show_stop(system)
    _say('done')
    return 0


async def _show_searches(system: System) -> None:
    load = Load(system)
    running_load = asyncio.create_task(load.run())
    await system.wait_warm(_SEARCHED_REPLICAS)
    await _end(running_load)
    _say('every replica of the searched services has warmed up')
    for service in ('planner-desk', 'couple-portal'):
        for front in system.fronts:
            await _show_search(system, front, service)


async def _show_search(system: System, front: Daemon, service: str) -> None:
    reply = await system.calls.search(
        front.listen_address, service, {'date': '2026-12-31'}
    )
    coverage = reply.body['coverage']
    merged, total = coverage['merged'], coverage['total']
    hits = len(reply.body['hits'])
    _say(
        f'{service} through the front in {front.failure_domain}: '
        + f'{hits} hits, coverage {merged} of {total}'
    )
    _check(coverage['fraction'] == 1, 'the answer is complete')


async def _show_zone_out(system: System) -> None:
    load = Load(system)
    running_load = asyncio.create_task(load.run())
    code, lines = await system.command(
        'zone', 'out', _FAILURE_DOMAIN, '--reason=switch replacement'
    )
    _check(code == 0, f'zone out {_FAILURE_DOMAIN}: {lines}')
    await asyncio.sleep(_SETTLE_SECONDS)
    before = await _received(system)
    await asyncio.sleep(_SETTLE_SECONDS)
    after = await _received(system)
    await _end(running_load)
    _say(f'requests by failure domain after {_SETTLE_SECONDS} s: {before}')
    _say(f'and {_SETTLE_SECONDS} s later: {after}')
    _check(
        before[_FAILURE_DOMAIN] == after[_FAILURE_DOMAIN],
        f'{_FAILURE_DOMAIN} got no new work',
    )
    _say(f'searches by status meanwhile: {load.codes()}')
    code, lines = await system.command('zone', 'in', _FAILURE_DOMAIN)
    _check(code == 0, f'zone in {_FAILURE_DOMAIN}: {lines}')


async def _show_stop(system: System) -> None:
    load = Load(system)
    running_load = asyncio.create_task(load.run())
    await asyncio.sleep(1)
    front = system.fronts[0]
    relay = system.relays[0]
    codes = await asyncio.gather(front.terminate(), relay.terminate())
    await asyncio.sleep(1)
    await _end(running_load)
    _check(
        list(codes) == [0, 0], f'front and relay stopped, exit codes {codes}'
    )
    _check(
        set(load.codes()) == {str(_OK)},
        f'no request was cut off: {load.codes()}',
    )


async def _end(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.wait([task])


async def _received(system: System) -> dict[str, int]:
    """Count the requests by failure domain."""
    records = await system.backends.records()
    counts: collections.Counter[str] = collections.Counter()
    for machine in system.backends.machines:
        replica = machine.replica
        counts[replica.failure_domain] += records[replica.replica_id][
            'received'
        ]
    return dict(counts)


def _check(holds: bool, sentence: str) -> None:
    _say(sentence)
    if not holds:
        sys.exit('the demonstration failed here')


def _say(sentence: str) -> None:
    print(sentence, flush=True)  # noqa: WPS421 - the output of the demo


if __name__ == '__main__':
    sys.exit(main())
