"""Define the results of the backend client."""

import attrs

from dragonflyramp.backends._exchanges import ReplyOrigin
from dragonflyramp.messages import Reply
from dragonflyramp.results import ResultCode


@attrs.frozen(kw_only=True)
class AttemptRecord:
    """Log record of one attempt; the log contains the fields in this order.

    `started_ms` and `ended_ms` count from the arrival of the caller's request.
    """

    replica_id: str
    purpose: str
    started_ms: float
    expected_latency_ms: float
    ended_ms: float
    outcome: str


@attrs.frozen(kw_only=True)
class ReplySource:
    """Attempt that got a reply, and where the reply was received."""

    replica_id: str
    purpose: str
    origin: ReplyOrigin


@attrs.frozen(kw_only=True)
class FetchResult:
    """Result of fetching one part from one service."""

    service: str
    code: ResultCode
    #: Set for `ok`, and for a failure that a replica reported.
    reply: Reply | None = None
    #: Set for `ok`.
    source: ReplySource | None = None
    #: Whether a replica may have run the request or may still run it.
    may_have_run: bool = False
    records: tuple[AttemptRecord, ...] = ()
