"""Measure promises to deputies, group records, and their memory."""

import time

import attrs

from benchmarks.control_texts import traced_figure
from benchmarks.slopes import (
    RUNS,
    Figure,
    exact_figure,
    print_figures,
    processor_figure,
)
from dragonflyramp.members import GrpcMemberCalls, MemberServer, MembersService
from dragonflyramp.members._group_json import decode_record, encode_record
from dragonflyramp.members._groups import (
    GroupRecord,
    MemberEntry,
    Role,
    SliceEntry,
)
from dragonflyramp.members._messages import (
    Promise,
    PromiseReply,
    SliceEpoch,
    SliceWarmth,
)
from dragonflyramp.members._methods_grpc import PROMISE
from dragonflyramp.models import MemberId, SliceId, Warmth, WarmthEntry
from dragonflyramp.results import ResultCode

#: Slices of one promise, and replicas in the warmth table of each. Slices
#: have about 16 shards, at the design size of 5 replicas each.
SLICES = (1, 4, 16)
REPLICAS = (0, 16, 320)
_USUAL_SLICES = 4
_USUAL_REPLICAS = 80
_CALLS = 50
_MEMBERS = 32
#: Slices of one group if groups divide them, and of the whole design size.
_GROUP_SLICES = (8, 43, 1375)
_MICROSECONDS = 1_000_000


@attrs.frozen
class Deputy:
    """Promise everything; the rest of a member's service is not called."""

    async def promise(self, request: Promise) -> PromiseReply:
        """Promise all tenures."""
        return PromiseReply(
            code=ResultCode.ok,
            configuration_number=request.configuration_number,
            promised=tuple(
                SliceEpoch(one.slice_id, one.epoch) for one in request.slices
            ),
        )

    def __getattr__(self, name: str) -> object:
        """Stand for the methods of the service that nobody calls."""
        return self.promise


async def run() -> None:
    """Print the cost of promises and of records."""
    figures = []
    for slices in SLICES:
        figures.extend(await _promise_figures(slices, _USUAL_REPLICAS))
    for replicas in REPLICAS:
        figures.extend(await _promise_figures(_USUAL_SLICES, replicas))
    print_figures('promise to a deputy, both sides', figures)
    for count in _GROUP_SLICES:
        print_figures(f'record of 32 members, {count} slices', _record(count))


async def _promise_figures(slices: int, replicas: int) -> list[Figure]:
    request = make_promise(slices, replicas)
    name = f'{slices} slices of {replicas} replicas'
    return [
        exact_figure(name, 'B', len(PROMISE.pack_request(request))),
        await _call_figure(name, request),
    ]


async def _call_figure(name: str, request: Promise) -> Figure:
    """Measure calls over loopback with both sides in this process."""
    server = MemberServer()
    port = server.bind('127.0.0.1:0')
    deputy = Deputy()
    # The service is duck-typed here: only its method `promise` is called.
    await server.start(MembersService(deputy, deputy))  # type: ignore[arg-type]
    calls = GrpcMemberCalls()
    samples = []
    for _ in range(RUNS + 1):
        started_seconds = time.process_time()
        for _ in range(_CALLS):
            await calls.promise(f'127.0.0.1:{port}', request, 30)
        spent_seconds = time.process_time() - started_seconds
        samples.append(spent_seconds / _CALLS * _MICROSECONDS)
    await calls.close()
    await server.stop(0)
    return Figure(name, 'us', tuple(samples[1:]))


def make_promise(slices: int, replicas: int) -> Promise:
    """Ask for slices whose replicas are all warm."""
    return Promise(
        holder_id=MemberId('0123456789abcdef'),
        deputy_id=MemberId('fedcba9876543210'),
        configuration_number=8900,
        slices=tuple(
            SliceWarmth(
                slice_id=_slice_id(index),
                epoch=17,
                replicas=tuple(map(_warmth, range(replicas))),
            )
            for index in range(slices)
        ),
    )


def make_record(slices: int) -> GroupRecord:
    """Make the record of a full group with all deputies."""
    ids = [MemberId(format(index, '016x')) for index in range(_MEMBERS)]
    record = GroupRecord(
        renewal=100000, writer=ids[0], configuration_number=8900
    )
    return record.with_members(map(_member, ids)).with_slices(
        SliceEntry(
            slice_id=_slice_id(index),
            holder=ids[index % _MEMBERS],
            epoch=100000,
            renewal=100000,
            deputies=(
                ids[(index + 1) % _MEMBERS],
                ids[(index + 2) % _MEMBERS],
            ),
            renamed=90000,
        )
        for index in range(slices)
    )


def _record(slices: int) -> list[Figure]:
    record = make_record(slices)
    body = encode_record(record)
    return [
        exact_figure('encoded', 'B', len(body)),
        processor_figure('encode', lambda: encode_record(record), repeats=5),
        processor_figure('decode', lambda: decode_record(body), repeats=5),
        processor_figure(
            'compare without counters',
            lambda: record.layout() == record.layout(),
            repeats=5,
        ),
        traced_figure('in memory', lambda: decode_record(body)),
    ]


def _slice_id(index: int) -> SliceId:
    return SliceId(f'desk-0001/{index}')


def _warmth(index: int) -> WarmthEntry:
    return WarmthEntry(
        replica_id=f'stock-{index}',
        instance_id=format(index, '016x'),
        warmth=Warmth.warm,
        limit=3,
        latency_ms=8.25,
    )


def _member(member_id: MemberId) -> MemberEntry:
    return MemberEntry(
        member_id=member_id,
        role=Role.relay,
        address='10.20.30.40:7000',
        status_address='10.20.30.40:7001',
        failure_domain='zone-a',
        joined=5000,
        renewal=100000,
        configuration_number=8900,
    )
