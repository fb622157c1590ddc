"""Run members of one group as tasks of this process.

`python -m benchmarks.member_processes` takes orders from its parent.
"""

import asyncio
import collections
import contextlib
import random
import secrets
import sys
import time
from collections.abc import Mapping
from typing import Any, TypeVar

import attrs
from loguru import logger
from returns.result import Result

from benchmarks.children import Reply, serve_orders
from dragonflyramp.members import (
    AdoptedTexts,
    ConfigurationKeeper,
    GrpcMemberCalls,
    MemberDescription,
    MemberServer,
    Membership,
    MembershipInputs,
    MembershipSettings,
    MembersService,
    PartContent,
    Role,
    SpreadInputs,
)
from dragonflyramp.members._methods_grpc import Method
from dragonflyramp.members._repeats import repeat, wait_at_most
from dragonflyramp.members._text_sources import ROOT_OBJECT
from dragonflyramp.models import MemberId
from dragonflyramp.platform import ObjectStore, VmList, open_platform
from dragonflyramp.results import ResultCode
from dragonflyramp.runtime import run_daemon
from dragonflyramp.tools._texts import StoredTextCodec

_ID_BYTES = 8
_PAUSE_FRACTION = 0.75
_DOMAINS = 4
_POLL_SECONDS = 0.01

_Request = TypeVar('_Request')
_Answer = TypeVar('_Answer')


@attrs.define
class Traffic:
    """Count the calls that members sent, and the bytes of their messages."""

    calls: collections.Counter[str] = attrs.field(factory=collections.Counter)
    requests: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    replies: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def as_dict(self) -> dict[str, Mapping[str, int]]:
        """Give the counts by method."""
        return attrs.asdict(self)


@attrs.define(kw_only=True)
class CountedCalls(GrpcMemberCalls):
    """Call over gRPC and count the messages."""

    traffic: Traffic

    async def _call(
        self,
        method: Method[_Request, _Answer],
        address: str,
        request: _Request,
        timeout_seconds: float,
    ) -> Result[_Answer, ResultCode]:
        counted = attrs.evolve(
            method,
            pack_request=lambda plain: self._count_request(method, plain),
            unpack_reply=lambda raw: self._count_reply(method, raw),
        )
        return await super()._call(counted, address, request, timeout_seconds)

    def _count_request(
        self, method: Method[_Request, _Answer], plain: _Request
    ) -> bytes:
        packed = method.pack_request(plain)
        self.traffic.requests[method.name] += len(packed)
        return packed

    def _count_reply(
        self, method: Method[_Request, _Answer], raw: bytes
    ) -> _Answer:
        self.traffic.calls[method.name] += 1
        self.traffic.replies[method.name] += len(raw)
        return method.unpack_reply(raw)


@attrs.frozen(kw_only=True)
class MemberSpec:
    """Say what a member depends on."""

    settings: MembershipSettings
    store: ObjectStore
    vms: VmList
    traffic: Traffic
    failure_domain: str = 'zone-a'
    role: Role = Role.relay


@attrs.define(eq=False)
class Member:
    """Hold one member, whose tasks run once it is started."""

    membership: Membership
    keeper: ConfigurationKeeper
    texts: AdoptedTexts
    server: MemberServer | None
    calls: CountedCalls
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    @classmethod
    async def create(cls, spec: MemberSpec, address: str = '') -> 'Member':
        """Listen for calls, unless another member does at the address."""
        server = None
        if not address:
            server = MemberServer()
            port = server.bind('127.0.0.1:0')
            address = f'127.0.0.1:{port}'
        texts = AdoptedTexts()
        calls = CountedCalls(traffic=spec.traffic)
        inputs = _inputs(spec, address, texts, calls)
        membership = Membership(inputs)
        keeper = ConfigurationKeeper(
            SpreadInputs(
                view=membership.view,
                settings=spec.settings,
                store=spec.store,
                calls=calls,
                codec=StoredTextCodec(),
                texts=texts,
                rng=inputs.rng,
            )
        )
        if server is not None:
            service = MembersService(membership.service, keeper.service)
            await server.start(service)
        return cls(membership, keeper, texts, server, calls)

    def start(self) -> None:
        """Run all tasks of the member."""
        for coroutine in (self.membership.run(), self.keeper.run()):
            self.tasks.append(asyncio.create_task(coroutine))

    def start_catch_up(self) -> None:
        """Get the configurations that offers miss.

        The other tasks stay out: each member would offer to all others.
        """
        step = self.keeper._catch_up.run_once  # noqa: SLF001
        self.tasks.append(asyncio.create_task(repeat('catch up', step, 1)))

    async def beat(
        self, writer: str, rounds: int, pause_seconds: float
    ) -> None:
        """Send heartbeats to the writer as a cycle of membership does."""
        sender = self.membership._parts.sender  # noqa: SLF001
        for _ in range(rounds):
            await sender.send(writer, 60)
            await asyncio.sleep(pause_seconds)

    async def kill(self) -> None:
        """End without a word to anybody."""
        for task in self.tasks:
            task.cancel()
        await asyncio.wait(self.tasks)
        if self.server is not None:
            await self.server.stop(0)
        await self.calls.close()


def _inputs(
    spec: MemberSpec, address: str, texts: AdoptedTexts, calls: CountedCalls
) -> MembershipInputs:
    member_id = MemberId(secrets.token_hex(_ID_BYTES))
    own = MemberDescription(
        member_id=member_id,
        role=spec.role,
        address=address,
        status_address=address,
        failure_domain=spec.failure_domain,
    )
    return MembershipInputs(
        own=own,
        seeds=(),
        settings=spec.settings,
        store=spec.store,
        calls=calls,
        configuration=texts,
        vm_list=spec.vms,
        clock=time.monotonic,
        rng=random.Random(member_id),
    )


@attrs.define(eq=False)
class Host:
    """Run members by the parent's orders."""

    stack: contextlib.AsyncExitStack
    members: list[Member] = attrs.field(factory=list)
    listening: list[Member] = attrs.field(factory=list)
    traffic: Traffic = attrs.field(factory=Traffic)

    async def start(
        self, platform: str, count: int, role: str, **settings: Any
    ) -> Reply:
        """Create members; the only one of the role writer writes.

        Those of the role callers listen at one address, because hundreds
        of servers in one process take a minute to start.
        """
        spec = await self._open_spec(platform, settings)
        self.members.append(await Member.create(spec))
        shared = self._first.view.own.address if role == 'callers' else ''
        for _ in range(count - 1):
            self.members.append(await Member.create(spec, shared))
        if role == 'writer':
            self.members[0].start()
            await _until(lambda: self._first.view.record.slices)
        else:
            await self._adopt_first(spec.store)
        return {'address': self._first.view.own.address}

    async def beat(
        self, writer: str, rounds: int, period_seconds: float
    ) -> Reply:
        """Let all members send heartbeats at the same time."""
        pause_seconds = period_seconds * _PAUSE_FRACTION
        await asyncio.gather(
            *(
                member.beat(writer, rounds, pause_seconds)
                for member in self.members
            )
        )
        return await self.usage()

    async def adopted(self, number: int, limit_seconds: float) -> Reply:
        """Wait until all members have adopted a number, for some time."""
        is_adopted = await wait_at_most(
            _until(
                lambda: (
                    min(one.texts.number for one in self.listening) >= number
                )
            ),
            limit_seconds,
        )
        return {'is_adopted': is_adopted, **await self.usage()}

    async def usage(self) -> Reply:
        """Read the processor time and the counts of this process."""
        return {
            'processor_seconds': time.process_time(),
            'renewal': self._first.view.renewal,
            'members': len(self._first.view.record.members),
            **self.traffic.as_dict(),
        }

    async def _open_spec(
        self, platform: str, settings: Mapping[str, Any]
    ) -> MemberSpec:
        opened = await self.stack.enter_async_context(
            open_platform(platform, 5)
        )
        return MemberSpec(
            settings=MembershipSettings(**settings),
            store=opened.store,
            vms=opened.vms,
            traffic=self.traffic,
        )

    async def _adopt_first(self, store: ObjectStore) -> None:
        """Read the text once and give it to all members that listen."""
        root, parts = await _read_text(store)
        self.listening = [one for one in self.members if one.server]
        for member in self.listening:
            await member.keeper.take_operator_offer(root, parts)
            member.start_catch_up()

    @property
    def _first(self) -> Membership:
        return self.members[0].membership


async def _read_text(store: ObjectStore) -> tuple[bytes, list[PartContent]]:
    """Read the text once for all members of this process."""
    root = (await store.read(ROOT_OBJECT)).unwrap().body
    hashes = StoredTextCodec().decode_root(root).unwrap().part_hashes
    parts = []
    for sha256 in hashes:
        found = await store.read(f'parts/{sha256}')
        parts.append(PartContent(sha256, found.unwrap().body))
    return root, parts


async def _until(condition: Any) -> None:
    while not condition():
        await asyncio.sleep(_POLL_SECONDS)


async def _serve() -> None:
    async with contextlib.AsyncExitStack() as stack:
        host = Host(stack)
        await serve_orders(
            {
                'start': host.start,
                'beat': host.beat,
                'adopted': host.adopted,
                'usage': host.usage,
            }
        )


if __name__ == '__main__':
    logger.remove()
    logger.add(sys.stderr, level='ERROR')
    run_daemon(lambda stop: _serve())
