"""Pass what relays send to the query that it belongs to."""

import asyncio

import attrs

from dragonflyramp.members._links import RelayEvent, RelayLost
from dragonflyramp.messages import Part
from dragonflyramp.metrics import counters
from dragonflyramp.models import MemberId

# Room for parts that a relay sends twice, which the query counts and drops.
_MARGIN_PARTS = 16


@attrs.define(eq=False)
class Inbox:
    """Hold the events of one query and how many parts may wait there."""

    events: asyncio.Queue[RelayEvent] = attrs.field(factory=asyncio.Queue)
    limit_parts: int = _MARGIN_PARTS


@attrs.define(eq=False)
class Inboxes:
    """Hold the inbox of each open query of a front."""

    _by_query: dict[str, Inbox] = attrs.field(init=False, factory=dict)

    def open(self, query_id: str) -> asyncio.Queue[RelayEvent]:
        """Create the inbox of a query and return its queue."""
        inbox = Inbox()
        self._by_query[query_id] = inbox
        return inbox.events

    def close(self, query_id: str) -> None:
        """Drop the inbox of a query."""
        self._by_query.pop(query_id, None)

    def expect(self, query_id: str, parts: int) -> bool:
        """Make room for the parts of one send; False without an inbox."""
        inbox = self._by_query.get(query_id)
        if inbox is not None:
            inbox.limit_parts += parts
        return inbox is not None

    def deliver(self, part: Part) -> None:
        """Put a part into the inbox of its query, or count it as dropped."""
        inbox = self._by_query.get(part.query_id)
        if inbox is None:
            counters.add('dropped_parts', 'late')
        elif inbox.events.qsize() < inbox.limit_parts:
            inbox.events.put_nowait(part)
        else:
            counters.add('dropped_parts', 'inbox_full')

    def lose(self, query_id: str, relay_id: MemberId) -> None:
        """Tell a query that the stream to one of its relays closed."""
        inbox = self._by_query.get(query_id)
        if inbox is not None:
            inbox.events.put_nowait(RelayLost(relay_id))
