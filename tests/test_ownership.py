"""Test that what one part hands on is not changed by its former owner."""

import asyncio
import gc
import socket
import time
import weakref
from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Result

from dragonflyramp.backends import (
    Preconnector,
)
from dragonflyramp.backends._trial_locks import TrialLocks
from dragonflyramp.callers import RelayedAnswer
from dragonflyramp.members import (
    SUSPECTS_KIND,
    Cluster,
    Daemon,
    Membership,
    StoredSuspectRecords,
    SuspectObjects,
)
from dragonflyramp.members._suspect_objects import encode_record
from dragonflyramp.members._suspect_records import remove_old_records
from dragonflyramp.platform import ReplicaCodec
from dragonflyramp.replica_connections import (
    Connection,
    ConnectionHooks,
)
from dragonflyramp.replica_connections._exchanges import Exchange
from dragonflyramp.results import ResultCode
from dragonflyramp.routes import GatherSettings
from dragonflyramp.suspects import (
    CrashSuspects,
    SuspectRecord,
    Suspicion,
)
from dragonflyramp.views import (
    Change,
    ChangeBatch,
    Listing,
    ListingBuilder,
    Position,
    View,
)
from tests.front_harnesses import (
    FrontHarness,
    make_request,
    make_route,
    make_table,
    run_harness,
)
from tests.standins.waits import eventually
from tests.suspect_models import ModelStore

_SEARCH_TABLE = make_table(
    make_route(gather=GatherSettings(('a', 'b'), top_count=3, min_share=1))
)
_OLD_RECORD_MS = 100_000_000
#: More than the buffers of both ends of a loopback connection hold.
_UNREAD_BODY_BYTES = 16_777_216


def _do_nothing() -> None:
    """Do nothing."""


@attrs.define(eq=False)
class _InterruptedStore(ModelStore):
    """Store of which another daemon makes a call before the next reply."""

    before_reply: Callable[[], None] = _do_nothing

    async def create(
        self, kind: str, name: str, spec: Any
    ) -> Result[Any, ResultCode]:
        """Create an object unless it exists."""
        create_result = await super().create(kind, name, spec)
        self._interrupt()
        return create_result

    async def delete(self, kind: str, name: str) -> Result[Any, ResultCode]:
        """Delete an object."""
        delete_result = await super().delete(kind, name)
        self._interrupt()
        return delete_result

    def _interrupt(self) -> None:
        interrupt = self.before_reply
        self.before_reply = _do_nothing
        interrupt()


@attrs.define(eq=False)
class _SuspectHarness:
    """Records of one daemon, and a store that other daemons write to."""

    store: _InterruptedStore = attrs.field(factory=_InterruptedStore)
    suspect_objects: SuspectObjects = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Read an empty store."""
        self.suspect_objects = SuspectObjects(
            store=self.store,  # type: ignore[arg-type]
            view=View(SUSPECTS_KIND),
            suspects=CrashSuspects(),
            clock=time.monotonic,
        )

    def put(self, name: str, record: SuspectRecord) -> None:
        """Write a record as another daemon, and read it."""
        stored = self.store.store.put(
            SUSPECTS_KIND, name, encode_record(record)
        )
        self._read(Change(name, stored))

    def remove(self, name: str) -> None:
        """Remove a record as another daemon, and read the change."""
        self.store.store.remove(SUSPECTS_KIND, name)
        self._read(Change(name, None))

    def _read(self, change: Change) -> None:
        changes = ChangeBatch(self.store.store.revision, (change,))
        self.suspect_objects.apply_changes(
            self.suspect_objects.view.apply(changes, 0)
        )


def _record(**changes: Any) -> SuspectRecord:
    suspicion = Suspicion(service='a', crash_rounds=3)
    return SuspectRecord(**{'suspicion': suspicion, **changes})


async def test_late_reply_restores_no_removed_record() -> None:
    """A record that was removed before the reply to its write must stay away.

    Later writes would be conditional on its revision and fail for ever.
    """
    harness = _SuspectHarness()
    harness.store.before_reply = lambda: harness.remove('f')
    await harness.suspect_objects.write('f', _record())
    assert harness.suspect_objects.find('f') is None
    code = await harness.suspect_objects.write('f', _record())
    assert code is ResultCode.ok


async def test_renewed_record_is_not_removed_as_old() -> None:
    """A record that is renewed while older ones are removed must stay.

    Its request would be sent to replicas again.
    """
    harness = _SuspectHarness()
    for name in ('first', 'second'):
        harness.put(name, _record())
    records = StoredSuspectRecords(
        suspect_objects=harness.suspect_objects,
        cluster=Cluster(Membership(Daemon('front', '', ''))),
        wall_clock_ms=lambda: _OLD_RECORD_MS,
    )
    harness.store.before_reply = lambda: harness.put(
        'second', _record(seen_ms=_OLD_RECORD_MS)
    )
    await remove_old_records(records)
    assert set(harness.store.store.objects_by_kind[SUSPECTS_KIND]) == {'second'}


def test_listing_does_not_change_with_its_view() -> None:
    """A listing of a view must stay as of its revision.

    A daemon that got later objects under an earlier revision would miss their
    removal.
    """
    view = View('servers')
    view.replace(Listing(5, {'a': {}}), 0)
    listing = view.changes_since(Position(0, 1))
    view.apply(ChangeBatch(6, (Change('b', {}), Change('a', None))), 0)
    assert listing == Listing(5, {'a': {}})


def test_listing_does_not_change_with_builder() -> None:
    """A listing must not get the pages of a later one."""
    builder = ListingBuilder()
    builder.add_page(Listing(5, {'a': {}}))
    listing = builder.build()
    builder.add_page(Listing(6, {'b': {}}))
    assert listing == Listing(5, {'a': {}})


async def test_restarted_replica_gets_connection_early() -> None:
    """The first search after a restart must not wait for a new connection.

    The new process has the id and the address of the one before.
    """
    async with run_harness(_SEARCH_TABLE, 1) as harness:
        fleet = harness.front.backend_client.fleet
        preconnector = Preconnector(
            fleet, _SEARCH_TABLE.searched_shards, harness.front.clock
        )
        preconnector.open_missing(harness.front.clock())
        for stopped in tuple(fleet.all_replicas().values()):
            entry = attrs.evolve(stopped.entry, start_time_ms=1)
            fleet.update(entry.replica_id, entry, harness.front.clock())
        preconnector.open_missing(harness.front.clock())
        await eventually(
            lambda: all(
                replica.connections.has_idle(harness.front.clock())
                for replica in fleet.all_replicas().values()
            )
        )


async def test_lock_is_released_by_its_holder_only() -> None:
    """A task that releases twice must not release the lock of the next one.

    Two attempts at a suspect request would run at the same time.
    """
    locks = TrialLocks()
    first = await locks.try_acquire('f', 0)
    assert first
    first.release()
    assert await locks.try_acquire('f', 0)
    first.release()
    assert await locks.try_acquire('f', 0) is None


async def test_idle_connection_holds_no_reply() -> None:
    """An idle connection must not hold the last request and its reply.

    A reply may have 4 MB, and no limit counts it once it is complete.
    """
    async with run_harness(make_table(make_route())) as harness:
        answer = await harness.send()
        assert isinstance(answer, RelayedAnswer)
        reply = weakref.ref(answer.reply)
        answer = None
        await eventually(lambda: _is_any_idle(harness))
        gc.collect()
        assert reply() is None


def _is_any_idle(harness: FrontHarness) -> bool:
    replicas = harness.front.backend_client.fleet.all_replicas().values()
    return any(
        replica.connections.has_idle(harness.front.clock())
        for replica in replicas
    )


async def _start_exchange(
    server: socket.socket, body: bytes = b''
) -> tuple[Connection, asyncio.Task[None], socket.socket]:
    """Send a request that is not answered; return both ends."""
    host, port = server.getsockname()
    connection = Connection(
        f'{host}:{port}',
        ConnectionHooks(on_idle=lambda _: None, on_end=lambda _: None),
        ReplicaCodec(),
        time.monotonic,
    )
    exchange = Exchange(
        request=attrs.evolve(make_request(), body=body, has_body=bool(body)),
        replica_id='r',
        deadline_at_seconds=time.monotonic() + 20,
        outcome=asyncio.get_running_loop().create_future(),
    )
    connection.start(exchange)
    task = asyncio.create_task(connection.run())
    await eventually(lambda: exchange.is_written)
    sock, _ = server.accept()
    return connection, task, sock


async def test_half_closed_connection_is_given_up() -> None:
    """A caller that leaves must free a connection whose server went silent.

    The server has sent its end, but reads no more, so that the rest of the
    request is never written.
    """
    with socket.create_server(('127.0.0.1', 0)) as server:
        connection, task, sock = await _start_exchange(
            server, bytes(_UNREAD_BODY_BYTES)
        )
        with sock:
            sock.shutdown(socket.SHUT_WR)
            await eventually(lambda: not connection.is_usable(0))
            connection.close()
            await eventually(task.done)


async def test_connections_to_searched_shards_are_kept() -> None:
    """A front with few searches opened all connections within each of them.

    Replicas close idle connections within seconds.
    """
    async with run_harness(_SEARCH_TABLE, 1) as harness:
        fleet = harness.front.backend_client.fleet
        preconnector = Preconnector(
            fleet, _SEARCH_TABLE.searched_shards, harness.front.clock
        )
        now_seconds = harness.front.clock()
        preconnector.open_missing(now_seconds)
        await eventually(lambda: _connection_count(harness) == 2)
        await _wait_until_idle(harness)
        preconnector.open_missing(now_seconds + 20)
        await eventually(lambda: _connection_count(harness) == 4)
        await _wait_until_idle(harness)
        # Nobody has searched for long enough.
        preconnector.open_missing(now_seconds + 40)
        await _wait_until_idle(harness)
        assert _connection_count(harness) == 4


def _connection_count(harness: FrontHarness) -> int:
    return sum(server.connection_count for server in harness.all_servers())


async def _wait_until_idle(harness: FrontHarness) -> None:
    fleet = harness.front.backend_client.fleet
    await eventually(
        lambda: all(
            replica.connections.has_idle(harness.front.clock())
            for replica in fleet.all_replicas().values()
        )
    )
