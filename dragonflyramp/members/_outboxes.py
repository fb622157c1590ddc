"""Bound what waits to be written to a stream."""

import asyncio
import itertools
from collections.abc import Iterable, Iterator
from typing import TypeVar, cast

import attrs

from dragonflyramp.members._streams import FrontMessage, Parts, RelayMessage
from dragonflyramp.messages import Part, Query, Submit, SubmitOutcome

#: Most messages that are written as one.
MAX_JOINED = 32

#: Longest body of a part that shares a message. The largest batch then is
#: half of the largest message that a stream carries.
_SHORT_BODY_BYTES = 65536

_Message = TypeVar('_Message', bound=FrontMessage | RelayMessage)


@attrs.frozen(kw_only=True)
class OutboxLimits:
    """Limit the messages that wait for one stream."""

    messages: int = 4096
    # Two messages of the largest size that a stream carries.
    body_bytes: int = 8 * 1024 * 1024


class Outbox(asyncio.Queue[_Message]):
    """Hold messages for one stream; `overflowed` is set when one is dropped.

    Putting never waits, because those who put serve other streams as well.
    """

    def __init__(self, limits: OutboxLimits) -> None:
        """Start empty."""
        super().__init__()
        self.overflowed = asyncio.Event()
        self._limits = limits
        self._body_bytes = 0

    def has_room(self, message: _Message) -> bool:
        """Tell whether the limits leave room for a message."""
        body_bytes = self._body_bytes + _body_bytes(message)
        is_short = self.qsize() < self._limits.messages
        return is_short and body_bytes <= self._limits.body_bytes

    def put_nowait(self, message: _Message) -> None:
        """Put a message, or drop it and set `overflowed`."""
        if self.has_room(message):
            super().put_nowait(message)
        else:
            self.overflowed.set()

    def get_waiting(self, limit: int) -> list[_Message]:
        """Get messages that wait now, at most as many as the limit."""
        return [self.get_nowait() for _ in range(min(limit, self.qsize()))]

    def _put(self, message: _Message) -> None:
        self._body_bytes += _body_bytes(message)
        super()._put(message)

    def _get(self) -> _Message:
        message = super()._get()
        self._body_bytes -= _body_bytes(message)
        return message


def join_parts(messages: Iterable[RelayMessage]) -> Iterator[RelayMessage]:
    """Join short parts that follow each other into one message."""
    for is_short, group in itertools.groupby(messages, _is_short_part):
        parts = tuple(group)
        if is_short and len(parts) > 1:
            yield Parts(cast(tuple[Part, ...], parts))
        else:
            yield from parts


def _is_short_part(message: RelayMessage) -> bool:
    is_part = isinstance(message, Part)
    return is_part and _body_bytes(message) <= _SHORT_BODY_BYTES


def _body_bytes(message: FrontMessage | RelayMessage) -> int:
    if isinstance(message, Part | Query | Submit | SubmitOutcome):
        return len(message.body)
    return 0
