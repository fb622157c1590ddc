"""Define the settings of the VM on which a daemon runs."""

import attrs


@attrs.frozen(kw_only=True)
class RetryBounds:
    """Bounds on the extra requests that all daemons send in a window.

    Extra requests are retries and hedges.
    """

    #: Extra requests per caller request.
    ratio: float = 0.2
    window_seconds: float = 10
    #: Extra requests per window in addition to the ratio.
    slack: float = 20


@attrs.frozen(kw_only=True)
class ColdReplicaBounds:
    """Bounds on the requests per second to a cold replica."""

    #: Allowed multiple of the configured rate.
    overshoot: float = 1.0
    #: Requests per second in addition to the configured rate.
    slack: float = 0


@attrs.frozen(kw_only=True)
class QuotaBounds:
    """Bounds on the requests of a tenant that run in a window."""

    window_seconds: float = 5
    #: Share of the limit by which it may be exceeded.
    overshoot: float = 0
    #: Requests per window in addition to the limit.
    slack: float = 0


@attrs.frozen(kw_only=True)
class ExposureBounds:
    """Bounds on the requests that a bad software version gets."""

    #: Share of the requests of its service during the rollout.
    share: float = 0
    #: Requests in addition to the share.
    slack: float = 0
    #: Time after enough bad answers from which it gets no requests.
    rollback_seconds: float = 5


@attrs.frozen(kw_only=True)
class RevocationBounds:
    """What a daemon does with API keys while it hears of no changes."""

    #: Whether it refuses requests with a key.
    is_strict: bool = False
    #: Time without news after which it does.
    max_age_seconds: float = 5


@attrs.frozen(kw_only=True)
class VmLimits:
    """Limits on the process of a daemon; 0 means that none is known."""

    memory_bytes: int = 0
    max_descriptors: int = 0


@attrs.frozen(kw_only=True)
class MachineSettings:
    """Settings that the platform gives to one VM."""

    #: Name of the VM and of its daemon.
    node: str
    failure_domain: str
    region: str
    #: `IP:port` to listen on for callers.
    frontend_address: str
    #: `IP:port` to listen on for the platform's readiness checks.
    readiness_address: str
    #: `IP:port` for requests of other daemons; empty if the daemon serves none.
    member_address: str
    #: Member addresses of some other daemons, possibly stale.
    seeds: tuple[str, ...]
    #: `IP:port` of the platform's store.
    store_address: str
    #: Time from the stop signal until the platform ends the process.
    grace_seconds: float
    retry_bounds: RetryBounds
    cold_replica_bounds: ColdReplicaBounds
    #: Names of the parts of the platform's rules that are in force.
    contracts: frozenset[str] = frozenset()
    quota_bounds: QuotaBounds = QuotaBounds()
    exposure_bounds: ExposureBounds = ExposureBounds()
    revocation_bounds: RevocationBounds = RevocationBounds()
    vm_limits: VmLimits = VmLimits()
