"""Wait for the outcome of submits that are sent at most once."""

import asyncio

import attrs

from dragonflyramp.messages import Submit, SubmitOutcome
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode

_MS_PER_SECOND = 1000


@attrs.define(eq=False)
class PendingSubmit:
    """Hold one submit; `started` from the moment its write begins."""

    outcome: asyncio.Future[SubmitOutcome] = attrs.field(factory=asyncio.Future)
    started: bool = False

    def finish(self, outcome: SubmitOutcome) -> None:
        """Give the outcome to the waiting task; later ones are ignored."""
        if not self.outcome.done():
            self.outcome.set_result(outcome)


@attrs.define(eq=False)
class PendingSubmits:
    """Hold the submits of one stream that wait for an outcome."""

    _by_id: dict[str, PendingSubmit] = attrs.field(init=False, factory=dict)

    def __len__(self) -> int:
        """Count the submits that wait."""
        return len(self._by_id)

    def __contains__(self, submit_id: str) -> bool:
        """Tell whether a submit waits."""
        return submit_id in self._by_id

    async def wait(self, submit: Submit) -> SubmitOutcome:
        """Wait for the outcome of a submit that was put into the outbox."""
        pending = PendingSubmit()
        self._by_id[submit.submit_id] = pending
        try:
            async with asyncio.timeout(submit.remaining_ms / _MS_PER_SECOND):
                return await pending.outcome
        except TimeoutError:
            counters.add('submits', 'timed_out')
            return _unanswered(submit.submit_id, started=pending.started)
        finally:
            # From here on the stream's writer skips it.
            self._by_id.pop(submit.submit_id)

    def begin(self, submit_id: str) -> bool:
        """Note that the write begins; False when nobody waits any more."""
        pending = self._by_id.get(submit_id)
        if pending is None:
            counters.add('submits', 'withdrawn')
            return False
        pending.started = True
        return True

    def finish(self, outcome: SubmitOutcome) -> None:
        """Pass on the outcome that a relay sent."""
        pending = self._by_id.get(outcome.submit_id)
        if pending is None:
            counters.add('submits', 'late_outcome')
        else:
            pending.finish(outcome)

    def refuse(self, submit_id: str) -> None:
        """Note that a submit was certainly not written."""
        pending = self._by_id.get(submit_id)
        if pending is not None:
            pending.finish(_unanswered(submit_id, started=False))

    def lose(self) -> None:
        """Note that the stream closed."""
        for submit_id, pending in self._by_id.items():
            pending.finish(_unanswered(submit_id, started=pending.started))


def not_sent(submit_id: str) -> SubmitOutcome:
    """State that nothing was sent."""
    return _unanswered(submit_id, started=False)


def _unanswered(submit_id: str, *, started: bool) -> SubmitOutcome:
    code = ResultCode.outcome_unknown if started else ResultCode.no_relay
    return SubmitOutcome(submit_id=submit_id, code=code, body=b'')
