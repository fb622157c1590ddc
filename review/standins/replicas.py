"""Stand in for a replica, as PROTOCOL.md describes it."""

import asyncio
import collections
import contextlib
import random
import secrets
import time
from collections.abc import Callable

from standins.http import Message, encode, read_message
from standins.stores import Store

_IDLE_SECONDS = 10
_OK = 200
#: Five records of 16 bytes.
_BODY_BYTES = 80


class Replica:
    """Run requests in slots; queue a few more, and reject the rest."""

    def __init__(self, store: Store, service: str, zone: str) -> None:
        """Create a replica with a new id."""
        self.store = store
        self.service = service
        self.zone = zone
        # Ids begin with the time of the start.
        self.replica_id = f'i-{time.time_ns() // 1000:x}'
        self.slots = 3
        self.queue = 2
        self.work_seconds = 0.03
        #: Share of the answers that are sent a second time, late.
        self.late_copy_share = 0.0
        self.rng = random.Random(0)
        #: Requests with this text in their first line end the process.
        self.crash_text = ''
        #: Time for which such a request runs until the process ends.
        self.crash_seconds = 0.4
        #: Time from the end of the process until it has started again.
        self.restart_seconds = 2.0
        #: Called with each event: its name and the id of the request.
        self.record: Callable[[str, str], None] = lambda event, request_id: None
        #: Ids of the requests that ran, with the number of their runs.
        self.runs: collections.Counter[str] = collections.Counter()
        self.answer_count = 0
        self.late_copy_count = 0
        self.address = ''
        self._state = 'ready'
        self._warmup_left_ms = 0
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._running = 0
        self._waiting = 0
        self._slot = asyncio.Semaphore(self.slots)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._restart: asyncio.Task[None] | None = None

    async def start(self, host: str) -> None:
        """Listen on a free port and register."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'
        self.register()

    def crash(self) -> None:
        """Close the port and all connections, and start again later."""
        if self._server is not None:
            self._server.close()
            self._server = None
            for writer in self._writers:
                writer.transport.abort()
            self._restart = asyncio.create_task(self._start_again())

    async def _run_until_crash(self, request_id: str) -> None:
        server = self._server
        await asyncio.sleep(self.crash_seconds)
        if self._server is server:
            self.record('ends at', request_id)
            self.crash()
        raise ConnectionAbortedError

    async def _start_again(self) -> None:
        await asyncio.sleep(self.restart_seconds)
        host, _, port = self.address.rpartition(':')
        self._running = 0
        self._waiting = 0
        self._slot = asyncio.Semaphore(self.slots)
        self._born = int(time.time() * 1000)
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.register()

    async def warm_up(self, warmup_ms: int, heartbeat_ms: int) -> None:
        """Write the entry at each heartbeat until this replica is warm."""
        for left_ms in range(warmup_ms, 0, -heartbeat_ms):
            self._warmup_left_ms = left_ms
            self.register()
            await asyncio.sleep(heartbeat_ms / 1000)
        self._warmup_left_ms = 0
        self.register()

    def register(self) -> None:
        """Write the entry of this replica."""
        self._sequence += 1
        self.store.put(
            'servers',
            self.replica_id,
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': self._state,
                'warmup_left_ms': self._warmup_left_ms,
                'sequence': self._sequence,
            },
            born=self._born,
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError, TimeoutError):
                await self._serve_requests(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        late_copy = b''
        while True:
            async with asyncio.timeout(_IDLE_SECONDS):
                request = await read_message(reader)
            if request is None:
                return
            if late_copy:
                # The extra answer arrives where the next one is due.
                self.late_copy_count += 1
                self.record('sends a late copy', _request_id(request))
                writer.write(late_copy)
                await writer.drain()
            answer = await self._answer(request)
            self.answer_count += 1
            is_copied = self.rng.random() < self.late_copy_share
            late_copy = answer if is_copied else b''
            writer.write(answer)
            await writer.drain()

    async def _answer(self, request: Message) -> bytes:
        request_id = _request_id(request)
        expected_id = request.headers.get('expect-instance', self.replica_id)
        if expected_id != self.replica_id:
            return self._encode(421, request_id, {'Not-Executed': '1'})
        if self._running + self._waiting >= self.slots + self.queue:
            self.record('is full', request_id)
            return self._encode(503, request_id, {'Not-Executed': '1'})
        self._waiting += 1
        async with self._slot:
            self._waiting -= 1
            self._running += 1
            self.runs[request_id] += 1
            self.record('runs', request_id)
            if self.crash_text and self.crash_text in request.first_line:
                await self._run_until_crash(request_id)
            await asyncio.sleep(self.work_seconds)
            self._running -= 1
        stamp = f'{self.replica_id}.{request_id}.{secrets.token_hex(4)}'
        return self._encode(_OK, request_id, {'Server-Stamp': stamp})

    def _encode(
        self, status: int, request_id: str, headers: dict[str, str]
    ) -> bytes:
        load = f'{self._running},{self._waiting},{self.slots}'
        return encode(
            f'HTTP/1.1 {status} Status',
            {
                'Request-Id': request_id,
                'Server-Load': load,
                'Keep-Alive': f'timeout={_IDLE_SECONDS}',
                **headers,
            },
            secrets.token_bytes(_BODY_BYTES) if status == _OK else b'',
        )


def _request_id(request: Message) -> str:
    return request.headers.get('request-id', '')
