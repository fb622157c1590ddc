"""Test the platform adapter: settings, configuration, store and headers."""

import itertools
import random
import time
import tracemalloc
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import attrs
import pytest
from returns.result import Failure, Success

from dragonflyramp.callers import MergedAnswer, Refusal, RouteVersion
from dragonflyramp.members import (
    DAEMONS_KIND,
    Cluster,
    Daemon,
    Membership,
    Registrar,
)
from dragonflyramp.messages import Load, Reply
from dragonflyramp.platform import (
    PlatformObjectStore,
    ReplicaCodec,
    StoreClient,
    StoreDecoder,
    decode_settings,
)
from dragonflyramp.platform import _headers as http_headers
from dragonflyramp.platform._answers_http import encode_answer
from dragonflyramp.platform._body_memory import BodyMemory
from dragonflyramp.results import ResultCode
from dragonflyramp.routes import GatherSettings
from dragonflyramp.stored_objects import LeftOutReason, find_left_out_reason
from dragonflyramp.stores import ABSENT_VERSION
from dragonflyramp.views import View
from tests.front_harnesses import (
    make_proof,
    make_relayed,
    make_request,
    make_route,
)
from tests.standins.stores import Store, StoreFaults, StoreServer

_SETTINGS = """
node: "front-recife-1"
zone: "recife"
region: "nordeste"
unknown: {a: 1}
listen:
  frontend: "10.1.0.39:8226"
  readiness: "10.1.0.39:8227"
  control: "10.1.0.39:8224"
seeds: ["10.1.0.39:8224"]
bounds: {grace_s: 6, retry_budget_slack: 54}
platform: {address: "10.200.1.7:8229"}
"""
_CONFIG: Mapping[str, Any] = MappingProxyType(
    {
        'version': 7,
        'routes': [
            {
                'name': 'r1',
                'host': 'search.example',
                'path_prefix': '/search/',
                'kind': 'idempotent',
                'timeout_ms': 300,
                'target_latency_ms': 68,
                'priority': 2,
                'gather': ['a', 'b'],
                'max_attempts': 2,
                'top_k': 5,
                'min_shard_share': 0.75,
            },
            {
                'name': 'r2',
                'host': 'search.example',
                'path_prefix': '/search/orders/',
                'kind': 'non_idempotent',
                'timeout_ms': 3000,
                'target_latency_ms': 542,
                'priority': 2,
                'traffic_split': [
                    {'service': 'a', 'weight': 3},
                    {'service': 'c', 'weight': 1},
                ],
                'max_attempts': 2,
            },
        ],
        'services': [
            {'name': 'a', 'max_conns': 31, 'warmup_s': 3.0, 'warmup_per_s': 0}
        ],
        'limits': {'max_body_bytes': 262144},
    }
)
_ENTRY: Mapping[str, Any] = MappingProxyType(
    {
        'service': 'lookup',
        'address': '10.128.0.9:8080',
        'zone': 'recife',
        'version': 'v1',
        'slots': 3,
        'state': 'ready',
        'warmup_left_ms': 1200,
        'sequence': 4,
        'born': 17,
    }
)


def test_settings_file_is_decoded() -> None:
    """Unknown fields must be ignored, and errors must name missing ones."""
    settings = decode_settings(_SETTINGS).unwrap()
    assert settings.member_address == '10.1.0.39:8224'
    assert settings.retry_bounds.slack == 54
    assert settings.retry_bounds.ratio == pytest.approx(0.2)
    assert 'listen' in decode_settings('node: x\nzone: y').failure()
    assert 'YAML' in decode_settings('{').failure()


def _stored_object(spec: Any, name: str = 'main') -> dict[str, Any]:
    return {'meta': {'name': name, 'rev': 3}, 'spec': spec}


def test_configuration_is_decoded() -> None:
    """The longest prefix must be used, and a split must keep its weights."""
    table = StoreDecoder().decode_table({'main': _stored_object(dict(_CONFIG))})
    assert table is not None
    search_route = table.find_by_path('search.example', '/search/x')
    assert search_route is not None
    assert search_route.gather == GatherSettings(('a', 'b'), 5, 0.75)
    write_route = table.find_by_path('search.example', '/search/orders/x')
    assert write_route is not None
    assert [part.weight for part in write_route.split] == [3, 1]


@pytest.mark.parametrize(
    ('host', 'path'),
    [('search.example', '/other/'), ('other.example', '/search/x')],
)
def test_unmatched_request_has_no_route(host: str, path: str) -> None:
    """A request that no route matches must not be forwarded."""
    table = StoreDecoder().decode_table({'main': _stored_object(dict(_CONFIG))})
    assert table is not None
    assert table.find_by_path(host, path) is None


@pytest.mark.parametrize(
    'spec',
    [None, [], {}, {**_CONFIG, 'version': 'x'}, {**_CONFIG, 'routes': 1}],
)
def test_malformed_configuration_is_rejected(spec: Any) -> None:
    """A malformed configuration must be rejected without an exception.

    An exception would stop the daemon.
    """
    assert StoreDecoder().decode_table({'main': _stored_object(spec)}) is None


def test_replica_entry_is_decoded() -> None:
    """An entry must keep its id, failure domain and start time."""
    entry = StoreDecoder().decode_entry(_stored_object(dict(_ENTRY), 'i-1'))
    assert entry is not None
    assert entry.replica_id == 'i-1'
    assert entry.failure_domain == 'recife'
    assert entry.start_time_ms == 17


@pytest.mark.parametrize(
    ('key', 'malformed'),
    [
        ('service', 5),
        ('service', None),
        ('address', 'nowhere'),
        ('address', ':80'),
        ('zone', []),
        ('state', 'odd'),
        ('slots', 'many'),
        ('warmup_left_ms', {}),
        ('born', 1.5),
    ],
)
def test_malformed_entry_is_rejected(key: str, malformed: object) -> None:
    """A malformed entry from another writer must be rejected, not raise."""
    decoder = StoreDecoder()
    assert (
        decoder.decode_entry(_stored_object({**_ENTRY, key: malformed}, 'i-1'))
        is None
    )
    assert decoder.decode_entry(_stored_object('bytes', 'i-1')) is None
    assert decoder.decode_entry({'meta': 5}) is None


def test_request_is_encoded_with_added_headers() -> None:
    """The caller's headers must be kept, and the deadline and id added."""
    encoded = (
        ReplicaCodec().encode(make_request(method='GET'), 'i-1', 250).decode()
    )
    assert encoded.startswith('GET /route/x HTTP/1.1\r\nHost: h\r\n')
    assert '\r\nDeadline-Ms: 250\r\nExpect-Instance: i-1\r\n\r\n' in encoded


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    """Headers of the caller's connection must not reach the replica."""
    headers = (
        ('Connection', 'close, X-Hop'),
        ('X-Hop', '1'),
        ('Deadline-Ms', '5'),
        ('Content-Length', '3'),
        ('X-Kept', '1'),
        ('x-kept', '2'),
    )
    assert tuple(http_headers.end_to_end_headers(headers)) == headers[4:]


def test_reply_headers_are_decoded() -> None:
    """The headers that the backend client uses must be decoded."""
    headers = (
        ('server-stamp', 's'),
        ('Not-Executed', '1'),
        ('Server-Load', '3,0,8'),
        ('Keep-Alive', 'timeout=7'),
    )
    reply = ReplicaCodec().decode(503, headers, b'')
    assert reply.is_not_run
    assert reply.load == Load(3, 0, 8)
    assert reply.keep_alive_seconds == 7
    assert ReplicaCodec().decode(421, (), b'').is_misdirected


def test_absurd_load_is_ignored() -> None:
    """A number of thousands of digits must not end the connection."""
    digits = '9' * 5000
    assert http_headers.parse_load(f'{digits},0,8') is None


@pytest.mark.parametrize(
    ('refusal', 'status'),
    [
        (Refusal(code=ResultCode.no_replica), 503),
        (Refusal(code=ResultCode.unknown_service), 404),
        (Refusal(code=ResultCode.backend_error, may_have_run=True), 502),
        (Refusal(code=ResultCode.deadline_exceeded, may_have_run=True), 504),
        (Refusal(code=ResultCode.shed, may_have_run=True), 502),
    ],
)
def test_503_only_when_not_run(refusal: Refusal, status: int) -> None:
    """A request that may have run must not be answered with status 503.

    503 promises that the request has not run and never will.
    """
    assert encode_answer(refusal, make_request()).status == status


def test_answers_are_encoded() -> None:
    """Each kind of answer must have its headers, status and body.

    A relayed reply stays unaltered, apart from headers of the connection. A
    merged answer lists its parts, and a refusal may state a retry delay.
    """
    headers = (('Server-Stamp', 's'), ('Connection', 'close'))
    reply = Reply(status=201, headers=headers, body=b'abc', stamp='s')
    request = make_request()
    relayed_response = encode_answer(make_relayed(reply, request), request)
    assert (relayed_response.status, relayed_response.body) == (201, b'abc')
    assert dict(relayed_response.headers) == {'Server-Stamp': 's'}
    gather = GatherSettings(shards=('a', 'b', 'c'), top_count=1, min_share=0.6)
    parts = tuple(
        make_proof(attrs.evolve(reply, stamp=stamp), request, service)
        for stamp, service in (('s', 'a'), ('t', 'b'))
    )
    merged_response = encode_answer(
        MergedAnswer(
            parts=parts,
            routed=RouteVersion(route=make_route(gather=gather), version=1),
            body=b'x',
        ),
        request,
    )
    assert merged_response.headers['Part-Stamps'] == 's, t'
    assert merged_response.headers['Missing-Parts'] == '1'
    refusal_response = encode_answer(
        Refusal(code=ResultCode.shed, retry_after_seconds=0.1), request
    )
    assert refusal_response.headers['Retry-After'] == '0.1'


async def test_listing_reads_all_pages(
    store_server: StoreServer, store_client: StoreClient
) -> None:
    """A listing must not stop after the first page.

    A deployment has more replicas than fit on a page.
    """
    for index in range(1200):
        name = str(index).zfill(4)
        store_server.store.put('servers', name, {})
    listing = (await store_client.list_objects('servers')).unwrap()
    assert len(listing.objects_by_name) == 1200
    assert listing.revision == store_server.store.revision


_NAMES = tuple(f'i{index}' for index in range(7))


def _change_object(store: Store, rng: random.Random) -> None:
    """Create, change or remove one object."""
    name = rng.choice(_NAMES)
    kind = rng.choice(('servers', 'servers', 'another'))
    is_known = name in store.objects_by_kind.get(kind, {})
    if is_known and rng.choice((True, False)):
        store.remove(kind, name)
    else:
        store.put(kind, name, {'address': rng.randrange(9)})


@pytest.mark.parametrize('allow_stale', [True, False])
@pytest.mark.parametrize('seed', range(40))
async def test_listing_is_state_at_its_revision(
    store_server: StoreServer,
    store_client: StoreClient,
    seed: int,
    allow_stale: bool,
) -> None:
    """A listing must not combine pages of different ages.

    A replica on an older page would stay unknown, or in use after its end.
    """
    rng = random.Random(seed)
    store = store_server.store
    for _ in range(30):
        _change_object(store, rng)
    store.page_size = rng.randint(1, 4)
    store.on_page = lambda: _change_object(store, rng)
    ages = rng.choices((0, 0, 3, 12, 25), k=20)
    store.faults.stale_revisions = tuple(store.revision - age for age in ages)
    listing = (
        await store_client.list_objects('servers', allow_stale=allow_stale)
    ).unwrap()
    assert listing.objects_by_name == store.objects_at(
        'servers', listing.revision
    )


async def test_pages_of_one_revision_need_no_watch(
    store_server: StoreServer, store_client: StoreClient
) -> None:
    """A listing at start must not cost a current call without need.

    A stale page costs a tenth of it.
    """
    store = store_server.store
    for name in _NAMES:
        store.put('servers', name, {})
    store.page_size = 2
    await store_client.list_objects('servers', allow_stale=True)
    assert all('allow_stale' in call for call in store.calls)
    store.faults.stale_revisions = (store.revision - 1,)
    await store_client.list_objects('servers', allow_stale=True)
    assert sum('allow_stale' not in call for call in store.calls) == 1


async def test_unnamed_object_does_not_end_listing(
    store_server: StoreServer, store_client: StoreClient
) -> None:
    """An odd name at the end of a page must not hide the pages after it."""
    for name in ('a', 'b\u0007', 'c'):
        store_server.store.put('servers', name, {})
    store_server.store.page_size = 1
    listing = (await store_client.list_objects('servers')).unwrap()
    assert set(listing.objects_by_name) == {'a', 'c'}


async def test_large_parsed_reply_is_not_held(
    store_server: StoreServer, store_client: StoreClient
) -> None:
    """A reply of the store must not take many times its size once parsed.

    It must not hide the other objects either.
    """
    store_server.store.put('servers', 'a', '@lists')
    store_server.store.put('servers', 'b', {})
    lists = b''.join((b'[', b'[],' * 2_000_000, b'[]]'))
    store_server.store.raw_texts['@lists'] = lists
    tracemalloc.start()
    list_result = await store_client.list_objects('servers')
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    listed = list_result.unwrap().objects_by_name
    assert set(listed) == {'a', 'b'}
    assert find_left_out_reason(listed['a']) is LeftOutReason.too_large
    # The stand-in and the client each hold the text a few times.
    assert peak_bytes < 10 * len(lists)


async def test_long_watch_reply_is_followed(
    store_server: StoreServer, store_client: StoreClient
) -> None:
    """A front must not ask again and again for changes it cannot hold.

    The reply has 30 MB, and the last change of each object is in it.
    """
    store = store_server.store
    first_revision = store.revision
    for _ in range(50):
        store.put('servers', 'a', {'slots': list(range(100_000))})
    store.put('servers', 'b', {})
    changes_result = await store_client.watch('servers', first_revision, 0)
    changes = changes_result.unwrap()
    assert changes.revision == store.revision
    assert [change.name for change in changes.changes] == ['a', 'b']
    odd_object = changes.changes[0].fields
    assert find_left_out_reason(odd_object) is LeftOutReason.too_large


async def test_odd_entry_does_not_stop_registration(
    store_server: StoreServer, store_client: StoreClient
) -> None:
    """The entry of a daemon must be replaced if another writer spoiled it."""
    daemon = Daemon('d', '127.0.0.1:7000', 'z')
    odd_spec = {'numbers': list(itertools.repeat(0, 450_000))}
    store_server.store.put(DAEMONS_KIND, daemon.name, odd_spec)
    cluster = Cluster(Membership(daemon))
    view = View(DAEMONS_KIND)
    registrar = Registrar(
        store=store_client,
        cluster=cluster,
        view=view,
        clock=time.monotonic,
        rng=random.Random(1),
    )
    await registrar.reconcile()
    stored = store_server.store.objects_by_kind[DAEMONS_KIND][daemon.name]
    assert stored['spec'] == daemon.as_spec()


def test_bodies_of_callers_are_bounded_together() -> None:
    """Many large bodies must not exhaust the memory of a front."""
    memory = BodyMemory(max_bytes=100)
    assert memory.try_hold(1, 40)
    assert memory.try_hold(2, 50)
    assert not memory.try_hold(1, 60)
    memory.release(2)
    assert memory.try_hold(1, 100)
    memory.release(1)
    assert memory.held_bytes == 0


async def test_write_at_old_version_conflicts(
    store_client: StoreClient,
) -> None:
    """Two writers must not both replace the same version."""
    object_store = PlatformObjectStore(store_client)
    first_version = (
        await object_store.write('root', b'1', ABSENT_VERSION)
    ).unwrap()
    second_create = await object_store.write('root', b'2', ABSENT_VERSION)
    assert second_create == Failure(ResultCode.version_conflict)
    second_write = await object_store.write('root', b'2', first_version)
    stale_write = await object_store.write('root', b'3', first_version)
    assert stale_write == Failure(ResultCode.version_conflict)
    stored_object = (await object_store.read('root')).unwrap()
    assert Success(stored_object.version) == second_write
    assert stored_object.body == b'2'
    missing_read = await object_store.read('parts/x')
    assert missing_read == Failure(ResultCode.object_missing)


@pytest.mark.parametrize(
    ('faults', 'code'),
    [
        (StoreFaults(status=503), ResultCode.platform_down),
        (StoreFaults(status=429), ResultCode.platform_down),
        (StoreFaults(is_silent=True), ResultCode.platform_down),
        (StoreFaults(is_resetting=True), ResultCode.platform_down),
        (StoreFaults(lost_replies=1), ResultCode.platform_down),
    ],
)
async def test_store_failure_gives_result_code(
    store_server: StoreServer,
    store_client: StoreClient,
    faults: StoreFaults,
    code: ResultCode,
) -> None:
    """A failure of the store must neither raise nor repeat a write."""
    store_server.store.faults = faults
    assert await store_client.create('kind', 'name', {}) == Failure(code)
    assert len(store_server.store.calls) == 1
