"""Test what callers read as replies end while something else happens."""

import asyncio
import collections
import contextlib
import functools
import itertools
import time
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterator,
    Mapping,
)
from types import MappingProxyType
from typing import TypeAlias

import attrs
import pytest
import uvloop

from dragonflyramp.backends import (
    HedgingPolicy,
    NoHedging,
    Policies,
    RouteLatencies,
)
from dragonflyramp.callers import Front
from dragonflyramp.platform import FrontServer
from dragonflyramp.replica_connections import (
    ReplyMemory,
)
from dragonflyramp.replica_connections._readers_http import ReplyReader
from dragonflyramp.routes import (
    GatherSettings,
    Route,
    WeightedService,
)
from tests.front_harnesses import (
    RECORD_BYTES,
    FrontHarness,
    make_route,
    make_table,
    run_harness,
)
from tests.reply_servers import pause
from tests.standins.faulty_replies import FAULTY_REPLIES
from tests.standins.replicas import ReplicaFaults
from tests.standins.waits import eventually

_TIMEOUT_SECONDS = 20
#: Nothing is late here, however busy the machine is.
_make_route = functools.partial(make_route, target_ms=20_000, timeout_ms=20_000)
_GATHER = GatherSettings(shards=('b', 'c'), top_count=3, min_share=1)
_TABLE = make_table(
    _make_route('lookup'),
    _make_route('order', is_idempotent=False),
    _make_route('search', gather=_GATHER),
)
#: Each route leads to other services, and searches are exchanged for lookups.
_LATER_TABLE = make_table(
    _make_route('lookup', gather=_GATHER),
    _make_route('order', is_idempotent=False, split=(WeightedService('c'),)),
    _make_route('search'),
    version=2,
)
_PATHS = ('/lookup/x', '/order/x', '/search/x')
#: Statuses that promise that a request has not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
#: Half of an encoded reply ends within its body.
_BODY_RECORDS = 12
#: Ids have the size of a record.
_REQUEST_ID = 'request-00000000'
_OTHER_REPLY = b'HTTP/1.1 200 OK\r\n\r\nnot complete'
#: Cases that run at once.
_BATCH_SIZE = 32


class _EarlyHedging(HedgingPolicy):
    def delay_ms(self, latencies: RouteLatencies) -> float:
        """Return a delay within which half of a reply is sent."""
        return 15


@attrs.frozen(kw_only=True)
class _Answer:
    """Answer as a caller reads it."""

    status: int
    fields: Mapping[str, list[str]]
    body: bytes

    @property
    def is_success(self) -> bool:
        """Return whether the status is a 2xx."""
        return self.status // 100 == 2


@attrs.define(eq=False)
class _Caller:
    """Connection of a caller to the front."""

    _reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, path: str, request_id: str) -> None:
        """Send a request."""
        method = 'POST' if path.startswith('/order') else 'GET'
        lines = (
            f'{method} {path} HTTP/1.1',
            'Host: h',
            f'Request-Id: {request_id}',
            'Deadline-Ms: 20000',
        )
        self.writer.write('\r\n'.join((*lines, '\r\n')).encode())

    async def read(self) -> _Answer | None:
        """Return the answer, or None if the connection ends before its end."""
        try:
            async with asyncio.timeout(_TIMEOUT_SECONDS):
                head = await self._reader.readuntil(b'\r\n\r\n')
                status_line, *lines = head.decode().split('\r\n')[:-2]
                fields = collections.defaultdict(list)
                for line in lines:
                    name, _, text = line.partition(': ')
                    fields[name.lower()].append(text)
                length = int(', '.join(fields['content-length']))
                body = await self._reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        version, status, _ = status_line.split(' ', 2)
        assert version == 'HTTP/1.1'
        return _Answer(status=int(status), fields=fields, body=body)

    async def check_end(self) -> None:
        """Check that nothing follows until the connection ends."""
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(_TIMEOUT_SECONDS):
                assert not await self._reader.read()
        self.writer.close()


@attrs.define(eq=False)
class _System:
    """Front that serves sockets, with replicas that pause within a reply."""

    harness: FrontHarness
    server: FrontServer
    address: str
    memory: ReplyMemory
    callers: list[_Caller] = attrs.field(factory=list)
    half_sent: asyncio.Event = attrs.field(factory=asyncio.Event)
    rest_due: asyncio.Event = attrs.field(factory=asyncio.Event)
    #: Drain of the front.
    drain: asyncio.Task[None] | None = None

    @property
    def front(self) -> Front:
        """Return the front."""
        return self.harness.front

    def route(self, path: str) -> Route:
        """Return the route of a path in the current table."""
        table = self.front.current_table()
        assert table is not None
        return next(
            route for route in table.routes if path.startswith(route.prefix)
        )

    async def connect(self) -> _Caller:
        """Open the connection of a caller."""
        host, _, port = self.address.rpartition(':')
        caller = _Caller(*await asyncio.open_connection(host, int(port)))
        self.callers.append(caller)
        return caller

    def plan(self, service: str, fault: str) -> None:
        """Set the fault of the next reply of a service."""
        faults = ReplicaFaults()
        faults.plan(fault)
        for replica in self.harness.servers[service]:
            replica.faults = faults
            replica.on_half_sent = self._wait_rest_due

    async def open_connections(self) -> None:
        """Open a connection to each replica, so that requests are written."""
        now_seconds = self.front.clock()
        replicas = self.front.backend_client.fleet.all_replicas().values()
        for replica in replicas:
            replica.connections.open()
        await eventually(
            lambda: all(
                other.connections.has_idle(now_seconds) for other in replicas
            )
        )

    def check(self, answer: _Answer, route: Route, request_id: str) -> None:
        """Check an answer against the runs of its request."""
        if answer.is_success:
            self._check_success(answer, route, request_id)
            return
        run_ids = (replica.run_ids for replica in self.harness.all_servers())
        is_run = request_id in itertools.chain(*run_ids)
        is_denied = answer.status in _NOT_RUN_STATUSES
        assert not (is_run and is_denied), answer
        # No stand-in sends a failure here.
        assert not answer.fields['server-stamp'], answer

    async def check_other(
        self, caller: _Caller, path: str, request_id: str
    ) -> None:
        """Send a request that must succeed, and check its answer."""
        caller.send(path, request_id)
        answer = await caller.read()
        assert answer is not None, f'no answer to {request_id}'
        self.check(answer, self.route(path), request_id)
        assert answer.is_success, answer

    def _check_success(
        self, answer: _Answer, route: Route, request_id: str
    ) -> None:
        if route.gather is not None:
            assert not answer.fields['server-stamp']
            self._check_parts(answer, route.gather, request_id)
            return
        assert answer.fields['request-id'] == [request_id]
        assert not answer.fields['part-stamps']
        stamp = ', '.join(answer.fields['server-stamp'])
        records = self._records(stamp, request_id, route.services)
        assert answer.body == b''.join(records)

    def _check_parts(
        self, answer: _Answer, gather: GatherSettings, request_id: str
    ) -> None:
        stamps = ', '.join(answer.fields['part-stamps']).split(', ')
        missing_count = int(', '.join(answer.fields['missing-parts']))
        assert len(stamps) + missing_count == len(gather.shards)
        assert len({stamp[0] for stamp in stamps}) == len(stamps)
        found = (
            self._records(stamp, request_id, gather.shards) for stamp in stamps
        )
        greatest = sorted(itertools.chain(*found), reverse=True)
        assert answer.body == b''.join(greatest[: gather.top_count])

    def _records(
        self, stamp: str, request_id: str, services: tuple[str, ...]
    ) -> list[bytes]:
        """Return the records of the run that a stamp names."""
        replica_id, _, number = stamp.rpartition('.')
        assert replica_id[:1] in services, f'stamp {stamp!r}'
        replica = self.harness.server_by_id(replica_id)
        assert replica.run_ids[int(number) - 1] == request_id
        body = replica.body_for(request_id)
        return [
            body[at : at + RECORD_BYTES]
            for at in range(0, len(body), RECORD_BYTES)
        ]

    async def _wait_rest_due(self) -> None:
        self.half_sent.set()
        await self.rest_due.wait()


@contextlib.asynccontextmanager
async def _run_system(policies: Policies) -> AsyncIterator[_System]:
    memory = ReplyMemory()
    async with run_harness(_TABLE, policies=policies, memory=memory) as harness:
        for replica in harness.all_servers():
            letter = replica.replica_id[0].encode()
            replica.body = letter * RECORD_BYTES * _BODY_RECORDS
            replica.appends_id = True
        server = FrontServer(harness.front, time.monotonic)
        address = await server.start('127.0.0.1:0', '127.0.0.1:0')
        async with contextlib.AsyncExitStack() as cleanup:
            cleanup.push_async_callback(server.stop)
            yield _System(harness, server, address, memory)


async def _do_nothing(system: _System) -> None:
    """Let the reply end by itself."""


async def _leave(system: _System) -> None:
    caller = system.callers[-1]
    caller.writer.transport.abort()


async def _wait_hedge(system: _System) -> None:
    """Wait until a second attempt has run, whose reply is about to arrive."""
    await eventually(
        lambda: any(
            sum(replica.run_ids.count(_REQUEST_ID) for replica in replicas) > 1
            for replicas in system.harness.servers.values()
        )
    )


async def _give_up(system: _System) -> None:
    """Give up each reply that is being received."""
    allowed_bytes = system.memory.max_bytes
    system.memory.max_bytes = 0
    ReplyReader(is_head=False, memory=system.memory).feed(_OTHER_REPLY)
    system.memory.max_bytes = allowed_bytes
    assert not system.memory.held_bytes


async def _start_drain(system: _System) -> None:
    system.front.is_stopping = True
    drain = system.server.drain(_TIMEOUT_SECONDS)
    system.drain = asyncio.create_task(drain)
    await pause()


async def _end_drain(system: _System) -> None:
    system.front.is_stopping = True
    await system.server.drain(0)


async def _stop(system: _System) -> None:
    await system.server.stop()


async def _change_table(system: _System) -> None:
    front = system.front
    front.current_table = lambda: _LATER_TABLE


_Event: TypeAlias = Callable[[_System], Awaitable[None]]
#: What happens when half of the reply has been sent.
_EVENTS: Mapping[str, _Event] = MappingProxyType(
    {
        'none': _do_nothing,
        'caller leaves': _leave,
        'hedge runs': _wait_hedge,
        'hedge wins': _do_nothing,
        'memory is full': _give_up,
        'front drains': _start_drain,
        'drain ends': _end_drain,
        'front stops': _stop,
        'table changes': _change_table,
    }
)
_EVENT_NAMES = tuple(_EVENTS)
_STOPS = frozenset(('front drains', 'drain ends', 'front stops'))
#: Events with which a whole reply must be answered, whenever they occur.
_HARMLESS = frozenset(('none', 'front drains', 'table changes'))
_WHOLE = ('length', 'chunks', 'announced')
_BY_PREVIOUS = frozenset(('unframed_with_previous', 'unframed_copy_before'))
_MIXED = frozenset(
    ('unframed_copied', 'chunked_copied', 'copy_after_close', 'unsigned')
)
_FAULTS = (
    *(fault for fault in FAULTY_REPLIES if ',' in fault),
    *(fault for fault in FAULTY_REPLIES if 'cop' in fault),
    'unframed_with_previous',
    'unsigned',
)


@attrs.frozen(kw_only=True)
class _Case:
    """Request whose first reply is faulty, and what happens meanwhile."""

    fault: str
    event: str
    path: str
    #: Whether the reply is not the first one on its connection.
    is_later: bool
    #: Whether the event comes before the rest of the reply, or right after it.
    is_before: bool

    async def check(self) -> None:
        """Raise AssertionError if a caller reads what is not its own."""
        is_hedged = 'hedge' in self.event
        hedging = _EarlyHedging() if is_hedged else NoHedging()
        async with _run_system(Policies(hedging=hedging)) as system:
            await system.open_connections()
            if self.is_later:
                await self._send_earlier(system)
            caller = await system.connect()
            is_kept = await self._check_answer(system, caller)
            if self.event in _STOPS:
                await (system.drain or system.server.drain(0))
            else:
                other = caller if is_kept else await system.connect()
                for path in _PATHS:
                    request_id = path.rjust(RECORD_BYTES, '-')
                    await system.check_other(other, path, request_id)
            await system.server.stop()
            for connected in system.callers:
                await connected.check_end()

    async def _send_earlier(self, system: _System) -> None:
        """Let each connection of the service carry a request.

        One of its replicas refuses the first request.
        """
        service = system.route(self.path).services[0]
        replicas = system.harness.servers[service]
        system.plan(service, 'shed')
        caller = await system.connect()
        for number in range(2):
            request_id = f'earlier-0000000{number}'
            await system.check_other(caller, self.path, request_id)
        for replica in replicas:
            assert replica.heads
            assert replica.connection_count == 1

    async def _check_answer(self, system: _System, caller: _Caller) -> bool:
        """Check the answer; return whether its connection may be used again."""
        route = system.route(self.path)
        system.plan(route.services[0], self.fault)
        caller.send(self.path, _REQUEST_ID)
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            await system.half_sent.wait()
        answer = await caller.read() if self.event == 'hedge wins' else None
        await pause(10)
        if not self.is_before:
            system.rest_due.set()
            await pause(3)
        elif self.event == 'memory is full':
            is_held = self.fault.startswith(_WHOLE)
            assert system.memory.held_bytes or not is_held, 'nothing is held'
        await _EVENTS[self.event](system)
        system.rest_due.set()
        answer = answer or await caller.read()
        if answer is None:
            assert self.event in {'caller leaves', 'front stops'}, 'no answer'
            return False
        system.check(answer, route, _REQUEST_ID)
        self._check_status(answer)
        return self.event != 'caller leaves'

    def _check_status(self, answer: _Answer) -> None:
        is_spoiled = (
            self.fault.startswith(('cut', 'status', 'header', 'neg', 'TLS'))
            or self.fault == 'announced, reset'
            or self.fault in _MIXED
            or (self.fault in _BY_PREVIOUS and self.is_later)
        )
        if 'order' in self.path:
            assert not (is_spoiled and answer.is_success), 'spoiled'
            is_due = not is_spoiled and 'reset' not in self.fault
        else:
            is_due = True
        if is_due and self.event in _HARMLESS:
            assert answer.status == 200


def _cases(event: str) -> Iterator[_Case]:
    """Return each fault, first and later, with paths and moments in turn.

    Without an event, each path is played.
    """
    is_hedged = 'hedge' in event
    paths = _PATHS[::2] if is_hedged else _PATHS
    path_count = 1 if event in _EVENT_NAMES[1:] else len(paths)
    shift = _EVENT_NAMES.index(event)
    for number, fault in enumerate(_FAULTS):
        for is_later in (False, True):
            # Neighbours are the same reply with other ends.
            turn = number + number // 3 + shift + is_later
            for path_at in range(turn, turn + path_count):
                yield _Case(
                    fault=fault,
                    event=event,
                    path=paths[path_at % len(paths)],
                    is_later=is_later,
                    is_before=is_hedged or turn % 2 == 0,
                )


async def _check_cases(cases: Iterator[_Case]) -> None:
    problems: list[str] = []
    while batch := list(itertools.islice(cases, _BATCH_SIZE)):
        checks = (case.check() for case in batch)
        errors = await asyncio.gather(*checks, return_exceptions=True)
        problems.extend(
            f'{case}: {error!r}'
            for case, error in zip(batch, errors, strict=True)
            if error is not None
        )
    problem_count = len(problems)
    assert not problems, '\n'.join((f'{problem_count} of', *problems[:40]))


@pytest.mark.parametrize('event', _EVENTS)
def test_answer_is_own_and_whole(event: str) -> None:
    """A caller must read its own whole answer, however a reply ends meanwhile.

    Nothing else may come on its connection, then or later.
    """
    uvloop.run(_check_cases(_cases(event)))
