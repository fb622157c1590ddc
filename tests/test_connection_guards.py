"""Test which connections are closed at the limits of a port."""

import functools

import attrs

from dragonflyramp.callers import (
    CloseReason,
    ConnectionGuard,
    GuardedConnection,
    frontend_limits,
)
from dragonflyramp.callers._caller_limits import PortLimits
from dragonflyramp.machine_settings import VmLimits
from dragonflyramp.routes import RequestLimits

_LIMITS = PortLimits(max_connections=3, max_held_bytes=100, max_unsent_bytes=10)
_REQUEST_LIMITS = RequestLimits(
    header_timeout_seconds=3, idle_timeout_seconds=15
)


@attrs.define
class _Port:
    """Port whose closed connections are recorded by name."""

    guard: ConnectionGuard = attrs.field(
        factory=functools.partial(
            ConnectionGuard, 'frontend', _LIMITS, lambda: _REQUEST_LIMITS
        )
    )
    closed: list[tuple[str, CloseReason]] = attrs.field(factory=list)

    def open(self, name: str) -> GuardedConnection:
        """Open a connection for which there is room."""
        connection = self.guard.open(
            lambda reason: self.closed.append((name, reason))
        )
        assert connection is not None
        return connection

    def answer(self, connection: GuardedConnection) -> None:
        """Play a complete request and its answer."""
        self.guard.end_head(connection, has_whole_body=True)
        self.guard.end_request(connection, connection.held_bytes)

    def check_until(self, seconds: int) -> None:
        """Check twice a second from 0."""
        for half_seconds in range(seconds * 2 + 1):
            self.guard.check(half_seconds / 2)


def test_flood_makes_room_before_callers() -> None:
    """A flood of connections must not close those that are in use."""
    port = _Port()
    port.answer(port.open('idle'))
    running = port.open('running')
    port.guard.end_head(running, has_whole_body=True)
    for index in range(3):
        port.open(f'flood-{index}')
    port.guard.end_head(port.open('last'), has_whole_body=True)
    names = [name for name, _ in port.closed]
    assert names == ['flood-0', 'flood-1', 'flood-2']
    port.open('idle goes first now')
    assert port.closed[-1] == ('idle', CloseReason.too_many_connections)


def test_running_requests_are_not_cut_off() -> None:
    """A complete request must not be cut off to make room."""
    port = _Port()
    for name in ('a', 'b', 'c'):
        port.guard.end_head(port.open(name), has_whole_body=True)
    assert port.guard.open(lambda _: None) is None
    assert not port.closed


def test_largest_incomplete_request_is_closed() -> None:
    """Bytes of all connections together must stay under the bound."""
    port = _Port()
    running, small, large = (port.open(name) for name in ('r', 's', 'l'))
    port.guard.hold(running, 60)
    port.guard.end_head(running, has_whole_body=True)
    port.guard.hold(small, 10)
    port.guard.hold(large, 20)
    assert port.guard.hold(small, 9)
    assert not port.guard.hold(large, 2)
    assert port.closed == [('l', CloseReason.memory_full)]
    assert port.guard.held_bytes == 79


def test_oldest_unread_answer_is_closed() -> None:
    """Answers that are not read must stay under the bound together."""
    port = _Port()
    old, new = port.open('old'), port.open('new')
    port.guard.hold_answer(old, 8)
    port.guard.hold_answer(new, 8)
    assert port.closed == [('old', CloseReason.unread_answer)]
    port.guard.release_answer(new)
    port.guard.hold_answer(new, 1000)
    assert len(port.closed) == 1


def test_late_head_is_refused() -> None:
    """A head must not stay incomplete for longer than its timeout."""
    port = _Port()
    port.guard.begin_head(port.open('slow'))
    port.check_until(3)
    assert not port.closed
    port.check_until(5)
    assert ('slow', CloseReason.header_timeout) in port.closed


def test_idle_connection_is_closed_no_earlier() -> None:
    """A caller may reuse its connection until the idle timeout."""
    port = _Port()
    port.check_until(4)
    port.answer(port.open('idle'))
    port.check_until(19)
    assert not port.closed
    port.check_until(21)
    assert port.closed == [('idle', CloseReason.idle)]


def test_standstill_closes_no_connection() -> None:
    """Bytes that came while the process stood still must be read first."""
    port = _Port()
    port.open('caller')
    port.guard.check(0)
    port.guard.check(1000)
    assert not port.closed


def test_limits_follow_from_vm() -> None:
    """The bounds must leave room for files, replicas and the program."""
    smallest = frontend_limits(VmLimits())
    assert smallest.max_connections == 1950
    assert smallest.max_held_bytes < 12_000_000
    few = frontend_limits(
        VmLimits(memory_bytes=200_000_000, max_descriptors=400)
    )
    assert few.max_connections == 100
