"""Run the smallest system that serves, for tests of single requests."""

import contextlib
import itertools
from collections.abc import AsyncIterator

from tests.http_calls import Reply
from tests.outside import ServerOptions
from tests.systems import Daemon, System, SystemSpec, eventually, running

TEXT = b"""format = 1
user = "test"
failure_domains.a.region = "r"
[services.desk]
depends_on = ["x", "y"]
deadline_ms = 1000
canary_shards = 1
[services.x]
cold_requests_per_second = 50
[services.y]
cold_requests_per_second = 50
"""
MAX_BODY_BYTES = 2048
_numbers = itertools.count()


@contextlib.asynccontextmanager
async def running_small_system() -> AsyncIterator[System]:
    """Run one front, one relay and two shards until they serve."""
    spec = SystemSpec(
        text=TEXT,
        fronts=1,
        relays=1,
        flags={
            'max_body_bytes': MAX_BODY_BYTES,
            'renewal_period_seconds': 0.25,
            'lease_term_seconds': 1,
            'isolation_seconds': 1,
            'vm_list_period_seconds': 0.25,
        },
        servers=ServerOptions(common={'service_ms': 2}),
    )
    async with running(spec) as started:
        await assert_serves(started)
        yield started


async def assert_serves(system: System) -> None:
    """Wait for a whole answer, and check that no daemon ended."""

    async def is_whole() -> bool:  # noqa: WPS430 - a condition to wait for
        reply = await search_anew(system)
        return bool(reply.body.get('coverage', {}).get('fraction') == 1)

    await eventually(is_whole)
    for daemon in daemons_of(system):
        assert daemon.program.process.returncode is None
        assert not (await daemon.status())['counters'].get('task_failures')


async def search_anew(system: System) -> Reply:
    """Search with a body that no other request has."""
    return await system.calls.search(
        system.fronts[0].listen_address,
        'desk',
        {'number': next(_numbers)},
        deadline_ms=900,
    )


def daemons_of(system: System) -> tuple[Daemon, ...]:
    """List the fronts and relays."""
    return (*system.fronts, *system.relays)


async def numbers_of(system: System) -> set[int]:
    """List the numbers of the configurations that daemons have adopted."""
    statuses = [await daemon.status() for daemon in daemons_of(system)]
    return {status['configuration'] for status in statuses}
