"""Turn the queries and submits of fronts into jobs of shards."""

import asyncio
from collections.abc import Callable

from dragonflyramp.backends._jobs import Job, Outcome
from dragonflyramp.backends._latencies import RequestKind
from dragonflyramp.messages import Part, Query, ShardAttempt, Submit

_MS_PER_SECOND = 1000
#: Kept back so that an outcome reaches the front before it gives up: the way
#: in both directions takes 3 ms today, and a busy event loop some 10 ms.
_SUBMIT_RETURN_MS = 20
#: The same for short deadlines, as a fraction of the time that is left.
_SUBMIT_RETURN_FRACTION = 0.1


def deadline_seconds(
    remaining_ms: int, max_remaining_ms: int, now_seconds: float
) -> float:
    """Turn the time that is left into a deadline, within a bound.

    >>> deadline_seconds(400, 60_000, 10)
    10.4
    """
    return now_seconds + min(remaining_ms, max_remaining_ms) / _MS_PER_SECOND


def submit_deadline_seconds(
    remaining_ms: int, max_remaining_ms: int, now_seconds: float
) -> float:
    """Return when a submit ends here, for its front to learn the outcome.

    The front waits for the remaining time from before it sent the submit. A
    submit that expired here without having been sent would else count as
    sent, and its key would never run.

    >>> submit_deadline_seconds(400, 60_000, 10)
    10.38
    """
    bounded_ms = min(remaining_ms, max_remaining_ms)
    return_ms = min(_SUBMIT_RETURN_MS, bounded_ms * _SUBMIT_RETURN_FRACTION)
    return now_seconds + (bounded_ms - return_ms) / _MS_PER_SECOND


def search_job(
    query: Query,
    attempt: ShardAttempt,
    deliver: Callable[[Outcome], None],
    *,
    deadline: float,
    now_seconds: float,
) -> Job:
    """Make the job of one attempt."""
    return Job(
        kind=RequestKind.search,
        query_id=query.query_id,
        attempt_id=attempt.attempt_id,
        request_id=query.request_id,
        snapshot_id=query.snapshot_id,
        fingerprint=query.fingerprint,
        body=query.body,
        arrived_seconds=now_seconds,
        deadline_seconds=deadline,
        deliver=deliver,
    )


def submit_job(
    submit: Submit,
    deliver: Callable[[Outcome], None],
    *,
    deadline: float,
    now_seconds: float,
) -> Job:
    """Make the job of a submit."""
    return Job(
        kind=RequestKind.submit,
        query_id=submit.submit_id,
        attempt_id=submit.submit_id,
        request_id=submit.request_id,
        idempotency_key=submit.idempotency_key,
        fingerprint=submit.fingerprint,
        body=submit.body,
        arrived_seconds=now_seconds,
        deadline_seconds=deadline,
        deliver=deliver,
    )


def put_part(
    outbox: asyncio.Queue[Part],
    query: Query,
    attempt: ShardAttempt,
    outcome: Outcome,
) -> None:
    """Answer an attempt; the outbox must not be bounded."""
    outbox.put_nowait(
        Part(
            query_id=query.query_id,
            shard=attempt.shard,
            attempt_id=attempt.attempt_id,
            snapshot_id=query.snapshot_id,
            code=outcome.code,
            documents=outcome.documents,
            body=outcome.body,
        )
    )
