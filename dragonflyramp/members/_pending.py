"""Track what a front still waits for on one stream."""

import asyncio
import collections

import attrs

from dragonflyramp.members._streams import Parts, RelayMessage
from dragonflyramp.messages import Part, Query, SubmitOutcome


def _set_event() -> asyncio.Event:
    event = asyncio.Event()
    event.set()
    return event


@attrs.define(eq=False)
class Pending:
    """Track the parts and outcomes that a relay owes to one front.

    `idle` is set while no accepted request runs.
    """

    parts: collections.Counter[str] = attrs.field(factory=collections.Counter)
    idle: asyncio.Event = attrs.field(factory=_set_event)
    _accepted: set[str] = attrs.field(factory=set)

    def add_query(self, query: Query) -> None:
        """Expect a part for each attempt of a query."""
        self.parts[query.query_id] += len(query.attempts)

    def accept(self, request_id: str) -> None:
        """Note that a query or submit runs."""
        self._accepted.add(request_id)
        self.idle.clear()

    def is_wanted(self, message: RelayMessage) -> bool:
        """Tell whether the front still waits for a message."""
        return not isinstance(message, Part) or message.query_id in self.parts

    def settle(self, message: RelayMessage) -> None:
        """Note that a message was written."""
        if isinstance(message, SubmitOutcome):
            self._finish(message.submit_id)
        elif isinstance(message, Part):
            self._settle_part(message)
        elif isinstance(message, Parts):
            for part in message.parts:
                self._settle_part(part)

    def forget_query(self, query_id: str) -> None:
        """Expect no more parts of a query."""
        self.parts.pop(query_id, None)
        self._finish(query_id)

    def _settle_part(self, part: Part) -> None:
        self.parts[part.query_id] -= 1
        if self.parts[part.query_id] <= 0:
            self.forget_query(part.query_id)

    def _finish(self, request_id: str) -> None:
        self._accepted.discard(request_id)
        if not self._accepted:
            self.idle.set()
