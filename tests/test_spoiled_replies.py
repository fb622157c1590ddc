"""Test what callers get when a replica spoils, doubles or cuts its replies."""

import itertools

import attrs
import pytest

from dragonflyramp.backends import NoHedging, Policies
from dragonflyramp.callers import (
    MergedAnswer,
    Refusal,
    RelayedAnswer,
    RelayedFailure,
)
from dragonflyramp.routes import GatherSettings
from tests.front_harnesses import (
    RECORD_BYTES,
    FrontHarness,
    make_route,
    make_table,
    run_harness,
)
from tests.standins.faulty_replies import FAULTY_REPLIES
from tests.standins.replicas import ReplicaFaults

_NO_HEDGING = Policies(hedging=NoHedging())
_IDEMPOTENT_TABLE = make_table(make_route())
_ONCE_TABLE = make_table(make_route(is_idempotent=False))
_SHARDS = ('a', 'b', 'c', 'd')
_SEARCH_TABLE = make_table(
    make_route(gather=GatherSettings(_SHARDS, top_count=3, min_share=0.75))
)
#: Replies in which nothing is missing and nothing is added.
_WHOLE = (
    'unframed',
    'chunked',
    'duplicated',
    'copy_before',
    'copy_when_idle',
    *(
        f'{framing}, {end}'
        for framing in ('length', 'chunks', 'announced')
        for end in ('close', 'half')
    ),
)
#: Replies that must not be used.
_SPOILED = (
    'unframed_reset',
    'unframed_copied',
    'unsigned',
    'unsigned_unframed',
    'cut_short',
    'chunked_cut',
    'chunked_copied',
    'truncated',
    'wrong_id',
    'copy_after_close',
    'announced, reset',
    *(
        fault
        for fault in FAULTY_REPLIES
        if ',' in fault and not fault.startswith(('length', 'chunks', 'anno'))
    ),
)
#: Replies that may be lost, or lose the next one, as their connection ends.
_LOSSY = ('length, reset', 'chunks, reset', 'unframed_copy_when_idle')
#: Statuses that promise that a request has not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
#: Replies that are spoiled only by a reply before them on the connection.
_SPOILED_BY_PREVIOUS = ('unframed_with_previous', 'unframed_copy_before')
#: Requests before the fault, so that it occurs on the first or on a later
#: request of a connection.
_EARLIER_COUNTS = (0, 4)
_each_position = pytest.mark.parametrize('earlier_count', _EARLIER_COUNTS)
_each_spoiled = pytest.mark.parametrize(
    ('fault', 'earlier_count'),
    (
        *itertools.product(_SPOILED, _EARLIER_COUNTS),
        *itertools.product(_SPOILED_BY_PREVIOUS, _EARLIER_COUNTS[1:]),
    ),
)
#: Larger than the buffers of sockets.
_LARGE_BODY = bytes(range(256)) * 16_384


def _share_fault(
    harness: FrontHarness, service: str, fault: str, count: int = 1
) -> ReplicaFaults:
    """Set a fault on whichever replica of a service gets the next requests."""
    faults = ReplicaFaults()
    faults.plan(fault, count)
    for server in harness.servers[service]:
        server.faults = faults
    return faults


def _set_bodies(harness: FrontHarness) -> None:
    """Give replicas of a search records, and others the id of the request."""
    for server in harness.all_servers():
        letter = server.replica_id[0].encode()
        server.body = letter * RECORD_BYTES
        if len(harness.servers) > 1:
            server.body += b''.join((b'0' * RECORD_BYTES, b'rest'))
        else:
            server.appends_id = True


async def _send_all(
    harness: FrontHarness, request_ids: list[str], method: str
) -> list[object]:
    return [
        await harness.send(request_id=request_id, method=method)
        for request_id in request_ids
    ]


def _stamped_run_id(harness: FrontHarness, stamp: str) -> str:
    """Return the id of the request whose run a stamp names."""
    replica_id, _, number = stamp.rpartition('.')
    return harness.server_by_id(replica_id).run_ids[int(number) - 1]


def _check_success(
    harness: FrontHarness, answer: object, request_id: str
) -> None:
    """Check that a success is signed, and that its body is its own."""
    assert isinstance(answer, RelayedAnswer)
    reply = answer.reply
    assert reply.is_success
    stamp = dict(reply.headers)['Server-Stamp']
    assert _stamped_run_id(harness, stamp) == request_id
    assert reply.body == harness.server('a', 0).body_for(request_id)


def _check_answer(
    harness: FrontHarness, answer: object, request_id: str
) -> None:
    """Check a success, or that a failure does not deny that a request ran."""
    run_count = sum(
        server.run_ids.count(request_id) for server in harness.servers['a']
    )
    if isinstance(answer, Refusal):
        assert answer.may_have_run or not run_count
        return
    if isinstance(answer, RelayedAnswer):
        _check_success(harness, answer, request_id)
    else:
        assert isinstance(answer, RelayedFailure)
        is_promise = answer.reply.status in _NOT_RUN_STATUSES
        assert not (run_count and is_promise)


@_each_position
@pytest.mark.parametrize('fault', _WHOLE)
@pytest.mark.parametrize('is_idempotent', [True, False])
@pytest.mark.parametrize('late_copies', [False, True])
async def test_whole_reply_is_passed_on(
    fault: str, earlier_count: int, is_idempotent: bool, late_copies: bool
) -> None:
    """A whole reply must keep its stamp and body, however it ends.

    A copy of the reply before may arrive in front of it.
    """
    table = _IDEMPOTENT_TABLE if is_idempotent else _ONCE_TABLE
    async with run_harness(table, policies=_NO_HEDGING) as harness:
        _set_bodies(harness)
        earlier_ids = [f'e{number}' for number in range(earlier_count)]
        await _send_all(harness, earlier_ids, 'POST')
        faults = _share_fault(harness, 'a', fault, 3)
        faults.late_copies = late_copies
        request_ids = [f'q{number}' for number in range(5)]
        answers = await _send_all(harness, request_ids, 'POST')
        assert not faults.remaining(fault)
        for request_id, answer in zip(request_ids, answers, strict=True):
            _check_success(harness, answer, request_id)
        assert harness.run_count('a') == len(earlier_ids) + len(request_ids)


@_each_position
@pytest.mark.parametrize('fault', _LOSSY)
async def test_request_with_lost_reply_runs_once(
    fault: str, earlier_count: int
) -> None:
    """A request whose reply may be lost must not run again or be denied."""
    async with run_harness(_ONCE_TABLE, policies=_NO_HEDGING) as harness:
        _set_bodies(harness)
        earlier_ids = [f'e{number}' for number in range(earlier_count)]
        await _send_all(harness, earlier_ids, 'POST')
        faults = _share_fault(harness, 'a', fault, 2)
        request_ids = [f'q{number}' for number in range(5)]
        answers = await _send_all(harness, request_ids, 'POST')
        assert not faults.remaining(fault)
        for request_id, answer in zip(request_ids, answers, strict=True):
            _check_answer(harness, answer, request_id)
        run_ids = (
            harness.server('a', 0).run_ids + harness.server('a', 1).run_ids
        )
        assert len(run_ids) == len(set(run_ids))


@pytest.mark.parametrize(
    'fault', ['', 'copy_before', 'copy_when_idle', 'duplicated']
)
@pytest.mark.parametrize('refusal', ['shed_signed', 'timed_out'])
@pytest.mark.parametrize('is_idempotent', [True, False])
async def test_copy_of_refusal_is_no_success(
    fault: str, refusal: str, is_idempotent: bool
) -> None:
    """A signed refusal between replies, or its copy, must not be a success.

    The copy bears the id of a request that is sent once more.
    """
    table = _IDEMPOTENT_TABLE if is_idempotent else _ONCE_TABLE
    async with run_harness(table, policies=_NO_HEDGING) as harness:
        _set_bodies(harness)
        faults = _share_fault(harness, 'a', refusal, 0)
        for number in range(12):
            request_id = f'q{number}'
            if number % 2:
                faults.plan(refusal)
            elif fault:
                faults.plan(fault)
            answer = await harness.send(request_id=request_id, method='POST')
            _check_answer(harness, answer, request_id)
            # An idempotent request is answered by the other replica.
            is_relayed = refusal == 'timed_out' and not is_idempotent
            answer_type: type[object] = RelayedAnswer
            if number % 2 and is_relayed:
                answer_type = RelayedFailure
            assert isinstance(answer, answer_type)


@pytest.mark.parametrize(
    ('fault', 'earlier_count'),
    (
        *itertools.product((*_SPOILED, *_LOSSY), _EARLIER_COUNTS),
        *itertools.product(_SPOILED_BY_PREVIOUS, _EARLIER_COUNTS[1:]),
    ),
)
async def test_spoiled_reply_is_retried(fault: str, earlier_count: int) -> None:
    """A caller must not get a reply that is unsigned, mixed or cut short."""
    async with run_harness(_IDEMPOTENT_TABLE, policies=_NO_HEDGING) as harness:
        _set_bodies(harness)
        earlier_ids = [f'e{number}' for number in range(earlier_count)]
        await _send_all(harness, earlier_ids, 'GET')
        faults = _share_fault(harness, 'a', fault)
        request_ids = [f'q{number}' for number in range(4)]
        answers = await _send_all(harness, request_ids, 'GET')
        assert not faults.remaining(fault)
        for request_id, answer in zip(request_ids, answers, strict=True):
            _check_success(harness, answer, request_id)


@_each_spoiled
async def test_request_with_spoiled_reply_runs_once(
    fault: str, earlier_count: int
) -> None:
    """A request with a spoiled reply must not run again or be denied."""
    async with run_harness(_ONCE_TABLE, policies=_NO_HEDGING) as harness:
        _set_bodies(harness)
        earlier_ids = [f'e{number}' for number in range(earlier_count)]
        await _send_all(harness, earlier_ids, 'POST')
        _share_fault(harness, 'a', fault)
        request_ids = [f'q{number}' for number in range(4)]
        answers = await _send_all(harness, request_ids, 'POST')
        assert isinstance(answers[0], Refusal)
        assert answers[0].may_have_run
        for request_id, answer in zip(request_ids, answers, strict=True):
            _check_answer(harness, answer, request_id)
            is_first = request_id == request_ids[0]
            assert is_first or isinstance(answer, RelayedAnswer)
        assert harness.run_count('a') == len(earlier_ids) + len(request_ids)


@pytest.mark.parametrize('fault', _SPOILED)
async def test_spoiled_replies_of_all_replicas_fail(fault: str) -> None:
    """A request whose replies are all spoiled must not get one of them."""
    async with run_harness(_IDEMPOTENT_TABLE, policies=_NO_HEDGING) as harness:
        _set_bodies(harness)
        await _send_all(harness, ['e0', 'e1'], 'GET')
        _share_fault(harness, 'a', fault, 2)
        answer = await harness.send(request_id='q0')
        assert isinstance(answer, Refusal)
        assert answer.may_have_run
        assert harness.run_count('a') == 4


@_each_position
@pytest.mark.parametrize(
    'fault', (*_WHOLE, *_SPOILED, *_LOSSY, *_SPOILED_BY_PREVIOUS)
)
async def test_search_has_no_part_of_spoiled_reply(
    fault: str, earlier_count: int
) -> None:
    """A search must hold each shard once, and no record of a spoiled reply."""
    async with run_harness(_SEARCH_TABLE, policies=_NO_HEDGING) as harness:
        _set_bodies(harness)
        earlier_ids = [f'e{number}' for number in range(earlier_count)]
        await _send_all(harness, earlier_ids, 'GET')
        faults = _share_fault(harness, 'b', fault)
        request_ids = [f'q{number}' for number in range(4)]
        answers = await _send_all(harness, request_ids, 'GET')
        assert not faults.remaining(fault)
        records = [letter * RECORD_BYTES for letter in (b'd', b'c', b'b')]
        for request_id, answer in zip(request_ids, answers, strict=True):
            assert isinstance(answer, MergedAnswer)
            assert not answer.missing_count
            assert answer.body == b''.join(records)
            run_ids = [
                _stamped_run_id(harness, stamp) for stamp in answer.stamps
            ]
            assert run_ids == len(_SHARDS) * [request_id]


async def test_early_reply_does_not_mix_requests() -> None:
    """A reply before the body is read must not mix two requests.

    The replica reads on where the rest of the body is due.
    """
    async with run_harness(_ONCE_TABLE, policies=_NO_HEDGING) as harness:
        _set_bodies(harness)
        for number in range(6):
            request_id = f'q{number}'
            faults = _share_fault(harness, 'a', 'early', number % 2)
            query = harness.make_query(
                '/route/x', 10_000, request_id=request_id, method='POST'
            )
            request = attrs.evolve(
                query.request, body=_LARGE_BODY, has_body=True
            )
            answer = await harness.front.serve(
                attrs.evolve(query, request=request)
            )
            _check_success(harness, answer, request_id)
            assert not faults.early
        for server in harness.servers['a']:
            assert set(server.received_bodies) <= {_LARGE_BODY}


@pytest.mark.parametrize(
    'fault', ['', 'head_with_body', 'unframed', 'unsigned']
)
async def test_reply_to_head_has_no_body(fault: str) -> None:
    """A body after a reply to HEAD must not answer the next request."""
    async with run_harness(_IDEMPOTENT_TABLE, policies=_NO_HEDGING) as harness:
        _set_bodies(harness)
        if fault:
            _share_fault(harness, 'a', fault)
        head_answer = await harness.send(request_id='h0', method='HEAD')
        answers = await _send_all(harness, ['q0', 'q1', 'q2'], 'GET')
        assert isinstance(head_answer, RelayedAnswer)
        assert not head_answer.reply.body
        stamp = dict(head_answer.reply.headers)['Server-Stamp']
        assert _stamped_run_id(harness, stamp) == 'h0'
        for number, answer in enumerate(answers):
            _check_success(harness, answer, f'q{number}')
