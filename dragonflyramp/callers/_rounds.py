"""Hold the state of one query to one snapshot."""

import collections
import math

import attrs

from dragonflyramp.callers._attempts import Attempts
from dragonflyramp.callers._coverage import DocumentCount
from dragonflyramp.callers._gather import Gather
from dragonflyramp.callers._planning import DeadlineSplit, SnapshotView
from dragonflyramp.callers._requests import SearchRequest
from dragonflyramp.models import MemberId, Service


@attrs.frozen(kw_only=True)
class Job:
    """Hold what all rounds of one search share."""

    request: SearchRequest
    service: Service
    shards: tuple[str, ...]
    split: DeadlineSplit
    fingerprint: str
    canaries: tuple[str, ...]

    @property
    def has_canary(self) -> bool:
        """Tell whether some shards go first."""
        return bool(self.canaries)


@attrs.define(kw_only=True, eq=False)
class Round:
    """Hold one query: a search restarts as a new round, never mixed."""

    job: Job
    view: SnapshotView
    query_id: str
    gather: Gather
    #: Shards to ask as soon as that is allowed, in order.
    waiting: collections.deque[str]
    attempts: Attempts = attrs.field(factory=Attempts)
    asked: dict[str, list[MemberId]] = attrs.field(factory=dict)
    #: Why a waiting shard is asked again.
    reasons: dict[str, str] = attrs.field(factory=dict)
    #: Shards whose next candidate was asked; that happens once.
    moved: set[str] = attrs.field(factory=set)
    #: Shards asked again after a crash; that happens once.
    resent: set[str] = attrs.field(factory=set)
    #: Shards whose replicas no longer hold the snapshot.
    gone: set[str] = attrs.field(factory=set)
    #: When the last canary was sent, unless it was certainly not run.
    canary_sent_seconds: float = -math.inf
    sent: int = 0
    is_restart: bool = False

    @property
    def is_done(self) -> bool:
        """Tell whether nothing is left to send or to wait for."""
        return not self.waiting and not self.attempts.awaited


def start_round(
    job: Job, view: SnapshotView, query_id: str, *, is_restart: bool = False
) -> Round:
    """Begin a query to one snapshot; the canaries wait at the front."""
    shards = dict.fromkeys(job.canaries + job.shards)
    return Round(
        job=job,
        view=view,
        query_id=query_id,
        is_restart=is_restart,
        waiting=collections.deque(shards),
        gather=Gather(
            query_id=query_id,
            snapshot_id=view.snapshot_id,
            shards=job.shards,
            documents=DocumentCount(
                total=view.total_documents, reported=view.documents
            ),
        ),
    )
