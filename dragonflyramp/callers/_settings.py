"""Define the settings of a front with their defaults and units."""

import attrs


@attrs.frozen(kw_only=True)
class DeadlineSettings:
    """Split a caller's deadline; fractions are of the whole deadline."""

    #: Kept back to merge and encode, within the bounds below.
    merge_fraction: float = 0.05
    merge_min_ms: float = 2
    merge_max_ms: float = 20
    #: Kept back at a hop for a part's way back; 1.5 ms between today's
    #: failure domains plus scheduling.
    hop_ms: float = 2
    #: Upper bound of the two reserves together, for very short deadlines.
    reserve_max_fraction: float = 0.5
    #: A relay that left a shard unanswered for this fraction of the time
    #: it was given is treated as silent.
    relay_share: float = 0.5
    #: Least time left for which a search restarts on another snapshot.
    restart_floor_ms: float = 10
    #: Fraction that a claim may use; the rest is for the one send.
    claim_share: float = 0.5


@attrs.frozen(kw_only=True)
class QuarantineSettings:
    """Bound the memory and the duration of crash suspicion."""

    quarantine_seconds: float = 60
    max_quarantined: int = 1000
    max_suspects: int = 10000
    #: How long a completed request needs no canary.
    proven_seconds: float = 60
    max_proven: int = 10000


@attrs.frozen(kw_only=True)
class ClaimSettings:
    """Bound claims in time and size."""

    claim_retention_seconds: float = 86400
    #: A free claim means the same as none and is kept for operators only.
    free_retention_seconds: float = 60
    #: The platform stores values up to 1 MB; outcomes may use the gap.
    claims_limit_bytes: int = 900_000
    bucket_limit_bytes: int = 990_000
    max_outcome_bytes: int = 4096
    max_waiting: int = 256
    call_timeout_seconds: float = 1
    backoff_base_ms: float = 5
    backoff_max_ms: float = 500
    #: How long outcomes and releases are retried in the background.
    settle_seconds: float = 600
    #: How long an answer waits for its outcome to be recorded.
    record_wait_ms: float = 100


@attrs.frozen(kw_only=True)
class FrontSettings:
    """Hold every setting of a front."""

    max_searches: int = 1000
    max_submits: int = 256
    max_body_bytes: int = 65_536
    #: How long a stopping front accepts after it became not ready.
    notice_seconds: float = 5
    #: How long a stopping front waits for outcomes to be recorded.
    settle_notice_seconds: float = 30
    #: How long a caller may take to send its body.
    body_timeout_seconds: float = 10
    #: How long a send or cancel may wait for a relay's stream.
    link_timeout_ms: float = 100
    deadlines: DeadlineSettings = DeadlineSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    claims: ClaimSettings = ClaimSettings()
