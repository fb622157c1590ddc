"""Carry the calls between members over gRPC.

Messages cross the library as bytes, so that a malformed one is refused
with a code here instead of failing inside the library.
"""

from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import attrs
import grpc
from google.protobuf.message import DecodeError
from returns.result import Failure, Result, Success

from dragonflyramp.members import _messages as messages
from dragonflyramp.members import _methods_grpc as methods
from dragonflyramp.members._member_channels_grpc import MemberChannels
from dragonflyramp.members._member_links import MembershipServer, SpreadServer
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode

_SERVICE = 'dragonflyramp.v1.Members'
_MALFORMED = (DecodeError, ValueError)

_Request = TypeVar('_Request')
_Reply = TypeVar('_Reply')


@attrs.define
class GrpcMemberCalls:
    """Implement MemberCalls with one channel to each member."""

    _channels: MemberChannels = attrs.field(factory=MemberChannels)

    async def heartbeat(
        self, address: str, request: messages.Heartbeat, timeout_seconds: float
    ) -> Result[messages.HeartbeatReply, ResultCode]:
        """Report to the writer, or ask who that is."""
        return await self._call(
            methods.HEARTBEAT, address, request, timeout_seconds
        )

    async def promise(
        self, address: str, request: messages.Promise, timeout_seconds: float
    ) -> Result[messages.PromiseReply, ResultCode]:
        """Ask a deputy for its promise."""
        return await self._call(
            methods.PROMISE, address, request, timeout_seconds
        )

    async def handover(
        self, address: str, request: messages.Handover, timeout_seconds: float
    ) -> Result[messages.HandoverReply, ResultCode]:
        """Give warmth tables to a successor."""
        return await self._call(
            methods.HANDOVER, address, request, timeout_seconds
        )

    async def offer(
        self, address: str, request: messages.Offer, timeout_seconds: float
    ) -> Result[messages.OfferReply, ResultCode]:
        """Offer a configuration."""
        return await self._call(
            methods.OFFER, address, request, timeout_seconds
        )

    async def fetch(
        self, address: str, request: messages.Fetch, timeout_seconds: float
    ) -> Result[messages.FetchReply, ResultCode]:
        """Ask for the newest configuration."""
        return await self._call(
            methods.FETCH, address, request, timeout_seconds
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._channels.close()

    async def _call(
        self,
        method: methods.Method[_Request, _Reply],
        address: str,
        request: _Request,
        timeout_seconds: float,
    ) -> Result[_Reply, ResultCode]:
        channel = self._channels.get(address)
        call = channel.unary_unary(
            f'/{_SERVICE}/{method.name}',
            request_serializer=bytes,
            response_deserializer=bytes,
        )
        packed = method.pack_request(request)
        try:
            raw = await call(packed, timeout=timeout_seconds)
        except grpc.aio.AioRpcError:
            counters.add('member_call_failures', method.name)
            self._channels.replace(address, channel)
            return Failure(ResultCode.member_unreachable)
        return _unpacked(method, raw)


@attrs.frozen
class MembersService:
    """Answer the calls of other members."""

    membership: MembershipServer
    spread: SpreadServer

    def add_to(self, server: grpc.aio.Server) -> None:
        """Register the calls with a server that has not started."""
        handlers = (
            _rpc_method(methods.HEARTBEAT, self.membership.heartbeat),
            _rpc_method(methods.PROMISE, self.membership.promise),
            _rpc_method(methods.HANDOVER, self.membership.handover),
            _rpc_method(methods.OFFER, self.spread.offer),
            _rpc_method(methods.FETCH, self.spread.fetch),
        )
        server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(_SERVICE, dict(handlers)),)
        )


@attrs.frozen
class _Served(Generic[_Request, _Reply]):
    method: methods.Method[_Request, _Reply]
    serve: Callable[[_Request], Awaitable[_Reply]]

    async def call(self, raw: bytes, context: object) -> bytes:
        """Answer one call; refuse a malformed request with bad_message."""
        try:
            request = self.method.unpack_request(raw)
        except _MALFORMED:
            counters.add('refusals', ResultCode.bad_message.name)
            return self.method.refusal
        reply = await self.serve(request)
        return self.method.pack_reply(reply)


def _rpc_method(
    method: methods.Method[_Request, _Reply],
    serve: Callable[[_Request], Awaitable[_Reply]],
) -> 'tuple[str, grpc.RpcMethodHandler[bytes, bytes]]':
    served = _Served(method, serve)
    return method.name, grpc.unary_unary_rpc_method_handler(served.call)


def _unpacked(
    method: methods.Method[_Request, _Reply], raw: bytes
) -> Result[_Reply, ResultCode]:
    try:
        reply = method.unpack_reply(raw)
    except _MALFORMED:
        counters.add('member_call_failures', ResultCode.bad_message.name)
        return Failure(ResultCode.bad_message)
    return Success(reply)
