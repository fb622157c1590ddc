"""Carry the calls between members of one process, with cut links."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.members import GrpcMemberCalls
from dragonflyramp.members._methods_grpc import Method
from dragonflyramp.results import ResultCode

_Request = TypeVar('_Request')
_Reply = TypeVar('_Reply')


@attrs.define
class Links:
    """Hold which pairs of addresses cannot reach each other."""

    cut: set[frozenset[str]] = attrs.field(factory=set)
    servers: dict[str, object] = attrs.field(factory=dict)

    def isolate(self, address: str, others: set[str]) -> None:
        """Cut an address off from others."""
        self.cut |= {frozenset((address, other)) for other in others}

    def heal(self) -> None:
        """Restore all links."""
        self.cut.clear()


@attrs.define(kw_only=True)
class CutCalls(GrpcMemberCalls):
    """Call over gRPC, but not over cut links."""

    own: str
    links: Links

    async def _call(
        self,
        method: Method[_Request, _Reply],
        address: str,
        request: _Request,
        timeout_seconds: float,
    ) -> Result[_Reply, ResultCode]:
        if frozenset((self.own, address)) in self.links.cut:
            return Failure(ResultCode.member_unreachable)
        return await super()._call(method, address, request, timeout_seconds)


@attrs.define(kw_only=True)
class DirectCalls(GrpcMemberCalls):
    """Call the servers in `links` directly, through the encodings."""

    own: str
    links: Links

    async def _call(
        self,
        method: Method[_Request, _Reply],
        address: str,
        request: _Request,
        timeout_seconds: float,
    ) -> Result[_Reply, ResultCode]:
        server = self.links.servers.get(address)
        if server is None or frozenset((self.own, address)) in self.links.cut:
            return Failure(ResultCode.member_unreachable)
        serve: Callable[[_Request], Awaitable[_Reply]] = getattr(
            server, method.name.lower()
        )
        packed = method.pack_request(request)
        reply = await serve(method.unpack_request(packed))
        return Success(method.unpack_reply(method.pack_reply(reply)))
