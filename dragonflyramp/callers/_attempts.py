"""Track the attempts of one query that have no answer yet."""

import collections
import math
from collections.abc import Iterable

import attrs

from dragonflyramp.callers._suspicions import Exposure
from dragonflyramp.models import MemberId


@attrs.frozen(kw_only=True)
class Attempt:
    """Describe one attempt on one shard through one relay."""

    exposure: Exposure
    relay_id: MemberId
    share_until_seconds: float
    is_canary: bool

    @property
    def attempt_id(self) -> str:
        """Return the id that the answer has to carry."""
        return self.exposure.attempt_id

    @property
    def shard(self) -> str:
        """Return the shard that was asked."""
        return self.exposure.shard


@attrs.define(eq=False)
class Attempts:
    """Hold unanswered attempts; `awaited` leaves out superseded ones."""

    awaited: dict[str, Attempt] = attrs.field(factory=dict, init=False)
    _running: dict[str, Attempt] = attrs.field(factory=dict, init=False)
    _by_share: collections.deque[Attempt] = attrs.field(
        factory=collections.deque, init=False
    )

    def add(self, attempt: Attempt) -> None:
        """Add an attempt; attempts are added in the order of their times."""
        self.awaited[attempt.attempt_id] = attempt
        self._running[attempt.attempt_id] = attempt
        self._by_share.append(attempt)

    def pop(self, attempt_id: str) -> Attempt | None:
        """Remove an answered attempt."""
        self.awaited.pop(attempt_id, None)
        return self._running.pop(attempt_id, None)

    def pop_relay(self, relay_id: MemberId) -> tuple[Attempt, ...]:
        """Remove the attempts of a lost relay and return the awaited ones."""
        lost = [
            attempt
            for attempt in self._running.values()
            if attempt.relay_id == relay_id
        ]
        awaited = tuple(
            attempt for attempt in lost if attempt.attempt_id in self.awaited
        )
        for attempt in lost:
            self.pop(attempt.attempt_id)
        return awaited

    def supersede(self, shard: str) -> None:
        """Stop waiting for a shard that another attempt answered."""
        for attempt in tuple(self.awaited.values()):
            if attempt.shard == shard:
                self.awaited.pop(attempt.attempt_id)

    def pop_overdue(self, now_seconds: float) -> Iterable[Attempt]:
        """Yield each awaited attempt whose relay used up its share, once."""
        while self.next_share() <= now_seconds:
            yield self._by_share.popleft()

    def next_share(self) -> float:
        """Return when the next share ends; infinity when none will."""
        while self._by_share:
            if self._by_share[0].attempt_id in self.awaited:
                return self._by_share[0].share_until_seconds
            self._by_share.popleft()
        return math.inf

    def relays(self) -> frozenset[MemberId]:
        """List the relays that may still work for the query."""
        return frozenset(attempt.relay_id for attempt in self._running.values())
