"""Play scripted replies and ends of connections over sockets.

Client and server share an event loop, which polls the client's socket as if the
server ran elsewhere.
"""

import asyncio
import contextlib
import enum
import functools
import itertools
import socket
import time
from collections.abc import AsyncIterator, Callable, Collection, Iterable

import attrs

from dragonflyramp.messages import Reply, Request
from dragonflyramp.platform import ReplicaCodec
from dragonflyramp.replica_connections._connections_http import (
    Connection,
    ConnectionHooks,
)
from dragonflyramp.replica_connections._exchanges import (
    Exchange,
    Outcome,
    OutcomeKind,
)
from dragonflyramp.replica_connections._reply_memory import ReplyMemory
from tests.front_harnesses import make_request
from tests.standins.resets import reset_on_close

#: Loopback address to which no other program connects, as clients of 127.0.0.1
#: do that retry the port of a server which has ended.
_HOST = '127.35.0.1'
_TIMEOUT_SECONDS = 10
#: Turns in which the event loop reads a piece and runs what follows from it.
_PAUSE_TURNS = 5
_NO_BODY_STATUSES = (204, 304)

#: Steps of a server besides sending bytes: read a request, let the event loop
#: read what was sent, and end the connection; `half` closes it for sending.
Step = enum.Enum('Step', 'receive pause fin half reset')


@attrs.frozen(kw_only=True)
class SentReply:
    """Reply of a server, with all its bytes distinct from other replies."""

    number: int
    status: int = 200
    framing: str = 'length'
    method: str = 'GET'
    has_id: bool = True
    has_stamp: bool = True
    body_bytes: int = 12

    @property
    def has_body(self) -> bool:
        """Return whether a body follows the head."""
        return self.method != 'HEAD' and self.status not in _NO_BODY_STATUSES

    @property
    def is_close_delimited(self) -> bool:
        """Return whether only the end of the connection ends the body."""
        return self.has_body and self.framing == 'close'

    @property
    def request(self) -> Request:
        """Return the request that the reply answers."""
        body = b'posted' if self.method == 'POST' else b''
        request = make_request(f'id-{self.number}', method=self.method)
        return attrs.evolve(request, body=body, has_body=bool(body))

    @property
    def reply(self) -> Reply:
        """Return the reply that a client gets."""
        stamp = f'stamp-{self.number}' if self.has_stamp else ''
        request_id = f'id-{self.number}' if self.has_id else ''
        framing_headers = {
            'length': ('Content-Length', str(self.body_bytes)),
            'chunked': ('Transfer-Encoding', 'chunked'),
        }
        headers = (
            ('X-First', f'first {self.number}'),
            ('Server-Stamp', stamp),
            ('Request-Id', request_id),
            ('X-Twice', 'b'),
            ('X-Twice', f'a {self.number}'),
            framing_headers.get(self.framing, ('', '')),
        )
        body = (b'%d-' % self.number * self.body_bytes)[: self.body_bytes]
        return Reply(
            status=self.status,
            headers=tuple(header for header in headers if header[1]),
            body=body if self.has_body else b'',
            stamp=stamp,
            request_id=request_id,
        )

    @property
    def head(self) -> bytes:
        """Return the encoded head."""
        lines = [f'HTTP/1.1 {self.status} Any']
        lines.extend(': '.join(header) for header in self.reply.headers)
        return '\r\n'.join((*lines, '\r\n')).encode()

    @property
    def encoded(self) -> bytes:
        """Return the encoded reply."""
        body = self.reply.body
        if self.framing == 'chunked' and self.has_body:
            half = len(body) // 2
            chunks = (body[:half], body[half:], b'')
            body = b''.join(
                b'%x\r\n%b\r\n' % (len(chunk), chunk) for chunk in chunks
            )
        return self.head + body


async def pause(turn_count: int = _PAUSE_TURNS) -> None:
    """Let the event loop poll and run callbacks a few times."""
    for _ in range(turn_count):
        await asyncio.sleep(0)


def _check_outcome(
    outcome: Outcome, sent: SentReply, kinds: Collection[OutcomeKind]
) -> None:
    reply = outcome.reply
    is_replied = outcome.kind is OutcomeKind.replied
    assert outcome.kind in kinds and is_replied is bool(reply), outcome
    if reply is not None:
        read = attrs.evolve(reply, headers=tuple(reply.headers))
        assert read == sent.reply, f'{read} for {sent.reply}'


@attrs.define(eq=False)
class ReplyClient:
    """Both ends of one connection, and the last exchange on it."""

    connection: Connection
    task: asyncio.Task[None]
    #: The end of the server.
    sock: socket.socket
    _idle: asyncio.Event
    outcome: asyncio.Future[Outcome] = attrs.field(init=False)
    _sent: SentReply = attrs.field(init=False)
    _scripts: list[asyncio.Task[None]] = attrs.field(factory=list)
    _checks: list[Callable[[], None]] = attrs.field(factory=list)

    @property
    def is_usable(self) -> bool:
        """Return whether the connection may carry another request."""
        return self.connection.is_usable(time.monotonic())

    async def start(self, sent: SentReply) -> None:
        """Write the request that a reply answers, once the client is idle."""
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            await self._idle.wait()
        self._idle.clear()
        self._sent = sent
        self.outcome = asyncio.get_running_loop().create_future()
        exchange = Exchange(
            request=sent.request,
            replica_id='r',
            deadline_at_seconds=time.monotonic() + 2 * _TIMEOUT_SECONDS,
            outcome=self.outcome,
        )
        self.connection.start(exchange)
        # The task of the connection runs before this one goes on.
        await asyncio.sleep(0)

    async def check(self, kinds: Collection[OutcomeKind]) -> None:
        """Check the outcome as it is set, and when the connection has ended.

        Nothing that runs later may change a reply that was handed on.
        """
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            outcome = await self.outcome
        check = functools.partial(_check_outcome, outcome, self._sent, kinds)
        check()
        self._checks.append(check)

    def play(self, *steps: bytes | Step) -> asyncio.Task[None]:
        """Start a script of the server."""
        self._scripts.append(asyncio.create_task(self._play(steps)))
        return self._scripts[-1]

    async def wait_end(self) -> None:
        """Wait until the connection has ended, and run its last callbacks."""
        tasks = (self.task, *self._scripts)
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            await asyncio.wait(tasks)
        for task in tasks:
            if not task.cancelled():
                task.result()
        await pause()

    async def end(self) -> None:
        """Close the connection, and wait until the server sees its end."""
        self.connection.close()
        await self.wait_end()
        if self.sock.fileno() >= 0:
            async with asyncio.timeout(_TIMEOUT_SECONDS):
                await self._play(itertools.repeat(Step.receive))
            # A reset frees the ports at once.
            reset_on_close(self.sock)
        for check in self._checks:
            check()

    async def _play(self, steps: Iterable[bytes | Step]) -> None:
        """Play a script; what is sent without a pause arrives together."""
        # The client closes the connection at bytes that it does not expect. A
        # socket is then not connected, which is no ConnectionError.
        with contextlib.suppress(OSError):
            for step in steps:
                if isinstance(step, bytes):
                    self.sock.send(step)
                elif step is Step.receive:
                    await self._receive()
                elif step is Step.pause:
                    await pause()
                else:
                    self._end(step)

    async def _receive(self) -> None:
        """Read a request, which is sent in one write."""
        loop = asyncio.get_running_loop()
        if not await loop.sock_recv(self.sock, 4096):
            raise ConnectionError

    def _end(self, step: Step) -> None:
        if step is Step.half:
            self.sock.shutdown(socket.SHUT_WR)
            return
        if step is Step.reset:
            reset_on_close(self.sock)
        self.sock.close()


@contextlib.asynccontextmanager
async def run_client(
    memory: ReplyMemory | None = None,
) -> AsyncIterator[ReplyClient]:
    """Open a connection to a server of its own, and await its end."""
    idle = asyncio.Event()
    hooks = ConnectionHooks(on_idle=lambda _: idle.set(), on_end=lambda _: None)
    with socket.create_server((_HOST, 0)) as server:
        _, port = server.getsockname()
        connection = Connection(
            f'{_HOST}:{port}', hooks, ReplicaCodec(), time.monotonic, memory
        )
        task = asyncio.create_task(connection.run())
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            await idle.wait()
        sock, _ = server.accept()
    with sock:
        sock.setblocking(False)  # noqa: FBT003 - the parameter has no name
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = ReplyClient(connection, task, sock, idle)
        try:
            yield client
        finally:
            await client.end()
