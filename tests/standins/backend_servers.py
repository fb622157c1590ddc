"""Run one backend server of the stand-in on its own port."""

import asyncio
import hashlib
import random
import secrets
import select
import socket
import struct
import time
from http import HTTPStatus

import attrs
from aiohttp import web

from tests.standins.backend_loads import LoadModel
from tests.standins.backend_models import (
    Faults,
    Records,
    ServerSpec,
    SnapshotSpec,
)
from tests.standins.hooks import Hooks, reset

_MS = 1000
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class _Refusing(asyncio.Protocol):
    """Close a connection above the cap as soon as it is open."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close it."""
        transport.close()


class BackendServer:
    """Serve searches and submits, with faults that tests switch."""

    def __init__(self, spec: ServerSpec, hooks: Hooks | None = None) -> None:
        """Listen only after `start`."""
        self.spec = spec
        self._hooks = hooks or Hooks()
        self.address = spec.address
        self.faults = Faults()
        self.records = Records()
        self._snapshots = {snap.id: snap for snap in spec.snapshots}
        self.instance_id = self._next_instance_id()
        self.load = LoadModel(spec=spec, records=self.records, cold=spec.cold)
        self._rng = random.Random(spec.replica_id)
        self._used: set[object] = set()
        self._frozen: set[object] = set()
        self._listener: asyncio.Server | None = None
        self._restart: asyncio.Task[None] | None = None
        self._http = web.Server(
            self._serve, handler_cancellation=True, access_log=None
        )

    async def start(self) -> None:
        """Listen on the address; port 0 is replaced by the kernel's choice."""
        host, _, port = self.address.rpartition(':')
        self._listener = await asyncio.get_running_loop().create_server(
            self._connect, host, int(port), backlog=1024
        )
        chosen = self._listener.sockets[0].getsockname()[1]
        self.address = f'{host}:{chosen}'

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._restart is not None:
            self._restart.cancel()
        self.stop_listening()
        self.reset_connections()
        await self._http.shutdown(0)

    def stop_listening(self) -> None:
        """Refuse new connections; open ones stay open."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    async def start_listening(self) -> None:
        """Accept connections again on the same port."""
        if self._listener is None:
            await self.start()

    def freeze(self) -> None:
        """Let the connections that are open now go silent for ever."""
        self._frozen.update(self._http.connections)

    def reset_connections(self) -> None:
        """Reset every open connection."""
        for protocol in tuple(self._http.connections):
            transport = protocol.transport
            if transport is not None:
                sock = transport.get_extra_info('socket')
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
                transport.abort()

    def crash(self) -> None:
        """Reset all connections and come back later, new and cold."""
        self.records.crashes += 1
        self.stop_listening()
        self.reset_connections()
        self.begin_instance(cold=True)
        self._restart = asyncio.ensure_future(self._come_back())

    def begin_instance(self, *, cold: bool) -> None:
        """Run as a new instance from now on."""
        self.instance_id = self._next_instance_id()
        self.faults.draining = False
        self.load = LoadModel(spec=self.spec, records=self.records, cold=cold)

    def restart(self) -> None:
        """Reset all connections and run as a new, cold instance at once."""
        self.reset_connections()
        self.begin_instance(cold=True)

    def turn_cold(self) -> None:
        """Turn cold as the same instance."""
        self.load.turn_cold()

    def turn_warm(self) -> None:
        """Turn warm, as after a long time of gentle load."""
        self.load.turn_warm()

    def hold_snapshots(self, snapshots: tuple[SnapshotSpec, ...]) -> None:
        """Hold exactly these snapshots."""
        self._snapshots = {snap.id: snap for snap in snapshots}

    async def _come_back(self) -> None:
        await asyncio.sleep(self.faults.crash_ms / _MS)
        await self.start_listening()

    def _next_instance_id(self) -> str:
        replica_id = self.spec.replica_id
        return f'{replica_id}/{secrets.token_hex(4)}'

    def _connect(self) -> asyncio.Protocol:
        self._used.intersection_update(self._http.connections)
        self._frozen.intersection_update(self._http.connections)
        open_connections = sum(map(_is_open, self._http.connections))
        if open_connections >= self.spec.connections:
            return _Refusing()
        self.records.largest_connections = max(
            self.records.largest_connections, open_connections + 1
        )
        return self._http()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        protocol = request.protocol
        if protocol not in self._used:
            self._used.add(protocol)
            # The handshake crosses the network once more in each direction.
            await _sleep_ms(
                self.spec.connection_cost_ms + 2 * self.spec.latency_ms
            )
        await _sleep_ms(self.spec.latency_ms)
        reply = await self._answer(request)
        await _sleep_ms(self.spec.latency_ms)
        if protocol in self._frozen:
            await asyncio.Event().wait()
        return reply

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        if request.protocol in self._frozen:
            await asyncio.Event().wait()
        if request.path == '/status':
            return self._status()
        body = await request.read()
        self.records.received += 1
        self.records.last_received_seconds = time.monotonic()
        self.records.arrival_seconds.append(time.monotonic())
        if self.spec.collapse_mode == 'stall':
            await self._wait_until_borne()
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        load = self.load
        load.begin(time.monotonic())
        try:
            reply = await self._run(request, body)
        except asyncio.CancelledError:
            self.records.cancelled += 1
            load.end(clean=False, now_seconds=time.monotonic())
            raise
        clean = reply.status == HTTPStatus.OK
        load.end(clean=clean, now_seconds=time.monotonic())
        return reply

    async def _wait_until_borne(self) -> None:
        left = self.load.collapsed_until_seconds - time.monotonic()
        await asyncio.sleep(max(0, left))

    def _refusal(self, request: web.BaseRequest) -> web.Response | None:
        if self.faults.draining or self.faults.draining_replies:
            return self._refused('draining')
        collapsed = self.load.is_collapsed(time.monotonic())
        full = self.load.running >= self.spec.slots
        if self.faults.shed or collapsed or full:
            return self._refused('shed')
        wanted = request.headers.get('X-Snapshot-Id', '')
        if request.path == '/search' and wanted not in self._snapshots:
            headers = {**self._headers(), 'X-Reason': 'snapshot-unavailable'}
            return web.Response(status=HTTPStatus.NOT_FOUND, headers=headers)
        return None

    def _refused(self, reason: str) -> web.Response:
        self.records.shed += 1
        return web.Response(
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            headers={**self._headers(), 'X-Reason': reason},
        )

    async def _run(self, request: web.BaseRequest, body: bytes) -> web.Response:
        if self.load.is_collapsed(time.monotonic()):
            return self._refused('shed')
        key = request.headers.get('Idempotency-Key', '')
        hook = await self._hooks.run('arrived', key)
        if hook and hook.refuse:
            return self._refused('shed')
        if hook and hook.drop:
            reset(request)
            return web.Response()
        self._record_run(request)
        hook = await self._hooks.run('ran', key)
        if hook and hook.drop:
            reset(request)
        if self.faults.crash_text and self.faults.crash_text in body.decode():
            self.crash()
            await asyncio.Event().wait()
        deadline_ms = float(request.headers['X-Deadline-Ms'])
        self.records.largest_deadline_ms = max(
            self.records.largest_deadline_ms, deadline_ms
        )
        service_ms = self._service_ms()
        await _sleep_ms(min(service_ms, deadline_ms))
        if service_ms > deadline_ms:
            self.records.expired += 1
            return web.Response(status=HTTPStatus.GATEWAY_TIMEOUT)
        return self._finished(request, body)

    def _record_run(self, request: web.BaseRequest) -> None:
        records = self.records
        records.last_started_seconds = time.monotonic()
        records.request_ids.append(request.headers.get('X-Request-Id', ''))
        records.attempt_ids.append(request.headers.get('X-Attempt-Id', ''))
        if request.path == '/submit':
            records.submits += 1
            records.runs_by_key[request.headers['Idempotency-Key']] += 1
        else:
            records.searches += 1

    def _service_ms(self) -> float:
        service_ms = self.spec.service_ms
        service_ms *= 1 + self._rng.random() * self.spec.service_spread
        if self.load.cold:
            service_ms *= self.spec.cold_slowdown
        return service_ms + self.faults.straggle_ms

    def _finished(self, request: web.BaseRequest, body: bytes) -> web.Response:
        if self.faults.error:
            return web.Response(
                status=HTTPStatus.INTERNAL_SERVER_ERROR,
                headers=self._headers(),
            )
        malformed = self._malformed_reply()
        if malformed:
            return web.Response(body=malformed, headers=self._headers())
        if request.path == '/submit':
            answer = self._submit_answer(request)
        else:
            answer = self._search_answer(request, body)
        return web.json_response(answer, headers=self._headers())

    def _malformed_reply(self) -> bytes:
        if self.faults.garbage:
            return b'not JSON'
        if self.faults.reply_bytes:
            return b'"%b"' % (b'x' * self.faults.reply_bytes)
        return self.faults.reply_text.encode()

    def _submit_answer(self, request: web.BaseRequest) -> dict[str, object]:
        return {
            'key': request.headers['Idempotency-Key'],
            'replica': self.spec.replica_id,
        }

    def _search_answer(
        self, request: web.BaseRequest, body: bytes
    ) -> dict[str, object]:
        """Answer with hits that name their origin and echo the request."""
        snapshot = self._snapshots[request.headers['X-Snapshot-Id']]
        echo = hashlib.sha256(body).hexdigest()[:16]
        shard = self.spec.shard
        origin = {
            'snapshot': snapshot.id,
            'shard': shard,
            'documents': snapshot.documents,
            'echo': echo,
        }
        return {
            'snapshot': self.faults.wrong_snapshot or snapshot.id,
            'documents': snapshot.documents,
            'hits': [
                {'id': f'{shard}/{rank}', 'score': 1 / rank, **origin}
                for rank in (1, 2, 3)
            ],
        }

    def _status(self) -> web.Response:
        if self.faults.status_down:
            return web.Response(status=HTTPStatus.INTERNAL_SERVER_ERROR)
        return web.json_response(
            {
                'instance': self.instance_id,
                'load': self._current_load(),
                'draining': (
                    self.faults.draining or self.faults.draining_status
                ),
                'snapshots': [
                    attrs.asdict(snapshot)
                    for snapshot in self._snapshots.values()
                ],
            }
        )

    def _headers(self) -> dict[str, str]:
        return {
            'X-Instance-Id': self.instance_id,
            'X-Load': str(self._current_load()),
        }

    def _current_load(self) -> float:
        if self.faults.claimed_load is not None:
            return self.faults.claimed_load
        return self.load.running / self.spec.slots


async def _sleep_ms(delay_ms: float) -> None:
    if delay_ms > 0:
        await asyncio.sleep(delay_ms / _MS)


def _is_open(connection: web.RequestHandler) -> bool:
    """Tell whether neither end has closed a connection.

    The web server lists a connection for some time after its end, and under
    load its close by the peer is read only after the next accept.
    """
    transport = connection.transport
    if transport is None or transport.is_closing():
        return False
    ended = select.poll()
    sock = transport.get_extra_info('socket')
    ended.register(sock.fileno(), select.POLLRDHUP)
    return not ended.poll(0)
