"""Test the native API, its claims, and routing tables decoded from text."""

import json
import pathlib
import time
from collections.abc import AsyncIterator, Mapping
from types import MappingProxyType
from typing import Any

import aiohttp
import attrs
import pytest
from returns.result import Success

from dragonflyramp import operators
from dragonflyramp.callers import (
    Claims,
    NativeApi,
    NativeApiServer,
    Refusal,
    RelayedAnswer,
)
from dragonflyramp.callers._claims import KeyedRequest, KeyedResult
from dragonflyramp.messages import Reply
from dragonflyramp.models import Configuration
from dragonflyramp.operators._configuration_readers import ConfigurationReader
from dragonflyramp.operators._parts import split_text
from dragonflyramp.operators._roots import ROOT_NAME
from dragonflyramp.operators._text_stores import part_object_name
from dragonflyramp.platform import (
    PlatformObjectStore,
    StoreClient,
    create_body_reader,
    parse_api_key,
)
from dragonflyramp.results import ResultCode
from dragonflyramp.routes import search_route_name, submit_route_name
from dragonflyramp.tenants import Tenant, TenantDirectory
from dragonflyramp.tools._text_decoders import TextDecoder
from tests.front_harnesses import (
    RECORD_BYTES,
    FrontHarness,
    make_relayed,
    make_route,
    make_table,
    run_harness,
)
from tests.standins.stores import StoreFaults, StoreServer

_EXAMPLE = pathlib.Path(__file__).parent.parent / 'examples/forrozeira.toml'
_TEXT = _EXAMPLE.read_bytes()
_KEYED_REQUEST = KeyedRequest(service='a', key='k1', body=b'{}')
_SUBMIT_HEADERS = MappingProxyType(
    {'X-Deadline-Ms': '3000', 'Idempotency-Key': 'k'}
)
_ANSWER = make_relayed(Reply(status=200, headers=(), body=b'booked', stamp='s'))


@attrs.define
class _Sender:
    """Count the calls and return a fixed answer."""

    answer: RelayedAnswer | Refusal
    send_count: int = 0

    async def send(self) -> RelayedAnswer | Refusal:
        self.send_count += 1
        return self.answer


async def test_request_with_key_runs_once(store_client: StoreClient) -> None:
    """A repeated key must replay the outcome instead of running again.

    The same key with another body must be refused.
    """
    sender = _Sender(_ANSWER)
    claims = Claims(store_client)
    first_result = await claims.run(_KEYED_REQUEST, sender.send)
    repeat_result = await claims.run(_KEYED_REQUEST, sender.send)
    assert first_result == KeyedResult(ResultCode.ok, 'booked')
    assert repeat_result == KeyedResult(ResultCode.outcome_replayed, 'booked')
    request_with_other_body = attrs.evolve(_KEYED_REQUEST, body=b'[]')
    reused = await claims.run(request_with_other_body, sender.send)
    assert reused == KeyedResult(ResultCode.key_reused)
    assert sender.send_count == 1


@pytest.mark.parametrize(
    ('refusal', 'repeat_code'),
    [
        (Refusal(code=ResultCode.shed), ResultCode.shed),
        (
            Refusal(code=ResultCode.connection_reset, may_have_run=True),
            ResultCode.already_claimed,
        ),
    ],
)
async def test_repeat_is_sent_only_if_not_run(
    store_client: StoreClient, refusal: Refusal, repeat_code: ResultCode
) -> None:
    """A request that may have run must not be sent again with its key.

    One that was not run must be sent again.
    """
    sender = _Sender(refusal)
    claims = Claims(store_client)
    await claims.run(_KEYED_REQUEST, sender.send)
    repeat_result = await claims.run(_KEYED_REQUEST, sender.send)
    assert repeat_result.code is repeat_code
    assert sender.send_count == 2 - refusal.may_have_run


@pytest.mark.parametrize(
    'faults',
    [StoreFaults(status=503), StoreFaults(lost_replies=1)],
)
async def test_unconfirmed_claim_sends_nothing(
    store_server: StoreServer, store_client: StoreClient, faults: StoreFaults
) -> None:
    """A request must not be sent if its claim is not confirmed."""
    store_server.store.faults = faults
    sender = _Sender(_ANSWER)
    keyed_result = await Claims(store_client).run(_KEYED_REQUEST, sender.send)
    assert keyed_result.code is ResultCode.claim_failed
    assert sender.send_count == 0


async def test_text_decodes_to_routing_table(
    store_server: StoreServer, store_client: StoreClient
) -> None:
    """Pushed text must decode to the routing table that it describes.

    Parts without a root must decode to no table.
    """
    object_store = PlatformObjectStore(store_client)
    parts = {
        part_object_name(operators.sha256_hex(part)): part
        for part in split_text(_TEXT)
    }
    for name, part in parts.items():
        await object_store.write(name, part, 0)
    view = store_server.store.objects_by_kind['dragonflyramp-texts']
    assert TextDecoder().decode_table(view) is None
    await object_store.write(ROOT_NAME, _encoded_root(), 0)
    read_result = ConfigurationReader(create_body_reader(view)).read()
    assert read_result == operators.parse_text(_TEXT, 3)
    table = TextDecoder().decode_table(view)
    assert table == operators.build_routing_table(read_result.unwrap())


def test_text_defines_routes_to_shards() -> None:
    """Searches must reach all shards, and submits must reach only shards."""
    parsed = operators.parse_text(_TEXT, 3).unwrap()
    table = operators.build_routing_table(parsed)
    search_route = table.find_by_name('search:planner-desk')
    assert search_route is not None
    assert len(search_route.services) == 10
    submit_route = table.find_by_name('submit:contract-office')
    assert submit_route is not None
    assert not submit_route.is_idempotent
    assert table.find_by_name('submit:planner-desk') is None


def _encoded_root() -> bytes:
    refs = [
        operators.PartRef(operators.sha256_hex(part), len(part))
        for part in split_text(_TEXT)
    ]
    root = operators.Root(
        number=3,
        write_id='w',
        author='ana',
        at='2026-12-04T10:00:00Z',
        note='',
        parts=tuple(refs),
        holds=(),
    )
    return operators.encode_root(root)


def test_replica_hold_does_not_hold_domain() -> None:
    """A hold on a replica must not hold its failure domain."""
    hold = (
        '[holds.{0}]\nkind = "{1}"\nby = "a"\n'
        'at = "2026-12-04T10:00:00Z"\nreason = "x"\n'
    )
    text = ''.join(
        (
            _TEXT.decode(),
            hold.format('recife', 'failure_domain'),
            hold.format('venue-link-0', 'replica'),
        )
    )
    parsed = operators.parse_text(text.encode())
    assert isinstance(parsed, Success)
    assert operators.held_domains(parsed.unwrap()) == {'recife'}


@attrs.frozen
class _Caller:
    """Send requests to a native API as a caller."""

    session: aiohttp.ClientSession
    address: str
    harness: FrontHarness

    async def post(
        self, path: str, headers: Mapping[str, str], body: bytes = b'{}'
    ) -> tuple[int, dict[str, Any]]:
        """Send a POST request and return the status and the decoded answer."""
        async with self.session.post(
            f'http://{self.address}{path}', data=body, headers=headers
        ) as reply:
            return reply.status, json.loads(await reply.read())


@pytest.fixture
async def caller(store_client: StoreClient) -> AsyncIterator[_Caller]:
    """Run a native API with stand-ins for its peers, and yield a caller."""
    search_route = make_route(search_route_name('s'))
    split = (attrs.evolve(search_route.split[0], service='a'),)
    table = make_table(
        attrs.evolve(
            search_route,
            split=(),
            gather=operators.build_routing_table(_configuration())
            .routes[0]
            .gather,
        ),
        attrs.evolve(
            search_route,
            name=submit_route_name('a'),
            is_idempotent=False,
            split=split,
        ),
        version=7,
    )
    async with run_harness(table) as harness:
        for replica in harness.all_servers():
            replica.body = b'x' * RECORD_BYTES
        server = NativeApiServer(
            NativeApi(
                front=harness.front,
                claims=Claims(store_client),
                clock=time.monotonic,
                name_search_route=search_route_name,
                name_submit_route=submit_route_name,
                parse_api_key=parse_api_key,
            )
        )
        address = await server.start('127.0.0.1:0')
        async with aiohttp.ClientSession() as session:
            yield _Caller(session, address, harness)
        await server.stop()


def _configuration() -> Configuration:
    text = """format = 1
user = "u"
[failure_domains.recife]
region = "r"
[services.s]
depends_on = ["a", "b"]
[services.a]
[services.b]
"""
    return operators.parse_text(text.encode()).unwrap()


async def test_search_reports_coverage(caller: _Caller) -> None:
    """An answer must state its configuration version and coverage."""
    status, fields = await caller.post(
        '/search/s', {'X-Deadline-Ms': '3000', 'X-Request-Id': 'q1'}
    )
    assert status == 200
    assert fields['request_id'] == 'q1'
    assert fields['snapshot'] == 7
    assert fields['coverage'] == {'merged': 2, 'total': 2, 'fraction': 1}
    assert fields['hits'] == ['78' * RECORD_BYTES, '78' * RECORD_BYTES]


async def test_repeated_submit_is_replayed(caller: _Caller) -> None:
    """A repeated submit must return the same outcome without another run."""
    headers = {'X-Deadline-Ms': '3000', 'Idempotency-Key': 'k'}
    first_answer = await caller.post('/submit/a', headers)
    repeat_answer = await caller.post('/submit/a', headers)
    assert (first_answer[0], first_answer[1]['replayed']) == (200, False)
    assert (repeat_answer[0], repeat_answer[1]['replayed']) == (200, True)
    assert first_answer[1]['outcome'] == repeat_answer[1]['outcome']
    assert caller.harness.run_count('a') == 1


async def test_outcomes_are_kept_apart_by_tenant(caller: _Caller) -> None:
    """A tenant must not get the outcome of another one's idempotency key.

    Nor may a caller without a valid API key get any.
    """
    front = caller.harness.front
    table = front.current_table()
    assert table is not None
    tenants = TenantDirectory.create(
        (Tenant(name=name), (f'key-{name}',)) for name in ('n', 's')
    )
    with_tenants = attrs.evolve(table, tenants=tenants)
    front.current_table = lambda: with_tenants
    replayed = []
    for api_key in ('key-n', 'key-s', 'key-n'):
        status, fields = await caller.post(
            '/submit/a',
            {**_SUBMIT_HEADERS, 'Authorization': f'Bearer {api_key}'},
        )
        replayed.append((status, fields['replayed']))
    assert replayed == [(200, False), (200, False), (200, True)]
    assert caller.harness.run_count('a') == 2
    for headers in ({}, {'Authorization': 'Bearer key-x'}):
        status, fields = await caller.post(
            '/submit/a', {**_SUBMIT_HEADERS, **headers}
        )
        assert (status, fields['name']) == (401, 'unauthorized')


async def test_key_without_configuration_claims_nothing(
    caller: _Caller, store_server: StoreServer
) -> None:
    """A claim without the tenant would let the request run twice."""
    caller.harness.front.current_table = lambda: None
    status, fields = await caller.post(
        '/submit/a', {**_SUBMIT_HEADERS, 'Authorization': 'Bearer key-n'}
    )
    assert (status, fields['name']) == (503, 'no_configuration')
    assert not store_server.store.calls


@pytest.mark.parametrize(
    ('path', 'body', 'headers', 'code'),
    [
        ('/search/s', b'{}', {}, ResultCode.bad_deadline),
        ('/search/s', b'{', {'X-Deadline-Ms': '9'}, ResultCode.bad_request),
        (
            '/search/odd',
            b'{}',
            {'X-Deadline-Ms': '9'},
            ResultCode.unknown_service,
        ),
        (
            '/submit/a',
            b'{}',
            {'X-Deadline-Ms': '9'},
            ResultCode.missing_idempotency_key,
        ),
        ('/search/s', b'{}', {'X-Deadline-Ms': 'x'}, ResultCode.bad_deadline),
    ],
)
async def test_invalid_requests_are_refused(
    caller: _Caller,
    path: str,
    body: bytes,
    headers: dict[str, str],
    code: ResultCode,
) -> None:
    """Invalid requests must be refused with a specific code and as not run."""
    status, fields = await caller.post(path, headers, body)
    assert status == code.meaning.http_status
    assert fields['code'] == code.value
    assert fields['run'] == 'not run'
    assert caller.harness.run_count('a') == 0
