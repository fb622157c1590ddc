"""Carry the scatter stream over gRPC, on both sides."""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import TypeAlias, TypeVar

import attrs
from grpc import (
    aio,
    method_handlers_generic_handler,
    stream_stream_rpc_method_handler,
)
from returns.pipeline import is_successful
from returns.result import Result

from dragonflyramp.members._channels_grpc import open_channel
from dragonflyramp.members._codec_grpc import (
    MAX_BODY_BYTES,
    MAX_MESSAGE_BYTES,
    BadMessage,
    decode_front,
    decode_relay,
    encode_front,
    encode_relay,
)
from dragonflyramp.members._fronts import Fronts
from dragonflyramp.members._streams import FrontMessage, RelayMessage
from dragonflyramp.messages import Part, SubmitOutcome
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode

_SERVICE = 'dragonflyramp.v1.Relay'
_METHOD = 'Scatter'

# Messages pass through gRPC as bytes, so that a malformed one is counted and
# skipped here instead of ending the stream.
_Context: TypeAlias = 'aio.ServicerContext[bytes, bytes]'
_Call: TypeAlias = 'aio.StreamStreamCall[bytes, bytes]'
_Message = TypeVar('_Message')


@attrs.frozen
class ScatterService:
    """Offer Relay.Scatter to fronts."""

    fronts: Fronts

    def add_to(self, server: aio.Server) -> None:
        """Register the call with a server that has not started."""
        methods = {_METHOD: stream_stream_rpc_method_handler(self._scatter)}
        server.add_generic_rpc_handlers(
            (method_handlers_generic_handler(_SERVICE, methods),)
        )

    async def _scatter(
        self, requests: AsyncIterator[bytes], context: _Context
    ) -> None:
        await self.fronts.serve(GrpcFrontStream(requests, context))


@attrs.frozen
class GrpcFrontStream:
    """Exchange messages with one front."""

    _requests: AsyncIterator[bytes]
    _context: _Context

    async def send(self, message: RelayMessage) -> bool:
        """Write a message; False when the stream has closed."""
        encoded = encode_relay(_shorten(message))
        if len(encoded) > MAX_MESSAGE_BYTES:
            counters.add('unsent_messages', 'too_large')
            return True
        try:
            await self._context.write(encoded)
        except aio.BaseError:
            return False
        return True

    async def receive(self) -> FrontMessage | None:
        """Read the next message; None when the stream has closed."""
        return await _next_message(self._requests, decode_front)


@attrs.frozen
class GrpcRelayStream:
    """Exchange messages with one relay over a connection of its own."""

    _channel: aio.Channel
    _call: _Call
    _replies: AsyncIterator[bytes]

    async def send(self, message: FrontMessage) -> bool:
        """Write a message; False when it was certainly not written."""
        encoded = encode_front(message)
        if self._call.done() or len(encoded) > MAX_MESSAGE_BYTES:
            return False
        try:
            await self._call.write(encoded)
        except (aio.AioRpcError, asyncio.InvalidStateError):
            # gRPC does not tell whether the bytes left before the failure.
            counters.add('relay_streams', 'write_failed')
        return True

    async def receive(self) -> RelayMessage | None:
        """Read the next message; None when the stream has closed."""
        try:
            return await _next_message(self._replies, decode_relay)
        except aio.AioRpcError as error:
            counters.add('relay_streams', error.code().name.lower())
            return None

    async def close(self) -> None:
        """Close the stream and its connection."""
        self._call.cancel()
        await self._channel.close(None)


class GrpcStreamOpener:
    """Open scatter streams to relays."""

    def open(self, address: str) -> GrpcRelayStream:
        """Open a stream on a new connection to an IP:port.

        Raise ValueError for any other form of address.
        """
        channel = open_channel(address)
        scatter = channel.stream_stream(f'/{_SERVICE}/{_METHOD}', None, None)
        call = scatter(None)
        return GrpcRelayStream(channel, call, aiter(call))


async def _next_message(
    received: AsyncIterator[bytes],
    decode: Callable[[bytes], Result[_Message, BadMessage]],
) -> _Message | None:
    async for raw in received:
        decoded = decode(raw)
        if is_successful(decoded):
            return decoded.unwrap()
        counters.add('bad_message', decoded.failure().value)
    return None


def _shorten(message: RelayMessage) -> RelayMessage:
    """Replace a reply that is too long for the stream by its failure."""
    if not isinstance(message, Part | SubmitOutcome):
        return message
    if len(message.body) <= MAX_BODY_BYTES:
        return message
    counters.add('unsent_messages', 'too_large')
    if isinstance(message, Part):
        message = attrs.evolve(message, documents=0)
    return attrs.evolve(message, code=ResultCode.bad_reply, body=b'')
