"""Log and count the requests of callers."""

from collections.abc import Sequence
from http import HTTPStatus

import attrs
from loguru import logger

from dragonflyramp.admission import Rejection
from dragonflyramp.backends import (
    AttemptRecord,
    FetchResult,
    Peers,
    ProvenSuccess,
    RequestContext,
)
from dragonflyramp.callers._answers import (
    Answer,
    MergedAnswer,
    Refusal,
    RelayedAnswer,
    RelayedFailure,
    Success,
)
from dragonflyramp.callers._queries import Query
from dragonflyramp.callers._retry_delays import (
    UNAVAILABLE_RETRY_AFTER_SECONDS,
)
from dragonflyramp.callers._search_times import SearchTimes, elapsed_ms
from dragonflyramp.messages import Reply
from dragonflyramp.metrics import counters, latencies
from dragonflyramp.replica_connections import OutcomeKind
from dragonflyramp.results import ResultCode

#: One in this many answers is logged even if it is on time and complete, unless
#: all are.
_ANSWERS_PER_SAMPLE = 64


@attrs.define(eq=False)
class RequestLog:
    """Log late, partial and failed answers, and all others or a sample."""

    _peers: Peers
    logs_all: bool = False
    _answer_count: int = 0

    def record(
        self,
        context: RequestContext,
        answer: Answer,
        fetch_results: Sequence[FetchResult],
        answered_at_seconds: float,
        times: SearchTimes | None = None,
    ) -> None:
        """Count an answer; log it if it is late, partial, failed or sampled.

        `times` are those of a search.
        """
        answered_ms = elapsed_ms(
            answered_at_seconds, context.received_at_seconds
        )
        is_late = answered_ms > context.route.target_ms
        outcome = _outcome_name(answer)
        counters.add('answers', 'late' if is_late else outcome)
        latencies.record('requests', answered_ms)
        if times is not None:
            times.record(context.route.name)
        self._answer_count += 1
        is_sampled = (
            self.logs_all or self._answer_count % _ANSWERS_PER_SAMPLE == 0
        )
        is_normal = outcome == ResultCode.ok.name and not is_late
        if is_normal and not is_sampled:
            return
        logger.bind(
            request=context.request.request_id,
            route=context.route.name,
            version=context.table.version,
            tenant=context.tenant_name,
            is_search=context.route.gather is not None,
            outcome=outcome,
            elapsed_ms=round(answered_ms, 1),
            target_ms=context.route.target_ms,
            times=None if times is None else times.describe(),
            daemons=self._peers.daemon_count(),
            fingerprint=_lost_request_fingerprint(context, fetch_results),
            relayed=_describe_relayed(answer),
            sources=describe_proofs(answer),
            parts=[
                _describe_part(fetch_result, context.received_at_seconds)
                for fetch_result in fetch_results
                if _is_failed_or_repeated(fetch_result)
            ],
        ).info('request answered')


def refuse(
    query: Query,
    code: ResultCode,
    retry_after_seconds: float | None = None,
    *,
    tenant_name: str | None = None,
) -> Refusal:
    """Count, log and return the refusal of a query that was not sent."""
    counters.add('refusals', code.name)
    logger.bind(
        request=query.request.request_id,
        host=query.host,
        path=query.path,
        tenant=tenant_name,
        code=code.name,
    ).info('request refused')
    return Refusal(code=code, retry_after_seconds=retry_after_seconds)


def refuse_unmatched(query: Query, code: ResultCode) -> Refusal:
    """Refuse a query without a route or a tenant."""
    if code is ResultCode.unauthorized:
        counters.add(
            'unauthorized_requests',
            'unknown_key' if query.api_key else 'missing_key',
        )
    retry_after_seconds = None
    if code.meaning.http_status is HTTPStatus.SERVICE_UNAVAILABLE:
        retry_after_seconds = UNAVAILABLE_RETRY_AFTER_SECONDS
    return refuse(query, code, retry_after_seconds)


def refuse_rejected(
    query: Query, rejection: Rejection, tenant_name: str | None
) -> Refusal:
    """Count, log and return the refusal of a query that was not admitted."""
    counters.add('admission_rejections', rejection.reason)
    return refuse(
        query,
        ResultCode.not_admitted,
        rejection.retry_after_seconds,
        tenant_name=tenant_name,
    )


def _outcome_name(answer: Answer) -> str:
    if isinstance(answer, Refusal):
        return answer.code.name
    if isinstance(answer, MergedAnswer) and answer.missing_count:
        return 'partial'
    if isinstance(answer, RelayedFailure):
        return 'backend_failure'
    if isinstance(answer, RelayedAnswer) and not _is_signed(answer.reply):
        return 'unsigned'
    return ResultCode.ok.name


def _is_signed(reply: Reply) -> bool:
    """Return whether the headers for the caller hold the server's stamp."""
    return bool(reply.stamp) and any(
        text == reply.stamp for _, text in reply.headers
    )


def _describe_relayed(answer: Answer) -> dict[str, object] | None:
    if not isinstance(answer, (RelayedAnswer, RelayedFailure)):
        return None
    reply = answer.reply
    return {
        'status': reply.status,
        'stamp': reply.stamp,
        'header_count': len(reply.headers),
        'body_bytes': len(reply.body),
    }


def _is_failed_or_repeated(fetch_result: FetchResult) -> bool:
    return (
        fetch_result.code is not ResultCode.ok or len(fetch_result.records) > 1
    )


def _lost_request_fingerprint(
    context: RequestContext, fetch_results: Sequence[FetchResult]
) -> str:
    """Return the fingerprint if an attempt lost its connection, else ''."""
    has_lost_attempt = any(
        record.outcome is OutcomeKind.lost
        for fetch_result in fetch_results
        for record in fetch_result.records
    )
    return context.crash_watch.fingerprint if has_lost_attempt else ''


def _describe_part(
    fetch_result: FetchResult, received_at_seconds: float
) -> list[object]:
    attempts = [
        _describe_attempt(record, received_at_seconds)
        for record in fetch_result.records
    ]
    return [fetch_result.service, fetch_result.code.name, attempts]


def _describe_attempt(
    record: AttemptRecord, received_at_seconds: float
) -> list[object]:
    """Describe an attempt with its times in ms since the request arrived."""
    started_ms = elapsed_ms(record.started_at_seconds, received_at_seconds)
    ended_ms = elapsed_ms(record.ended_at_seconds, received_at_seconds)
    return [
        record.replica_id,
        record.purpose,
        round(started_ms, 1),
        round(record.expected_latency_ms, 1),
        round(ended_ms, 1),
        record.outcome.value,
    ]


def describe_proofs(answer: Answer) -> list[list[object]]:
    """Describe the attempts and connections from which a success is made."""
    if not isinstance(answer, Success):
        return []
    return [_describe_proof(proof) for proof in answer.proofs]


def _describe_proof(proof: ProvenSuccess) -> list[object]:
    origin = proof.origin
    return [
        proof.service,
        proof.stamp,
        proof.reply.request_id,
        proof.replica_id,
        proof.purpose,
        origin.address,
        origin.connection,
        list(origin.earlier_ids),
        'connection' if origin.is_close_delimited else 'framing',
    ]
