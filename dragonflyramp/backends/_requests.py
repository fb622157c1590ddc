"""Define the results of the backend client."""

import attrs

from dragonflyramp.backends._proofs import ProvenSuccess
from dragonflyramp.messages import Reply
from dragonflyramp.replica_connections import OutcomeKind
from dragonflyramp.results import ResultCode


@attrs.frozen(kw_only=True)
class AttemptRecord:
    """What became of one attempt; times are monotonic."""

    replica_id: str
    purpose: str
    started_at_seconds: float
    expected_latency_ms: float
    ended_at_seconds: float
    outcome: OutcomeKind
    #: None if the request was not written.
    written_at_seconds: float | None = None
    is_connection_new: bool = False


@attrs.frozen(kw_only=True)
class FetchResult:
    """Result of fetching one part from one service."""

    service: str
    code: ResultCode
    #: Set for `ok`.
    success: ProvenSuccess | None = None
    #: Failure that a replica reported, if there is one.
    failure: Reply | None = None
    #: Whether a replica may have run the request or may still run it.
    may_have_run: bool = False
    records: tuple[AttemptRecord, ...] = ()

    @property
    def is_answered(self) -> bool:
        """Return whether a replica has answered the request."""
        return self.success is not None or self.failure is not None
