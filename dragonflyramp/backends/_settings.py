"""Define the settings of a relay towards backend servers."""

import attrs


@attrs.frozen(kw_only=True)
class BackendSettings:
    """Set periods, limits and sizes; the suffix of each gives its unit."""

    #: Period of reading the VM list.
    vm_poll_seconds: float = 2
    #: Period of reading the status of one replica.
    status_period_seconds: float = 1
    #: Longest wait for a status that is read once a period.
    status_timeout_seconds: float = 0.5
    #: The status is read over a new connection after this time: only a new
    #: connection shows that a server no longer listens.
    status_reconnect_seconds: float = 2.5
    #: Longest wait for a connection that a request needs.
    open_timeout_seconds: float = 0.2
    #: Period of looking at the slices that the lease table lists.
    lease_check_seconds: float = 0.25
    #: An idle connection is closed after this time.
    connection_idle_seconds: float = 30
    #: A submit uses an idle connection only when it was used this recently.
    submit_recent_seconds: float = 1
    #: A longer reply counts as malformed.
    max_reply_bytes: int = 4 * 1024 * 1024
    #: Longest time that a query may still have when it arrives.
    max_remaining_ms: int = 60_000

    #: A replica without any reply for this time gets no work, and is cold
    #: when it replies again.
    silent_replica_seconds: float = 5
    #: Requests to replicas not known to be warm end this long before the lease.
    lease_margin_seconds: float = 0.02
    #: Pause before the first send to a cold replica under a new lease. The
    #: earlier holder may have used the rate of the second before.
    cold_pause_seconds: float = 1
    #: A warmth table is ignored for a replica that turned cold here this
    #: recently, because the table may be older than the fault.
    warmth_distrust_seconds: float = 10
    #: A warmth table that arrives before its slice is kept for this time.
    warmth_keep_seconds: float = 10

    #: A connection is silent after this multiple of the service's p95 ...
    silence_factor: float = 4
    #: ... but not before this time ...
    silence_floor_seconds: float = 0.02
    #: ... and after this fraction of the time that is left.
    silence_deadline_fraction: float = 0.3
    #: The same for a replica not known to be warm, which may be slower.
    cold_silence_factor: float = 10
    cold_silence_deadline_fraction: float = 0.45
    #: Silence time of a service whose latency is not known yet.
    silence_unknown_seconds: float = 0.5

    #: A request to a replica not known to be warm starts only while this
    #: multiple of the replica's latency is left. Under overload the longest
    #: waiting request goes first, and one that is given up proves nothing.
    cold_reserve_factor: float = 4
    #: At most this fraction of the request's whole time is asked for, so that
    #: a replica that was slow gets requests again.
    cold_reserve_fraction: float = 0.5

    #: Bodies that completed once are remembered up to this number.
    proven_fingerprints: int = 10_000
    #: A body that has not completed yet runs on one server at a time.
    unproven_alone: bool = True
    #: A body that crashed a backend server is remembered for this time.
    suspect_seconds: float = 60
