"""Test the connections between members."""

import asyncio
import contextlib
from typing import NoReturn

import attrs
from returns.result import Failure

from dragonflyramp.members import (
    GrpcMemberCalls,
    MemberServer,
    MembersService,
)
from dragonflyramp.members import _messages as messages
from dragonflyramp.models import MemberId
from dragonflyramp.results import ResultCode

FETCH = messages.Fetch(member_id=MemberId('a'), known_number=0, known_parts=())


class Sevens:
    """Answer every fetch with the number 7, and refuse all other calls."""

    async def refuse(self, request: object) -> NoReturn:
        """Fail as a daemon with a fault does."""
        raise NotImplementedError

    heartbeat = refuse
    promise = refuse
    handover = refuse
    offer = refuse

    async def fetch(self, request: messages.Fetch) -> messages.FetchReply:
        """Answer a fetch."""
        return messages.FetchReply(code=ResultCode.ok, number=7)


@attrs.define
class SilentProxy:
    """Forward connections until told to silence those that are open."""

    port: int
    silenced: set[asyncio.StreamWriter] = attrs.field(factory=set)
    open_writers: set[asyncio.StreamWriter] = attrs.field(factory=set)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection in both directions."""
        back, forth = await asyncio.open_connection('127.0.0.1', self.port)
        self.open_writers |= {writer, forth}
        await asyncio.gather(self.copy(reader, forth), self.copy(back, writer))

    async def copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one direction; drop what comes once it is silenced."""
        with contextlib.suppress(ConnectionError):
            while chunk := await reader.read(65536):
                if writer not in self.silenced:
                    writer.write(chunk)

    def silence(self) -> None:
        """Silence the open connections for good."""
        self.silenced |= self.open_writers


async def test_a_silent_connection_is_replaced() -> None:
    """A connection can go silent for good while new ones work."""
    server = MemberServer()
    port = server.bind('127.0.0.1:0')
    await server.start(MembersService(Sevens(), Sevens()))
    proxy = SilentProxy(port)
    listener = await asyncio.start_server(proxy.serve, '127.0.0.1', 0)
    address = '127.0.0.1:{}'.format(listener.sockets[0].getsockname()[1])
    calls = GrpcMemberCalls()
    first = await calls.fetch(address, FETCH, 10)
    assert first.unwrap().number == 7
    proxy.silence()
    silent = await calls.fetch(address, FETCH, 0.2)
    assert silent == Failure(ResultCode.member_unreachable)
    again = await calls.fetch(address, FETCH, 10)
    assert again.unwrap().number == 7
    await calls.close()
    listener.close()
    await server.stop(0)


async def test_one_process_listens_at_an_address() -> None:
    """A newer member at an address must prove that the older one ended."""
    server = MemberServer()
    port = server.bind('127.0.0.1:0')
    await server.start()
    other = MemberServer()
    with contextlib.suppress(RuntimeError):
        assert not other.bind(f'127.0.0.1:{port}')
    await server.stop(0)
