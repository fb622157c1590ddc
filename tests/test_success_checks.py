"""Test that a caller gets a success only for a signed, whole reply."""

import asyncio
import collections
import contextlib
import itertools
import json
import time
from collections.abc import AsyncIterator, Iterable, Sequence
from typing import Any

import aiohttp
import attrs
import pytest
from loguru import logger

from dragonflyramp.backends import FetchResult, NoHedging, Policies
from dragonflyramp.callers import (
    Claims,
    Front,
    NativeApi,
    NativeApiServer,
)
from dragonflyramp.callers._scatter_gather import ShardResults
from dragonflyramp.messages import Reply
from dragonflyramp.metrics import counters
from dragonflyramp.platform import FrontServer, StoreClient
from dragonflyramp.platform._answers_http import encode_answer
from dragonflyramp.replicas import ReplicaEntry, ReplicaState
from dragonflyramp.results import ResultCode
from dragonflyramp.routes import GatherSettings
from dragonflyramp.runtime import TaskSet
from tests.front_harnesses import (
    RECORD_BYTES,
    make_front,
    make_proof,
    make_relayed,
    make_request,
    make_route,
    make_table,
)
from tests.standins.listeners import address_of, listen

_BODY = b'w' * RECORD_BYTES
_SHARDS = ('a', 'b')
_TABLE = make_table(
    make_route('lookup'),
    make_route('order', is_idempotent=False),
    make_route(
        'search',
        gather=GatherSettings(shards=_SHARDS, top_count=3, min_share=0),
    ),
)
_METHODS = ('GET', 'POST', 'HEAD')
_FRAMINGS = ('length', 'chunked', 'close')


@attrs.frozen(kw_only=True)
class _WireReply:
    """Reply as a replica sends it.

    `{id}` and `{stamp}` in a header stand for those of the reply.
    """

    status: str = '200 OK'
    headers: tuple[str, ...] = ('Request-Id: {id}', 'Server-Stamp: {stamp}')
    body: bytes = _BODY
    #: What ends the body: its length, its last chunk, or the connection.
    framing: str = 'length'

    def encode(self, request_id: str, stamp: str, *, is_head: bool) -> bytes:
        """Return the bytes of the reply."""
        lines = [f'HTTP/1.1 {self.status}']
        lines.extend(
            header.replace('{id}', request_id).replace('{stamp}', stamp)
            for header in self.headers
        )
        body = self.body
        if self.framing == 'length':
            lines.append(f'Content-Length: {len(body)}')
        if self.framing == 'chunked':
            lines.append('Transfer-Encoding: chunked')
            body = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
        head = '\r\n'.join((*lines, '\r\n')).encode('latin-1')
        return head if is_head else head + body


@attrs.define(eq=False)
class _Replica:
    """Replica that sends scripted replies, then good ones."""

    replica_id: str
    #: Replies to the next requests, to this or another replica.
    script: collections.deque[_WireReply]
    #: Head of each request, and the number of requests on its connection.
    requests: list[tuple[bytes, int]] = attrs.field(factory=list)
    _server: asyncio.Server | None = None
    _writers: list[asyncio.StreamWriter] = attrs.field(factory=list)

    async def start(self, service: str) -> ReplicaEntry:
        """Listen and return the entry of the replica."""
        self._server = await listen(self._serve)
        return ReplicaEntry(
            replica_id=self.replica_id,
            service=service,
            address=address_of(self._server),
            failure_domain='recife',
            state=ReplicaState.ready,
            slots=3,
        )

    def stop(self) -> None:
        """Close the port and every connection."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        request_count = 0
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while not writer.is_closing():
                request_count += 1
                head = await reader.readuntil(b'\r\n\r\n')
                fields = _parse_fields(head)
                await reader.readexactly(int(fields.get(b'content-length', 0)))
                self.requests.append((head, request_count))
                reply = self.script.popleft() if self.script else _WireReply()
                encoded = reply.encode(
                    fields.get(b'request-id', b'').decode('latin-1'),
                    f'{self.replica_id}.{len(self.requests)}',
                    is_head=head.startswith(b'HEAD '),
                )
                writer.write(encoded)
                if reply.framing == 'close':
                    writer.close()


@attrs.frozen(kw_only=True)
class _CallerReply:
    """Answer as a caller receives it."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    def get_all(self, name: bytes) -> list[bytes]:
        """Return the values of a header."""
        return [text for key, text in self.headers if key.lower() == name]

    @property
    def stamps(self) -> list[bytes]:
        """Return the stamp, or the stamps of the parts."""
        fields = (
            *self.get_all(b'server-stamp'),
            *self.get_all(b'part-stamps'),
        )
        return [stamp for text in fields for stamp in text.split(b', ')]


@attrs.define(eq=False, kw_only=True)
class _System:
    """Front with its HTTP server, and scripted replicas by service."""

    front: Front
    address: str
    replicas: dict[str, list[_Replica]]

    def script(self, service: str, *replies: _WireReply) -> None:
        """Set the next replies of the replicas of a service."""
        first_replica = self.replicas[service][0]
        first_replica.script.extend(replies)

    def requests(self, service: str) -> list[tuple[bytes, int]]:
        """Return the requests to all replicas of a service."""
        return [
            request
            for replica in self.replicas[service]
            for request in replica.requests
        ]

    async def call(
        self,
        path: str,
        method: str = 'GET',
        headers: Sequence[bytes] = (),
        request_id: bytes = b'q1',
    ) -> _CallerReply:
        """Send a request on a new connection and read the answer."""
        host, _, port = self.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = (
            f'{method} {path} HTTP/1.1'.encode(),
            b'Host: h',
            b'Request-Id: %s' % request_id,
            b'Deadline-Ms: 2000',
            *headers,
            b'Connection: close',
        )
        body = b'abc' if method == 'POST' else b''
        if body:
            lines = (*lines, b'Content-Length: %d' % len(body))
        writer.write(b'\r\n'.join((*lines, b'', body)))
        async with asyncio.timeout(5):
            head = await reader.readuntil(b'\r\n\r\n')
            received = await reader.read()
        writer.close()
        return _CallerReply(
            status=int(head.split()[1]),
            headers=_split_fields(head),
            body=received,
        )


def _split_fields(head: bytes) -> tuple[tuple[bytes, bytes], ...]:
    fields = (line.partition(b': ') for line in head.split(b'\r\n')[1:-2])
    return tuple((name, text) for name, _, text in fields)


def _parse_fields(head: bytes) -> dict[bytes, bytes]:
    return {name.lower(): text for name, text in _split_fields(head)}


@contextlib.asynccontextmanager
async def _run_system(replica_count: int = 2) -> AsyncIterator[_System]:
    """Run a front that never hedges, and the replicas of each service."""
    replicas: dict[str, list[_Replica]] = {}
    entries = []
    for service in _TABLE.service_policies:
        script: collections.deque[_WireReply] = collections.deque()
        replicas[service] = [
            _Replica(f'{service}{index}', script)
            for index in range(replica_count)
        ]
        for replica in replicas[service]:
            entries.append(await replica.start(service))
    tasks = TaskSet()
    front = make_front(
        _TABLE,
        entries,
        tasks,
        budget_slack=50,
        policies=Policies(hedging=NoHedging()),
    )
    server = FrontServer(front, time.monotonic)
    address = await server.start('127.0.0.1:0', '127.0.0.1:0')
    try:
        yield _System(front=front, address=address, replicas=replicas)
    finally:
        await server.stop()
        await _stop(tasks, replicas.values())


async def _stop(tasks: TaskSet, replicas: Iterable[Sequence[_Replica]]) -> None:
    await tasks.cancel()
    for replica in itertools.chain(*replicas):
        replica.stop()


def _is_failure_without_promise(reply: _CallerReply) -> bool:
    """Return whether a caller gets nothing that a replica sent.

    The status must not promise that the request has not run.
    """
    return (
        reply.status == 502
        and not reply.body
        and not reply.stamps
        and not reply.get_all(b'x-marker')
    )


_UNSIGNED_HEADERS = ('Request-Id: {id}', 'X-Marker: 1')


@pytest.mark.parametrize('method', _METHODS)
@pytest.mark.parametrize('framing', _FRAMINGS)
@pytest.mark.parametrize('earlier_count', [0, 1])
async def test_unsigned_success_is_not_relayed(
    method: str, framing: str, earlier_count: int
) -> None:
    """A request that may run once must get no success without a stamp.

    It has run, so that it must not be sent again, nor be answered as not run.
    """
    async with _run_system(1) as system:
        for _ in range(earlier_count):
            await system.call('/lookup/x', request_id=b'earlier')
        system.script(
            'a', _WireReply(headers=_UNSIGNED_HEADERS, framing=framing)
        )
        answer = await system.call('/order/x', method)
        on_connection = [count for _, count in system.requests('a')]
    assert _is_failure_without_promise(answer)
    assert on_connection == list(range(1, earlier_count + 2))


@pytest.mark.parametrize('method', _METHODS)
@pytest.mark.parametrize('framing', _FRAMINGS)
@pytest.mark.parametrize('path', ['/lookup/x', '/search/x'])
async def test_unsigned_success_is_retried(
    method: str, framing: str, path: str
) -> None:
    """An idempotent request must get the signed reply of another replica."""
    async with _run_system() as system:
        system.script(
            'a',
            _WireReply(
                headers=_UNSIGNED_HEADERS, framing=framing, body=b'x' * 16
            ),
        )
        answer = await system.call(path, method)
    assert answer.status == 200
    assert answer.stamps
    assert b'x' not in answer.body
    assert len(system.requests('a')) == 2


async def test_last_retry_relays_no_unsigned_success() -> None:
    """An idempotent request must not get the last bad reply instead."""
    async with _run_system() as system:
        unsigned = _WireReply(headers=_UNSIGNED_HEADERS)
        system.script('a', unsigned, unsigned)
        answer = await system.call('/lookup/x')
    assert _is_failure_without_promise(answer)
    assert len(system.requests('a')) == 2


async def test_invalid_reply_is_recorded() -> None:
    """An operator must see the reply in the log, counters and statistics."""
    before_count = counters.get('invalid_replies', 'unsigned')
    lines: list[dict[str, Any]] = []
    sink_id = logger.add(
        lambda message: lines.append(message.record['extra']), level='INFO'
    )
    async with _run_system(1) as system:
        system.script('a', _WireReply(headers=_UNSIGNED_HEADERS))
        await system.call('/order/x', request_id=b'recorded')
        fleet = system.front.backend_client.fleet
        replicas = fleet.usable_replicas('a', time.monotonic())
    logger.remove(sink_id)
    logged = next(line for line in lines if line.get('request') == 'recorded')
    assert logged['outcome'] == 'bad_reply'
    attempts = logged['parts'][0][-1]
    assert attempts[0][-1] == 'invalid'
    assert counters.get('invalid_replies', 'unsigned') == before_count + 1
    assert replicas[0].health.failure_rate > 0


_PROMISES = ('408 Late', '429 Slow', '503 Full')


@pytest.mark.parametrize('status', _PROMISES)
@pytest.mark.parametrize(
    'headers', [_UNSIGNED_HEADERS, ('Server-Stamp: {stamp}', 'X-Marker: 1')]
)
@pytest.mark.parametrize('method', _METHODS)
async def test_refusal_without_proof_is_no_promise(
    status: str, headers: tuple[str, ...], method: str
) -> None:
    """A caller must not hear "not run" from a replica that may have run it.

    Only `Not-Executed` says so; the replica's stamp must not come with another
    status than its own.
    """
    async with _run_system(1) as system:
        system.script('a', _WireReply(status=status, headers=headers))
        answer = await system.call('/order/x', method)
    assert _is_failure_without_promise(answer)
    assert not answer.get_all(b'retry-after')


@pytest.mark.parametrize('status', [*_PROMISES, '421 No', '400 Bad'])
async def test_refusal_with_proof_stays_a_promise(status: str) -> None:
    """A request that no replica ran must be answered as not run."""
    refusal = _WireReply(status=status, headers=('Not-Executed: 1',))
    async with _run_system(1) as system:
        system.script('a', refusal, refusal)
        answer = await system.call('/order/x')
    assert answer.status == 503
    assert answer.get_all(b'retry-after')


@pytest.mark.parametrize(
    'status', ['204 No', '302 Found', '404 Not', '500 Bad', '504 Late']
)
@pytest.mark.parametrize('method', _METHODS)
async def test_unsigned_failure_is_not_relayed(
    status: str, method: str
) -> None:
    """A caller must not take a reply of unknown origin for a refusal.

    After 400, 401, 404, 413 and 431 it would give up a proper request.
    """
    failure = _WireReply(status=status, headers=_UNSIGNED_HEADERS, body=b'')
    async with _run_system(1) as system:
        system.script('a', failure)
        answer = await system.call('/order/x', method)
    assert _is_failure_without_promise(answer)


@pytest.mark.parametrize('status', ['302 Found', '404 Not', '500 Bad'])
@pytest.mark.parametrize('method', _METHODS)
@pytest.mark.parametrize('framing', _FRAMINGS)
async def test_signed_failure_is_relayed(
    status: str, method: str, framing: str
) -> None:
    """A replica's failure must keep its status, stamp and body."""
    async with _run_system(1) as system:
        system.script('a', _WireReply(status=status, framing=framing))
        answer = await system.call('/order/x', method)
    assert answer.status == int(status.split()[0])
    assert answer.stamps == [b'a0.1']
    assert answer.body == {'HEAD': b''}.get(method, _BODY)


@pytest.mark.parametrize('status', ['101 Switch', '600 Odd', '999 Odd'])
async def test_undefined_status_is_not_relayed(status: str) -> None:
    """A caller must not get a status that HTTP gives no meaning."""
    async with _run_system(1) as system:
        system.script('a', _WireReply(status=status))
        answer = await system.call('/order/x')
    assert _is_failure_without_promise(answer)


async def test_success_that_did_not_run_is_none() -> None:
    """A caller must not get a success that says it did not run."""
    headers = ('Server-Stamp: {stamp}', 'Not-Executed: 1')
    async with _run_system(1) as system:
        system.script('a', _WireReply(headers=headers))
        answer = await system.call('/order/x')
    assert _is_failure_without_promise(answer)


@pytest.mark.parametrize(
    'header',
    [
        'Content-Encoding: gzip',
        'Transfer-Encoding: gzip, chunked',
        'Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked',
    ],
)
@pytest.mark.parametrize(
    ('path', 'status'),
    [('/lookup/x', 200), ('/order/x', 502), ('/search/x', 200)],
)
@pytest.mark.parametrize('asked', [b'', b'identity', b'gzip;q=0, identity'])
async def test_encoded_body_is_no_success(
    header: str, path: str, status: int, asked: bytes
) -> None:
    """A caller must not get a body in a coding that it did not ask for.

    Records cannot be read from it, either.
    """
    encoded = _WireReply(
        headers=('Request-Id: {id}', 'Server-Stamp: {stamp}', header),
        body=b'10\r\nnot plain at all\r\n0\r\n\r\n',
        framing='none' if 'chunked' in header else 'length',
    )
    async with _run_system() as system:
        system.script('a', encoded)
        answer = await system.call(
            path, headers=[b'Accept-Encoding: %s' % asked][: len(asked)]
        )
    assert answer.status == status
    assert b'not plain' not in answer.body
    assert bool(answer.stamps) == (status == 200)


async def test_coding_is_relayed_if_asked_for() -> None:
    """A caller that reads gzip must get what the replica encoded for it."""
    headers = ('Server-Stamp: {stamp}', 'Content-Encoding: gzip')
    async with _run_system() as system:
        system.script('a', _WireReply(headers=headers, body=b'zipped'))
        answer = await system.call(
            '/lookup/x', headers=[b'Accept-Encoding: br;q=0, gzip;q=0.5']
        )
    assert (answer.status, answer.body) == (200, b'zipped')
    assert answer.get_all(b'content-encoding') == [b'gzip']


async def test_asked_coding_is_no_part_of_search() -> None:
    """Records must not be taken from a body with a content coding."""
    headers = ('Server-Stamp: {stamp}', 'Content-Encoding: gzip')
    async with _run_system() as system:
        system.script('a', _WireReply(headers=headers, body=b'z' * 32))
        answer = await system.call(
            '/search/x', headers=[b'Accept-Encoding: gzip']
        )
    assert answer.status == 200
    assert b'z' not in answer.body


@pytest.mark.parametrize('options', ['Server-Stamp', 'x, SERVER-STAMP ,close'])
@pytest.mark.parametrize('method', _METHODS)
async def test_connection_header_keeps_the_stamp(
    options: str, method: str
) -> None:
    """A success must not lose its stamp because `Connection` names it."""
    headers = ('Server-Stamp: {stamp}', f'Connection: {options}', 'X: y')
    async with _run_system(1) as system:
        system.script('a', _WireReply(headers=headers))
        answer = await system.call('/order/x', method)
    assert answer.status == 200
    assert answer.stamps == [b'a0.1']
    assert not answer.get_all(b'x') or 'x' not in options


async def test_connection_header_keeps_the_request_id() -> None:
    """A request must not lose its id or host, nor run as another one."""
    options = b'Connection: Request-Id, host, X-Hop'
    async with _run_system(1) as system:
        answer = await system.call('/order/x', headers=[options, b'X-Hop: 1'])
        head, _ = system.requests('a')[0]
    assert answer.status == 200
    assert b'\r\nRequest-Id: q1\r\n' in head
    assert b'\r\nHost: h\r\n' in head
    assert b'X-Hop' not in head


def test_answer_without_its_stamp_is_no_success() -> None:
    """A reply whose headers are lost after its check must not be relayed."""
    reply = Reply(status=200, headers=(), body=b'abc', stamp='a0.1')
    request = make_request()
    response = encode_answer(make_relayed(reply, request), request)
    assert (response.status, response.body) == (502, None)


@pytest.mark.parametrize('status', ['200 OK', '500 Bad'])
async def test_header_bytes_are_relayed_unchanged(status: str) -> None:
    """A header must not reach the caller in another character encoding."""
    name = 'São João'.encode()
    headers = ('Server-Stamp: {stamp}', f'X-Feast: {name.decode("latin-1")}')
    async with _run_system(1) as system:
        system.script('a', _WireReply(status=status, headers=headers))
        answer = await system.call('/order/x')
    assert answer.status == int(status.split()[0])
    assert answer.get_all(b'x-feast') == [name]
    assert answer.stamps == [b'a0.1']


@pytest.mark.parametrize('status', ['200 OK', '500 Bad'])
async def test_header_that_is_no_utf8_is_left_out(status: str) -> None:
    """A header that cannot be sent must not take the answer from a caller."""
    headers = ('Server-Stamp: {stamp}', 'X-Feast: S\xe3o')
    async with _run_system(1) as system:
        system.script('a', _WireReply(status=status, headers=headers))
        answer = await system.call('/order/x')
    assert answer.status == int(status.split()[0])
    assert answer.stamps == [b'a0.1']
    assert not answer.get_all(b'x-feast')


@pytest.mark.parametrize('text', ['a\rb', 'a\r\n b', 'a\x01b'])
@pytest.mark.parametrize('status', ['200 OK', '500 Bad'])
async def test_header_that_cannot_be_sent_is_no_success(
    status: str, text: str
) -> None:
    """A caller must not get altered bytes, nor a failure of the front."""
    headers = ('Server-Stamp: {stamp}', f'X-Feast: {text}')
    async with _run_system(1) as system:
        system.script('a', _WireReply(status=status, headers=headers))
        answer = await system.call('/order/x')
    assert _is_failure_without_promise(answer)


async def test_header_bytes_reach_the_replica_unchanged() -> None:
    """A replica must get the headers and the path as the caller sent them."""
    async with _run_system(1) as system:
        answer = await system.call(
            '/order/%C3%A3', headers=[b'X: \xe3\xc3\xa3']
        )
        head, _ = system.requests('a')[0]
    assert answer.status == 200
    assert head.startswith(b'GET /order/%C3%A3 HTTP/1.1\r\n')
    assert b'\r\nX: \xe3\xc3\xa3\r\n' in head


async def test_path_with_raw_bytes_gets_an_answer() -> None:
    """A path that is no ASCII must be answered and not end a connection."""
    async with _run_system(1) as system:
        answer = await system.call('/order/\xe3')
        heads = [head for head, _ in system.requests('a')]
    assert (answer.status, len(heads)) in {(200, 1), (400, 0)}
    assert all('/order/\xe3 '.encode() in head for head in heads)


@pytest.mark.parametrize(
    'headers',
    [
        ('Server-Stamp: {stamp}', 'Server-Stamp: other'),
        ('Server-Stamp: other', 'Server-Stamp: {stamp}'),
        ('Server-Stamp: {stamp}', 'server-stamp: {stamp}'),
        ('Server-Stamp: {stamp},other',),
        ('Server-Stamp: {stamp} other',),
        ('Server-Stamp: {stamp}\tother',),
        ('Server-Stamp: \xe3',),
        ('Server-Stamp: {stamp}', 'Request-Id: {id}', 'Request-Id: other'),
        ('Server-Stamp: {stamp}', 'Request-Id: other', 'Request-Id: {id}'),
    ],
)
@pytest.mark.parametrize(
    ('path', 'status'),
    [('/lookup/x', 200), ('/order/x', 502), ('/search/x', 200)],
)
async def test_ambiguous_signature_is_no_success(
    headers: tuple[str, ...], path: str, status: int
) -> None:
    """A caller must not get a stamp or an id that can be read in two ways.

    In `Part-Stamps`, a stamp with a comma would be two entries.
    """
    async with _run_system() as system:
        system.script('a', _WireReply(headers=headers, body=b'x' * 16))
        answer = await system.call(path)
    assert answer.status == status
    assert b'x' not in answer.body
    expected = {
        '/lookup/x': [b'a'],
        '/order/x': [],
        '/search/x': [b'a', b'b'],
    }
    signers = [stamp[:1] for stamp in answer.stamps]
    assert sorted(signers) == expected[path]


async def test_parts_with_one_stamp_are_no_parts() -> None:
    """A search must not name a stamp twice, nor guess whose it is."""
    async with _run_system() as system:
        for shard in _SHARDS:
            system.script(shard, _WireReply(headers=('Server-Stamp: same',)))
        answer = await system.call('/search/x')
    assert _is_failure_without_promise(answer)


def test_part_beside_copied_stamps_is_kept() -> None:
    """A search must keep its other parts, and count the missing ones."""
    parts = tuple(
        FetchResult(
            service=service,
            code=ResultCode.ok,
            success=make_proof(
                Reply(status=200, headers=(), body=_BODY, stamp=stamp),
                service=service,
            ),
            may_have_run=True,
        )
        for service, stamp in zip('abcd', ('same', 'own', 'same', 'same'))
    )
    shard_results = ShardResults(
        shard_count=4, succeeded=parts
    ).without_copies()
    assert [part.service for part in shard_results.succeeded] == ['b']
    assert {part.code for part in shard_results.failed} == {
        ResultCode.bad_reply
    }
    assert all(part.may_have_run for part in shard_results.failed)


@contextlib.asynccontextmanager
async def _run_native_api(
    store_client: StoreClient, *replies: _WireReply
) -> AsyncIterator[tuple[str, _System]]:
    """Run the native API on one replica with scripted replies."""
    async with _run_system(1) as system:
        system.script('a', *replies)
        server = NativeApiServer(
            NativeApi(
                front=system.front,
                claims=Claims(store_client),
                clock=time.monotonic,
                name_search_route=lambda _: 'search',
                name_submit_route=lambda _: 'order',
            )
        )
        address = await server.start('127.0.0.1:0')
        yield f'http://{address}', system
        await server.stop()


async def _submit(address: str) -> tuple[int, str]:
    """Submit a request and return the status and the name of the code."""
    async with aiohttp.request(
        'POST',
        f'{address}/submit/a',
        data=b'{}',
        headers={'X-Deadline-Ms': '2000', 'Idempotency-Key': 'k'},
    ) as answer:
        fields = json.loads(await answer.read())
        return answer.status, fields.get('name', 'ok')


_SIGNED_HEADERS = ('Server-Stamp: {stamp}',)


@pytest.mark.parametrize(
    ('reply', 'name'),
    [
        (_WireReply(headers=_UNSIGNED_HEADERS), 'outcome_unknown'),
        (
            _WireReply(status='503 Full', headers=_SIGNED_HEADERS),
            'outcome_unknown',
        ),
        (
            _WireReply(headers=(*_SIGNED_HEADERS, 'Content-Encoding: gzip')),
            'outcome_unknown',
        ),
        (_WireReply(status='500 Bad'), 'backend_error'),
        (_WireReply(status='302 Found'), 'backend_error'),
        (_WireReply(status='404 Not'), 'backend_error'),
        (_WireReply(body=b'\xff'), 'bad_reply'),
    ],
)
async def test_submit_relays_no_other_success(
    store_client: StoreClient, reply: _WireReply, name: str
) -> None:
    """A submit must not record as its outcome what is no success.

    It may have run, so that its key is not sent again.
    """
    async with _run_native_api(store_client, reply) as (address, system):
        first_answer = await _submit(address)
        repeat_answer = await _submit(address)
        assert len(system.requests('a')) == 1
    assert first_answer[1] == name
    assert first_answer[0] in {409, 502}
    assert repeat_answer == (409, 'already_claimed')


async def test_submit_relays_signed_success(store_client: StoreClient) -> None:
    """A submit must record the outcome of a signed success."""
    async with _run_native_api(store_client) as (address, system):
        assert await _submit(address) == (200, 'ok')
        assert await _submit(address) == (200, 'ok')
        assert len(system.requests('a')) == 1


async def test_native_search_counts_no_unsigned_part(
    store_client: StoreClient,
) -> None:
    """The stated coverage must not count a part without a stamp."""
    unsigned = _WireReply(headers=_UNSIGNED_HEADERS)
    replies = (unsigned, unsigned)
    async with _run_native_api(store_client, *replies) as (address, _):
        async with aiohttp.request(
            'POST',
            f'{address}/search/s',
            data=b'{}',
            headers={'X-Deadline-Ms': '2000'},
        ) as answer:
            fields = json.loads(await answer.read())
    assert fields['coverage']['merged'] == 1
    assert fields['hits'] == [_BODY.hex()]


@pytest.mark.parametrize('method', _METHODS)
@pytest.mark.parametrize('framing', _FRAMINGS)
@pytest.mark.parametrize('earlier_count', [0, 1])
@pytest.mark.parametrize(
    ('status', 'body'),
    [
        ('200 OK', _BODY),
        ('200 OK', b''),
        ('201 Made', _BODY),
        ('204 No', b''),
        ('205 Reset', b''),
        ('206 Part', _BODY),
        ('299 Odd', _BODY),
        ('304 Same', b''),
    ],
)
async def test_signed_reply_is_relayed_whole(
    method: str, framing: str, earlier_count: int, status: str, body: bytes
) -> None:
    """A signed reply must keep its status, stamp and body, however it ends."""
    if status[:3] in {'204', '304'}:
        framing = 'none'
    async with _run_system(1) as system:
        for _ in range(earlier_count):
            await system.call('/lookup/x', request_id=b'earlier')
        system.script(
            'a', _WireReply(status=status, body=body, framing=framing)
        )
        answer = await system.call('/order/x', method)
        _, count_on_connection = system.requests('a')[-1]
    assert answer.status == int(status.split()[0])
    assert answer.stamps == [b'a0.%d' % count_on_connection]
    assert answer.body == {'HEAD': b''}.get(method, body)
    lengths = answer.get_all(b'content-length')
    assert lengths in ([], [b'%d' % len(answer.body)])
    assert count_on_connection == earlier_count + 1


async def test_request_id_is_compared_as_sent() -> None:
    """A reply must not count as another's because its id is no ASCII."""
    async with _run_system(1) as system:
        answer = await system.call('/order/x', request_id=b'S\xc3\xa3o')
    assert answer.status == 200
    assert answer.stamps == [b'a0.1']


#: Status lines without a valid status; the last one is an interim reply that no
#: final one follows.
_INVALID_STATUSES = (
    '000 Zero',
    '099 Low',
    '600 Odd',
    '999 Odd',
    '20 OK',
    '2000 OK',
    '+20 OK',
    '-20 OK',
    '2x0 OK',
    'ABC OK',
    ''.join(
        ('100 Go\r\n\r\n', 'HTTP/1.1 100 Go\r\n\r\n' * 500, 'HTTP/1.1 100 Go')
    ),
)


@pytest.mark.parametrize(
    ('path', 'status'),
    [('/lookup/x', 200), ('/order/x', 502), ('/search/x', 200)],
)
@pytest.mark.parametrize('status_line', _INVALID_STATUSES)
async def test_reply_without_valid_status_is_unreadable(
    status_line: str, path: str, status: int
) -> None:
    """A caller must not get such a reply, nor a search a part of it."""
    odd = _WireReply(status=status_line, body=b'odd ' * 8)
    async with _run_system() as system:
        system.script('a', odd)
        answer = await system.call(path)
    assert answer.status in {status, 502, 504}
    assert b'odd' not in answer.body
    assert bool(answer.stamps) == (answer.status == 200)


@pytest.mark.parametrize('status_line', _INVALID_STATUSES)
async def test_outcome_needs_valid_status(
    store_client: StoreClient, status_line: str
) -> None:
    """The native API must not record such a reply as an outcome."""
    odd = _WireReply(status=status_line, headers=_SIGNED_HEADERS)
    async with _run_native_api(store_client, odd) as (address, system):
        first_answer = await _submit(address)
        repeat_answer = await _submit(address)
        assert len(system.requests('a')) == 1
    assert first_answer[0] in {409, 502}
    assert repeat_answer[0] == 409
