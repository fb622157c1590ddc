"""Measure the recovery of groups when many of their members fail at once."""

import asyncio
import contextlib
from typing import Any

import attrs

from benchmarks.slopes import RUNS, Figure, print_figures
from benchmarks.tables import say
from tests.programs import Program

_MILLISECONDS = 1000


@attrs.frozen(kw_only=True)
class Case:
    """Say how many of the 32 members of one group fail.

    At the design size a region has about 21 groups in 3 to 4 failure
    domains, so a rack of 40 daemons is about 2 members of each group, and
    a failure domain is a quarter of them. Those of a rack are in one
    domain, here not in the writer's.
    """

    title: str
    failed: int
    with_writer: bool


CASES = (
    Case(title='a rack fails: 2 of 32', failed=2, with_writer=False),
    Case(title='a domain fails: 8 of 32', failed=8, with_writer=True),
)


async def run() -> None:
    """Print the cost of recovery by survivor, beyond that of a quiet span."""
    for case in CASES:
        runs = [_measure(case) for _ in range(RUNS)]
        found = await asyncio.gather(*runs)
        settled = sum(one['is_settled'] for one in found)
        print_figures(case.title, _figures(found))
        say(f'record with survivors alone after the span: {settled} of {RUNS}')


async def _measure(case: Case) -> dict[str, Any]:
    program = await Program.start(
        'benchmarks.failing_groups',
        (str(case.failed), str(case.with_writer).lower()),
    )
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(program.kill)
        await program.wait_json('started')
        return await program.wait_json('survivors')


def _figures(found: list[dict[str, Any]]) -> list[Figure]:
    return [
        Figure(
            f'{name}, {span}',
            unit,
            tuple(
                one[span][field] * factor / one['survivors'] for one in found
            ),
        )
        for name, unit, field, factor in (
            ('processor time of a survivor', 'ms', _PROCESSOR, _MILLISECONDS),
            ('messages of a survivor', '', 'messages', 1),
            ('message bytes of a survivor', 'B', 'message_bytes', 1),
            ('platform calls of a survivor', '', 'platform_calls', 1),
        )
        for span in ('quiet', 'failing')
    ]


_PROCESSOR = 'processor_seconds'
