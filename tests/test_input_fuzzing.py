"""Fuzz what is read from the store and replicas, and model the notices."""

import asyncio
import json
import math
from types import MappingProxyType

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyramp.backends import Fleet, expire_notices
from dragonflyramp.platform import StoreDecoder
from dragonflyramp.replica_connections._exchanges import OutcomeKind
from dragonflyramp.replica_connections._readers_http import ReplyReader
from dragonflyramp.replica_connections._reply_builders_http import RawReply
from dragonflyramp.replicas import ReplicaEntry, ReplicaState
from dragonflyramp.runtime import TaskSet
from tests.object_readers import read_page

_fuzz_settings = settings(derandomize=True, max_examples=300, deadline=None)
_SPEC = MappingProxyType(
    {
        'service': 'a',
        'address': '127.0.0.1:80',
        'zone': 'z',
        'state': 'ready',
        'slots': 1,
        'born': 1,
    }
)
_REPLY = (
    b'HTTP/1.1 103 Early\r\nX: y\r\n\r\n'
    b'HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'3\r\nabc\r\n2;e=f\r\nde\r\n0\r\n\r\n'
)


@_fuzz_settings
@given(st.binary())
def test_random_reply_of_store_is_no_exception(body: bytes) -> None:
    """Bytes that are no reply of the store must not end a watch."""
    page = read_page('servers', [body[:5], body[5:]])
    assert page.fields is None or isinstance(page.fields, dict)


@_fuzz_settings
@given(st.binary(min_size=1, max_size=60), st.integers(0, 2))
def test_odd_bytes_stay_in_their_entry(odd: bytes, index: int) -> None:
    """Bytes within a text of one entry must not change the others."""
    listed = [
        {'meta': {'name': f'i-{number}'}, 'spec': dict(_SPEC)}
        for number in range(3)
    ]
    listed[index] = {
        'meta': {'name': f'i-{index}'},
        'spec': {**_SPEC, 'note': '@odd'},
    }
    page = json.dumps({'items': listed, 'at_rev': 7}).encode()
    # A quotation mark or a backslash would end the text.
    escaped = odd.replace(b'\\', b'').replace(b'"', b'')
    read = read_page('servers', [page.replace(b'@odd', escaped)])
    assert list(read.objects_by_name) == ['i-0', 'i-1', 'i-2']
    for number, stored in enumerate(read.objects_by_name.values()):
        if number != index:
            assert stored is not None
            assert StoreDecoder().decode_entry(stored) is not None


def _read(pieces: list[bytes]) -> ReplyReader:
    async def read() -> ReplyReader:  # noqa: WPS430 - futures need a loop
        reader = ReplyReader(is_head=False)
        for piece in pieces:
            if not reader.outcome.done():
                reader.feed(piece)
        return reader

    return asyncio.run(read())


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.sets(st.integers(1, len(_REPLY) - 1)))
def test_reply_is_read_from_any_pieces(split_points: set[int]) -> None:
    """The network may split a reply anywhere."""
    points = [0, *sorted(split_points), len(_REPLY)]
    pieces = [
        _REPLY[start:end]
        for start, end in zip(points[:-1], points[1:], strict=True)
    ]
    raw = _read(pieces).outcome.result()
    assert isinstance(raw, RawReply)
    assert raw.body == b'abcde'
    assert ('Request-Id', 'q1') in raw.headers


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.binary(max_size=80), max_size=5))
def test_random_reply_is_no_exception(pieces: list[bytes]) -> None:
    """Bytes that are no reply must not end the task of a connection."""
    reader = _read(pieces)
    if reader.outcome.done():
        assert isinstance(reader.outcome.result(), OutcomeKind | RawReply)


#: Steps of the model: an entry of a process appears or is removed, a process
#: says that it leaves or wants a pause, time passes, or old notices expire.
_steps = st.lists(
    st.tuples(
        st.sampled_from(('list', 'remove', 'leave', 'pause', 'wait', 'expire')),
        st.integers(1, 3),
    ),
    max_size=40,
)


class _Model:
    """Model the processes of one replica id, and what they said."""

    def __init__(self) -> None:
        """Start without an entry."""
        self.fleet = Fleet(
            create_connection=lambda address, hooks: pytest.fail('connected'),
            tasks=TaskSet(),
        )
        self.now_seconds: float = 0
        self.newest_start = 1
        #: Start time of the listed process; 0 without one.
        self.listed = 0
        #: Time until which each process wants no requests.
        self.silent_until: dict[int, float] = {}

    def run(self, step: str, number: int) -> None:
        """Run one step."""
        self.now_seconds += 1
        getattr(self, f'_{step}')(number)

    @property
    def is_usable(self) -> bool:
        """Return whether the listed process takes requests."""
        silent_until = self.silent_until.get(self.listed, 0)
        return bool(self.listed) and silent_until <= self.now_seconds

    def _list(self, start_time_ms: int) -> None:
        self.newest_start = max(self.newest_start, start_time_ms)
        self.listed = self.newest_start
        self.fleet.update('r', _entry(self.listed), self.now_seconds)

    def _remove(self, _: int) -> None:
        self.listed = 0
        self.fleet.update('r', None, self.now_seconds)

    def _leave(self, _: int) -> None:
        self.silent_until[self.newest_start] = math.inf
        self.fleet.reply_notices.notices.record_leaving(
            'r', self.newest_start, self.now_seconds
        )

    def _pause(self, seconds: int) -> None:
        ends_at_seconds = self.now_seconds + seconds
        self.silent_until[self.newest_start] = max(
            self.silent_until.get(self.newest_start, 0), ends_at_seconds
        )
        self.fleet.reply_notices.notices.record_pause(
            'r', self.newest_start, seconds, self.now_seconds
        )

    def _wait(self, seconds: int) -> None:
        self.now_seconds += seconds

    def _expire(self, _: int) -> None:
        expire_notices(self.fleet, self.now_seconds)


@_fuzz_settings
@given(_steps)
def test_notices_match_what_processes_said(
    steps: list[tuple[str, int]],
) -> None:
    """A listed process is usable unless it said that it leaves or pauses.

    Whatever was listed, removed and restarted meanwhile. Start times only
    grow, as the store lists the processes of an id one after the other.
    """
    model = _Model()
    for step, number in steps:
        model.run(step, number)
        usable = model.fleet.usable_replicas('a', model.now_seconds)
        assert bool(usable) is model.is_usable


def _entry(start_time_ms: int) -> ReplicaEntry:
    return ReplicaEntry(
        replica_id='r',
        service='a',
        address='127.0.0.1:1',
        failure_domain='z',
        state=ReplicaState.ready,
        start_time_ms=start_time_ms,
    )
