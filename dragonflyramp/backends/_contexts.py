"""Hold what all tasks of a relay's backend side share."""

import random
from collections.abc import Callable

import attrs

from dragonflyramp.backends._budgets import Budget
from dragonflyramp.backends._clients import ClientFactory
from dragonflyramp.backends._fingerprints import Fingerprints, Suspects
from dragonflyramp.backends._latencies import RequestKind, ServiceLatency
from dragonflyramp.backends._policies import PolicySet
from dragonflyramp.backends._replicas import ReplicaObserver
from dragonflyramp.backends._settings import BackendSettings
from dragonflyramp.members import ConfigurationSource, LeaseTable
from dragonflyramp.models import Service, SliceId


@attrs.frozen(kw_only=True)
class TierContext:
    """Hold what the tasks of one relay share; `clock` gives seconds."""

    client_factory: ClientFactory
    lease_table: LeaseTable
    source: ConfigurationSource
    policies: PolicySet
    settings: BackendSettings
    failure_domain: str
    clock: Callable[[], float]
    rng: random.Random
    fingerprints: Fingerprints = attrs.field(init=False)
    observer: ReplicaObserver = attrs.field(init=False)

    @fingerprints.default
    def _no_fingerprints(self) -> Fingerprints:
        return Fingerprints(
            max_proven=self.settings.proven_fingerprints,
            suspects=Suspects(self.settings.suspect_seconds),
            alone=self.settings.unproven_alone,
        )

    @observer.default
    def _new_observer(self) -> ReplicaObserver:
        return ReplicaObserver(self.policies, self.settings)


def _new_latencies() -> dict[RequestKind, ServiceLatency]:
    return {kind: ServiceLatency() for kind in RequestKind}


@attrs.define(kw_only=True)
class ShardTerms:
    """State what the configuration says of a shard, and its latencies.

    `gained_number` is the configuration through which this relay got it.
    """

    service: Service
    slice_id: SliceId
    gained_number: int
    hedge_budget: Budget
    retry_budget: Budget
    latencies: dict[RequestKind, ServiceLatency] = attrs.field(
        factory=_new_latencies
    )

    def update(
        self, service: Service, slice_id: SliceId, gained_number: int
    ) -> None:
        """Take over a configuration; what was learnt stays."""
        self.service = service
        self.slice_id = slice_id
        self.gained_number = gained_number
        self.hedge_budget.fraction = service.hedge_budget
        self.retry_budget.fraction = service.retry_budget
