"""Record traces of test systems under faults.

Run `python -m tests.record_traces DIRECTORY [SCENARIO ...]`; it writes
one file for each scenario, with the decisions of all daemons of one system.
"""

import asyncio
import json
import pathlib
import signal
import sys
import types

from tests.outside import ServerOptions
from tests.systems import System, SystemSpec, running

_TEXT = b"""
format = 1
user = "test"

[failure_domains.a]
region = "test"

[services.desk]
depends_on = ["orders", "stock"]
canary_shards = 1

[services.orders]
slots = 3
connections = 30
cold_requests_per_second = 50

[services.stock]
slots = 3
connections = 30
cold_requests_per_second = 50
"""
_FLAGS = types.MappingProxyType({'trace': 'decisions'})
#: Longer than the lease term and the longest deadline together.
_FREEZE_SECONDS = 5
_ROUNDS = 40


async def freeze_relay(system: System) -> None:
    """Freeze the relays in turn past their leases."""
    for relay in tuple(system.relays):
        relay.program.send_signal(signal.SIGSTOP)
        await asyncio.sleep(_FREEZE_SECONDS)
        relay.program.send_signal(signal.SIGCONT)
        await load(system, 'frozen')


async def stop_platform(system: System) -> None:
    """Let the platform be down while submits arrive."""
    await system.platform.switch(down=True)
    await load(system, 'down')
    await system.platform.switch(down=False)
    await load(system, 'down')


async def turn_cold(system: System) -> None:
    """Turn every backend server cold in the middle of a load."""
    await load(system, 'warm')
    await system.backends.control('*', 'restart')
    await load(system, 'cold')


async def race_operators(system: System) -> None:
    """Let two operators push from the same base again and again."""
    for base in range(1, 4):
        texts = [_TEXT + b'# %d by %d\n' % (base, one) for one in range(2)]
        await asyncio.gather(
            *(system.push(text, base) for text in texts),
            return_exceptions=True,
        )
        await asyncio.sleep(1)


async def load(system: System, name: str) -> None:
    """Search and submit, each key twice."""
    for turn in range(_ROUNDS):
        front = system.fronts[turn % 2].listen_address
        number = turn // 2
        key = f'{name}-{number}'
        await system.calls.search(front, 'desk', {'turn': turn})
        await system.calls.submit(front, 'orders', {'key': key}, key=key)


async def main(directory: pathlib.Path, names: list[str]) -> None:
    """Record scenarios, each in a system of its own."""
    for scenario in (freeze_relay, stop_platform, turn_cold, race_operators):
        name = scenario.__name__
        if names and name not in names:
            continue
        spec = SystemSpec(
            text=_TEXT,
            flags=_FLAGS,
            servers=ServerOptions(common={'service_ms': 1}),
        )
        async with running(spec) as system:
            await load(system, 'before')
            await scenario(system)
            lines = list(traced(system))
        path = directory / f'{name}.jsonl'
        path.write_text(''.join(f'{line}\n' for line in lines))


def traced(system: System) -> list[str]:
    """List the traced lines of all daemons, with the number of each."""
    daemons = (*system.fronts, *system.relays)
    return [
        json.dumps({'daemon': number, **json.loads(line)})
        for number, daemon in enumerate(daemons)
        for line in daemon.program.lines
        if line.startswith('{"trace"')
    ]


if __name__ == '__main__':
    asyncio.run(main(pathlib.Path(sys.argv[1]), sys.argv[2:]))
