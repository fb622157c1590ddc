"""Convert the fields of scatter messages; None where one is missing."""

from dragonflyramp.members import members_pb2 as wire
from dragonflyramp.members._streams import Parts
from dragonflyramp.messages import (
    Part,
    Query,
    Report,
    ShardAttempt,
    ShardReport,
    Submit,
    SubmitOutcome,
)
from dragonflyramp.metrics import counters
from dragonflyramp.models import MemberId, SliceId, Snapshot
from dragonflyramp.results import ResultCode


def query_to_wire(query: Query) -> wire.Query:
    """Convert a query for sending."""
    return wire.Query(
        query_id=query.query_id,
        request_id=query.request_id,
        service=query.service,
        snapshot_id=query.snapshot_id,
        remaining_ms=query.remaining_ms,
        body=query.body,
        fingerprint=query.fingerprint,
        attempts=[
            wire.ShardAttempt(shard=wanted.shard, attempt_id=wanted.attempt_id)
            for wanted in query.attempts
        ],
    )


def query_from_wire(received: wire.Query) -> Query | None:
    """Convert a received query."""
    attempts = tuple(
        ShardAttempt(shard=wanted.shard, attempt_id=wanted.attempt_id)
        for wanted in received.attempts
        if wanted.shard and wanted.attempt_id
    )
    if not attempts or len(attempts) != len(received.attempts):
        return None
    if not received.query_id:
        return None
    return Query(
        query_id=received.query_id,
        request_id=received.request_id,
        service=received.service,
        snapshot_id=received.snapshot_id,
        remaining_ms=received.remaining_ms,
        body=received.body,
        fingerprint=received.fingerprint,
        attempts=attempts,
    )


def submit_to_wire(submit: Submit) -> wire.Submit:
    """Convert a submit for sending."""
    return wire.Submit(
        submit_id=submit.submit_id,
        request_id=submit.request_id,
        service=submit.service,
        idempotency_key=submit.idempotency_key,
        remaining_ms=submit.remaining_ms,
        body=submit.body,
        fingerprint=submit.fingerprint,
    )


def submit_from_wire(received: wire.Submit) -> Submit | None:
    """Convert a received submit."""
    if not received.submit_id or not received.idempotency_key:
        return None
    return Submit(
        submit_id=received.submit_id,
        request_id=received.request_id,
        service=received.service,
        idempotency_key=received.idempotency_key,
        remaining_ms=received.remaining_ms,
        body=received.body,
        fingerprint=received.fingerprint,
    )


def part_to_wire(part: Part) -> wire.Part:
    """Convert a part for sending."""
    return wire.Part(
        query_id=part.query_id,
        shard=part.shard,
        attempt_id=part.attempt_id,
        snapshot_id=part.snapshot_id,
        code=part.code,
        documents=part.documents,
        body=part.body,
    )


def part_from_wire(received: wire.Part) -> Part | None:
    """Convert a received part."""
    if not received.query_id or not received.attempt_id:
        return None
    return Part(
        query_id=received.query_id,
        shard=received.shard,
        attempt_id=received.attempt_id,
        snapshot_id=received.snapshot_id,
        code=_code(received.code, ResultCode.bad_reply),
        documents=received.documents,
        body=received.body,
    )


def parts_to_wire(message: Parts) -> wire.Parts:
    """Convert several parts for sending."""
    return wire.Parts(parts=map(part_to_wire, message.parts))


def parts_from_wire(received: wire.Parts) -> Parts | None:
    """Convert several received parts."""
    parts = tuple(filter(None, map(part_from_wire, received.parts)))
    if not parts or len(parts) != len(received.parts):
        return None
    return Parts(parts)


def outcome_to_wire(outcome: SubmitOutcome) -> wire.SubmitOutcome:
    """Convert the outcome of a submit for sending."""
    return wire.SubmitOutcome(
        submit_id=outcome.submit_id, code=outcome.code, body=outcome.body
    )


def outcome_from_wire(received: wire.SubmitOutcome) -> SubmitOutcome | None:
    """Convert a received outcome of a submit."""
    if not received.submit_id:
        return None
    return SubmitOutcome(
        submit_id=received.submit_id,
        code=_code(received.code, ResultCode.outcome_unknown),
        body=received.body,
    )


def report_to_wire(report: Report) -> wire.Report:
    """Convert a report for sending."""
    return wire.Report(
        relay_id=report.relay_id,
        slice_ids=report.slice_ids,
        shards=[_shard_to_wire(shard) for shard in report.shards],
    )


def report_from_wire(received: wire.Report) -> Report | None:
    """Convert a received report."""
    if not received.relay_id:
        return None
    return Report(
        relay_id=MemberId(received.relay_id),
        slice_ids=tuple(SliceId(name) for name in received.slice_ids),
        shards=tuple(_shard_from_wire(shard) for shard in received.shards),
    )


def _shard_to_wire(shard: ShardReport) -> wire.ShardReport:
    return wire.ShardReport(
        shard=shard.shard,
        snapshots=[
            wire.Snapshot(
                snapshot_id=snapshot.snapshot_id,
                generation=snapshot.generation,
                documents=snapshot.documents,
                total_documents=snapshot.total_documents,
            )
            for snapshot in shard.snapshots
        ],
    )


def _shard_from_wire(received: wire.ShardReport) -> ShardReport:
    return ShardReport(
        shard=received.shard,
        snapshots=tuple(
            _snapshot_from_wire(snapshot) for snapshot in received.snapshots
        ),
    )


def _snapshot_from_wire(received: wire.Snapshot) -> Snapshot:
    has_total = received.HasField('total_documents')
    return Snapshot(
        snapshot_id=received.snapshot_id,
        generation=received.generation,
        documents=received.documents,
        total_documents=received.total_documents if has_total else None,
    )


def _code(number: int, substitute: ResultCode) -> ResultCode:
    """Read a code; a newer daemon's unknown code becomes the substitute."""
    try:
        return ResultCode(number)
    except ValueError:
        counters.add('bad_message', 'unknown_code')
        return substitute
