"""Define what a backend server of the stand-in is told, and what it records."""

import collections
from collections.abc import Mapping

import attrs

_KEPT_IDS = 20_000


@attrs.frozen(kw_only=True)
class SnapshotSpec:
    """Describe a snapshot that a server holds."""

    id: str = 's1'
    generation: int = 1
    documents: int = 100
    total_documents: int | None = 100


@attrs.frozen(kw_only=True)
class ServerSpec:
    """Describe one backend server.

    While cold it bears one request at once and `cold_requests_per_second`;
    above that it collapses for `collapse_ms`. After `warm_after` requests
    without a collapse it is warm.
    """

    replica_id: str
    shard: str
    address: str = '127.0.0.1:0'
    failure_domain: str = 'a'
    slots: int = 3
    connections: int = 30
    connection_cost_ms: float = 1
    service_ms: float = 5
    #: Fraction of the service time that is drawn at random on top of it.
    service_spread: float = 0
    latency_ms: float = 0
    cold: bool = False
    cold_requests_per_second: float = 2
    cold_slowdown: float = 1.5
    warm_after: int = 10
    collapse_ms: float = 1000
    #: `shed` or `stall`.
    collapse_mode: str = 'shed'
    snapshots: tuple[SnapshotSpec, ...] = (SnapshotSpec(),)


@attrs.define(kw_only=True)
class Faults:
    """Switch the faults of one server; each can be changed at any time."""

    #: Extra time of each request.
    straggle_ms: float = 0
    shed: bool = False
    draining: bool = False
    #: The same in replies only, and in the status only.
    draining_replies: bool = False
    draining_status: bool = False
    #: Answer with status 500.
    error: bool = False
    #: Answer with a body that is not JSON.
    garbage: bool = False
    #: Answer with this text instead of the reply.
    reply_text: str = ''
    #: Answer with a JSON string of this length instead of the reply.
    reply_bytes: int = 0
    #: Answer the status with status 500.
    status_down: bool = False
    #: Load that status and replies claim, whatever it is.
    claimed_load: float | None = None
    #: Snapshot that replies claim, whatever was asked.
    wrong_snapshot: str | None = None
    #: A body that contains this text crashes the server.
    crash_text: str = ''
    #: Time until a crashed server comes back, cold.
    crash_ms: float = 200


@attrs.define(kw_only=True)
class Records:
    """Record what happened at one server."""

    #: Requests that arrived, refused or not.
    received: int = 0
    last_received_seconds: float = 0
    #: When each request arrived, in monotonic seconds.
    arrival_seconds: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=_KEPT_IDS)
    )
    #: Requests that were run.
    searches: int = 0
    submits: int = 0
    runs_by_key: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    request_ids: collections.deque[str] = attrs.field(
        factory=lambda: collections.deque(maxlen=_KEPT_IDS)
    )
    attempt_ids: collections.deque[str] = attrs.field(
        factory=lambda: collections.deque(maxlen=_KEPT_IDS)
    )
    #: Monotonic seconds, which all processes of one machine share.
    last_started_seconds: float = 0
    largest_deadline_ms: float = 0
    cancelled: int = 0
    shed: int = 0
    expired: int = 0
    crashes: int = 0
    violations: int = 0
    largest_concurrency: int = 0
    largest_cold_concurrency: int = 0
    largest_cold_per_second: int = 0
    largest_connections: int = 0

    def as_dict(self) -> Mapping[str, object]:
        """Give the records in a form that JSON can carry."""
        fields = attrs.asdict(self, recurse=False)
        return {
            name: list(found) if isinstance(found, collections.deque) else found
            for name, found in fields.items()
        }
