"""Test that an odd object of another writer costs only this object."""

import asyncio
import json
import pathlib
from http import HTTPStatus
from typing import Any

import aiohttp
import pytest

from dragonflyramp.members import Cluster, Daemon, Membership
from dragonflyramp.members._links_grpc import _decode_message
from dragonflyramp.members._sync_messages import decode_request, decode_response
from dragonflyramp.platform import StoreDecoder
from dragonflyramp.stored_objects import (
    LeftOutReason,
    find_left_out_reason,
    measure_bytes,
)
from dragonflyramp.views import Listing, View
from tests.deployments import (
    FrontProcess,
    make_configuration,
    run_deployment,
    send_request,
)
from tests.object_readers import ENTRY_SPEC, read_events, read_page

_DEEP = b''.join((b'[' * 100000, b']' * 100000))
#: Deep enough for the decoder, too deep for the encoder of a longer message.
_NEARLY_TOO_DEEP = b''.join((b'[' * 900, b']' * 900))
_LONG_NUMBER = b'9' * 6000
_RAW_VALUES = (
    _DEEP,
    _NEARLY_TOO_DEEP,
    _LONG_NUMBER,
    b'"\xff\xfe"',
    rb'"bad escape \x"',
    b'"line\nbreak"',
    b'1e999',
    b'NaN',
    b''.join((b'"', b'x' * 20000, b'"')),
)


def _listing(raw_value: bytes, key: str = 'version') -> bytes:
    """Return a page whose second entry has an odd value."""
    listed = [
        {'meta': {'name': name}, 'spec': {**ENTRY_SPEC, **changes}}
        for name, changes in (('i-1', {}), ('i-2', {key: '@odd'}), ('i-3', {}))
    ]
    page = {'items': listed, 'has_more': False, 'at_rev': 7}
    return json.dumps(page).encode().replace(b'"@odd"', raw_value)


@pytest.mark.parametrize('raw_value', _RAW_VALUES)
def test_odd_entry_costs_one_entry(raw_value: bytes) -> None:
    """The other entries of the page must stay, and the revision too."""
    page = read_page('servers', [_listing(raw_value, 'slots')])
    assert page.fields == {'at_rev': 7, 'has_more': False}
    assert list(page.objects_by_name) == ['i-1', 'i-2', 'i-3']
    entries = [
        fields and StoreDecoder().decode_entry(fields)
        for fields in page.objects_by_name.values()
    ]
    assert [entry is None for entry in entries] == [False, True, False]


@pytest.mark.parametrize('raw_value', [_DEEP, _LONG_NUMBER, b'"\xff"'])
def test_odd_event_keeps_its_name(raw_value: bytes) -> None:
    """A replica whose entry becomes unreadable must not stay in use."""
    stored = {'meta': {'name': 'i-2'}, 'spec': '@odd'}
    event = {'tombstone': False, 'object': stored}
    reply = json.dumps({'events': [event], 'at_rev': 8}).encode()
    batch = read_events('servers', [reply.replace(b'"@odd"', raw_value)])
    assert batch.fields == {'at_rev': 8}
    odd_object = batch.objects_by_name['i-2']
    assert odd_object is not None
    assert StoreDecoder().decode_entry(odd_object) is None


@pytest.mark.parametrize('body', [b'', b'[', b'{"a', b'"a"', b'[1]', b'\xff'])
def test_reply_that_is_no_object_is_rejected(body: bytes) -> None:
    """A reply that is not JSON must be a failed call, not an empty list."""
    assert read_page('servers', [body]).fields is None


@pytest.mark.parametrize(
    ('key', 'odd'),
    [
        ('address', '127.0.0.1:99999'),
        ('address', '127.0.0.1:0'),
        ('address', '127.0.0.1:²'),
        ('address', '127.0.0.1:0000080'),
        ('address', 'replica.example:80'),
        ('slots', 10**300),
        ('slots', True),
        ('warmup_left_ms', 10**400),
        ('warmup_left_ms', float('inf')),
        ('warmup_left_ms', float('nan')),
        ('warmup_left_ms', -1),
        ('born', 10**400),
        ('service', '\ud800'),
        ('zone', 'a\r\nb'),
    ],
)
def test_out_of_range_entry_is_rejected(key: str, odd: object) -> None:
    """A value out of range must not end a daemon when it is used."""
    stored = {'meta': {'name': 'i-1'}, 'spec': {**ENTRY_SPEC, key: odd}}
    assert StoreDecoder().decode_entry(stored) is None


@pytest.mark.parametrize('name', ['i\r\nX: y', '\ud800', 'é', ''])
def test_id_that_is_no_header_value_is_rejected(name: str) -> None:
    """The id of a replica is sent in a header of each request."""
    stored = {'meta': {'name': name}, 'spec': dict(ENTRY_SPEC)}
    assert StoreDecoder().decode_entry(stored) is None


@pytest.mark.parametrize(
    'changes',
    [
        {'limits': {'max_body_bytes': 10**400}},
        {'services': [{'name': 'a', 'max_conns': 10**400}]},
        {'services': [{'name': 'a', 'warmup_per_s': float('nan')}]},
    ],
)
def test_out_of_range_configuration_is_rejected(
    changes: dict[str, Any],
) -> None:
    """An absurd number must leave the last configuration in force."""
    spec = {**make_configuration(1), **changes}
    assert StoreDecoder().decode_table({'main': {'spec': spec}}) is None


def test_depth_and_size_are_limited() -> None:
    """Daemons must be able to encode each object that they keep."""
    nested: Any = 0
    for _ in range(40):
        nested = {'a': [nested]}
    assert measure_bytes(nested, 100_000) is None
    assert measure_bytes({'a': 'x' * 2000}, 2000) is None
    assert measure_bytes({'a': list(range(2000))}, 2000) is None
    assert measure_bytes({'meta': {}, 'spec': dict(ENTRY_SPEC)}, 2000)


def _response(update: dict[str, Any], raw_value: bytes) -> bytes:
    position = {'kind': 'servers', 'revision': 1, 'age': 0, 'outage_age': 0}
    response = {
        'sender': ['d', '127.0.0.1:1', 'z'],
        'store_lost': False,
        'tallies': {},
        'told': [{**position, **update}],
    }
    return json.dumps(response).encode().replace(b'"@odd"', raw_value)


@pytest.mark.parametrize('raw_value', [_DEEP, _LONG_NUMBER])
def test_odd_message_of_daemon_is_rejected(raw_value: bytes) -> None:
    """A daemon of another version must not end the links of this one."""
    body = _response({'changes': [['i-1', '@odd']]}, raw_value)
    assert _decode_message(body, decode_response) is None
    assert _decode_message(body, decode_request) is None


@pytest.mark.parametrize(
    'update',
    [
        {'changes': [['i-1', '@odd'], ['i-2', {'spec': 1}], ['i-3', None]]},
        {'all': {'i-1': '@odd', 'i-2': {'spec': 1}}},
    ],
)
def test_odd_object_of_daemon_costs_one_object(update: dict[str, Any]) -> None:
    """One that is too deep must be left out, and not end the link.

    The daemon could not respond to others with it.
    """
    body = _response(update, _NEARLY_TOO_DEEP)
    response = _decode_message(body, decode_response)
    assert response is not None
    view = View('servers')
    changes = response.updates[0].changes
    if isinstance(changes, Listing):
        view.replace(changes, 0)
    elif changes is not None:
        view.apply(changes, 0)
    assert view.objects_by_name['i-2'] == {'spec': 1}
    odd_object = view.objects_by_name['i-1']
    assert find_left_out_reason(odd_object) is LeftOutReason.too_large
    json.dumps(odd_object)


@pytest.mark.parametrize(
    'spec',
    [
        {'address': '127.0.0.1:99999', 'failure_domain': 'z'},
        {'address': ['127.0.0.1:1'], 'failure_domain': 'z'},
        {'address': '127.0.0.1:1', 'failure_domain': '\ud800'},
    ],
)
def test_odd_entry_of_daemon_is_skipped(spec: dict[str, Any]) -> None:
    """An odd entry among those of daemons must not change the hubs."""
    cluster = Cluster(Membership(Daemon('own', '127.0.0.1:1', 'z')))
    cluster.membership.update_registered({'odd': {'spec': spec}})
    assert cluster.daemon_count() == 1


async def test_front_follows_list_with_odd_entries(
    tmp_path: pathlib.Path,
) -> None:
    """A front must run, start and follow changes beside odd entries."""
    async with run_deployment(tmp_path, front_count=2) as deployment:
        store = deployment.store_server.store
        for number, raw_value in enumerate(_RAW_VALUES):
            store.raw_texts[f'@odd{number}'] = raw_value
            spec = {**ENTRY_SPEC, 'slots': f'@odd{number}'}
            store.put('servers', f'odd-{number}', spec)
        store.put(
            'servers', 'odd-port', {**ENTRY_SPEC, 'address': '127.0.0.1:0'}
        )
        new_front = await deployment.start_front('front-new')
        await new_front.wait_ready()
        routes = make_configuration(1)['routes'][1:]
        store.put('config', 'main', make_configuration(2, routes=routes))
        async with aiohttp.ClientSession() as session:
            for front in deployment.fronts:
                await _wait_until_unrouted(session, front, '/search/x')
                answer = await send_request(session, front, '/lookup/x', 'q')
                assert answer.status == 200


async def _wait_until_unrouted(
    session: aiohttp.ClientSession, front: FrontProcess, path: str
) -> None:
    """Wait until a front has applied a version without the route."""
    async with asyncio.timeout(20):
        answer = await send_request(session, front, path, 'q')
        while answer.status != HTTPStatus.NOT_FOUND:
            answer = await send_request(session, front, path, 'q')
