"""Test that large objects of other writers cost only themselves."""

import asyncio
import itertools
import json
import pathlib
import tracemalloc
from collections.abc import Iterator
from http import HTTPStatus

import aiohttp
import pytest

from dragonflyramp.members import (
    Cluster,
    Daemon,
    Membership,
    ViewSynchronizer,
)
from dragonflyramp.members._links_grpc import (
    _decode_message,
    serialize_response,
)
from dragonflyramp.members._sync_messages import decode_response
from dragonflyramp.members._view_updates import UpdateEncoder
from dragonflyramp.slow_replicas import SlowReplicaDetector
from dragonflyramp.stored_objects import Fields, HeldObjects
from dragonflyramp.views import Change, ChangeBatch, Listing, Position, View
from tests.deployments import (
    Deployment,
    make_configuration,
    run_deployment,
    send_request,
)
from tests.object_readers import ENTRY_SPEC, read_events, read_page

_PIECE_BYTES = 10_000
_ZEROS = b','.join(itertools.repeat(b'0', 450_000))
#: Values of about `value_bytes` each.
_LARGE_VALUES = (
    b'[%s]' % _ZEROS,
    b'[%s]' % b','.join(itertools.repeat(b'[]', 300_000)),
    b'[%s]' % b','.join(itertools.repeat(b'{"a":[]}', 110_000)),
    b'{%s}' % b','.join(b'"k%d":{}' % number for number in range(80_000)),
    b'"%s"' % (b'x' * 1_000_000),
    b'"%s"' % (rb'\"' * 500_000),
    b'{"meta":{"name":"i-1"},"spec":[%s]}' % _ZEROS,
)


def _pieces(text: bytes) -> Iterator[bytes]:
    return (
        text[start : start + _PIECE_BYTES]
        for start in range(0, len(text), _PIECE_BYTES)
    )


def _object(name: str, spec: bytes, after_spec: bytes = b'null') -> bytes:
    """Encode an object whose name comes last."""
    return b'{"spec":%s,"status":%s,"meta":{"name":"%s","rev":5}}' % (
        spec,
        after_spec,
        name.encode(),
    )


def _sound(name: str) -> bytes:
    return _object(name, json.dumps(dict(ENTRY_SPEC)).encode())


@pytest.mark.parametrize('kind', ['servers', 'config', 'evacuations', 'others'])
@pytest.mark.parametrize('large_value', _LARGE_VALUES)
def test_large_object_costs_one_object(kind: str, large_value: bytes) -> None:
    """Whatever an object holds, the others must be read, under their names."""
    listed = (
        _sound('i-1'),
        _object('odd-1', large_value),
        _object('odd-2', b'{"slots":%s}' % large_value),
        _object('odd-3', json.dumps(dict(ENTRY_SPEC)).encode(), large_value),
        _sound('i-3'),
    )
    body = b'{"items":[%s],"has_more":true,"at_rev":7}' % b','.join(listed)
    page = read_page(kind, _pieces(body))
    assert page.fields == {'has_more': True, 'at_rev': 7}
    names = ['i-1', 'odd-1', 'odd-2', 'odd-3', 'i-3']
    assert list(page.objects_by_name) == names
    first, *_, last = page.objects_by_name.values()
    assert first is not None
    assert last is not None
    expected = {**last, 'meta': {'name': 'i-1', 'rev': 5}}
    assert first == expected


@pytest.mark.parametrize('large_value', _LARGE_VALUES)
def test_removal_of_large_object_is_followed(large_value: bytes) -> None:
    """A failure domain must not stay on hold after a large hold is gone."""
    body = b'{"events":[%s],"at_rev":8}' % b','.join(
        b'{"object":%s,"tombstone":%s}' % (_object(name, large_value), flag)
        for name, flag in (('natal', b'true'), ('recife', b'false'))
    )
    held = read_events('evacuations', _pieces(body)).objects_by_name
    assert held['natal'] is None
    assert held['recife'] is not None


def test_long_page_and_events_take_little_memory() -> None:
    """Many objects whose sum is large must not fill the memory of a VM.

    The smallest VM has 200 MB. The texts have 6 MB, and would take more than
    100 MB once decoded.
    """
    lists = b'[%s]' % b','.join(itertools.repeat(b'[]', 10_000))
    odd = [
        _object(f'odd-{number}', b'{"slots":%s}' % lists)
        for number in range(200)
    ]
    listed = (*odd, _sound('z'))
    page = b'{"items":[%s],"has_more":false,"at_rev":7}' % b','.join(listed)
    events = b'{"events":[%s],"at_rev":8}' % b','.join(
        b'{"object":%s,"tombstone":false}' % stored for stored in listed
    )
    for read, body in ((read_page, page), (read_events, events)):
        tracemalloc.start()
        objects_by_name = read('servers', _pieces(body)).objects_by_name
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert len(objects_by_name) == len(listed)
        assert objects_by_name['z'] is not None
        assert peak_bytes < 30_000_000


def test_entries_of_a_large_fleet_are_kept() -> None:
    """A bound on memory must have room for the fleet that we plan for."""
    held = HeldObjects('servers')
    entry = {'meta': {'name': 'i', 'rev': 1}, 'spec': dict(ENTRY_SPEC)}
    for number in range(110_000):
        held.put(f'i-{number}', entry)
    assert len(held.by_name) == 110_000
    assert not held.is_incomplete


def test_largest_objects_are_left_out_first() -> None:
    """Large objects of another writer must not displace the entries."""
    entries = _make_objects('i', 50, 'ready')
    large = _make_objects('odd', 9, 'x' * 30_000)
    view = View('servers', max_bytes=200_000)
    view.replace(Listing(1, entries), 0)
    changes = tuple(Change(name, large[name]) for name in large)
    assert view.apply(ChangeBatch(2, changes), 1) == large.keys()
    present = view.objects_by_name.keys()
    assert entries.keys() <= present
    assert 0 < len(present & large.keys()) < len(large)


def test_left_out_objects_are_listed_again() -> None:
    """Once there is room, what was left out for want of it must come back."""
    large = _make_objects('odd', 9, 'x' * 30_000)
    view = View('servers', max_bytes=200_000)
    view.replace(Listing(1, large), 0)
    assert not view.needs_listing
    removals = tuple(Change(name, None) for name in large)
    view.apply(ChangeBatch(3, removals), 2)
    assert view.needs_listing
    view.replace(Listing(3, _make_objects('i', 60, 'ready')), 3)
    assert len(view.objects_by_name) == 60
    assert not view.needs_listing


@pytest.mark.parametrize('text', ['x' * 60_000, '\x01' * 60_000])
def test_too_large_changes_are_listed(text: str) -> None:
    """Objects that have no room in a message must not end the link of daemons.

    The other daemon must know that it lacks them.
    """
    hub = _make_synchronizer('hub')
    front = _make_synchronizer('front')
    view = hub.views['servers']
    listed = _make_objects('i', 200, text)
    view.replace(Listing(5, listed), 0)
    request = front.build_request(now_seconds=1)
    response = _decode_message(
        serialize_response(hub.build_response(request, 1), UpdateEncoder()),
        decode_response,
    )
    assert response is not None
    front.apply_response(response, 1)
    assert front.views['servers'].needs_listing
    assert not front.views['servers'].objects_by_name
    front.views['servers'].replace(Listing(5, listed), 2)
    assert not front.views['servers'].needs_listing
    small = ChangeBatch(6, (Change('i-0', {}),))
    view.apply(small, 3)
    assert view.changes_since(Position(0, 5), 1000) == small


def _make_objects(prefix: str, count: int, text: str) -> dict[str, Fields]:
    return {
        f'{prefix}-{number}': {**ENTRY_SPEC, 'state': text}
        for number in range(count)
    }


def _make_synchronizer(name: str) -> ViewSynchronizer:
    return ViewSynchronizer(
        Cluster(Membership(Daemon(name, '', 'z'))),
        {'servers': View('servers')},
        lambda kind, names: None,
        SlowReplicaDetector(),
    )


async def test_fronts_follow_list_with_large_entries(
    tmp_path: pathlib.Path,
) -> None:
    """Fronts must start, and follow each kind, beside large objects.

    No front became ready beside an entry of 450,000 numbers, and those that ran
    followed no change of the replicas.
    """
    async with run_deployment(tmp_path, front_count=2) as deployment:
        store = deployment.store_server.store
        for number, large_value in enumerate(_LARGE_VALUES):
            store.raw_texts[f'@large{number}'] = large_value
            spec = {**ENTRY_SPEC, 'slots': f'@large{number}'}
            for kind in ('servers', 'dragonflyramp-daemons'):
                store.put(kind, f'odd-{number}', spec)
        new_front = await deployment.start_front('front-new')
        await new_front.wait_ready()
        await _check_replicas_are_followed(deployment)
        routes = make_configuration(1)['routes'][1:]
        store.put('config', 'main', make_configuration(2, routes=routes))
        await _wait_until_unrouted(deployment, '/search/x')
        lines = [line for line in new_front.program.lines if 'odd-0' in line]
        assert len([line for line in lines if 'servers' in line]) == 1


async def _check_replicas_are_followed(deployment: Deployment) -> None:
    """Drain a replica; all fronts must send their requests to the other."""
    drained = deployment.replicas['lookup'][0]
    deployment.register(drained, 'recife', state='draining')
    async with aiohttp.ClientSession() as session, asyncio.timeout(20):
        for front in deployment.fronts:
            arrival_count = -1
            while arrival_count != len(drained.arrivals):
                arrival_count = len(drained.arrivals)
                for _ in range(20):
                    answer = await send_request(
                        session, front, '/lookup/x', 'q'
                    )
                    assert answer.status == HTTPStatus.OK


async def _wait_until_unrouted(deployment: Deployment, path: str) -> None:
    """Wait until all fronts have applied a version without the route."""
    async with aiohttp.ClientSession() as session, asyncio.timeout(20):
        for front in deployment.fronts:
            answer = await send_request(session, front, path, 'q')
            while answer.status != HTTPStatus.NOT_FOUND:
                answer = await send_request(session, front, path, 'q')
