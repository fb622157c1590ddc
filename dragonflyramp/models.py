"""Define the value types of services, replicas, holds and configurations."""

import enum
from collections.abc import Mapping

import attrs


@attrs.frozen
class FailureDomain:
    """Failure domain, and the region that contains it."""

    name: str
    region: str


@attrs.frozen
class StaticReplica:
    """Replica that the operators' text lists for a shard."""

    replica_id: str
    #: `IP:port`.
    address: str
    failure_domain: str


@attrs.frozen(kw_only=True)
class Service:
    """Service; one without dependencies is a shard.

    The text may set `hedge_budget`, `retry_budget`, `canary_shards`, `slices`,
    `connection_cost_ms` and `queue_length`, but no daemon uses them. The
    budgets are fractions. Names of durations end in the unit.
    """

    name: str
    depends_on: tuple[str, ...] = ()
    deadline_ms: int = 1000
    #: Minimum share of the shards in an answer to a search.
    coverage_target: float = 1.0
    #: Time after which a search is answered; 0 means the deadline.
    answer_after_ms: int = 0
    hedge_budget: float = 0.05
    retry_budget: float = 0.1
    canary_shards: int = 0
    slices: int = 1
    #: Number of requests that a replica runs concurrently; only checked against
    #: `connections`.
    slots: int = 1
    #: Connections that one replica accepts from all daemons together.
    connections: int = 10
    connection_cost_ms: float = 1.0
    #: Request rate that a cold replica can serve.
    cold_requests_per_second: float = 2.0
    queue_length: int = 64
    replicas: tuple[StaticReplica, ...] = ()


class HoldKind(enum.Enum):
    """Kind of the object that a hold takes out of service."""

    failure_domain = 'failure_domain'
    replica = 'replica'


@attrs.frozen(kw_only=True)
class Hold:
    """Failure domain or replica that an operator took out of service."""

    #: Name of the failure domain, or id of the replica.
    name: str
    kind: HoldKind
    #: Operator who set the hold.
    by: str
    #: Time of the operator's command, in ISO 8601.
    at: str
    reason: str
    #: Whether the hold may leave shards without replicas.
    confirm_dark: bool = False


@attrs.frozen(kw_only=True)
class Configuration:
    """Parsed content of one version of the operators' text."""

    #: Number of the push that stored the text; 0 if it is not known.
    number: int
    #: Name of the user whose services the text configures.
    user: str
    failure_domains: Mapping[str, FailureDomain]
    services: Mapping[str, Service]
    holds: Mapping[str, Hold]

    def shards_of(self, service: str) -> tuple[str, ...]:
        """Return the shards that a service needs, each once, in text order.

        A service without dependencies is its own shard.
        """
        definition = self.services[service]
        if not definition.depends_on:
            return (service,)
        shards: dict[str, None] = {}
        for dependency in definition.depends_on:
            shards.update(dict.fromkeys(self.shards_of(dependency)))
        return tuple(shards)


@attrs.frozen(kw_only=True)
class ShardReplica:
    """Replica of a shard, from the operators' text or the platform's store."""

    replica_id: str
    shard: str
    #: `IP:port`.
    address: str
    failure_domain: str
