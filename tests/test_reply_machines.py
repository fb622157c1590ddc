"""Test the replies on one connection with a state machine.

It puts what a replica, the network, a caller and the front do into any order,
without sockets and with a clock of its own.
"""

import re
from typing import Any

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from dragonflyramp.backends._reply_checks import check_reply
from dragonflyramp.messages import Reply, Request
from dragonflyramp.platform import ReplicaCodec
from dragonflyramp.replica_connections import (
    Connection,
    ConnectionPool,
    ReplyMemory,
)
from dragonflyramp.replica_connections._exchanges import (
    Exchange,
    Outcome,
    OutcomeKind,
)
from dragonflyramp.runtime import TaskSet
from tests.reply_servers import SentReply
from tests.standins.wires import ModelLoop, Wire

_LONG_ID = 'long' * 20
_DEADLINE_SECONDS = 20
#: More than the bytes that a machine sends on a connection.
_ALL_BYTES = 1_000_000
_RESET_ERROR = 104
_SPOILED = (
    b'HTTP/1.1 OK 200\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nno colon here\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok',
    b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok',
    b'\x16\x03\x01\x00*\x02\x00\x00\r\n\r\n',
    b'HTTP/1.1 101 Switching\r\nUpgrade: any\r\n\r\n',
    b'ok',
    b'\r\n',
)
_INTERIM = (
    b'HTTP/1.1 100 Continue\r\n\r\n',
    b'HTTP/1.1 103 Early\r\nServer-Stamp: early\r\nRequest-Id: id-1\r\n\r\n',
)
#: Head of a reply in a body without a length, or the start of one at its end.
_SECOND_HEAD = re.compile(
    rb'HTTP/1\.1 \d{3} \w+\r\n[\w-]+:'
    rb'|HTTP/(1(\.(1( (\d{0,2}|\d{3}( (\w+(\r(\n[\w-]{0,40})?)?)?)?))?)?)?)?\Z'
)


@attrs.frozen(kw_only=True)
class _PlayedReply(SentReply):
    """Reply to a request whose id another attempt may have."""

    request_id: str
    is_not_run: bool = False

    @property
    def request(self) -> Request:
        """Return the request that the reply answers."""
        request = super().request
        headers = (('Host', 'h'), ('Request-Id', self.request_id))
        return attrs.evolve(
            request, request_id=self.request_id, headers=headers
        )

    @property
    def reply(self) -> Reply:
        """Return the reply that a client gets."""
        reply = super().reply
        request_id = self.request_id if self.has_id else ''
        headers = [
            (name, request_id if name == 'Request-Id' else text)
            for name, text in reply.headers
        ]
        if self.is_not_run:
            headers.append(('Not-Executed', '1'))
        return attrs.evolve(
            reply,
            headers=tuple(header for header in headers if header[1]),
            request_id=request_id,
            is_not_run=self.is_not_run,
        )


@attrs.define(eq=False)
class _Play:
    """Exchange, and what the machine sent as its reply."""

    exchange: Exchange
    #: None until the exchange has started.
    connection: Connection | None
    method: str
    wire: Wire | None = None
    reply: _PlayedReply | None = None
    #: Whether the replica may have cut its body, or put other bytes into it or
    #: at its end, where nothing else ends it.
    is_altered: bool = False
    #: The outcome when it was seen first.
    seen: Outcome | None = None

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.exchange.request.request_id

    @property
    def outcome(self) -> Outcome | None:
        """Return the outcome, if it is set."""
        outcome = self.exchange.outcome
        return outcome.result() if outcome.done() else None


@attrs.frozen(kw_only=True)
class _Copy:
    """Late copy of one of the last replies, or the start of one."""

    back: int
    has_id: bool
    has_stamp: bool
    framing: str
    method: str
    body_bytes: int | None
    sent_bytes: int


_framings = st.sampled_from(('length', 'chunked', 'close'))
_body_sizes = st.sampled_from((0, 12, 200))
_copies = st.builds(
    _Copy,
    back=st.integers(0, 2),
    has_id=st.booleans(),
    has_stamp=st.booleans(),
    framing=_framings,
    method=st.sampled_from(('GET', 'HEAD')),
    body_bytes=st.sampled_from((None, 2)),
    sent_bytes=st.sampled_from((_ALL_BYTES, 15)) | st.integers(1, 150),
)
_extras = st.sampled_from(_SPOILED + _INTERIM) | _copies | _copies
_statuses = st.sampled_from((200, 200, 204, 500, 503))
_sizes = st.just(_ALL_BYTES) | st.integers(1, 300)


class ReplyMachine(RuleBasedStateMachine):  # noqa: WPS230 - the whole model
    """Send requests on a connection at a time, and replies of any kind."""

    def __init__(self) -> None:
        """Start without a connection."""
        super().__init__()
        self.loop = ModelLoop(self._connect)
        self.now_seconds: float = 0
        self.echoes_ids = True
        self.memory = ReplyMemory()
        self.tasks = TaskSet()
        self.pool = ConnectionPool(
            'replica:1',
            lambda address, hooks: Connection(
                address, hooks, ReplicaCodec(), self._clock, self.memory
            ),
            self.tasks,
            lambda: None,
            lambda reply, now_seconds: None,
        )
        self.plays: list[_Play] = []
        self.wires: list[Wire] = []

    @property
    def wire(self) -> Wire:
        """Return the newest connection."""
        return self.wires[-1]

    def is_free(self) -> bool:
        """Return whether a request may be sent."""
        return self.pool.has_capacity(self.now_seconds)

    def is_open(self) -> bool:
        """Return whether the replica may send."""
        return bool(self.wires) and not self.wire.is_closed

    def has_request(self) -> bool:
        """Return whether the replica has a request to answer."""
        play = self.plays[-1] if self.plays else None
        return self.is_open() and bool(play and play.wire and not play.reply)

    @precondition(is_free)
    @rule(
        method=st.sampled_from(('GET', 'GET', 'POST', 'HEAD')),
        id_kind=st.sampled_from(('new', 'new', 'new', 'same', 'none', 'long')),
        turn_count=st.sampled_from((4, 4, 4, 3, 2, 1)),
    )
    def start(self, method: str, id_kind: str, turn_count: int) -> None:
        """Send a request."""
        number = len(self.plays) + 1
        request_id = f'id-{number}'
        if id_kind == 'same' and self.plays:
            request_id = self.plays[-1].request_id
        elif id_kind in {'none', 'long'}:
            request_id = f'{_LONG_ID}-{number}' if id_kind == 'long' else ''
        reply = _PlayedReply(
            number=number, request_id=request_id, method=method
        )
        exchange = Exchange(
            request=reply.request,
            replica_id='r',
            deadline_at_seconds=self.now_seconds + _DEADLINE_SECONDS,
            outcome=self.loop.create_future(),
        )
        self.loop.call_soon(self._start, exchange, method)
        self._turn(turn_count)

    @initialize(echoes_ids=st.sampled_from((True, True, False)))
    def choose_replica(self, *, echoes_ids: bool) -> None:
        """Choose whether the sound replies have ids."""
        self.echoes_ids = echoes_ids

    @precondition(is_free)
    @rule(
        method=st.sampled_from(('GET', 'GET', 'HEAD')),
        status=st.sampled_from((200, 200, 500, 503)),
        framing=st.sampled_from(('length', 'chunked')),
        late=st.just(b'') | st.just(b'') | _extras,
        is_idle=st.booleans(),
        id_kind=st.sampled_from(('new', 'new', 'same')),
    )
    def exchange(
        self,
        method: str,
        status: int,
        framing: str,
        late: bytes | _Copy,
        *,
        is_idle: bool,
        id_kind: str,
    ) -> None:
        """Send a request and its sound reply.

        Late bytes come before, on the idle connection or with the reply.
        """
        if is_idle and self.is_open():
            self.send_extra(late, is_delivered=True)
            late = b''
        self.start(method, id_kind, 4)
        if not self.has_request():
            return
        is_disturbed = self.wire.is_disturbed
        is_disturbed |= bool(late) and late not in _INTERIM
        self.wire.stream += self._encode(late)
        self.answer(status, framing, 12, has_id=self.echoes_ids, has_stamp=True)
        self.wire.is_disturbed = is_disturbed
        self.deliver(_ALL_BYTES, is_read=True)
        self._turn(1)
        outcome = self.plays[-1].outcome
        reply = outcome and outcome.reply
        assert is_disturbed or (reply and not check_reply(reply).is_invalid)

    @precondition(is_free)
    @rule(statuses=st.lists(st.sampled_from((200, 200, 503)), max_size=3))
    def exchange_soundly(self, statuses: list[int]) -> None:
        """Send requests and their sound replies only."""
        for status in statuses:
            if self.is_free():
                self.exchange(
                    'GET', status, 'length', b'', is_idle=False, id_kind='new'
                )

    @precondition(has_request)
    @rule(
        status=_statuses,
        framing=_framings,
        body_bytes=_body_sizes,
        has_id=st.sampled_from((True, True, False)),
        has_stamp=st.sampled_from((True, True, True, False)),
    )
    def answer(
        self,
        status: int,
        framing: str,
        body_bytes: int,
        *,
        has_id: bool,
        has_stamp: bool,
    ) -> None:
        """Send a whole reply."""
        self.wire.is_disturbed = True
        play = self.plays[-1]
        request_id = play.request_id
        play.reply = _PlayedReply(
            number=len(self.plays),
            request_id=request_id,
            method=play.method,
            status=status,
            framing=framing,
            # An empty chunk ends a body.
            body_bytes=max(body_bytes, 2 if framing == 'chunked' else 0),
            has_id=has_id and bool(request_id),
            has_stamp=has_stamp and status != 503,
            is_not_run=status == 503,
        )
        self.wire.stream += play.reply.encoded

    @precondition(is_open)
    @rule(extra=_extras, is_delivered=st.booleans())
    def send_extra(
        self,
        extra: bytes | _Copy,
        *,
        is_delivered: bool,
    ) -> None:
        """Send a copy, or bytes that are no reply."""
        self.wire.is_disturbed |= bool(extra)
        self.wire.stream += self._encode(extra)
        last_reply = self.plays[-1].reply
        if last_reply is not None and last_reply.is_close_delimited:
            self.plays[-1].is_altered = True
        if is_delivered:
            self.wire.deliver(_ALL_BYTES)

    @precondition(lambda machine: machine.is_free() or machine.has_request())
    @rule(
        framing=_framings,
        extra=st.just(b'') | _extras | _extras,
        at=st.integers(0, 60),
        is_chunk=st.booleans(),
        cut_at=st.sampled_from((_ALL_BYTES, 250)) | st.integers(1, 400),
        end=st.sampled_from(('', 'piece', 'fin')),
    )
    def answer_badly(
        self,
        framing: str,
        extra: bytes | _Copy,
        at: int,
        *,
        is_chunk: bool,
        cut_at: int,
        end: str,
    ) -> None:
        """Send a reply with other bytes in its body, or the start of one."""
        if not self.has_request():
            self.start('GET', 'new', 4)
        if not self.has_request():
            return
        sent_before = self.wire.stream
        self.answer(200, framing, 200, has_id=True, has_stamp=True)
        encoded = self._encode_badly(self._encode(extra), at, is_chunk=is_chunk)
        self.wire.stream = sent_before + encoded[:cut_at]
        if end:
            self.deliver(_ALL_BYTES, is_read=end == 'piece')
        if end == 'fin':
            self.end('fin', is_delivered=True, turn_count=3)

    @precondition(lambda machine: machine.is_open() and machine.wire.stream)
    @rule(size=_sizes, is_read=st.booleans())
    def deliver(self, size: int, *, is_read: bool) -> None:
        """Let the front read a piece; its task may run later."""
        self.wire.deliver(size)
        self._turn(int(is_read))

    @precondition(is_open)
    @rule(
        end=st.sampled_from(
            ('fin', 'fin', 'fin at once', 'reset', 'reset at end', 'end late')
        ),
        is_delivered=st.booleans(),
        turn_count=st.integers(0, 3),
    )
    def end(
        self,
        end: str,
        *,
        is_delivered: bool,
        turn_count: int,
    ) -> None:
        """End the connection; a reset may discard what was sent."""
        wire = self.wire
        wire.is_reset = not end.startswith('fin')
        if is_delivered or end.startswith('fin'):
            wire.deliver(_ALL_BYTES)
        if end == 'reset at end':
            wire.socket_error = _RESET_ERROR
        if end in {'reset', 'end late'}:
            wire.lose(is_soon=end == 'reset')
        if end == 'end late':
            wire.protocol.eof_received()
        wire.end()
        if end == 'fin at once':
            wire.lose(is_soon=False)
        self._turn(turn_count)

    @rule(
        name=st.sampled_from(
            ('turn', 'leave', 'stop', 'fill_memory', 'stall', 'flush', 'wait')
        )
    )
    def disturb(self, name: str) -> None:
        """Let something else happen at the front or the network."""
        if self.wires:
            self.wire.is_disturbed |= name != 'turn'
            getattr(self, f'_{name}')()
        self._turn()

    @invariant()
    def answers_belong_to_their_requests(self) -> None:
        """A caller must get the whole reply to its request, or none.

        No outcome changes once it was set.
        """
        for play in self.plays:
            if play.outcome is not None:
                assert play.seen is None or play.seen == play.outcome
                play.seen = play.outcome
                self._check(play, play.outcome)

    def teardown(self) -> None:
        """End the connections; each exchange must have an outcome."""
        for wire in self.wires:
            wire.lose()
        self._turn(6)
        self.loop.run_until_complete(self.tasks.cancel())
        self.loop.close()
        self.answers_belong_to_their_requests()
        assert not self.loop.failures, self.loop.failures
        assert not self.memory.held_bytes
        assert all(play.seen for play in self.plays)

    def _clock(self) -> float:
        return self.now_seconds

    def _turn(self, count: int = 1) -> None:
        for _ in range(count):
            self.loop.turn()

    def _stop(self) -> None:
        """End all connections in the next turns, as a front that stops."""
        self.loop.call_soon(self.loop.create_task, self.tasks.cancel())

    def _leave(self) -> None:
        if self.plays[-1].outcome is None:
            connection = self.plays[-1].connection
            assert connection is not None
            connection.close()

    def _fill_memory(self) -> None:
        """Let another reply take the memory."""
        max_bytes = self.memory.max_bytes
        self.memory.max_bytes = 1
        other = _OtherReply()
        self.memory.hold(other, 1)
        self.memory.release(other)
        self.memory.max_bytes = max_bytes

    def _stall(self) -> None:
        self.wire.flush(9)

    def _flush(self) -> None:
        self.wire.flush(0)

    def _wait(self) -> None:
        self.now_seconds += 5

    def _start(self, exchange: Exchange, method: str) -> None:
        # The request may be written before the pool returns the connection.
        play = _Play(exchange, None, method)
        self.plays.append(play)
        play.connection = self.pool.start(exchange, self.now_seconds)

    def _connect(self, protocol: Any, port: int) -> None:
        self.wires.append(Wire(protocol, self.loop, self._receive))
        protocol.connection_made(self.wire)

    def _receive(self, wire: Wire, encoded: bytes) -> None:
        assert wire is self.wire
        assert self.plays[-1].wire is None
        self.plays[-1].wire = wire

    def _encode(self, extra: bytes | _Copy) -> bytes:
        replies = [
            play.reply
            for play in self.plays
            if play.wire is self.wire and play.reply is not None
        ]
        if isinstance(extra, bytes) or not replies:
            return extra if isinstance(extra, bytes) else b''
        reply = replies[-1 - extra.back % len(replies)]
        copy = attrs.evolve(
            reply,
            has_id=reply.has_id and extra.has_id,
            has_stamp=reply.has_stamp and extra.has_stamp,
            framing=extra.framing,
            method=extra.method,
            body_bytes=extra.body_bytes or max(reply.body_bytes, 2),
        )
        return copy.encoded[: extra.sent_bytes]

    def _encode_badly(
        self,
        inserted: bytes,
        at: int,
        *,
        is_chunk: bool,
    ) -> bytes:
        """Insert bytes into a body, or as one of its chunks."""
        play = self.plays[-1]
        assert play.reply is not None
        is_chunked = play.reply.framing == 'chunked'
        play.is_altered = is_chunk or not is_chunked
        if not play.reply.has_body:
            return play.reply.encoded
        if is_chunked and is_chunk and inserted:
            inserted = b'%x\r\n%b\r\n' % (len(inserted), inserted)
            at = 0
        at += len(play.reply.head)
        encoded = play.reply.encoded
        return b''.join((encoded[:at], inserted, encoded[at:]))

    def _check(self, play: _Play, outcome: Outcome) -> None:
        reply = outcome.reply
        assert (outcome.kind is OutcomeKind.replied) is (reply is not None)
        if reply is None or check_reply(reply).is_invalid:
            return
        assert play.reply is not None, f'{reply} to an unanswered request'
        is_reset = play.wire is not None and play.wire.is_reset
        assert not (play.reply.is_close_delimited and is_reset)
        expected = play.reply.reply
        reply = attrs.evolve(reply, headers=tuple(reply.headers))
        if play.is_altered and self._is_indistinct(play, reply.body):
            expected = attrs.evolve(expected, body=reply.body)
        assert reply == expected, f'{reply} for {expected}'
        assert reply.stamp or not reply.is_success, 'success without a stamp'

    def _is_indistinct(self, play: _Play, body: bytes) -> bool:
        """Return whether nothing tells other bytes from a body.

        These are bytes without an id and a stamp in a body of known length, and
        bytes without the head of a reply in one without a length, which its
        sender may also end early.
        """
        assert play.reply is not None
        assert play.wire is not None
        if play.reply.is_close_delimited:
            return not _SECOND_HEAD.search(body)
        replies = [
            other.reply.reply
            for other in self.plays
            if other.reply is not None and other.wire is play.wire
        ]
        marks = [
            mark
            for reply in replies
            for mark in (reply.request_id, reply.stamp)
            if mark
        ]
        if any(mark.encode() in body for mark in marks):
            return False
        if play.reply.framing == 'chunked':
            return True
        arrived = play.wire.arrived
        if play.reply.head not in arrived:
            return False
        end = arrived.index(play.reply.head) + len(play.reply.head) + len(body)
        piece_end = min(at for at in play.wire.piece_ends if at >= end)
        followed = arrived[end:piece_end]
        return not followed or b'HTTP/1.' not in body + followed[:6]


@attrs.define(eq=False)
class _OtherReply:
    """Reply of another connection, which takes the memory for a moment."""

    def discard(self) -> None:
        """Do nothing."""


def test_replies_are_whole_and_own() -> None:
    """No order of events may give a caller another reply, or part of one."""
    run_state_machine_as_test(
        ReplyMachine,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=400,
            stateful_step_count=30,
        ),
    )
