"""Exchange messages with other daemons over gRPC."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import attrs
import grpc
from grpc import aio
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
#: A text of 3.3 MB and all replicas of a large deployment.
_MAX_MESSAGE_BYTES = 64 * 1024 * 1024

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
        handler = grpc.unary_unary_rpc_method_handler(self._exchange)
        server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    _SERVICE, {_METHOD: handler}
                ),
            )
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
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT)
        now_seconds = self._clock()
        self._book.take(message, now_seconds)
        answer = self._book.message(message.sender.name, now_seconds)
        self._book.note_sent(message.sender.name, answer)
        return _encode(answer)


@attrs.define(eq=False)
class Link:
    """Run the task that exchanges with one other daemon."""

    address: str
    _book: Book
    _clock: Callable[[], float]
    _wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    _peer_name: str = ''
    _is_up: bool = False
    _failures: int = 0

    def wake(self) -> None:
        """Exchange now and not after the period."""
        self._wake.set()

    def wake_later(self) -> None:
        """Exchange soon if the peer still lacks something then."""
        loop = asyncio.get_running_loop()
        loop.call_later(_FORWARD_SECONDS, self._wake_if_lacking)

    async def run(self) -> None:
        """Exchange until cancelled."""
        channel = _open_channel(self.address)
        try:
            while True:
                await self._step(channel)
                if self._failures > 1:
                    # A connection may have gone silent for good.
                    await channel.close()
                    channel = _open_channel(self.address)
                await self._pause()
        finally:
            await channel.close()

    async def say_goodbye(self) -> None:
        """Tell the peer once that this daemon leaves."""
        async with _open_channel(self.address) as channel:
            await self._step(channel)

    def _wake_if_lacking(self) -> None:
        if self._book.lacks(self._peer_name):
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
        message = self._book.message(self._peer_name, self._clock())
        call = channel.unary_unary(f'/{_SERVICE}/{_METHOD}')
        try:
            body = await call(_encode(message), timeout=_CALL_SECONDS)
        except aio.AioRpcError as error:
            self._note_failure(error)
            return
        answer = _decode(body)
        if answer is None:
            counters.add('member_failures', 'bad_message')
            return
        self._peer_name = answer.sender.name
        self._failures = 0
        self._book.take(answer, self._clock())
        self._book.note_sent(self._peer_name, message)
        if not self._is_up:
            self._is_up = True
            logger.bind(peer=self._peer_name).info('member reached')

    def _note_failure(self, error: aio.AioRpcError) -> None:
        counters.add('member_failures', error.code().name.lower())
        self._failures += 1
        if self._is_up:
            self._is_up = False
            logger.bind(peer=self._peer_name, reason=error.code().name).warning(
                'member lost'
            )


def _open_channel(address: str) -> aio.Channel:
    return aio.insecure_channel(f'ipv4:{address}', options=_OPTIONS)


def _encode(message: Message) -> bytes:
    fields = encode_message(message)
    return json.dumps(fields, separators=(',', ':')).encode()


def _decode(body: bytes) -> Message | None:
    try:
        return decode_message(json.loads(body))
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
