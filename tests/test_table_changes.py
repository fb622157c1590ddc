"""Test answers while the routing table and the replicas change.

A state machine replaces both at any point between match, relay and answer. The
network is a model; the front and its connections are those of the product.
"""

import contextlib
import heapq
import itertools
from collections.abc import Iterator
from typing import Any

import attrs
from aiohttp import web
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from loguru import logger

from dragonflyramp.backends import HedgingPolicy, Policies, RouteLatencies
from dragonflyramp.callers import Query
from dragonflyramp.platform._answers_http import encode_answer
from dragonflyramp.replicas import ReplicaEntry, ReplicaState
from dragonflyramp.routes import GatherSettings, RoutingTable, WeightedService
from dragonflyramp.runtime import TaskSet
from tests.front_harnesses import (
    RECORD_BYTES,
    make_front,
    make_request,
    make_route,
    make_table,
)
from tests.standins.wires import ModelLoop, Wire

_SERVICES = ('a', 'b', 'c')
_SLOT_COUNT = 6
_ALL_BYTES = 1_000_000
#: No timer of a request ends within an example.
_LONG_MS = 1_000_000
_NAMES = ('r', 'r/n', 's')
_PATHS = ('/r/', '/r/n/', '/r/m/', '/s/')


@attrs.frozen
class _Spec:
    """What a version says about a route."""

    services: tuple[str, ...]
    #: Records in an answer; 0 if the route names its services.
    top_count: int = 0
    min_share: float = 0.5
    is_idempotent: bool = True

    @property
    def gather(self) -> GatherSettings | None:
        """Return the settings of a search."""
        if not self.top_count:
            return None
        return GatherSettings(self.services, self.top_count, self.min_share)


#: The routes of a version by name.
_Specs = dict[str, _Spec]


@attrs.frozen
class _Process:
    """Replica that listens at an address."""

    replica_id: str
    service: str
    started_ms: int


@attrs.frozen(kw_only=True)
class _Arrival:
    """Request at a replica."""

    wire: Wire
    process: _Process
    request_id: str
    expected_id: str


@attrs.frozen
class _Sent:
    """Stamped reply of a replica."""

    service: str
    request_id: str
    status: int
    body: bytes


@attrs.define(eq=False)
class _Asked:
    """Query of a caller, and the versions that may answer it."""

    query: Query
    first_version: int
    task: Any = None
    is_checked: bool = False


class _NoDelay(HedgingPolicy):
    def delay_ms(self, latencies: RouteLatencies) -> float:
        """Return no delay, so that each part is asked for twice."""
        return 0


class _NoHedge(HedgingPolicy):
    def delay_ms(self, latencies: RouteLatencies) -> None:
        """Return None, which disables hedging."""


_service_lists = st.lists(
    st.sampled_from(_SERVICES), min_size=1, max_size=3, unique=True
).map(tuple)
_specs = st.builds(
    _Spec,
    _service_lists,
    st.sampled_from((0, 0, 1, 3, 100)),
    st.sampled_from((0, 0.5, 1)),
    st.booleans(),
)
_slots = st.integers(0, _SLOT_COUNT - 1)


class TableMachine(RuleBasedStateMachine):  # noqa: WPS230 - the whole model
    """Send queries while routes and replicas change."""

    def __init__(self) -> None:
        """Start with two replicas of each service and one plain route."""
        super().__init__()
        self.loop = ModelLoop(self._connect)
        self.tasks = TaskSet()
        self.front = make_front(
            make_table(),
            (),
            self.tasks,
            budget_slack=1000,
            policies=Policies(hedging=_NoHedge()),
        )
        self.front.current_table = lambda: self.table
        self.specs: list[_Specs] = []
        self.table: RoutingTable = make_table()
        self.replace_table({'r': _Spec(('a',))})
        self.numbers = itertools.count(1)
        self.processes = [
            self._create_process(_SERVICES[slot % 3], '')
            for slot in range(_SLOT_COUNT)
        ]
        self.listed: set[str] = set()
        self.wires: list[tuple[Wire, int]] = []
        self.arrivals: list[_Arrival] = []
        self.sent: dict[str, _Sent] = {}
        self.asked: list[_Asked] = []
        self.list_replicas()

    @rule(
        specs=st.fixed_dictionaries(dict.fromkeys(_NAMES, _specs))
        | st.dictionaries(st.sampled_from(_NAMES), _specs)
    )
    def replace_table(self, specs: _Specs) -> None:
        """Put another version in force."""
        self.specs.append(specs)
        routes = (
            make_route(
                name,
                gather=spec.gather,
                is_idempotent=spec.is_idempotent or bool(spec.gather),
                target_ms=_LONG_MS,
                timeout_ms=_LONG_MS,
                split=[WeightedService(service) for service in spec.services],
            )
            for name, spec in specs.items()
        )
        self.table = make_table(*routes, version=len(self.specs))

    @rule(
        path=st.sampled_from(_PATHS), turn_count=st.sampled_from((6, 6, 1, 0))
    )
    def send(self, path: str, turn_count: int) -> None:
        """Send a query; each has a path of its own, so that none is suspect."""
        number = next(self.numbers)
        query = Query(
            request=make_request(f'q{number}', path=f'{path}{number}'),
            host='h',
            path=f'{path}{number}',
            deadline_ms=_LONG_MS,
            received_at_seconds=self.front.clock(),
        )
        asked = _Asked(query, len(self.specs))
        self.asked.append(asked)
        asked.task = self.loop.create_task(self.front.serve(query))
        self._turn(turn_count)

    @precondition(lambda machine: machine.arrivals)
    @rule(
        index=st.integers(0, 20),
        kind=st.sampled_from(
            ('ok', 'ok', 'ok', 'fail', 'full', 'unsigned', 'garbage')
        ),
        turn_count=st.sampled_from((0, 1, 6)),
    )
    def answer(self, index: int, kind: str, turn_count: int) -> None:
        """Answer one of the requests that wait."""
        arrival = self.arrivals.pop(index % len(self.arrivals))
        if kind == 'garbage':
            arrival.wire.stream = b'\x16\x03\x01\x00*\r\n\r\n'
        else:
            arrival.wire.stream = self._reply(arrival, kind)
        arrival.wire.deliver(_ALL_BYTES)
        self._turn(turn_count)

    @precondition(lambda machine: machine.arrivals)
    @rule(kind=st.sampled_from(('ok', 'ok', 'fail', 'unsigned')))
    def answer_all(self, kind: str) -> None:
        """Answer all requests that wait."""
        while self.arrivals:
            self.answer(0, kind, 6)

    @rule(
        slot=_slots,
        service=st.sampled_from(_SERVICES),
        is_new=st.booleans(),
        is_listed=st.booleans(),
    )
    def restart(
        self,
        slot: int,
        service: str,
        is_new: bool,  # noqa: FBT001
        is_listed: bool,  # noqa: FBT001
    ) -> None:
        """Replace the process at an address.

        One of another service has another id.
        """
        last = self.processes[slot]
        if is_new:
            last = _Process('', service, 0)
        self.processes[slot] = self._create_process(
            last.service, last.replica_id
        )
        for wire, wire_slot in self.wires:
            # What a lost request means for its replica is another matter.
            is_asked = any(arrival.wire is wire for arrival in self.arrivals)
            if wire_slot == slot and not is_asked:
                wire.end()
        if is_listed:
            self.list_replicas()

    def list_replicas(self) -> None:
        """Let the front learn which processes there are."""
        self.loop.call_soon(self._list_replicas)
        self._turn(1)

    @initialize(is_hedged=st.booleans())
    def hedge(self, is_hedged: bool) -> None:  # noqa: FBT001
        """Ask for each part once, or twice."""
        policy = _NoDelay() if is_hedged else _NoHedge()
        self.front.backend_client.policies = Policies(hedging=policy)

    @precondition(lambda machine: machine.asked)
    @rule(index=st.integers(0, 20))
    def leave(self, index: int) -> None:
        """Let a caller leave."""
        self.asked[index % len(self.asked)].task.cancel()
        self._turn(1)

    @invariant()
    def answers_keep_to_one_version(self) -> None:
        """An answer must be of the kind and the shards of one version."""
        for asked in self.asked:
            if asked.is_checked or not asked.task.done():
                continue
            asked.is_checked = True
            if asked.task.cancelled():
                continue
            response = encode_answer(asked.task.result(), asked.query.request)
            versions = self.specs[asked.first_version - 1 :]
            problems = [
                self._problem(response, asked.query, specs)
                for specs in versions
            ]
            assert '' in problems, f'{response.headers} {problems}'

    def teardown(self) -> None:
        """Cancel what still waits."""
        for asked in self.asked:
            asked.task.cancel()
        self._turn(6)
        self.loop.run_until_complete(self.tasks.cancel())
        self._turn(6)
        self.loop.close()
        assert not self.loop.failures, self.loop.failures
        self.answers_keep_to_one_version()

    def _turn(self, count: int) -> None:
        for _ in range(count):
            self.loop.turn()

    def _create_process(self, service: str, replica_id: str) -> _Process:
        number = next(self.numbers)
        return _Process(replica_id or f'i{number}', service, number)

    def _list_replicas(self) -> None:
        fleet = self.front.backend_client.fleet
        now_seconds = self.front.clock()
        ids = {process.replica_id for process in self.processes}
        for replica_id in self.listed - ids:
            fleet.update(replica_id, None, now_seconds)
        for slot, process in enumerate(self.processes):
            entry = ReplicaEntry(
                replica_id=process.replica_id,
                service=process.service,
                address=f'replica:{slot}',
                failure_domain='recife',
                state=ReplicaState.ready,
                slots=3,
                start_time_ms=process.started_ms,
            )
            fleet.update(process.replica_id, entry, now_seconds)
        self.listed = ids

    def _connect(self, protocol: Any, slot: int) -> None:
        wire = Wire(protocol, self.loop, self._receive)
        self.wires.append((wire, slot))
        protocol.connection_made(wire)

    def _receive(self, wire: Wire, encoded: bytes) -> None:
        slot = next(slot for known, slot in self.wires if known is wire)
        lines = encoded.decode().split('\r\n')
        headers = dict(line.split(': ', 1) for line in lines[1:] if line)
        self.arrivals.append(
            _Arrival(
                wire=wire,
                process=self.processes[slot],
                request_id=headers['Request-Id'],
                expected_id=headers.get('Expect-Instance', ''),
            )
        )

    def _reply(self, arrival: _Arrival, kind: str) -> bytes:
        process = arrival.process
        head = f'Request-Id: {arrival.request_id}\r\n'
        if arrival.expected_id not in {'', process.replica_id}:
            return _encode('421 No', head, b'')
        if kind == 'full':
            return _encode('503 Full', f'{head}Not-Executed: 1\r\n', b'')
        if kind == 'unsigned':
            return _encode('200 OK', head, b'u' * RECORD_BYTES)
        number = next(self.numbers)
        stamp = f'{process.service}.{process.replica_id}.{number}'
        body = b''.join(
            (b'%02d-%d-%d' % (number * 7 % 100, part, number)).ljust(
                RECORD_BYTES, b'.'
            )
            for part in range(3)
        )
        status = 500 if kind == 'fail' else 200
        self.sent[stamp] = _Sent(
            process.service, arrival.request_id, status, body
        )
        return _encode(
            f'{status} Any', f'{head}Server-Stamp: {stamp}\r\n', body
        )

    def _problem(
        self, response: web.Response, query: Query, specs: _Specs
    ) -> str:
        """Return which rule an answer breaks by a version, or nothing."""
        names = [name for name in specs if query.path.startswith(f'/{name}/')]
        if not names:
            return '' if response.status == 404 else 'no such route'
        stamps = response.headers.getall('Server-Stamp', [])
        parts = response.headers.get('Part-Stamps', '')
        if not (stamps or parts):
            is_own = response.status in {502, 503, 504}
            return '' if is_own else 'an answer without a stamp'
        replies = [self.sent[stamp] for stamp in stamps or parts.split(', ')]
        spec = specs[max(names, key=len)]
        problems = {
            'another request': {reply.request_id for reply in replies}
            != {query.request.request_id},
            'another kind': bool(parts) is not bool(spec.top_count),
            'two kinds': bool(parts and stamps),
            'another service': not {reply.service for reply in replies}
            <= set(spec.services),
            'another answer': _is_other_search(response, spec, replies)
            if spec.top_count
            else _is_other_reply(response, replies),
        }
        return ', '.join(name for name, is_true in problems.items() if is_true)


def _is_other_reply(response: web.Response, replies: list[_Sent]) -> bool:
    sent = [(reply.status, reply.body) for reply in replies]
    return sent != [(response.status, response.body)]


def _is_other_search(
    response: web.Response, spec: _Spec, replies: list[_Sent]
) -> bool:
    part_count = len(replies)
    missing_count = int(response.headers.get('Missing-Parts', 0))
    shard_count = len(spec.services)
    body = b''.join(heapq.nlargest(spec.top_count, _records(replies)))
    demands = (
        (response.status, response.body) == (200, body),
        all(reply.status == 200 for reply in replies),
        len({reply.service for reply in replies}) == part_count,
        part_count + missing_count == shard_count,
        part_count >= spec.min_share * shard_count,
    )
    return not all(demands)


def _records(replies: list[_Sent]) -> Iterator[bytes]:
    for reply in replies:
        for start in range(0, len(reply.body), RECORD_BYTES):
            yield reply.body[start : start + RECORD_BYTES]


def _encode(status: str, headers: str, body: bytes) -> bytes:
    head = f'HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


def test_answers_keep_to_one_version() -> None:
    """No change of routes and replicas may mix two versions in an answer."""
    with contextlib.ExitStack() as cleanup:
        logger.disable('dragonflyramp')
        cleanup.callback(logger.enable, 'dragonflyramp')
        run_state_machine_as_test(
            TableMachine,
            settings=settings(
                derandomize=True,
                deadline=None,
                max_examples=300,
                stateful_step_count=30,
            ),
        )
