"""Test that malformed replies get a code and never end a daemon."""

import functools
import time
import types
from collections.abc import AsyncIterator
from typing import cast

import pytest
import pytest_asyncio
from returns.result import Failure

from dragonflyramp.members._group_stores import GroupStore
from dragonflyramp.members._group_views import Contacts, GroupView
from dragonflyramp.members._groups import GroupRecord
from dragonflyramp.members._settings import MembershipSettings
from dragonflyramp.models import MemberId
from dragonflyramp.platform import ABSENT, open_platform
from dragonflyramp.results import ResultCode
from tests.small_systems import (
    TEXT,
    assert_serves,
    daemons_of,
    numbers_of,
    running_small_system,
    search_anew,
)
from tests.standins.platform import PlatformServer
from tests.systems import Daemon, System, eventually

pytestmark = pytest.mark.asyncio(loop_scope='module')


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def system() -> AsyncIterator[System]:
    """Run one system for all cases; no case may end a part of it."""
    async with running_small_system() as started:
        yield started


@pytest.mark.parametrize(
    'faults',
    [
        {'reply_text': 'not JSON'},
        {'reply_text': '{"snapshot": "s1", "documents": 100}'},
        {'reply_text': '{"snapshot": "s1", "hits": []}'},
        {'reply_text': '{"snapshot": "s1", "documents": 1e9, "hits": []}'},
        {'reply_text': '[' * 100_000},
        {'reply_bytes': 5 * 1024 * 1024},
        {'wrong_snapshot': 's2'},
    ],
)
async def test_garbage_of_backend_servers(
    system: System, faults: dict[str, object]
) -> None:
    """A bad reply could be merged, or cost the parts of other shards."""
    await set_faults(system, 'x', faults)
    reply = await search_anew(system)
    healed = {'reply_text': '', 'reply_bytes': 0, 'wrong_snapshot': None}
    await set_faults(system, 'x', healed)
    assert reply.body['coverage']['missing'] == [
        {'shard': 'x', 'code': ResultCode.bad_reply}
    ]
    assert {hit['shard'] for hit in reply.body['hits']} == {'y'}
    await assert_serves(system)


async def set_faults(
    system: System, shard: str, faults: dict[str, object]
) -> None:
    """Switch faults of all replicas of a shard."""
    for machine in system.backends.machines:
        if machine.replica.shard == shard:
            await system.backends.control(
                machine.replica.replica_id, 'set', faults=faults
            )


@pytest.mark.parametrize('garbage', ['not JSON', '{}', '[' * 5000, '\0\xff'])
async def test_garbage_of_the_platform(system: System, garbage: str) -> None:
    """Daemons could end, or trust nothing of the platform ever after."""
    await system.platform.switch(garbage=garbage)
    for daemon in daemons_of(system):
        before = await failed_calls(daemon)
        await eventually(functools.partial(has_failed_more, daemon, before))
    await system.platform.switch(garbage='')
    number = max(await numbers_of(system))
    await system.push(TEXT + f'# {number}\n'.encode(), base=number)
    before_push = await versions_of(system)

    async def is_adopted() -> bool:  # noqa: WPS430 - a condition to wait for
        now = await versions_of(system)
        is_written = now['groups/main'] > before_push['groups/main'] + 2
        return is_written and await numbers_of(system) == {number + 1}

    await eventually(is_adopted)
    await assert_serves(system)


async def test_version_of_garbage_is_not_kept() -> None:
    """A member that read garbage once could never become the writer."""
    server = PlatformServer()
    address = await server.start()
    view = types.SimpleNamespace(contacts=Contacts(time.monotonic))
    async with open_platform(address, 5) as platform:
        store = GroupStore(
            platform.store, cast(GroupView, view), MembershipSettings()
        )
        record = GroupRecord(renewal=1, writer=MemberId('a'))
        await store.write(record, ABSENT)
        server.platform.change_faults(garbage='not JSON')
        assert await store.read() == Failure(ResultCode.bad_message)
        server.platform.change_faults(garbage='')
        assert (await store.read()).unwrap().record == record
    await server.stop()


async def versions_of(system: System) -> dict[str, int]:
    """Read the versions of the platform's objects."""
    versions: dict[str, int] = (await system.platform.switch())['objects']
    return versions


async def has_failed_more(daemon: Daemon, before: int) -> bool:
    """Tell whether calls of a daemon to the platform failed since."""
    return await failed_calls(daemon) > before


async def failed_calls(daemon: Daemon) -> int:
    """Count the calls to the platform that failed."""
    counters = (await daemon.status())['counters']
    names = ('malformed_records', 'platform_failures', 'stale_answers')
    return sum(sum(counters.get(name, {}).values()) for name in names)
