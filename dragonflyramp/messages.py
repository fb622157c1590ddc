"""Define the messages between a front and a relay, free of any encoding."""

import attrs

from dragonflyramp.models import MemberId, SliceId, Snapshot
from dragonflyramp.results import ResultCode


@attrs.frozen(kw_only=True)
class ShardAttempt:
    """Ask for one shard's part of a query."""

    shard: str
    attempt_id: str


@attrs.frozen(kw_only=True)
class Query:
    """Ask a relay for the parts of all its shards in one message."""

    query_id: str
    request_id: str
    service: str
    snapshot_id: str
    remaining_ms: int
    body: bytes
    fingerprint: str
    attempts: tuple[ShardAttempt, ...]


@attrs.frozen(kw_only=True)
class Part:
    """Answer one attempt; `body` is the backend server's JSON or empty."""

    query_id: str
    shard: str
    attempt_id: str
    snapshot_id: str
    code: ResultCode
    documents: int
    body: bytes


@attrs.frozen(kw_only=True)
class Submit:
    """Ask a relay to run a request that must not be repeated, once."""

    submit_id: str
    request_id: str
    service: str
    idempotency_key: str
    remaining_ms: int
    body: bytes
    fingerprint: str


@attrs.frozen(kw_only=True)
class SubmitOutcome:
    """Answer a submit; the code tells whether it was run."""

    submit_id: str
    code: ResultCode
    body: bytes


@attrs.frozen(kw_only=True)
class ShardReport:
    """List the snapshots that usable replicas of one shard hold."""

    shard: str
    snapshots: tuple[Snapshot, ...]


@attrs.frozen(kw_only=True)
class Report:
    """Tell a front what a relay can serve now."""

    relay_id: MemberId
    slice_ids: tuple[SliceId, ...]
    shards: tuple[ShardReport, ...]
