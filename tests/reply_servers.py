"""Play scripted replies and ends of connections over sockets.

Client and server share an event loop, which polls the client's socket as if the
server ran elsewhere.
"""

import asyncio
import contextlib
import enum
import socket
import time
from collections.abc import AsyncIterator, Iterator

import attrs

from dragonflyramp.backends._connections_http import (
    Connection,
    ConnectionHooks,
)
from dragonflyramp.backends._exchanges import Exchange, Outcome, OutcomeKind
from dragonflyramp.backends._reply_memory import ReplyMemory
from dragonflyramp.messages import Request
from dragonflyramp.platform import ReplicaCodec
from tests.front_harnesses import make_request
from tests.standins.resets import reset_on_close

TIMEOUT_SECONDS = 10
#: Turns in which the event loop reads a piece and runs what follows from it.
_PAUSE_TURNS = 5
_NO_BODY_STATUSES = (204, 304)
_MAX_SHOWN_CHARS = 90


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

    def __str__(self) -> str:
        """Return the fields that tell how it differs from other replies."""
        identity = [self.request_id or 'no id', self.stamp or 'no stamp']
        return ' '.join(
            (self.method, str(self.status), self.framing, *identity)
        )

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers in the order in which they are sent."""
        headers = [('X-First', f'first {self.number}')]
        if self.has_stamp:
            headers.append(('Server-Stamp', self.stamp))
        if self.has_id:
            headers.append(('Request-Id', self.request_id))
        headers.extend((('X-Twice', 'b'), ('X-Twice', f'a {self.number}')))
        if self.framing == 'length':
            headers.append(('Content-Length', str(len(self._run_bytes))))
        if self.framing == 'chunked':
            headers.append(('Transfer-Encoding', 'chunked'))
        return tuple(headers)

    @property
    def stamp(self) -> str:
        """Return the stamp; empty if none is sent."""
        return f'stamp-{self.number}' if self.has_stamp else ''

    @property
    def request_id(self) -> str:
        """Return the id; empty if none is sent."""
        return f'id-{self.number}' if self.has_id else ''

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
        request = make_request(f'id-{self.number}', method=self.method)
        if self.method == 'POST':
            return attrs.evolve(request, body=b'posted', has_body=True)
        return request

    @property
    def body(self) -> bytes:
        """Return the body that a client gets."""
        return self._run_bytes if self.has_body else b''

    @property
    def head(self) -> bytes:
        """Return the encoded head."""
        lines = [f'HTTP/1.1 {self.status} Any']
        lines.extend(f'{name}: {text}' for name, text in self.headers)
        return '\r\n'.join((*lines, '\r\n')).encode()

    @property
    def encoded(self) -> bytes:
        """Return the encoded reply."""
        if self.framing == 'chunked' and self.has_body:
            half = len(self.body) // 2
            chunks = (self.body[:half], self.body[half:])
            framed = b''.join(
                b'%x\r\n%b\r\n' % (len(chunk), chunk) for chunk in chunks
            )
            return b''.join((self.head, framed, b'0\r\n\r\n'))
        return self.head + self.body

    @property
    def _run_bytes(self) -> bytes:
        text = b'%d-' % self.number
        return (text * self.body_bytes)[: self.body_bytes]


class Step(enum.Enum):
    """Step of a script besides sending bytes."""

    #: Read one request.
    receive = 'receive'
    #: Let the event loop read what was sent.
    pause = 'pause'
    fin = 'fin'
    #: Close for sending, and read on.
    half = 'half'
    reset = 'reset'


async def pause(turn_count: int = _PAUSE_TURNS) -> None:
    """Let the event loop poll and run callbacks a few times."""
    for _ in range(turn_count):
        await asyncio.sleep(0)


@attrs.define(eq=False)
class ReplyServer:
    """Server side of one connection."""

    sock: socket.socket
    requests: list[bytes] = attrs.field(factory=list)

    async def play(self, *steps: bytes | Step) -> None:
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
        loop = asyncio.get_running_loop()
        received = b''
        # A request with a body is sent in one write.
        while b'\r\n\r\n' not in received:
            block = await loop.sock_recv(self.sock, 4096)
            if not block:
                raise ConnectionError
            received += block
        self.requests.append(received)

    def _end(self, step: Step) -> None:
        if step is Step.half:
            self.sock.shutdown(socket.SHUT_WR)
            return
        if step is Step.reset:
            reset_on_close(self.sock)
        self.sock.close()


@attrs.define(eq=False)
class ReplyClient:
    """Send requests on one connection, once it is idle."""

    connection: Connection
    task: asyncio.Task[None]
    server: ReplyServer
    _idle: asyncio.Event
    _playing: list[asyncio.Task[None]] = attrs.field(factory=list)

    @property
    def is_usable(self) -> bool:
        """Return whether the connection may carry another request."""
        return self.connection.is_usable(time.monotonic())

    async def start(self, reply: SentReply) -> Exchange:
        """Write the request that a reply answers."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self._idle.wait()
        self._idle.clear()
        exchange = make_exchange(reply.request)
        self.connection.start(exchange)
        # The task of the connection runs before this one goes on.
        await asyncio.sleep(0)
        return exchange

    def play(self, *steps: bytes | Step) -> None:
        """Start the server's script."""
        self._playing.append(asyncio.create_task(self.server.play(*steps)))

    async def wait_end(self) -> None:
        """Wait until the connection has ended, and run its last callbacks."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await asyncio.wait((self.task, *self._playing))
        for task in (self.task, *self._playing):
            if not task.cancelled():
                task.result()
        await pause()

    async def end(self) -> None:
        """Close the connection."""
        self.connection.close()
        await self.wait_end()
        # A reset frees the ports at once.
        if self.server.sock.fileno() >= 0:
            reset_on_close(self.server.sock)


@attrs.define(eq=False)
class ReplyListener:
    """Listening socket of the servers."""

    _sock: socket.socket
    #: Pairs each accepted connection with its client.
    _lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    @contextlib.asynccontextmanager
    async def run_client(
        self, memory: ReplyMemory | None = None
    ) -> AsyncIterator[ReplyClient]:
        """Open a connection to a server of its own, and await its end."""
        idle = asyncio.Event()
        host, port = self._sock.getsockname()
        connection = Connection(
            f'{host}:{port}',
            ConnectionHooks(
                on_idle=lambda _: idle.set(), on_end=lambda _: None
            ),
            ReplicaCodec(),
            time.monotonic,
            memory,
        )
        async with self._lock:
            task = asyncio.create_task(connection.run())
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await idle.wait()
            sock, _ = self._sock.accept()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = ReplyClient(connection, task, ReplyServer(sock), idle)
        with sock:
            try:
                yield client
            finally:
                await client.end()


@contextlib.contextmanager
def listen_for_clients() -> Iterator[ReplyListener]:
    """Listen on a loopback port."""
    with socket.create_server(('127.0.0.1', 0)) as sock:
        sock.settimeout(TIMEOUT_SECONDS)
        yield ReplyListener(sock)


def make_exchange(request: Request) -> Exchange:
    """Create an exchange whose deadline is not reached."""
    return Exchange(
        request=request,
        replica_id='r',
        deadline_at_seconds=time.monotonic() + 2 * TIMEOUT_SECONDS,
        outcome=asyncio.get_running_loop().create_future(),
    )


async def outcome_of(exchange: Exchange) -> Outcome:
    """Return the outcome, which must be set in time."""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        return await exchange.outcome


def find_difference(outcome: Outcome, sent: SentReply) -> str:
    """Return in what a reply differs from the sent one, or an empty text."""
    reply = outcome.reply
    if outcome.kind is not OutcomeKind.replied or reply is None:
        return f'{outcome.kind}, reply {reply}'
    pairs = {
        'status': (reply.status, sent.status),
        'headers': (tuple(reply.headers), sent.headers),
        'stamp': (reply.stamp, sent.stamp),
        'id': (reply.request_id, sent.request_id),
        'body': (reply.body, sent.body),
    }
    return ', '.join(
        f'{name} {_shorten(read)} for {_shorten(expected)}'
        for name, (read, expected) in pairs.items()
        if read != expected
    )


def _shorten(read: object) -> str:
    return repr(read)[:_MAX_SHOWN_CHARS]
