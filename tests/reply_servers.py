"""Play scripted replies and ends of connections from a thread."""

import asyncio
import contextlib
import enum
import queue
import socket
import threading
import time
from collections.abc import AsyncIterator, Iterator, Sequence

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
#: Time in which the event loop reads a piece before the next one is sent.
_PAUSE_SECONDS = 0.001
_NO_BODY_STATUSES = (204, 304)
_MAX_SHOWN_CHARS = 90


@attrs.frozen(kw_only=True)
class SentReply:
    """Reply of a server, with all its bytes distinct from other replies."""

    number: int
    status: int = 200
    framing: str = 'length'
    is_head: bool = False
    has_id: bool = True
    has_stamp: bool = True
    body_bytes: int = 12

    def __str__(self) -> str:
        """Return the fields that tell how it differs from other replies."""
        identity = [self.request_id or 'no id', self.stamp or 'no stamp']
        method = 'HEAD' if self.is_head else 'GET'
        return ' '.join((method, str(self.status), self.framing, *identity))

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
        return not self.is_head and self.status not in _NO_BODY_STATUSES

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
    #: Wait until the client says so.
    wait = 'wait'
    #: Tell the client that all before was done.
    sent = 'sent'
    fin = 'fin'
    half = 'half'
    reset = 'reset'


@attrs.define(eq=False)
class Script:
    """What a server does on one connection; it stays open at the end."""

    steps: Sequence[bytes | Step]
    sent: threading.Semaphore = attrs.field(
        factory=lambda: threading.Semaphore(0)
    )
    may_go_on: threading.Semaphore = attrs.field(
        factory=lambda: threading.Semaphore(0)
    )
    requests: list[bytes] = attrs.field(factory=list)

    def play(self, sock: socket.socket) -> None:
        """Play the script on an accepted connection."""
        sock.settimeout(TIMEOUT_SECONDS)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # The client closes the connection at bytes that it does not expect.
        with sock, contextlib.suppress(ConnectionError, TimeoutError):
            for step in self.steps:
                if isinstance(step, bytes):
                    sock.sendall(step)
                    time.sleep(_PAUSE_SECONDS)
                else:
                    self._play_step(sock, step)
            if sock.fileno() >= 0:
                self.requests.append(sock.recv(4096))

    def _play_step(self, sock: socket.socket, step: Step) -> None:
        if step is Step.receive:
            self.requests.append(_receive_request(sock))
        elif step is Step.wait:
            self.may_go_on.acquire(timeout=TIMEOUT_SECONDS)
        elif step is Step.sent:
            self.sent.release()
        else:
            _end(sock, step)


def _end(sock: socket.socket, step: Step) -> None:
    if step is Step.half:
        sock.shutdown(socket.SHUT_WR)
        return
    if step is Step.reset:
        reset_on_close(sock)
    sock.close()


def _receive_request(sock: socket.socket) -> bytes:
    received = b''
    while b'\r\n\r\n' not in received:
        block = sock.recv(4096)
        if not block:
            raise ConnectionError
        received += block
    # A request with a body is sent in one write.
    return received


@attrs.define(eq=False)
class ScriptedServer:
    """Loopback server that plays one script for each connection."""

    address: str
    _scripts: queue.SimpleQueue[Script | None] = attrs.field(
        factory=queue.SimpleQueue
    )

    def add(self, *steps: bytes | Step) -> Script:
        """Add the script of the next connection."""
        script = Script(steps)
        self._scripts.put(script)
        return script

    def stop(self) -> None:
        """End the thread after the scripts."""
        self._scripts.put(None)

    def serve(self, listener: socket.socket) -> None:
        """Play the scripts in order."""
        for script in iter(self._scripts.get, None):
            sock, _ = listener.accept()
            script.play(sock)


@contextlib.contextmanager
def run_scripted_server() -> Iterator[ScriptedServer]:
    """Run a server in a thread."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        listener.settimeout(TIMEOUT_SECONDS)
        host, port = listener.getsockname()
        server = ScriptedServer(f'{host}:{port}')
        thread = threading.Thread(target=server.serve, args=(listener,))
        thread.start()
        try:
            yield server
        finally:
            server.stop()
            thread.join()


@attrs.define(eq=False)
class ReplyClient:
    """Send requests on one connection, once it is idle."""

    connection: Connection
    task: asyncio.Task[None]
    _idle: asyncio.Event

    @property
    def is_usable(self) -> bool:
        """Return whether the connection may carry another request."""
        return self.connection.is_usable(time.monotonic())

    async def start(self, request: Request) -> Exchange:
        """Write a request."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self._idle.wait()
        self._idle.clear()
        exchange = Exchange(
            request=request,
            replica_id='r',
            deadline_at_seconds=time.monotonic() + 2 * TIMEOUT_SECONDS,
            outcome=asyncio.get_running_loop().create_future(),
        )
        self.connection.start(exchange)
        # The task of the connection runs before this one goes on.
        await asyncio.sleep(0)
        return exchange

    async def end(self) -> None:
        """Close the connection, and run its last callbacks."""
        self.connection.close()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.task


@contextlib.asynccontextmanager
async def run_client(
    address: str, memory: ReplyMemory | None = None
) -> AsyncIterator[ReplyClient]:
    """Open a connection whose end is awaited."""
    idle = asyncio.Event()
    connection = Connection(
        address,
        ConnectionHooks(on_idle=lambda _: idle.set(), on_end=lambda _: None),
        ReplicaCodec(),
        time.monotonic,
        memory,
    )
    client = ReplyClient(
        connection, asyncio.create_task(connection.run()), idle
    )
    try:
        yield client
    finally:
        await client.end()


async def outcome_of(exchange: Exchange) -> Outcome:
    """Return the outcome, which must be set in time."""
    return await asyncio.wait_for(
        asyncio.shield(exchange.outcome), TIMEOUT_SECONDS
    )


def make_numbered_request(number: int, method: str) -> Request:
    """Create the request that a `SentReply` with a number answers."""
    request = make_request(f'id-{number}', method=method)
    if method == 'POST':
        return attrs.evolve(request, body=b'posted', has_body=True)
    return request


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
