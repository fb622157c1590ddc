"""Bound the memory of all replies that are being received."""

from typing import Protocol

import attrs

from dragonflyramp.metrics import counters

#: A front has at least 200 MB. Replies have a few kilobytes, so that this is
#: reached by faulty replicas only.
_MAX_HELD_BYTES = 16_777_216


class ReplyHolder(Protocol):
    """Reply that is being received."""

    def discard(self) -> None:
        """Give up the reply, and free its memory."""


@attrs.define(eq=False)
class ReplyMemory:
    """Bytes that are held for replies that are not complete yet.

    Beyond the limit, the largest reply is given up: one that goes on without
    end outgrows the others.
    """

    max_bytes: int = _MAX_HELD_BYTES
    held_bytes: int = 0
    _by_holder: dict[ReplyHolder, int] = attrs.field(factory=dict)

    def hold(self, holder: ReplyHolder, byte_count: int) -> None:
        """Set how many bytes a reply holds, and make room if necessary."""
        self.held_bytes += byte_count - self._by_holder.get(holder, 0)
        self._by_holder[holder] = byte_count
        while self.held_bytes > self.max_bytes:
            largest = max(self._by_holder, key=self._by_holder.__getitem__)
            counters.add('backend_faults', 'memory_full')
            self.release(largest)
            largest.discard()

    def release(self, holder: ReplyHolder) -> None:
        """Forget a reply that is complete or has been given up."""
        self.held_bytes -= self._by_holder.pop(holder, 0)
