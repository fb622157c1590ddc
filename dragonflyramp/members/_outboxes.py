"""Bound what waits to be written to a stream."""

import asyncio
from typing import TypeVar

import attrs

from dragonflyramp.members._streams import FrontMessage, RelayMessage
from dragonflyramp.messages import Part, Query, Submit, SubmitOutcome

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

    def _put(self, message: _Message) -> None:
        self._body_bytes += _body_bytes(message)
        super()._put(message)

    def _get(self) -> _Message:
        message = super()._get()
        self._body_bytes -= _body_bytes(message)
        return message


def _body_bytes(message: FrontMessage | RelayMessage) -> int:
    if isinstance(message, Part | Query | Submit | SubmitOutcome):
        return len(message.body)
    return 0
