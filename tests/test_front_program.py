"""Test the front program: start, changes, outage, planned stop, bad input."""

import asyncio
import contextlib
import importlib
import pathlib
import signal
import types
from collections.abc import AsyncIterator

import aiohttp
import pytest

from dragonflyramp import operators
from dragonflyramp.tools import front as front_program
from tests.deployments import (
    HOST,
    RECORD_BYTES,
    SHARDS,
    Deployment,
    FrontAnswer,
    FrontProcess,
    make_configuration,
    run_deployment,
    send_request,
)
from tests.programs import Program
from tests.standins.replicas import ReplicaServer
from tests.standins.stores import StoreFaults
from tests.standins.waits import eventually

#: Far more than the limits on a head and the buffers of sockets.
_MAX_HEAD_BLOCKS = 4000
_PIECES_PER_BLOCK = 10000
_SLOW_ORDER_HEAD = (
    f'POST /slow/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: late\r\n'
    'Deadline-Ms: 30000\r\nContent-Length: 0\r\n\r\n'
)
#: `grace_s` in the settings of the fronts.
_GRACE_SECONDS = 6


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    """Open a caller's session, which reuses its connections."""
    async with aiohttp.ClientSession() as client_session:
        yield client_session


async def _search(
    session: aiohttp.ClientSession, deployment: Deployment, request_id: str
) -> FrontAnswer:
    return await send_request(
        session, deployment.fronts[0], '/search/x', request_id
    )


def test_sighup_during_start_is_ignored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A SIGHUP during the start must not end a front.

    With seed 39 of the soak test, it ended a front with signal 1.
    """
    handlers: list[object] = []
    stub_module = types.SimpleNamespace(
        run=lambda: handlers.append(signal.getsignal(signal.SIGHUP))
    )
    monkeypatch.setattr(importlib, 'import_module', lambda name: stub_module)
    previous_handler = signal.getsignal(signal.SIGHUP)
    front_program.main()
    signal.signal(signal.SIGHUP, previous_handler)
    assert handlers == [signal.SIG_IGN]


async def test_search_and_lookup_reach_their_replicas(
    tmp_path: pathlib.Path, session: aiohttp.ClientSession
) -> None:
    """A search must reach all shards, and a lookup one replica, unaltered."""
    async with run_deployment(tmp_path) as deployment:
        answer = await _search(session, deployment, 'q1')
        assert (answer.status, answer.headers['Missing-Parts']) == (200, '0')
        assert len(answer.headers['Part-Stamps'].split(', ')) == 3
        assert (
            answer.body
            == b'c' * RECORD_BYTES + b'b' * RECORD_BYTES + b'a' * RECORD_BYTES
        )
        front = deployment.fronts[0]
        lookup_answer = await send_request(
            session, front, '/lookup/x?y=%2F', 'q2'
        )
        assert lookup_answer.headers['Server-Stamp'].startswith('lookup-')
        heads = [
            head
            for server in deployment.replicas['lookup']
            for head in server.heads
        ]
        assert heads[0]['line'] == 'GET /lookup/x?y=%2F HTTP/1.1'


async def test_store_changes_take_effect(
    tmp_path: pathlib.Path, session: aiohttp.ClientSession
) -> None:
    """New routes, a hold and a drain must take effect within seconds."""
    async with run_deployment(tmp_path, front_count=2) as deployment:
        store = deployment.store_server.store
        held_replica, active_replica = deployment.replicas['lookup']
        for front in deployment.fronts:
            async with asyncio.timeout(20):
                while not await _receives_requests(
                    session, front, held_replica
                ):
                    await asyncio.sleep(0.05)
        store.put('evacuations', 'recife', {})
        draining_replica = deployment.replicas['shard-a'][0]
        deployment.register(draining_replica, 'natal', state='draining')
        routes = make_configuration(1)['routes'][1:]
        store.put('config', 'main', make_configuration(5, routes=routes))
        for front in deployment.fronts:
            async with asyncio.timeout(20):
                status = 200
                while status != 404:
                    answer = await send_request(
                        session, front, '/search/x', 'q'
                    )
                    status = answer.status
        for front in deployment.fronts:
            # Each kind of object has its own watch, so the hold may take effect
            # later than the routes.
            async with asyncio.timeout(20):
                while await _receives_requests(session, front, held_replica):
                    await asyncio.sleep(0.05)
        count_before = len(held_replica.run_ids)
        for front in deployment.fronts:
            for number in range(5):
                await send_request(session, front, '/lookup/x', f'q{number}')
        assert len(held_replica.run_ids) == count_before
        assert len(active_replica.run_ids) >= 10


async def _receives_requests(
    session: aiohttp.ClientSession, front: FrontProcess, server: ReplicaServer
) -> bool:
    """Send a few requests and return whether the replica ran one."""
    count_before = len(server.run_ids)
    for number in range(5):
        await send_request(session, front, '/lookup/x', f'r{number}')
    return len(server.run_ids) > count_before


async def test_planned_stop_completes_requests(
    tmp_path: pathlib.Path, session: aiohttp.ClientSession
) -> None:
    """A planned stop must not cut off requests on open connections."""
    async with run_deployment(tmp_path) as deployment:
        front = deployment.fronts[0]
        for servers in deployment.replicas.values():
            for server in servers:
                server.faults.work_seconds = 0.05
        statuses: list[int] = []
        front.program.send_signal(signal.SIGTERM)
        with contextlib.suppress(aiohttp.ClientConnectorError):
            for number in range(1000):
                answer = await send_request(
                    session, front, '/order/x', f'q{number}', method='POST'
                )
                statuses.append(answer.status)
        assert await front.program.wait() == 0
        assert statuses
        assert set(statuses) == {200}
        assert len(deployment.run_ids('lookup')) == len(statuses)


async def _send_hanging_order(
    session: aiohttp.ClientSession, deployment: Deployment
) -> asyncio.Task[FrontAnswer]:
    """Send a request that no replica answers, and wait until one runs it."""
    store = deployment.store_server.store
    routes = make_configuration(1)['routes']
    slow_route = {**routes[2], 'timeout_ms': 30000, 'path_prefix': '/slow/'}
    changed = make_configuration(2, routes=[*routes, slow_route])
    store.put('config', 'main', changed)
    front = deployment.fronts[0]
    status = 404
    while status == 404:
        answer = await send_request(
            session, front, '/slow/x', 'q0', method='POST'
        )
        status = answer.status
    for server in deployment.replicas['lookup']:
        server.faults.hung = 1
    task = asyncio.create_task(
        send_request(session, front, '/slow/x', 'long', method='POST')
    )
    await eventually(lambda: 'long' in deployment.run_ids('lookup'))
    return task


@pytest.mark.parametrize('frozen_seconds', [0, 4])
async def test_stop_answers_long_request(
    tmp_path: pathlib.Path,
    session: aiohttp.ClientSession,
    frozen_seconds: float,
) -> None:
    """A stop must end in the grace period, with an answer to each request.

    The platform kills the front afterwards. The grace period also passes while
    the front is frozen, and the signal is handled only later.
    """
    async with run_deployment(tmp_path) as deployment:
        front = deployment.fronts[0]
        task = await _send_hanging_order(session, deployment)
        loop = asyncio.get_running_loop()
        kill_timer = loop.call_later(
            _GRACE_SECONDS, front.program.send_signal, signal.SIGKILL
        )
        front.program.send_signal(signal.SIGTERM)
        front.program.send_signal(signal.SIGSTOP)
        await asyncio.sleep(frozen_seconds)
        front.program.send_signal(signal.SIGCONT)
        answer = await task
        assert answer.status == 502
        assert await front.program.wait() == 0
        kill_timer.cancel()


async def test_late_request_is_not_run_in_a_stop(
    tmp_path: pathlib.Path, session: aiohttp.ClientSession
) -> None:
    """A request that may outlast the grace period must not be passed on.

    It would be cut off at its end, and the caller could not tell whether it had
    run.
    """
    async with run_deployment(tmp_path) as deployment:
        front = deployment.fronts[0]
        hanging = await _send_hanging_order(session, deployment)
        host, port = front.frontend_address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        front.program.send_signal(signal.SIGTERM)
        await front.program.wait_json('drain_seconds')
        for server in deployment.replicas['lookup']:
            server.faults.hung = 9
        writer.write(_SLOW_ORDER_HEAD.encode())
        head = await asyncio.wait_for(reader.read(), 20)
        assert head.startswith(b'HTTP/1.1 503 ')
        assert 'late' not in deployment.run_ids('lookup')
        assert (await hanging).status == 502


async def test_repeated_stop_signals_are_ignored(
    tmp_path: pathlib.Path,
) -> None:
    """A second SIGTERM must not end a front with the number of the signal."""
    async with run_deployment(tmp_path) as deployment:
        program = deployment.fronts[0].program
        while program.process.returncode is None:
            program.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.01)
        assert program.process.returncode == 0


async def test_fronts_serve_during_store_outage(
    tmp_path: pathlib.Path, session: aiohttp.ClientSession
) -> None:
    """Fronts must serve during an outage of the store.

    A front that starts during the outage must synchronize with other fronts.
    """
    async with run_deployment(tmp_path) as deployment:
        deployment.store_server.store.faults = StoreFaults(status=503)
        deployment.store_server.store.wake_watches()
        answer = await _search(session, deployment, 'q1')
        assert answer.status == 200
        settings = (tmp_path / 'front-0.yaml').read_text()
        control_address = settings.partition('control: ')[2].split()[0]
        new_front = await deployment.start_front('front-new', [control_address])
        await new_front.wait_ready()
        answer = await send_request(session, new_front, '/search/x', 'q2')
        assert answer.status == 200


async def test_expired_entries_are_kept(
    tmp_path: pathlib.Path, session: aiohttp.ClientSession
) -> None:
    """Replicas whose entries expire in an outage must not be removed."""
    async with run_deployment(tmp_path) as deployment:
        store = deployment.store_server.store
        store.faults = StoreFaults(status=503)
        store.wake_watches()
        for service in SHARDS:
            for server in deployment.replicas[service]:
                store.remove('servers', server.replica_id)
        await asyncio.sleep(4)
        store.faults = StoreFaults()
        for number in range(20):
            answer = await _search(session, deployment, f'q{number}')
            assert answer.headers['Missing-Parts'] == '0'
            await asyncio.sleep(0.05)
        for service in SHARDS:
            for server in deployment.replicas[service]:
                deployment.register(server, 'recife')
        await asyncio.sleep(2.5)
        answer = await _search(session, deployment, 'after')
        assert answer.headers['Missing-Parts'] == '0'


async def test_invalid_reload_is_ignored(
    tmp_path: pathlib.Path, session: aiohttp.ClientSession
) -> None:
    """A settings file that becomes invalid must not stop a running front."""
    async with run_deployment(tmp_path) as deployment:
        path = tmp_path / 'front-0.yaml'
        path.write_text('{')
        deployment.fronts[0].program.send_signal(signal.SIGHUP)
        await deployment.fronts[0].program.wait_json('reason')
        assert (await _search(session, deployment, 'q1')).status == 200


@pytest.mark.parametrize(
    'raw_request',
    [
        b'GET\r\n\r\n',
        b'\x00\x01\x02\x03\r\n\r\n',
        b'GET /search/x HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n',
        b'POST /order/x HTTP/1.1\r\nHost: search.example\r\n'
        b'Request-Id: q\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
    ],
)
async def test_malformed_request_is_refused(
    tmp_path: pathlib.Path, session: aiohttp.ClientSession, raw_request: bytes
) -> None:
    """Malformed requests must not end the front or reach a replica."""
    async with run_deployment(tmp_path) as deployment:
        host, port = deployment.fronts[0].frontend_address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(raw_request)
        reply = await asyncio.wait_for(reader.read(100), 20)
        assert b' 400 ' in reply
        writer.close()
        assert not deployment.run_ids('lookup')
        assert (await _search(session, deployment, 'q1')).status == 200


@pytest.mark.parametrize(
    ('start', 'piece'),
    [(b'', b'X: y\r\n'), (b'X: ', b'y')],
)
async def test_endless_head_is_closed(
    tmp_path: pathlib.Path,
    session: aiohttp.ClientSession,
    start: bytes,
    piece: bytes,
) -> None:
    """A head of a caller that does not end must not fill the memory."""
    async with run_deployment(tmp_path) as deployment:
        host, port = deployment.fronts[0].frontend_address.split(':')
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'GET /search/x HTTP/1.1\r\n')
        writer.write(start)
        with pytest.raises(ConnectionError):
            for _ in range(_MAX_HEAD_BLOCKS):
                writer.write(piece * _PIECES_PER_BLOCK)
                await writer.drain()
        assert (await _search(session, deployment, 'q1')).status == 200


async def test_chunked_body_is_forwarded_whole(
    tmp_path: pathlib.Path, session: aiohttp.ClientSession
) -> None:
    """A chunked body must reach the replica whole, with a Content-Length."""

    async def chunks() -> AsyncIterator[bytes]:  # noqa: WPS430
        yield b'abc'
        yield b'def'

    async with run_deployment(tmp_path) as deployment:
        headers = {'Host': HOST, 'Request-Id': 'q', 'Deadline-Ms': '3000'}
        frontend = deployment.fronts[0].frontend_address
        url = f'http://{frontend}/order/x'
        async with session.post(url, headers=headers, data=chunks()) as reply:
            assert reply.status == 200
        heads = [
            head
            for server in deployment.replicas['lookup']
            for head in server.heads
        ]
        assert heads[0]['Content-Length'] == '6'
        assert 'Transfer-Encoding' not in heads[0]


@pytest.mark.parametrize('is_chunked', [False, True])
async def test_too_large_body_is_refused(
    tmp_path: pathlib.Path, session: aiohttp.ClientSession, is_chunked: bool
) -> None:
    """A body above the configured limit must be refused, and not be kept."""

    async def chunks() -> AsyncIterator[bytes]:  # noqa: WPS430
        for _ in range(20):
            yield b'x' * 1000

    async with run_deployment(tmp_path) as deployment:
        headers = {'Host': HOST, 'Request-Id': 'q', 'Deadline-Ms': '3000'}
        frontend = deployment.fronts[0].frontend_address
        url = f'http://{frontend}/order/x'
        body = chunks() if is_chunked else b'x' * 20000
        async with session.post(url, headers=headers, data=body) as reply:
            assert reply.status == 413
        assert not deployment.run_ids('lookup')


async def test_missing_settings_file_is_reported() -> None:
    """A front without a settings file must report it in one line."""
    program = await Program.start(
        'dragonflyramp.tools.front',
        environment={'DRAGONFLYRAMP_BOOT': '/nowhere'},
    )
    assert await program.wait() == 2
    assert len(program.lines) == 1
    assert '/nowhere cannot be read' in program.lines[0]


@pytest.mark.parametrize(
    ('path', 'service', 'fault', 'expected'),
    [
        ('/nowhere/x', '', '', 'unknown_service'),
        (
            '/order/x',
            'lookup',
            'reset_before_reply',
            'The connection to the backend server was reset',
        ),
        (
            '/search/x',
            'shard-b',
            'hung',
            'had not arrived when the answer was due',
        ),
    ],
)
async def test_logs_explain_failed_request(
    tmp_path: pathlib.Path,
    session: aiohttp.ClientSession,
    path: str,
    service: str,
    fault: str,
    expected: str,
) -> None:
    """The log lines of the fronts alone must show why a request failed."""
    async with run_deployment(tmp_path) as deployment:
        for server in deployment.replicas.get(service, ()):
            server.faults.plan(fault, 9)
        front = deployment.fronts[0]
        await send_request(session, front, path, 'q1', method='POST')
        lines = front.program.lines
        await eventually(lambda: any('"q1"' in line for line in lines))
        explanation = operators.explain_request(
            'q1', operators.parse_log('front', lines)
        )
        assert expected in '\n'.join(explanation)
        assert 'version 1 in force' in '\n'.join(explanation)
