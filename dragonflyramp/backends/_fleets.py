"""Track the replicas of each service and which may receive requests."""

import functools
import math
from collections.abc import Callable, Mapping
from types import MappingProxyType

import attrs
from loguru import logger

from dragonflyramp.backends._capacity_events import CapacityEvents
from dragonflyramp.backends._cold_limits import ColdReplicaLimiter
from dragonflyramp.backends._limits import Peers
from dragonflyramp.backends._replica_orders import ReplicaOrder
from dragonflyramp.backends._replicas import Replica
from dragonflyramp.backends._reply_notices import ReplyNoticeRecorder
from dragonflyramp.replica_connections import (
    ConnectionFactory,
    ConnectionPool,
    connection_limits,
)
from dragonflyramp.replicas import ReplicaEntry, ReplicaState
from dragonflyramp.rollouts import AllVersions, VersionPolicy
from dragonflyramp.routes import ServicePolicy
from dragonflyramp.runtime import TaskSet


@attrs.define(eq=False)
class ServiceCache:
    """Values derived from the replicas of a service.

    They are needed for each part of a search, and change only with the entries
    of the replicas, the holds and the number of daemons.
    """

    #: Replicas that are ready and outside the held domains, in the order of
    #: this daemon; None if unknown.
    permitted: tuple[Replica, ...] | None = None
    #: Cap and number of daemons for which connection limits are set.
    limit_inputs: tuple[int, int] | None = None


def _ignore_process_end(entry: ReplicaEntry, now_seconds: float) -> None:
    """Do nothing, for fleets without anybody who acts on it."""


def _create_notices(fleet: 'Fleet') -> ReplyNoticeRecorder:
    return ReplyNoticeRecorder(
        fleet.all_replicas(), fleet.capacity_events.notify
    )


@attrs.define(eq=False, kw_only=True)
class Fleet:
    """All known replicas by service; only `update` adds or removes them."""

    create_connection: ConnectionFactory
    tasks: TaskSet
    order: ReplicaOrder = attrs.field(factory=ReplicaOrder)
    cold_limiter: ColdReplicaLimiter = attrs.field(factory=ColdReplicaLimiter)
    capacity_events: CapacityEvents = attrs.field(factory=CapacityEvents)
    #: Called with the entry of a process that ended or was replaced.
    on_process_end: Callable[[ReplicaEntry, float], None] = _ignore_process_end
    #: Failure domains that operators have taken out of service.
    held_domains: frozenset[str] = frozenset()
    #: Which software versions may get requests.
    versions: VersionPolicy = attrs.field(factory=AllVersions)
    #: Derived values of each service, until its replicas or the holds change.
    caches: dict[str, ServiceCache] = attrs.field(factory=dict)
    #: Monotonic time of the last attempt at a request of each service.
    requested_at_seconds: dict[str, float] = attrs.field(factory=dict)
    _by_service: dict[str, dict[str, Replica]] = attrs.field(factory=dict)
    _by_id: dict[str, Replica] = attrs.field(factory=dict)
    #: What the replicas said about further requests.
    reply_notices: ReplyNoticeRecorder = attrs.field(
        init=False, default=attrs.Factory(_create_notices, takes_self=True)
    )

    def update(
        self, replica_id: str, entry: ReplicaEntry | None, now_seconds: float
    ) -> None:
        """Add or update a replica from its entry; None removes it.

        A restarted or moved replica starts with new statistics and connections.
        """
        replica = self._by_id.get(replica_id)
        if replica is not None:
            if entry is not None and _is_same_process(replica.entry, entry):
                self.caches.pop(entry.service, None)
                _update_entry(replica, entry, now_seconds)
                return
            self._remove(replica)
            if entry is not None or replica.is_ready:
                self.on_process_end(replica.entry, now_seconds)
        if entry is not None:
            self._add(entry, now_seconds)

    def all_replicas(self) -> Mapping[str, Replica]:
        """Return the replicas of all services by id."""
        return MappingProxyType(self._by_id)

    def service_replicas(self, service: str) -> Mapping[str, Replica]:
        """Return the replicas of one service by id."""
        return MappingProxyType(self._by_service.get(service, {}))

    def usable_replicas(
        self, service: str, now_seconds: float
    ) -> list[Replica]:
        """Return the replicas that take requests now.

        They are ready, outside the held failure domains, of a permitted
        software version, and have not said that they leave or want a pause.
        """
        return [
            replica
            for replica in permitted_replicas(self, service, now_seconds)
            if is_usable(self, replica, now_seconds)
        ]

    def candidates(
        self, policy: ServicePolicy, peers: Peers, now_seconds: float
    ) -> list[Replica]:
        """Return the usable replicas that may receive a request now.

        Also set this daemon's connection limits for each replica.
        """
        _update_limits(self, policy, peers.daemon_count())
        return [
            replica
            for replica in self.usable_replicas(policy.name, now_seconds)
            if replica.connections.has_capacity(now_seconds)
            and self.cold_limiter.allows(replica, policy, peers, now_seconds)
        ]

    def _add(self, entry: ReplicaEntry, now_seconds: float) -> None:
        replica = Replica(
            entry=entry,
            warm_at_seconds=now_seconds + entry.cold_remaining_ms / 1000,
            connections=ConnectionPool(
                entry.address,
                self.create_connection,
                self.tasks,
                functools.partial(self.capacity_events.notify, entry.service),
                functools.partial(self.reply_notices.record_reply, entry),
            ),
        )
        self._by_id[entry.replica_id] = replica
        replicas = self._by_service.setdefault(entry.service, {})
        replicas[entry.replica_id] = replica
        self.order.invalidate(entry.service)
        self.caches.pop(entry.service, None)
        self.capacity_events.notify(entry.service)
        logger.bind(**_log_fields(entry)).info('replica listed')

    def _remove(self, replica: Replica) -> None:
        entry = replica.entry
        self._by_id.pop(entry.replica_id, None)
        replicas = self._by_service[entry.service]
        replicas.pop(entry.replica_id, None)
        if not replicas:
            self.requested_at_seconds.pop(entry.service, None)
        self.order.invalidate(entry.service)
        self.caches.pop(entry.service, None)
        self.cold_limiter.discard(replica)
        replica.stop_requests()
        logger.bind(**_log_fields(entry)).info('replica removed')


def _is_same_process(old: ReplicaEntry, new: ReplicaEntry) -> bool:
    """Return whether both entries describe the same process and address."""
    return (
        old.service == new.service
        and old.address == new.address
        and old.start_time_ms == new.start_time_ms
    )


def _update_entry(
    replica: Replica, entry: ReplicaEntry, now_seconds: float
) -> None:
    if entry.state is not replica.entry.state:
        logger.bind(**_log_fields(entry)).info('replica changed')
        replica.connections.is_retired = False
        if entry.state is ReplicaState.draining:
            replica.stop_requests()
    replica.entry = entry
    replica.warm_at_seconds = now_seconds + entry.cold_remaining_ms / 1000


def _log_fields(entry: ReplicaEntry) -> dict[str, object]:
    return {
        'replica': entry.replica_id,
        'service': entry.service,
        'address': entry.address,
        'state': entry.state.value,
        'started_ms': entry.start_time_ms,
    }


def software_versions(fleet: Fleet, service: str) -> frozenset[str]:
    """Return the software versions of the replicas of a service."""
    return frozenset(
        replica.entry.software_version
        for replica in fleet.service_replicas(service).values()
    )


def apply_peer_latency_ratios(
    fleet: Fleet, ratios: Mapping[str, float], now_seconds: float
) -> None:
    """Record the latency ratios, by replica id, that other daemons report."""
    replicas = fleet.all_replicas()
    for replica_id, ratio in ratios.items():
        replica = replicas.get(replica_id)
        if replica is not None:
            replica.stats.record_peer_latency_ratio(ratio, now_seconds)


def _update_limits(
    fleet: Fleet, policy: ServicePolicy, daemon_count: int
) -> None:
    """Set this daemon's connection limits for each replica."""
    cache = fleet.caches.get(policy.name)
    if cache is None:
        cache = fleet.caches.setdefault(policy.name, ServiceCache())
    limit_inputs = (policy.max_connections, daemon_count)
    if cache.limit_inputs == limit_inputs:
        return
    cache.limit_inputs = limit_inputs
    replicas = fleet.service_replicas(policy.name)
    ranks = fleet.order.ranks(policy.name, replicas)
    for replica_id, replica in replicas.items():
        replica.connections.limits = connection_limits(
            policy.max_connections,
            daemon_count,
            len(replicas),
            ranks[replica_id],
        )


def is_usable(fleet: Fleet, replica: Replica, now_seconds: float) -> bool:
    """Return whether a permitted replica takes requests now."""
    notices = fleet.reply_notices.notices
    if (
        notices.by_id
        and notices.resumes_at_seconds(replica.entry) > now_seconds
    ):
        return False
    return fleet.versions.permits(replica.entry, now_seconds)


def resume_delay_seconds(
    fleet: Fleet, service: str, now_seconds: float
) -> float:
    """Return the seconds until a replica takes requests; 0 if one does now.

    Return infinity if no known replica will.
    """
    notices = fleet.reply_notices.notices
    resume_times = (
        notices.resumes_at_seconds(replica.entry)
        for replica in permitted_replicas(fleet, service, now_seconds)
        if fleet.versions.permits(replica.entry, now_seconds)
    )
    return max(0, min(resume_times, default=math.inf) - now_seconds)


def hold_domains(fleet: Fleet, held_domains: frozenset[str]) -> None:
    """Set the failure domains on hold; withdraw what is not sent yet."""
    fleet.held_domains = held_domains
    fleet.caches.clear()
    for replica in fleet.all_replicas().values():
        if replica.entry.failure_domain in held_domains:
            replica.withdraw_unwritten()


def expire_notices(fleet: Fleet, now_seconds: float) -> None:
    """Drop the notices of replicas that are gone."""
    entries = {
        replica_id: replica.entry
        for replica_id, replica in fleet.all_replicas().items()
    }
    fleet.reply_notices.notices.expire(entries, now_seconds)


def permitted_replicas(
    fleet: Fleet, service: str, now_seconds: float
) -> tuple[Replica, ...]:
    """Return the replicas that are ready and outside the held domains.

    They are in the order of this daemon.
    """
    cache = fleet.caches.get(service)
    if cache is None:
        cache = fleet.caches.setdefault(service, ServiceCache())
    if cache.permitted is None:
        replicas = fleet.service_replicas(service)
        entries = [replica.entry for replica in replicas.values()]
        fleet.versions.record_listed(service, entries, now_seconds)
        cache.permitted = tuple(
            replicas[replica_id]
            for replica_id in fleet.order.ranks(service, replicas)
            if replicas[replica_id].is_ready
            and replicas[replica_id].entry.failure_domain
            not in fleet.held_domains
        )
    return cache.permitted
