"""Test each end of a reply over sockets, against what was sent."""

import asyncio
import contextlib
import itertools
import time
from collections.abc import Callable, Coroutine, Iterator, Mapping
from typing import Any, TypeAlias

import attrs
import pytest
import uvloop

from dragonflyramp.backends import (
    HedgingPolicy,
    Policies,
    RouteLatencies,
)
from dragonflyramp.callers import RelayedAnswer
from dragonflyramp.platform import ReplicaCodec
from dragonflyramp.replica_connections import (
    Connection,
    ConnectionPool,
    _connections_http,
)
from dragonflyramp.replica_connections._exchanges import Exchange, OutcomeKind
from dragonflyramp.replica_connections._protocols_http import ReplyProtocol
from dragonflyramp.replica_connections._readers_http import ReplyReader
from dragonflyramp.replica_connections._reply_memory import ReplyMemory
from dragonflyramp.runtime import TaskSet
from tests.front_harnesses import make_route, make_table, run_harness
from tests.reply_servers import SentReply, Step, pause, run_client
from tests.standins.waits import eventually

_FRAMINGS = ('length', 'chunked', 'close')
_Kinds: TypeAlias = frozenset[OutcomeKind]
_RunLoop: TypeAlias = Callable[[Coroutine[Any, Any, None]], None]
_Pair: TypeAlias = tuple[SentReply, SentReply]
_Steps: TypeAlias = tuple[bytes | Step, ...]
_ANY = frozenset(OutcomeKind)
_REPLIED = frozenset((OutcomeKind.replied,))
_CANCELLED = frozenset((OutcomeKind.cancelled,))
_FAILED = frozenset((OutcomeKind.lost, OutcomeKind.garbled))
#: The end of a connection is under test here, not its start.
_CONNECT_TIMEOUT_SECONDS = 9
#: Cases that run at once.
_BATCH_SIZE = 64


@pytest.fixture(autouse=True)
def _patient_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let connections open in a process that stands still for some seconds."""
    monkeypatch.setattr(
        _connections_http, '_CONNECT_TIMEOUT_SECONDS', _CONNECT_TIMEOUT_SECONDS
    )


@pytest.fixture(params=(uvloop.run, asyncio.run), ids=('uvloop', 'asyncio'))
def run_loop(request: pytest.FixtureRequest) -> Any:
    """Run each test on both event loops.

    The order of the last callbacks of a connection differs between them.
    """
    return request.param


@attrs.frozen(kw_only=True)
class _Case:
    """Requests on a connection, and the script of its server."""

    label: str
    steps: _Steps
    #: Reply and allowed outcomes of each request.
    expected: tuple[tuple[SentReply, _Kinds], ...]
    #: Turns of the event loop between a reply and the next request.
    idle_turn_count: int = 0
    #: Whether the connection stays usable.
    is_kept: bool = False

    async def check(self) -> None:
        """Raise AssertionError if something else is handed on."""
        async with run_client() as client:
            client.play(*self.steps)
            for reply, kinds in self.expected:
                if not client.is_usable:
                    assert kinds == _ANY, 'closed early'
                    break
                await client.start(reply)
                if kinds == _CANCELLED:
                    await pause(40)
                    assert not client.outcome.done(), 'ended early'
                    client.connection.close()
                await client.check(kinds)
                await pause(self.idle_turn_count)
            if self.is_kept:
                assert client.is_usable, 'closed'
            else:
                await client.wait_end()


async def _check_cases(cases: Iterator[_Case]) -> None:
    problems: list[str] = []
    while batch := list(itertools.islice(cases, _BATCH_SIZE)):
        checks = (case.check() for case in batch)
        errors = await asyncio.gather(*checks, return_exceptions=True)
        problems.extend(
            f'{case.label}: {error!r}'
            for case, error in zip(batch, errors, strict=True)
            if error is not None
        )
    assert not problems, '\n'.join((f'{len(problems)} of', *problems[:60]))


def _answer(*pieces: bytes) -> _Steps:
    """Return steps that let the client read each piece before the next."""
    steps: list[bytes | Step] = [Step.receive]
    for piece in pieces:
        steps.extend((piece, Step.pause))
    return tuple(steps)


def _doubled_steps(replies: _Pair, copy: SentReply, place: str) -> _Steps:
    first, second = (reply.encoded for reply in replies)
    extra = copy.encoded
    cut_at = len(replies[1].head) + 5
    start, rest = second[:cut_at], second[cut_at:]
    mixed = extra + rest
    to_length = (start + mixed[: len(rest)], mixed[len(rest) :])
    steps_by_place: Mapping[str, _Steps] = {
        'at once': (*_answer(first + extra), *_answer(second)),
        'idle': (*_answer(first, extra), *_answer(second)),
        'front': (*_answer(first), *_answer(extra, second)),
        'front at once': (*_answer(first), *_answer(extra + second)),
        'alone': (*_answer(first), *_answer(extra)),
        'inside': (*_answer(first), *_answer(start, extra, rest)),
        'inside to length': (*_answer(first), *_answer(*to_length)),
        'appended': (*_answer(first), *_answer(second + extra)),
        'appended late': (*_answer(first), *_answer(second, extra)),
    }
    return (*steps_by_place[place], Step.fin)


#: What a copy lacks; `own` is one of the due reply itself.
_COPY_KINDS = ('exact', 'without id', 'without stamp', 'without id and stamp')
#: The copy arrives before, with and after the second request.
_IDLE_TURN_COUNTS = (0, 1, 2, 4, 10)


def _doubled_replies(copy_kind: str) -> Iterator[tuple[_Pair, SentReply]]:
    """Return the replies to two requests, and a copy of one of them."""
    for (has_id, has_stamp), methods, framings in itertools.product(
        ((True, True), (True, False), (False, True)),
        itertools.product(('GET', 'HEAD'), repeat=2),
        itertools.product(_FRAMINGS, repeat=2),
    ):
        first = SentReply(
            number=1, method=methods[0], has_id=has_id, has_stamp=has_stamp
        )
        second = attrs.evolve(
            first, number=2, method=methods[1], framing=framings[0]
        )
        copy = attrs.evolve(
            second if copy_kind == 'own' else first,
            framing=framings[1],
            has_id=has_id and 'id' not in copy_kind,
            has_stamp=has_stamp and 'stamp' not in copy_kind,
        )
        yield (first, attrs.evolve(second, body_bytes=400)), copy


def _doubled_cases(place: str, copy_kind: str) -> Iterator[_Case]:
    idle_turn_counts = itertools.cycle(_IDLE_TURN_COUNTS)
    for replies, copy in _doubled_replies(copy_kind):
        has_mark = copy.has_id or copy.has_stamp
        # Bytes without a mark cannot be told from a body: docs/unproved.md.
        if place == 'inside to length' and not has_mark:
            continue
        is_recognized = has_mark and copy.framing != 'close'
        is_get = {reply.method for reply in (*replies, copy)} == {'GET'}
        is_alive = place.startswith('front') and is_recognized and is_get
        kinds = _REPLIED if is_alive else _ANY
        yield _Case(
            label=f'{place} {copy} at {replies[1]}',
            steps=_doubled_steps(replies, copy, place),
            expected=tuple((reply, kinds) for reply in replies),
            idle_turn_count=next(idle_turn_counts),
        )


_PLACES_BEFORE = ('at once', 'idle', 'front', 'front at once', 'alone')
_PLACES_WITHIN = ('inside', 'inside to length', 'appended', 'appended late')


@pytest.mark.parametrize(
    ('place', 'copy_kind'),
    [
        *itertools.product(_PLACES_BEFORE, _COPY_KINDS),
        *itertools.product(_PLACES_WITHIN, (*_COPY_KINDS, 'own')),
    ],
)
def test_copy_answers_nothing(
    run_loop: _RunLoop, place: str, copy_kind: str
) -> None:
    """A copy must neither answer another request nor lengthen a body.

    The due reply after a copy that is recognized must be used.
    """
    run_loop(_check_cases(_doubled_cases(place, copy_kind)))


async def _check_cut_copy(size: int) -> None:
    first, second = SentReply(number=1), SentReply(number=2, status=500)
    late = first.encoded[:size] + second.encoded
    async with run_client() as client:
        client.play(Step.receive, first.encoded, Step.receive, late)
        await client.start(first)
        await client.check(_REPLIED)
        await client.start(second)
        await client.check(_REPLIED | _FAILED)


async def _check_cut_copies() -> None:
    sizes = range(1, len(SentReply(number=1).head))
    await asyncio.gather(*map(_check_cut_copy, sizes))


def test_cut_copy_lends_no_status(run_loop: _RunLoop) -> None:
    """A failure must not become a success after the start of a late copy."""
    run_loop(_check_cut_copies())


#: Bytes in which a parser finds the end of a line and of a head.
_HEAD_ENDS = (
    b'HTTP/1.1 OK 200\r\n\r\n',
    b'HTTP/1.1 600 Bad\r\nContent-Length: 2\r\n\r\nno',
    b'HTTP/2.0 500 Bad\r\nContent-Length: 2\r\n\r\nno',
)


async def _check_cut_head(size: int, other: bytes) -> None:
    reply = SentReply(number=1)
    sent = reply.encoded[:size] + other
    async with run_client() as client:
        client.play(Step.receive, sent, Step.pause, Step.fin)
        await client.start(reply)
        await client.check(_FAILED)


async def _check_cut_heads(other: bytes) -> None:
    head = SentReply(number=1).head
    # Without stamp and id, it is no success.
    sizes = range(head.index(b'X-Twice'), len(head))
    checks = (_check_cut_head(size, other) for size in sizes)
    errors = await asyncio.gather(*checks, return_exceptions=True)
    problems = [
        f'cut after {size}: {error!r}'
        for size, error in zip(sizes, errors, strict=True)
        if error is not None
    ]
    assert not problems, '\n'.join(problems)


@pytest.mark.parametrize('other', _HEAD_ENDS, ids=('order', '600', 'http2'))
def test_cut_head_is_ended_by_no_other_bytes(
    run_loop: _RunLoop, other: bytes
) -> None:
    """A reply that was cut in its head must not become a whole one."""
    run_loop(_check_cut_heads(other))


async def _check_appended(extra: bytes) -> None:
    reply = SentReply(number=1, framing='close')
    async with run_client() as client:
        client.play(Step.receive, reply.encoded + extra, Step.fin)
        await client.start(reply)
        await client.check(_FAILED)


@pytest.mark.parametrize(
    'extra',
    [
        b'HTTP/1.1 200 OK\r\n\r\nok',
        b'HTTP/1.1 200 OK\r\nno colon here\r\n\r\n',
        b'HTTP/1.1 OK 200\r\n\r\n',
    ],
    ids=('bare', 'no-colon', 'order'),
)
def test_head_without_headers_is_no_body(
    run_loop: _RunLoop, extra: bytes
) -> None:
    """A body without a length must not go on with a second status line."""
    run_loop(_check_appended(extra))


async def _check_filled_body(size: int) -> None:
    first = SentReply(number=1)
    own_bytes = 5
    second = SentReply(number=2, body_bytes=own_bytes + size)
    start = second.encoded[: len(second.head) + own_bytes]
    async with run_client() as client:
        client.play(
            Step.receive,
            first.encoded,
            Step.receive,
            start + first.encoded[:size],
            Step.pause,
            first.encoded[size:],
        )
        await client.start(first)
        await client.check(_REPLIED)
        await client.start(second)
        await client.check(_FAILED)


async def _check_filled_bodies() -> None:
    encoded = SentReply(number=1).encoded
    sizes = range(len(b'HTTP/1.1 200'), encoded.index(b'stamp-1'))
    await asyncio.gather(*map(_check_filled_body, sizes))


def test_start_of_copy_completes_no_body(run_loop: _RunLoop) -> None:
    """A cut body must not be filled by a copy that is read in two pieces."""
    run_loop(_check_filled_bodies())


async def _check_old_copy(request_count: int) -> None:
    replies = [
        SentReply(number=number, has_id=False)
        for number in range(request_count)
    ]
    async with run_client() as client:
        steps = (_answer(reply.encoded) for reply in replies[:-1])
        late = replies[0].encoded + replies[-1].encoded
        client.play(*itertools.chain.from_iterable(steps), *_answer(late))
        for reply in replies:
            if not client.is_usable:
                break
            await client.start(reply)
            is_last = reply is replies[-1]
            await client.check(_REPLIED | _FAILED if is_last else _REPLIED)


@pytest.mark.parametrize('request_count', [33, 34, 50])
def test_copy_of_old_reply_answers_nothing(
    run_loop: _RunLoop, request_count: int
) -> None:
    """A copy without an id must not answer, however many requests later."""
    run_loop(_check_old_copy(request_count))


#: How a reply is sent. `end together`: one poll reports its last bytes and the
#: end of the connection.
_FORMS = ('', 'split', 'end together', 'split, end together')


def _ended_kinds(reply: SentReply, fault: str, end: Step | None) -> _Kinds:
    is_whole = not fault.startswith('cut')
    if reply.is_close_delimited:
        is_whole = not fault and end in {Step.fin, Step.half}
    if not is_whole:
        return _FAILED if end else _CANCELLED
    # A reset may discard what was sent.
    return _REPLIED | _FAILED if end is Step.reset else _REPLIED


def _faulty_bytes(reply: SentReply) -> Iterator[tuple[str, bytes]]:
    """Return faults, and the bytes that are sent of a reply."""
    encoded = reply.encoded
    head_bytes = len(reply.head)
    yield '', encoded
    for size in (5, head_bytes // 2, head_bytes - 2, head_bytes - 1):
        yield 'cut in head', encoded[:size]
    # Bytes up to the end of the connection are the body.
    if reply.is_close_delimited:
        return
    yield 'garbage', b''.join((encoded, b'\x00\x01garbage\r\n'))
    if reply.has_body:
        for size in (head_bytes, head_bytes + 4, len(encoded) - 1):
            yield 'cut in body', encoded[:size]
        if reply.framing == 'chunked':
            yield 'cut in chunk', encoded[: head_bytes + 1]
            yield 'cut after chunks', encoded[: encoded.index(b'0\r\n\r\n')]


def _ended_steps(reply: SentReply, sent: bytes, form: str) -> _Steps:
    cuts: tuple[int | None, ...] = (0, None)
    if 'split' in form:
        size = len(reply.head)
        cuts = (0, size // 3, size - 1, size + 2, None)
    pieces = (sent[slice(*cut)] for cut in itertools.pairwise(cuts))
    steps = _answer(*filter(None, pieces))
    return steps[:-1] if 'end together' in form else steps


def _ended_cases(framing: str, end: Step | None) -> Iterator[_Case]:
    for method, status, form in itertools.product(
        ('GET', 'POST', 'HEAD'), (200, 204, 304, 500), _FORMS[: 4 if end else 2]
    ):
        reply = SentReply(
            number=2, method=method, status=status, framing=framing
        )
        # The client also closes after a reply to HEAD without a length.
        as_get = attrs.evolve(reply, method='GET')
        for fault, sent in _faulty_bytes(reply):
            yield _Case(
                label=f'{reply} {fault} {len(sent)} bytes {end} {form}',
                steps=(*_ended_steps(reply, sent, form), *filter(None, (end,))),
                expected=((reply, _ended_kinds(reply, fault, end)),),
                is_kept=not (end or fault or as_get.is_close_delimited),
            )


def _make_later(case: _Case) -> _Case:
    """Return a case after another exchange on the connection."""
    first = SentReply(number=1)
    return attrs.evolve(
        case,
        steps=(Step.receive, first.encoded, *case.steps),
        expected=((first, _REPLIED), *case.expected),
    )


@pytest.mark.parametrize('is_later', [False, True])
@pytest.mark.parametrize('end', [Step.fin, Step.reset, Step.half, None])
@pytest.mark.parametrize('framing', _FRAMINGS)
def test_reply_is_used_only_whole(
    run_loop: _RunLoop, framing: str, end: Step | None, *, is_later: bool
) -> None:
    """A reply must be used exactly as sent if it is whole, and else not.

    Without a length, only the regular end of the connection completes it.
    """
    cases = _ended_cases(framing, end)
    run_loop(_check_cases(map(_make_later, cases) if is_later else cases))


@attrs.frozen
class _Moment:
    """When something happens to a connection whose reply ends."""

    #: Callback of the protocol; else the turns after the end count.
    callback: str = ''
    is_before: bool = False
    turn_count: int = 0

    @contextlib.contextmanager
    def call(self, action: Callable[[], None]) -> Iterator[None]:
        """Call an action at the callback of connections that open later.

        uvloop looks up some callbacks as a connection opens.
        """
        if not self.callback:
            yield
            return
        callback = getattr(ReplyProtocol, self.callback)

        def spy(protocol: ReplyProtocol, *args: Any) -> Any:  # noqa: WPS430
            if self.is_before:
                action()
            returned = callback(protocol, *args)
            if not self.is_before:
                action()
            return returned

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(ReplyProtocol, self.callback, spy)
            yield


async def _check_idle_end() -> None:
    reply = SentReply(number=1)
    seen: list[bool] = []
    moment = _Moment('eof_received')
    with moment.call(lambda: seen.append(client.is_usable)):
        async with run_client() as client:
            client.play(Step.receive, reply.encoded, Step.pause, Step.fin)
            await client.start(reply)
            await client.check(_REPLIED)
            await client.wait_end()
    assert seen == [False]


def test_end_of_idle_connection_is_seen_at_once(run_loop: _RunLoop) -> None:
    """A request must not be written to a connection whose end was received.

    The event loop reports the loss of the connection later than its end.
    """
    run_loop(_check_idle_end())


_CALLBACKS = ('data_received', 'eof_received', 'connection_lost')
_MOMENTS = (
    *itertools.starmap(_Moment, itertools.product(_CALLBACKS, (True, False))),
    *(_Moment(turn_count=turn_count) for turn_count in range(5)),
)
#: Not complete, and smaller than the other reply.
_OTHER_REPLY = b''.join((b'HTTP/1.1 200 OK\r\nX: y\r\n\r\n', b'o' * 150))


def _given_up_kinds(
    reply: SentReply, end: Step, moment: _Moment, *, is_left: bool
) -> _Kinds:
    is_unframed = reply.is_close_delimited
    is_reset = end is Step.reset
    is_early = {
        'data_received': moment.is_before or is_unframed,
        'eof_received': moment.is_before and is_unframed,
    }
    if is_early.get(moment.callback) or (is_reset and is_unframed):
        return _ANY - _REPLIED
    is_due = moment.callback and not is_reset and not is_left
    return _REPLIED if is_due else _ANY


async def _check_given_up(
    reply: SentReply, end: Step, moment: _Moment, *, is_left: bool
) -> None:
    memory = ReplyMemory()
    other = ReplyReader(is_head=False, memory=memory)
    is_ending = asyncio.Event()
    usable: list[bool] = []

    def give_up() -> None:  # noqa: WPS430
        if is_ending.is_set() and is_left:
            client.connection.close()
            usable.append(client.is_usable)
        elif is_ending.is_set():
            other.feed(_OTHER_REPLY)

    with moment.call(give_up):
        async with run_client(memory) as client:
            await client.start(reply)
            first, last = reply.encoded[:-6], reply.encoded[-6:]
            await client.play(Step.receive, first, Step.pause)
            await eventually(lambda: memory.held_bytes > 0)
            memory.max_bytes = memory.held_bytes + 100
            is_ending.set()
            client.play(last, end)
            if not moment.callback:
                await pause(moment.turn_count)
                give_up()
            await client.check(
                _given_up_kinds(reply, end, moment, is_left=is_left)
            )
            await client.wait_end()
    other.discard()
    assert not memory.held_bytes
    assert not any(usable)


@pytest.mark.parametrize('framing', _FRAMINGS)
@pytest.mark.parametrize('end', [Step.fin, Step.half, Step.reset])
@pytest.mark.parametrize('is_left', [False, True])
@pytest.mark.parametrize('moment', _MOMENTS, ids=str)
def test_reply_given_up_is_whole_or_none(
    run_loop: _RunLoop,
    framing: str,
    end: Step,
    moment: _Moment,
    *,
    is_left: bool,
) -> None:
    """A reply that is given up as it ends must not be used in part.

    It is given up for memory by another reader, or as its caller leaves.
    """
    reply = SentReply(number=2, framing=framing, body_bytes=1000)
    run_loop(_check_given_up(reply, end, moment, is_left=is_left))


async def _check_cancelled(reply: SentReply, at: int, last: bytes) -> None:
    failures: list[object] = []
    asyncio.get_running_loop().set_exception_handler(
        lambda _, context: failures.append(context)
    )
    async with run_client() as client:
        await client.start(reply)
        await client.play(Step.receive, reply.encoded[:at], Step.pause)
        client.sock.send(last)
        client.task.cancel()
        await client.check(_CANCELLED)
    assert not failures


@pytest.mark.parametrize('is_rest_sent', [False, True])
@pytest.mark.parametrize('at', [0, 20, -5])
@pytest.mark.parametrize('framing', _FRAMINGS)
def test_cancelled_connection_reports_no_failure(
    run_loop: _RunLoop, framing: str, at: int, *, is_rest_sent: bool
) -> None:
    """A front that stops must not report a failure for each pending reply.

    The last callbacks of a connection run after its task was cancelled.
    """
    reply = SentReply(number=1, framing=framing)
    last = reply.encoded[at:] if is_rest_sent else b''
    run_loop(_check_cancelled(reply, at, last))


async def test_unstarted_connection_ends_its_exchange() -> None:
    """A stop must not leave an attempt waiting that has just begun."""
    tasks = TaskSet()
    pool = ConnectionPool(
        '127.0.0.1:1',
        lambda address, hooks: Connection(
            address, hooks, ReplicaCodec(), time.monotonic
        ),
        tasks,
        lambda: None,
        lambda reply, now_seconds: None,
    )
    exchange = Exchange(
        request=SentReply(number=1).request,
        replica_id='r',
        deadline_at_seconds=time.monotonic() + 20,
        outcome=asyncio.get_running_loop().create_future(),
    )
    pool.start(exchange, time.monotonic())
    await tasks.cancel()
    assert exchange.outcome.done()


class _EarlyHedging(HedgingPolicy):
    def delay_ms(self, latencies: RouteLatencies) -> float:
        """Return a delay within which no replica replies."""
        return 10


async def _check_hedges(fault: str, slow_seconds: float) -> None:
    policies = Policies(hedging=_EarlyHedging())
    table = make_table(make_route())
    async with run_harness(table, policies=policies) as harness:
        sound, slow = harness.servers['a']
        sound.faults.work_seconds = 0.015
        slow.faults.work_seconds = slow_seconds
        for server in (sound, slow):
            server.body = server.replica_id.encode() * 1000
        for number in range(10):
            if fault:
                slow.faults.plan(fault, 2)
            answer = await harness.send(request_id=f'q{number}')
            assert isinstance(answer, RelayedAnswer)
            reply = answer.reply
            server = harness.server_by_id(reply.stamp.partition('.')[0])
            assert (reply.request_id, reply.body) == (f'q{number}', server.body)
            headers = dict(reply.headers)
            assert headers.get('Server-Stamp') == reply.stamp
            assert headers.get('Request-Id') == reply.request_id
        assert set(sound.run_ids) & set(slow.run_ids)


@pytest.mark.parametrize('slow_seconds', [0.015, 0.025, 0.06])
@pytest.mark.parametrize('fault', ['', 'unframed', 'truncated'])
def test_lost_attempt_changes_no_reply(
    run_loop: _RunLoop, fault: str, slow_seconds: float
) -> None:
    """A reply that loses to a hedge must not be mixed into another one.

    It ends before, with and after the one that wins.
    """
    run_loop(_check_hedges(fault, slow_seconds))
