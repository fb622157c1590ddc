"""Test the authentication of callers by the API keys of tenants."""

import asyncio
import io
import json
import logging
import pathlib
import re
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any

import aiohttp
import attrs
import pytest
from loguru import logger

from dragonflyramp.callers import Query
from dragonflyramp.callers._claims import KeyedRequest
from dragonflyramp.callers._request_contexts import RouteMatch, match_query
from dragonflyramp.fingerprints import compute_fingerprint
from dragonflyramp.logs import LibraryLogHandler, LineRateLimiter, LineSink
from dragonflyramp.members import (
    Cluster,
    Daemon,
    Membership,
    ViewSynchronizer,
    news_age_seconds,
)
from dragonflyramp.messages import Request
from dragonflyramp.platform import ReplicaCodec, parse_api_key
from dragonflyramp.platform._headers import without_tenant_headers
from dragonflyramp.platform._store_decoders import decode_routing_table
from dragonflyramp.results import ResultCode
from dragonflyramp.routes import RoutingTable
from dragonflyramp.slow_replicas import SlowReplicaDetector
from dragonflyramp.tenants import TrustAlways, TrustWhileInformed
from dragonflyramp.views import Change, ChangeBatch, Listing, View
from tests.deployments import (
    HOST,
    Deployment,
    FrontProcess,
    make_configuration,
    run_deployment,
)

_TENANTS: tuple[Mapping[str, Any], ...] = (
    {'name': 'north', 'api_keys': ['key-n1', 'key-n2'], 'priority': 1},
    {'name': 'south', 'api_keys': ['key-s']},
)
_ODD_NUMBERS: tuple[object, ...] = ('', '1', -1, False, [], float('nan'))
_SPOOFED: Mapping[str, str] = MappingProxyType(
    {'tenant': 'south', 'TENANT': 'south', 'Authorization': 'Bearer key-n1'}
)


def _decode(version: int = 2, **changes: Any) -> RoutingTable | None:
    return decode_routing_table(
        {'spec': make_configuration(version, **changes)}
    )


def _table(**changes: Any) -> RoutingTable:
    table = _decode(**{'tenants': list(_TENANTS), **changes})
    assert table is not None
    return table


def _request(**changes: Any) -> Request:
    fields = {
        'request_id': 'q',
        'method': 'GET',
        'path_and_query': '/lookup/x',
        'headers': (('Host', HOST),),
    }
    return Request(**{**fields, **changes})


def _query(api_key: str, path: str = '/lookup/x') -> Query:
    return Query(
        request=_request(headers=(('authorization', f'Bearer {api_key}'),)),
        host=HOST,
        path=path,
        deadline_ms=None,
        received_at_seconds=0,
        api_key=api_key,
    )


@pytest.mark.parametrize(
    ('texts', 'api_key'),
    [
        (('Bearer k',), 'k'),
        (('bEARER   k \t',), 'k'),
        (('Bearer k', 'Bearer k'), 'k'),
        (('Bearer k', 'Bearer l'), ''),
        (('Basic k', 'Bearer k'), ''),
        (('Basic k',), ''),
        (('k',), ''),
        (('Bearer',), ''),
        (('Bearer ',), ''),
        (('',), ''),
        ((), ''),
        (('Bearer k\xa0',), 'k\xa0'),
        (('Bearer k, Bearer l',), 'k, Bearer l'),
    ],
)
def test_key_is_read_from_one_header(
    texts: tuple[str, ...], api_key: str
) -> None:
    """Odd headers must not be read as a key that the caller did not send."""
    headers = tuple(('AUTHORIZATION', text) for text in texts)
    assert parse_api_key(headers) == api_key


@pytest.mark.parametrize(
    'tenants',
    [
        {},
        '',
        'key',
        0,
        False,
        [None],
        ['key'],
        [{}],
        [{'name': ''}],
        [{'name': ' n'}],
        [{'name': 'n\r\nX: 1'}],
        [{'name': 7}],
        [{'name': 'n'}, {'name': 'n'}],
        *(
            [{'name': 'n', 'api_keys': api_keys}]
            for api_keys in (
                'key',
                {'key': 1},
                0,
                [''],
                [' '],
                [7],
                ['k\u00e9'],
                ['k\n'],
            )
        ),
        [{'name': 'n', 'api_keys': ['k']}, {'name': 's', 'api_keys': ['k']}],
        *([{'name': 'n', 'priority': text}] for text in ('1', 1.5, True)),
        *(
            [{'name': 'n', field: number}]
            for field in ('rate_per_s', 'burst')
            for number in _ODD_NUMBERS
        ),
    ],
)
def test_malformed_tenants_make_no_table(tenants: object) -> None:
    """A mistake must not be read as other tenants or other keys."""
    assert _decode(tenants=tenants) is None


def test_tenants_are_decoded() -> None:
    """Missing fields have their defaults, and each key finds its tenant."""
    tenants = _table(
        tenants=[{'name': 'São Paulo', 'api_keys': [' k '], 'burst': None}]
    ).tenants
    assert tenants is not None
    tenant = tenants.find('k')
    assert tenant is not None
    assert (tenant.name, tenant.priority, tenant.burst) == (
        'São Paulo',
        None,
        0,
    )
    assert tenants.find('\udc80') is None
    assert _table(tenants=None).tenants is None


def _with_anonymous_lookup(field: Any) -> list[dict[str, Any]]:
    return [
        {**route, 'anonymous': field} if route['name'] == 'lookup' else route
        for route in make_configuration(2)['routes']
    ]


@pytest.mark.parametrize('field', ['', 'false', 0, 1, [], {}])
def test_odd_anonymous_field_is_malformed(field: object) -> None:
    """A mistake must not open a route; without tenants it has no effect."""
    routes = _with_anonymous_lookup(field)
    assert _decode(routes=routes, tenants=[]) is None
    table = _decode(routes=routes)
    assert table is not None
    assert not any(route.is_anonymous for route in table.routes)


@pytest.mark.parametrize(
    ('path', 'api_key', 'trusts_keys', 'expected'),
    [
        ('/search/x', 'key-s', True, 'south'),
        ('/search/x', 'key-x', True, ResultCode.unauthorized),
        ('/search/x', '', True, ResultCode.unauthorized),
        ('/search/x', '', False, ResultCode.unauthorized),
        ('/search/x', 'key-s', False, ResultCode.keys_unverified),
        ('/search/x', 'key-x', False, ResultCode.keys_unverified),
        ('/lookup/x', 'key-s', True, 'south'),
        ('/lookup/x', 'key-x', True, ''),
        ('/lookup/x', '', False, ''),
        ('/lookup/x', 'key-s', False, ResultCode.keys_unverified),
        ('/none', 'key-x', False, ResultCode.unknown_service),
    ],
)
def test_who_is_refused(
    path: str, api_key: str, trusts_keys: bool, expected: str | ResultCode
) -> None:
    """Each refusal must tell whether another key or another front helps."""
    table = _table(routes=_with_anonymous_lookup(field=True))
    query = _query(api_key, path)
    match = match_query(query, table, trusts_keys=trusts_keys)
    if isinstance(match, RouteMatch):
        assert match.tenant_name == expected
    else:
        assert match is expected
    assert (
        match_query(query, None, trusts_keys=trusts_keys)
        is ResultCode.no_configuration
    )
    without_tenants = attrs.evolve(table, tenants=None)
    unchecked = match_query(query, without_tenants, trusts_keys=trusts_keys)
    assert isinstance(unchecked, RouteMatch) is (path != '/none')


def test_keys_are_trusted_while_anything_responds() -> None:
    """A front must not refuse keys while it hears of changes, nor later not."""
    view = View('config')
    synchronizer = ViewSynchronizer(
        Cluster(Membership(Daemon('d', 'd:1', 'z'))),
        {'config': view, 'servers': View('servers')},
        lambda kind, names: None,
        SlowReplicaDetector(),
    )
    trust = TrustWhileInformed(
        max_age_seconds=5,
        news_age_seconds=lambda now_seconds: news_age_seconds(
            synchronizer, now_seconds
        ),
    )
    assert not trust.trusts_keys(0)
    view.replace(Listing(1, {}), 10)
    assert [trust.trusts_keys(15), trust.trusts_keys(15.1)] == [True, False]
    synchronizer.cluster.daemon_health.record_response(
        'e', 20, is_store_lost=True
    )
    assert [trust.trusts_keys(25), trust.trusts_keys(25.1)] == [True, False]
    view.apply(ChangeBatch(2, ()), 26)
    assert [trust.trusts_keys(31), trust.trusts_keys(31.1)] == [True, False]
    assert TrustAlways().trusts_keys(1e9)


def test_replica_gets_one_tenant_and_no_key() -> None:
    """No spelling or repetition may pass; without tenants all must pass."""
    headers = (
        ('Host', 'h'),
        ('TENANT', 'south'),
        ('Tenant', 'south'),
        ('aUTHORIZATION', 'Bearer key-n1'),
        ('X', '1'),
    )
    request = _request(
        headers=headers,
        headers_without_tenant=tuple(without_tenant_headers(headers)),
    )
    codec = ReplicaCodec()
    common = 'Deadline-Ms: 5\r\nExpect-Instance: r\r\n\r\n'
    caller_lines = ''.join(f'{name}: {text}\r\n' for name, text in headers)
    first_line = 'GET /lookup/x HTTP/1.1\r\n'
    assert (
        codec.encode(request, 'r', 5)
        == f'{first_line}{caller_lines}{common}'.encode()
    )
    for name, line in (
        ('north', 'Tenant: north\r\n'),
        ('São Paulo', 'Tenant: São Paulo\r\n'),
        ('', ''),
    ):
        assert (
            codec.encode(request, 'r', 5, name)
            == f'{first_line}Host: h\r\nX: 1\r\n{line}{common}'.encode()
        )


def test_requests_are_kept_apart_by_tenant() -> None:
    """What one tenant's requests do must not refuse or clear another's."""
    bodies = (b'x', b'x\0north', b'\0north\0x')
    names = ('', 'north', 'south')
    fingerprints = {
        compute_fingerprint(_request(body=body), name)
        for body in bodies
        for name in names
    }
    assert len(fingerprints) == len(bodies) * len(names)
    claim_names = {
        KeyedRequest(
            service=service, key=key, body=b'', tenant_name=name
        ).claim_name
        for service, key, name in (
            ('a', 'k', ''),
            ('a', 'k', 'n'),
            ('a', 'k', 's'),
            ('a', 'k1', 'n'),
            ('n1', ':ak', ''),
            ('a', 'k', 'n1:a'),
        )
    }
    assert len(claim_names) == 6


def test_no_representation_has_a_key() -> None:
    """A dump of variables or an error must not disclose keys."""
    keyed = {'main': {'spec': {'tenants': list(_TENANTS)}}}
    view = View('config')
    view.replace(Listing(4, keyed), 0)
    dumped = repr(
        (
            _query('key-n1'),
            _table(),
            view,
            Listing(4, keyed),
            ChangeBatch(4, (Change('main', keyed['main']),)),
        )
    )
    assert 'key-' not in dumped


@pytest.fixture(name='log')
def _log(tmp_path: pathlib.Path) -> Iterator[io.TextIOWrapper]:
    with (tmp_path / 'log').open('w+') as log:
        sink = LineSink(
            descriptor=log.fileno(),
            limiter=LineRateLimiter(lines_per_second=9),
            clock=lambda: 1.0,
        )
        handler_id = logger.add(sink.write, format='{message}', catch=False)
        yield log
        logger.remove(handler_id)


def test_no_log_line_has_a_key(log: io.TextIOWrapper) -> None:
    """The texts of exceptions and of libraries may quote what callers sent."""
    secret = 'Bearer key-n1 \u20ac'
    for attempt in ('encode', 'group'):
        try:
            secret.encode('latin-1')
        except UnicodeError as error:
            failure: Exception = error
            if attempt == 'group':
                failure = ExceptionGroup('two', [error])
            logger.opt(exception=failure).error('failed')
            library = logging.getLogger('aiohttp.server')
            record = library.makeRecord(
                library.name,
                logging.ERROR,
                '',
                0,
                'Error handling request',
                (),
                (ValueError, ValueError(secret), None),
            )
            LibraryLogHandler().emit(record)
    log.seek(0)
    lines = [json.loads(line) for line in log]
    assert [line.get('exception_type') for line in lines] == [
        *(None, 'ValueError'),
        *(None, 'ValueError'),
    ]
    assert "can't encode" in lines[0]['exception']
    assert 'key-' not in json.dumps(lines)


async def _send(deployment: Deployment, path: str, **headers: str) -> int:
    address = deployment.fronts[0].frontend_address
    fields = {'Host': HOST, 'Request-Id': 'q', 'Deadline-Ms': '9000', **headers}
    async with (
        aiohttp.ClientSession() as session,
        session.get(f'http://{address}{path}', headers=fields) as reply,
    ):
        await reply.read()
        return reply.status


async def _wait_for_status(
    deployment: Deployment, path: str, status: int, **headers: str
) -> None:
    async with asyncio.timeout(30):
        while await _send(deployment, path, **headers) != status:
            await asyncio.sleep(0.05)


def _heads(deployment: Deployment) -> list[dict[str, str]]:
    return [
        {name.lower(): text for name, text in head.items()}
        for server in deployment.all_servers()
        for head in server.heads
    ]


@pytest.mark.parametrize('path', ['/search/x', '/lookup/x'])
async def test_replicas_get_the_tenant_and_no_key(
    tmp_path: pathlib.Path, path: str
) -> None:
    """A caller must not choose its tenant, and its key must stay here.

    Replicas trust the header, and whoever reads their logs would get the key.
    """
    async with run_deployment(tmp_path) as deployment:
        store = deployment.store_server.store
        store.put('config', 'main', make_configuration(2, tenants=_TENANTS))
        await _wait_for_status(deployment, path, 401)
        for server in deployment.all_servers():
            server.heads.clear()
        assert await _send(deployment, path, **_SPOOFED) == 200
        heads = _heads(deployment)
        assert heads
        assert {head['tenant'] for head in heads} == {'north'}
        assert not any('authorization' in head for head in heads)
        log = '\n'.join(deployment.fronts[0].program.lines)
        assert 'key-n' not in log


async def _send_raw(front: FrontProcess, *lines: bytes) -> bytes:
    host, _, port = front.frontend_address.partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    head = (
        b'GET /lookup/x HTTP/1.1',
        f'Host: {HOST}'.encode(),
        b'Request-Id: q',
        b'Deadline-Ms: 9000',
        *lines,
        b'\r\n',
    )
    writer.write(b'\r\n'.join(head))
    async with asyncio.timeout(30):
        answer = await reader.read()
    writer.close()
    return answer


async def _read_metrics(front: FrontProcess) -> str:
    started = await front.program.wait_json('metrics')
    async with (
        aiohttp.ClientSession() as session,
        session.get(f'http://{started["metrics"]}/metrics') as reply,
    ):
        return await reply.text()


_KEY_LINE = b'Authorization: Bearer key-n1'


@pytest.mark.parametrize(
    ('status', 'lines'),
    [
        (200, (b'Connection: close, Tenant, Authorization', _KEY_LINE)),
        (200, (b'Connection: close', b'tenant: south', _KEY_LINE)),
        (400, (b'Tenant : south', _KEY_LINE)),
        (400, (_KEY_LINE, b' Tenant: south')),
        (400, (b'%b\x01' % _KEY_LINE,)),
        (431, (b'%b%b' % (_KEY_LINE, b'x' * 70_000),)),
        (401, (b'Connection: close', b'%b\xff' % _KEY_LINE)),
        (401, (b'Connection: close', b'X-Key: key-n1')),
    ],
)
async def test_odd_head_discloses_no_key(
    odd_front: Deployment, status: int, lines: tuple[bytes, ...]
) -> None:
    """No head may smuggle a tenant, or a key into a log, metric or answer."""
    front = odd_front.fronts[0]
    for server in odd_front.all_servers():
        server.heads.clear()
    answer = await _send_raw(front, *lines)
    assert int(answer.split()[1]) == status
    heads = _heads(odd_front)
    expected_tenants = ['north'] if status == 200 else []
    assert [head['tenant'] for head in heads] == expected_tenants
    assert not any('authorization' in head for head in heads)
    written = [
        answer.decode(),
        await _read_metrics(front),
        *front.program.lines,
    ]
    assert 'key-n1' not in '\n'.join(written)
    assert all(line.startswith('{') for line in front.program.lines)


@pytest.fixture(name='odd_front')
async def _odd_front(tmp_path: pathlib.Path) -> Any:
    async with run_deployment(tmp_path) as deployment:
        store = deployment.store_server.store
        store.put('config', 'main', make_configuration(2, tenants=_TENANTS))
        await _wait_for_status(deployment, '/lookup/x', 401)
        yield deployment


async def test_malformed_tenants_leave_the_last_ones(
    odd_front: Deployment,
) -> None:
    """The last version must stay in force, and no key get into the log."""
    store = odd_front.store_server.store
    twice = [
        {'name': 'a', 'api_keys': ['key-new']},
        {'name': 'b', 'api_keys': ['key-new', 'key-\n']},
    ]
    store.put('config', 'main', make_configuration(3, tenants=twice))
    front = odd_front.fronts[0]
    async with asyncio.timeout(30):
        while 'reason="config"' not in await _read_metrics(front):
            await asyncio.sleep(0.05)
    key_n = {'Authorization': 'Bearer key-n2'}
    assert await _send(odd_front, '/lookup/x', **key_n) == 200
    key_new = {'Authorization': 'Bearer key-new'}
    assert await _send(odd_front, '/lookup/x', **key_new) == 401
    metrics = await _read_metrics(front)
    counted = re.findall('unauthorized_requests_total{reason="(.*?)"', metrics)
    assert set(counted) == {'missing_key', 'unknown_key'}
    assert 'key-' not in '\n'.join((metrics, *front.program.lines))
