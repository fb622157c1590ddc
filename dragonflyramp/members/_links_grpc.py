"""Exchange messages with other daemons over gRPC."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import attrs
from grpc import (
    StatusCode,
    aio,
    method_handlers_generic_handler,
    unary_unary_rpc_method_handler,
)
from loguru import logger

from dragonflyramp.members._books import (
    Book,
    Message,
    decode_message,
    encode_message,
)
from dragonflyramp.metrics import counters

_SERVICE = 'dragonflyramp.Members'
_METHOD = 'Exchange'
#: An answer that takes longer meets a cut or a frozen daemon.
_CALL_SECONDS = 1.0
#: A daemon exchanges at most this often with all others together.
_EXCHANGES_PER_SECOND = 6.0
_SHORTEST_PERIOD_SECONDS = 1.0
#: Changes that another daemon told go on after this pause, in which the
#: others mostly hear them from the daemon that watches.
_FORWARD_SECONDS = 0.15
#: All entries of a deployment with some ten thousand replicas.
_MAX_MESSAGE_BYTES = 10 * 1024 * 1024

_OPTIONS = (
    ('grpc.max_receive_message_length', _MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', _MAX_MESSAGE_BYTES),
    ('grpc.initial_reconnect_backoff_ms', 200),
    ('grpc.min_reconnect_backoff_ms', 500),
    ('grpc.max_reconnect_backoff_ms', 1000),
    ('grpc.enable_http_proxy', 0),
    ('grpc.so_reuseport', 0),
)


@attrs.define(eq=False)
class MemberService:
    """Answer the exchanges of other daemons."""

    _book: Book
    _clock: Callable[[], float]
    _server: aio.Server | None = None

    async def start(self, address: str) -> int:
        """Listen and return the port; raise RuntimeError if it is taken."""
        server = aio.server(options=_OPTIONS)
        methods = {_METHOD: unary_unary_rpc_method_handler(self._exchange)}
        server.add_generic_rpc_handlers(
            (method_handlers_generic_handler(_SERVICE, methods),)
        )
        port = server.add_insecure_port(address)
        await server.start()
        self._server = server
        return port

    async def stop(self) -> None:
        """Close the port and the open exchanges."""
        if self._server is not None:
            await self._server.stop(None)

    async def _exchange(
        self, body: bytes, context: aio.ServicerContext[Any, Any]
    ) -> bytes:
        message = _decode(body)
        if message is None:
            counters.add('member_failures', 'bad_message')
            await context.abort(StatusCode.INVALID_ARGUMENT)
        now_seconds = self._clock()
        self._book.take(message, now_seconds)
        answer = self._book.message(message.sender.name, now_seconds)
        self._book.note_sent(message.sender.name, answer)
        return _encode(answer)


@attrs.define
class _Reach:
    """Hold whether a peer answers."""

    peer_name: str = ''
    failures: int = 0
    _is_up: bool = False

    @property
    def is_broken(self) -> bool:
        """Tell whether a new connection should be tried."""
        return self.failures > 1

    def note_answer(self, peer_name: str) -> None:
        self.peer_name = peer_name
        self.failures = 0
        if not self._is_up:
            self._is_up = True
            logger.bind(peer=peer_name).info('member reached')

    def note_failure(self, reason: str) -> None:
        counters.add('member_failures', reason)
        self.failures += 1
        if self._is_up:
            self._is_up = False
            logger.bind(peer=self.peer_name, reason=reason).warning(
                'member lost'
            )


@attrs.define(eq=False)
class Link:
    """Run the task that exchanges with one other daemon."""

    address: str
    _book: Book
    _clock: Callable[[], float]
    _wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    _reach: _Reach = attrs.field(factory=_Reach)

    def wake(self) -> None:
        """Exchange now and not after the period."""
        self._wake.set()

    def wake_later(self) -> None:
        """Exchange soon if the peer still lacks something then."""
        loop = asyncio.get_running_loop()
        loop.call_later(_FORWARD_SECONDS, self._wake_if_lacking)

    async def run(self) -> None:
        """Exchange until cancelled."""
        while True:  # noqa: WPS457 - ends when cancelled
            self._reach.failures = 0
            async with _open_channel(self.address) as channel:
                # A connection may have gone silent for good.
                while not self._reach.is_broken:
                    await self._step(channel)
                    await self._pause()

    async def say_goodbye(self) -> None:
        """Tell the peer once that this daemon leaves."""
        async with _open_channel(self.address) as channel:
            await self._step(channel)

    def _wake_if_lacking(self) -> None:
        if self._book.lacks(self._reach.peer_name):
            self._wake.set()

    async def _pause(self) -> None:
        others = len(self._book.roster.others())
        period_seconds = max(
            _SHORTEST_PERIOD_SECONDS, others / _EXCHANGES_PER_SECOND
        )
        try:
            async with asyncio.timeout(period_seconds):
                await self._wake.wait()
        except TimeoutError:
            return
        finally:
            self._wake.clear()

    async def _step(self, channel: aio.Channel) -> None:
        message = self._book.message(self._reach.peer_name, self._clock())
        call = channel.unary_unary(
            f'/{_SERVICE}/{_METHOD}',
            request_serializer=None,
            response_deserializer=None,
        )
        try:
            body = await call(_encode(message), timeout=_CALL_SECONDS)
        except aio.AioRpcError as error:
            self._reach.note_failure(error.code().name.lower())
            return
        answer = _decode(body)
        if answer is None:
            counters.add('member_failures', 'bad_message')
            return
        self._reach.note_answer(answer.sender.name)
        self._book.take(answer, self._clock())
        self._book.note_sent(answer.sender.name, message)


def _open_channel(address: str) -> aio.Channel:
    return aio.insecure_channel(f'ipv4:{address}', options=_OPTIONS)


def _encode(message: Message) -> bytes:
    fields = encode_message(message)
    return json.dumps(fields, separators=(',', ':')).encode()


def _decode(body: bytes) -> Message | None:
    try:
        return decode_message(json.loads(body))
    except _MALFORMED:
        return None


#: What decoding a malformed message raises.
_MALFORMED = (KeyError, TypeError, ValueError, AttributeError)
