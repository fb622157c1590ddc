"""Run one full group in this process and let members fail at once.

`python -m benchmarks.failing_groups FAILED WITH_WRITER` prints one JSON line
with what a span of time cost before the failure and after it.
"""

import asyncio
import json
import sys
import time
from collections.abc import Callable

import attrs
from loguru import logger

from benchmarks.member_processes import Member, MemberSpec, Traffic
from benchmarks.pushes import push_text
from benchmarks.texts import make_text
from dragonflyramp.members import GroupRecord, MembershipSettings
from dragonflyramp.runtime import run_daemon
from tests.standins.platform import MemoryPlatform

_MEMBERS = 32
#: Groups that divide the slices of the design size get 8 each; the edited
#: shard is one more.
_SLICES = 9
_SHARDS = 128
_DOMAINS = ('zone-a', 'zone-b', 'zone-c', 'zone-d')
#: A new writer comes after a term, and takes over after another one.
_SPAN_SECONDS = 14
_POLL_SECONDS = 0.1


@attrs.frozen(kw_only=True)
class Span:
    """Hold what some seconds cost."""

    processor_seconds: float
    platform_calls: int
    messages: int
    message_bytes: int

    def minus(self, earlier: 'Span') -> 'Span':
        """Subtract what was counted before."""
        return Span(
            processor_seconds=self.processor_seconds
            - earlier.processor_seconds,
            platform_calls=self.platform_calls - earlier.platform_calls,
            messages=self.messages - earlier.messages,
            message_bytes=self.message_bytes - earlier.message_bytes,
        )


@attrs.define(eq=False)
class FailingGroup:
    """Hold the members and what they share."""

    platform: MemoryPlatform
    traffic: Traffic = attrs.field(factory=Traffic)
    members: list[Member] = attrs.field(factory=list)

    async def start(self) -> None:
        """Start a group and wait until its slices stand still."""
        await push_text(self.platform, self.platform, make_text(_SHARDS), 0)
        for index in range(_MEMBERS):
            member = await Member.create(
                MemberSpec(
                    settings=MembershipSettings(),
                    store=self.platform,
                    vms=self.platform,
                    traffic=self.traffic,
                    failure_domain=_DOMAINS[index % len(_DOMAINS)],
                )
            )
            member.start()
            self.members.append(member)
        await _until(self.is_settled)

    def read(self) -> Span:
        """Read all counters."""
        return Span(
            processor_seconds=time.process_time(),
            platform_calls=self.platform.calls.total(),
            messages=2 * self.traffic.calls.total(),
            message_bytes=self.traffic.requests.total()
            + self.traffic.replies.total(),
        )

    async def fail(self, count: int, *, with_writer: bool) -> None:
        """End members of one domain at the same time, without a word.

        It is the writer's domain or another one; the deputies of a slice
        are in other domains than its holder.
        """
        record = self.members[0].membership.record
        domain = record.members[record.writer].failure_domain
        ranked = sorted(
            self.members,
            key=lambda one: (_domain_of(one) == domain) is not with_writer,
        )
        failed = ranked[:count]
        self.members = ranked[count:]
        await asyncio.gather(*(member.kill() for member in failed))

    def is_settled(self) -> bool:
        """Tell whether all know all, and the living hold all slices."""
        living = {_id_of(member) for member in self.members}
        return all(
            _is_settled(member.membership.record, living)
            for member in self.members
        )


def _is_settled(record: GroupRecord, living: set[str]) -> bool:
    holders = {entry.holder for entry in record.slices.values()}
    is_whole = len(record.slices) == _SLICES and holders <= living
    return is_whole and record.members.keys() == living


async def measure(count: int, with_writer: bool) -> dict[str, object]:
    """Measure a span before the failure and one after it."""
    group = FailingGroup(MemoryPlatform())
    await group.start()
    print(json.dumps({'started': True}), flush=True)
    await asyncio.sleep(_SPAN_SECONDS)
    started = group.read()
    await asyncio.sleep(_SPAN_SECONDS)
    quiet = group.read().minus(started)
    started = group.read()
    await group.fail(count, with_writer=with_writer)
    await asyncio.sleep(_SPAN_SECONDS)
    failing = group.read().minus(started)
    return {
        'survivors': len(group.members),
        'is_settled': group.is_settled(),
        'quiet': attrs.asdict(quiet),
        'failing': attrs.asdict(failing),
    }


def _domain_of(member: Member) -> str:
    return member.membership.view.own.failure_domain


def _id_of(member: Member) -> str:
    return member.membership.view.own.member_id


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(60):
        while not condition():
            await asyncio.sleep(_POLL_SECONDS)


async def _main(arguments: list[str]) -> None:
    count, with_writer = arguments
    found = await measure(int(count), with_writer == 'true')
    print(json.dumps(found), flush=True)


if __name__ == '__main__':
    logger.remove()
    logger.add(sys.stderr, level='ERROR')
    run_daemon(lambda stop: _main(sys.argv[1:]))
