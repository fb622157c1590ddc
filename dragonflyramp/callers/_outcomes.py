"""Decide what follows from each event of a query."""

import math

import attrs

from dragonflyramp import traces
from dragonflyramp.callers._attempts import Attempt
from dragonflyramp.callers._dispatch import Addressed
from dragonflyramp.callers._gather import Verdict
from dragonflyramp.callers._medians import Medians
from dragonflyramp.callers._rounds import Round
from dragonflyramp.callers._suspects import Suspects
from dragonflyramp.members import RelayEvent, RelayLost
from dragonflyramp.messages import Part
from dragonflyramp.results import ResultCode, RunState

#: The relay did not run the shard, another relay may.
ASK_NEXT = frozenset(
    (
        ResultCode.not_owner,
        ResultCode.no_lease,
        ResultCode.no_relay,
        ResultCode.relay_lost,
        ResultCode.not_ready,
        ResultCode.no_configuration,
        ResultCode.isolated,
        ResultCode.stopping,
    )
)

#: No replica holds the snapshot any more, as far as the relay knows.
_GONE = frozenset((ResultCode.snapshot_gone, ResultCode.no_replica))

#: The backend server ran the request to its end and is alive.
_COMPLETED = frozenset(
    (
        ResultCode.ok,
        ResultCode.backend_error,
        ResultCode.bad_reply,
    )
)


@attrs.define(kw_only=True, eq=False)
class Outcomes:
    """Update a round after events, overdue shares and failed sends."""

    suspects: Suspects
    medians: Medians

    def take(
        self, round_: Round, event: RelayEvent, now_seconds: float
    ) -> None:
        """Take a part or the loss of a relay."""
        if isinstance(event, RelayLost):
            # Whether a lost attempt ran is unknown, so it stays admitted.
            for attempt in round_.attempts.pop_relay(event.relay_id):
                _ask_next(round_, attempt.shard, ResultCode.relay_lost)
        else:
            self._take_part(round_, event, now_seconds)

    def expire(self, round_: Round, now_seconds: float) -> None:
        """Ask the next relay for shards whose relay used up its share."""
        for attempt in round_.attempts.pop_overdue(now_seconds):
            _move(round_, attempt.shard, 'relay_silent')

    def not_sent(
        self, round_: Round, addressed: Addressed, now_seconds: float
    ) -> None:
        """Ask the next relay for shards whose message was not sent."""
        for asked in addressed.query.attempts:
            attempt = round_.attempts.pop(asked.attempt_id)
            if attempt:
                self.suspects.resolve(attempt.exposure, now_seconds)
                _note_not_run(round_, attempt)
                _ask_next(round_, asked.shard, ResultCode.no_relay)

    def _take_part(self, round_: Round, part: Part, now_seconds: float) -> None:
        taken = round_.gather.take(part)
        if taken.is_dropped:
            return
        attempt = round_.attempts.pop(part.attempt_id)
        if attempt:
            self._note(round_, attempt, taken.code, now_seconds)
        if taken.verdict is Verdict.merged:
            if part.shard in round_.moved | round_.resent:
                round_.attempts.supersede(part.shard)
        else:
            _follow_up(round_, part.shard, taken.code)

    def _note(
        self,
        round_: Round,
        attempt: Attempt,
        code: ResultCode,
        now_seconds: float,
    ) -> None:
        exposure = attempt.exposure
        if attempt.is_canary and traces.decisions.is_on:
            traces.decisions.write(
                'canary', now_seconds, {'exposure': exposure, 'code': code}
            )
        if code is ResultCode.connection_reset:
            self.suspects.crash(exposure, now_seconds)
        elif code in _COMPLETED:
            self.suspects.complete(exposure, now_seconds)
        elif code is ResultCode.quarantined:
            self.suspects.refuse(exposure, now_seconds)
        else:
            self.suspects.resolve(exposure, now_seconds)
        if code.meaning.run is RunState.not_run:
            _note_not_run(round_, attempt)
        if code is ResultCode.ok:
            latency_seconds = now_seconds - exposure.sent_seconds
            self.medians.add(round_.job.service.name, latency_seconds)


def _note_not_run(round_: Round, attempt: Attempt) -> None:
    """Let another canary go at once: this one can have crashed nothing."""
    if attempt.is_canary:
        round_.canary_sent_seconds = -math.inf


def _follow_up(round_: Round, shard: str, code: ResultCode) -> None:
    if code is ResultCode.connection_reset:
        _ask_again(round_, shard)
    elif code in _GONE:
        round_.gone.add(shard)
    elif code in ASK_NEXT:
        _ask_next(round_, shard, code)


def _ask_next(round_: Round, shard: str, code: ResultCode) -> None:
    round_.gather.codes[shard] = code
    _move(round_, shard, code.name)


def _move(round_: Round, shard: str, reason: str) -> None:
    if shard in round_.moved:
        return
    round_.moved.add(shard)
    round_.reasons[shard] = reason
    round_.waiting.append(shard)


def _ask_again(round_: Round, shard: str) -> None:
    """Queue a shard whose backend server crashed once more, at the front.

    The same relay is asked, since it knows which replica to leave out.
    """
    is_awaited = any(
        attempt.shard == shard for attempt in round_.attempts.awaited.values()
    )
    if is_awaited or shard in round_.resent:
        return
    round_.resent.add(shard)
    round_.asked.pop(shard, None)
    round_.reasons[shard] = 'crash'
    round_.waiting.appendleft(shard)
