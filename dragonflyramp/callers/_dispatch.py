"""Decide which waiting shards are asked now, and through which relay."""

import collections
from collections.abc import Sequence

import attrs

from dragonflyramp.callers._attempts import Attempt
from dragonflyramp.callers._canary import CanaryPolicy
from dragonflyramp.callers._medians import Medians
from dragonflyramp.callers._planning import Planner, next_relay
from dragonflyramp.callers._rounds import Round
from dragonflyramp.callers._suspects import Suspects
from dragonflyramp.callers._suspicions import Exposure
from dragonflyramp.messages import Query, ShardAttempt
from dragonflyramp.metrics import counters
from dragonflyramp.models import MemberId
from dragonflyramp.results import ResultCode


@attrs.frozen
class Addressed:
    """Hold a query message and the relay it goes to."""

    relay_id: MemberId
    query: Query


@attrs.define(kw_only=True, eq=False)
class Dispatcher:
    """Turn waiting shards into one message for each relay."""

    planner: Planner
    suspects: Suspects
    canary: CanaryPolicy
    medians: Medians

    def messages(
        self, round_: Round, now_seconds: float
    ) -> tuple[Addressed, ...]:
        """Take what may be sent now out of the waiting shards."""
        by_relay = collections.defaultdict[MemberId, list[Attempt]](list)
        for attempt in self._choose(round_, now_seconds):
            by_relay[attempt.relay_id].append(attempt)
        return tuple(
            Addressed(relay_id, _query(round_, attempts, now_seconds))
            for relay_id, attempts in by_relay.items()
        )

    def recheck_at(self, round_: Round, now_seconds: float) -> float:
        """Return when shards that are held back deserve another look."""
        wait_seconds = self._wait_seconds(round_)
        until_seconds = round_.canary_sent_seconds + wait_seconds
        if until_seconds > now_seconds:
            return until_seconds
        return now_seconds + wait_seconds

    def _choose(self, round_: Round, now_seconds: float) -> list[Attempt]:
        chosen: list[Attempt] = []
        held: list[str] = []
        canaries = self._canary_limit(round_, now_seconds)
        is_canary = canaries is not None
        limit = len(round_.waiting) if canaries is None else canaries
        while round_.waiting and len(chosen) + len(held) < limit:
            shard = round_.waiting.popleft()
            attempt = self._prepare(round_, shard, now_seconds, is_canary)
            if attempt and self._admit(round_, attempt, now_seconds):
                chosen.append(attempt)
            elif attempt:
                held.append(shard)
        round_.waiting.extendleft(reversed(held))
        return chosen

    def _wait_seconds(self, round_: Round) -> float:
        service = round_.job.service
        median_seconds = self.medians.median(service.name)
        return self.canary.wait_seconds(service, median_seconds)

    def _canary_limit(self, round_: Round, now_seconds: float) -> int | None:
        """Limit what is sent now; None when the request is not limited."""
        if not self.suspects.is_limited(
            round_.job.fingerprint,
            now_seconds,
            has_canary=round_.job.has_canary,
        ):
            return None
        until_seconds = round_.canary_sent_seconds + self._wait_seconds(round_)
        is_fresh = now_seconds < until_seconds
        return 0 if is_fresh and _canary_relays(round_) else 1

    def _prepare(
        self, round_: Round, shard: str, now_seconds: float, is_canary: bool
    ) -> Attempt | None:
        if shard in round_.gather.merged:
            return None
        relay_id = next_relay(
            self.planner.candidates(shard),
            serving=round_.view.relays.get(shard, frozenset()),
            asked=round_.asked.get(shard, ()),
            # A relay that owes a canary's answer may be silent.
            avoid=_canary_relays(round_) if is_canary else (),
        )
        if relay_id is None:
            if shard not in round_.asked:
                round_.gather.codes[shard] = ResultCode.no_relay
            return None
        if not round_.job.split.remaining_ms(now_seconds):
            return None
        return _attempt(round_, shard, relay_id, now_seconds, is_canary)

    def _admit(
        self, round_: Round, attempt: Attempt, now_seconds: float
    ) -> bool:
        has_canary = round_.job.has_canary
        if not self.suspects.admit(
            attempt.exposure, now_seconds, has_canary=has_canary
        ):
            return False
        _register(round_, attempt)
        return True


def _canary_relays(round_: Round) -> frozenset[MemberId]:
    return frozenset(
        attempt.relay_id
        for attempt in round_.attempts.awaited.values()
        if attempt.is_canary
    )


def _attempt(
    round_: Round,
    shard: str,
    relay_id: MemberId,
    now_seconds: float,
    is_canary: bool,
) -> Attempt:
    split = round_.job.split
    return Attempt(
        exposure=Exposure(
            fingerprint=round_.job.fingerprint,
            shard=shard,
            attempt_id=f'{round_.query_id}.{round_.sent}',
            sent_seconds=now_seconds,
            until_seconds=split.gather_until_seconds,
        ),
        relay_id=relay_id,
        share_until_seconds=split.share_until(now_seconds),
        is_canary=is_canary,
    )


def _register(round_: Round, attempt: Attempt) -> None:
    shard = attempt.shard
    round_.sent += 1
    round_.gather.expect(attempt.attempt_id, shard)
    round_.attempts.add(attempt)
    round_.asked.setdefault(shard, []).append(attempt.relay_id)
    if attempt.is_canary:
        round_.canary_sent_seconds = attempt.exposure.sent_seconds
    reason = round_.reasons.pop(shard, '')
    if reason:
        counters.add('resends', reason)


def _query(
    round_: Round, attempts: Sequence[Attempt], now_seconds: float
) -> Query:
    request = round_.job.request
    return Query(
        query_id=round_.query_id,
        request_id=request.request_id,
        service=round_.job.service.name,
        snapshot_id=round_.view.snapshot_id,
        remaining_ms=round_.job.split.remaining_ms(now_seconds),
        body=request.body,
        fingerprint=round_.job.fingerprint,
        attempts=tuple(
            ShardAttempt(shard=attempt.shard, attempt_id=attempt.attempt_id)
            for attempt in attempts
        ),
    )
