"""Hold the state of one stream from a front to a relay."""

import asyncio

import attrs

from dragonflyramp.members._inboxes import Inboxes
from dragonflyramp.members._outboxes import Outbox
from dragonflyramp.members._streams import Cancel, FrontMessage, RelayStream
from dragonflyramp.members._submits import PendingSubmits, not_sent
from dragonflyramp.messages import Query, Report, Submit, SubmitOutcome
from dragonflyramp.metrics import counters
from dragonflyramp.models import MemberId


@attrs.define(eq=False, kw_only=True)
class Connection:
    """Hold what waits to be written to a relay and who waits for it.

    It accepts requests from the first report on.
    """

    relay_id: MemberId
    stream: RelayStream
    inboxes: Inboxes
    outbox: Outbox[FrontMessage]
    last_heard_seconds: float
    report: Report | None = None
    queries: set[str] = attrs.field(factory=set)
    submits: PendingSubmits = attrs.field(factory=PendingSubmits)
    _retired: bool = False
    finished: asyncio.Event = attrs.field(factory=asyncio.Event)

    def send_query(self, query: Query) -> bool:
        """Queue a query; False when it will not be sent."""
        if self._queue(query):
            self.queries.add(query.query_id)
            self.inboxes.expect(query.query_id, len(query.attempts))
            return True
        return False

    def cancel_query(self, query_id: str) -> None:
        """Ask the relay to stop working on a query, if it has it."""
        if query_id in self.queries:
            self._queue(Cancel(query_id))
            self.forget_query(query_id)

    def forget_query(self, query_id: str) -> None:
        """Expect nothing more for a query."""
        self.queries.discard(query_id)
        self._finish_if_idle()

    async def send_submit(self, submit: Submit) -> SubmitOutcome:
        """Queue a submit and wait for its outcome."""
        if submit.submit_id in self.submits or not self._queue(submit):
            return not_sent(submit.submit_id)
        outcome = await self.submits.wait(submit)
        self._finish_if_idle()
        return outcome

    def retire(self) -> None:
        """Set `finished` once nobody waits for this relay any more."""
        self._retired = True
        self._finish_if_idle()

    def _queue(self, message: FrontMessage) -> bool:
        is_accepted = self.report is not None and self.outbox.has_room(message)
        if is_accepted:
            self.outbox.put_nowait(message)
        else:
            counters.add('unsent_messages', 'relay_not_ready')
        return is_accepted

    def _finish_if_idle(self) -> None:
        if self._retired and not self.queries and not self.submits:
            self.finished.set()
