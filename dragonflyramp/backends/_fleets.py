"""Know the replicas of each service and which of them may get work."""

import asyncio
import contextlib
import functools
from collections.abc import Mapping
from types import MappingProxyType

import attrs
from loguru import logger

from dragonflyramp.backends._replicas import (
    ConnectionFactory,
    ConnectionPool,
    Replica,
)
from dragonflyramp.replicas import ReplicaEntry
from dragonflyramp.routes import ServicePolicy
from dragonflyramp.runtime import TaskSet

#: The connections of all daemons stay below the cap by this share, because
#: a replica lowers its cap while its queue is long.
_CONNECTION_SHARE = 0.9
#: A cold replica's rate is counted over one second.
_COLD_WINDOW_SECONDS = 1.0

_NO_REPLICAS: Mapping[str, Replica] = MappingProxyType({})


@attrs.define(eq=False, kw_only=True)
class Fleet:
    """Hold the replicas by service; only `update` adds or removes them."""

    make_connection: ConnectionFactory
    tasks: TaskSet
    #: Extra requests a second that a cold replica bears, and their factor.
    cold_slack: float = 0
    cold_overshoot: float = 1
    #: Failure domains that operators took out.
    held_domains: frozenset[str] = frozenset()
    _services: dict[str, dict[str, Replica]] = attrs.field(factory=dict)
    _by_id: dict[str, Replica] = attrs.field(factory=dict)
    _cold_sends: dict[str, list[float]] = attrs.field(factory=dict)
    _rooms: dict[str, asyncio.Event] = attrs.field(factory=dict)

    async def wait_room(self, service: str, longest_seconds: float) -> None:
        """Wait until a connection to a service may have become free."""
        room = self._rooms.setdefault(service, asyncio.Event())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(longest_seconds):
                await room.wait()

    def update(
        self, replica_id: str, entry: ReplicaEntry | None, now_seconds: float
    ) -> None:
        """Take over an entry; None removes the replica."""
        known = self._by_id.get(replica_id)
        if known is not None and _is_same(known.entry, entry):
            assert entry is not None
            _refresh(known, entry, now_seconds)
            return
        if known is not None:
            self._remove(known)
        if entry is not None:
            self._add(entry, now_seconds)

    def usable(self, service: str) -> list[Replica]:
        """List the replicas that are ready and in no held domain."""
        replicas = self._services.get(service, _NO_REPLICAS).values()
        return [
            one
            for one in replicas
            if one.is_ready
            and one.entry.failure_domain not in self.held_domains
        ]

    def candidates(
        self, policy: ServicePolicy, daemons: int, now_seconds: float
    ) -> list[Replica]:
        """List the usable replicas that have room for a send now."""
        share = policy.max_connections * _CONNECTION_SHARE
        limit = max(1, int(share / max(1, daemons)))
        return [
            one
            for one in self.usable(policy.name)
            if one.connections.has_room(limit, now_seconds)
            and self._bears(one, policy, daemons, now_seconds)
        ]

    def note_send(self, replica: Replica, now_seconds: float) -> None:
        """Count a send to a cold replica."""
        if replica.is_cold(now_seconds):
            sends = self._cold_sends.setdefault(replica.entry.replica_id, [])
            sends.append(now_seconds)

    def _bears(
        self,
        replica: Replica,
        policy: ServicePolicy,
        daemons: int,
        now_seconds: float,
    ) -> bool:
        if not policy.cold_per_second or not replica.is_cold(now_seconds):
            return True
        per_second = policy.cold_per_second * self.cold_overshoot
        share = max(1, int((per_second + self.cold_slack) / max(1, daemons)))
        sends = self._cold_sends.get(replica.entry.replica_id, [])
        start_seconds = now_seconds - _COLD_WINDOW_SECONDS
        sends[:] = [one for one in sends if one > start_seconds]
        return len(sends) < share

    def _add(self, entry: ReplicaEntry, now_seconds: float) -> None:
        replica = Replica(
            entry=entry,
            warm_seconds=now_seconds + entry.warmup_left_ms / 1000,
            connections=ConnectionPool(
                entry.address,
                self.make_connection,
                self.tasks,
                functools.partial(self._note_room, entry.service),
            ),
        )
        self._by_id[entry.replica_id] = replica
        service = self._services.setdefault(entry.service, {})
        service[entry.replica_id] = replica
        self._note_room(entry.service)
        logger.bind(**_described(entry)).info('replica listed')

    def _note_room(self, service: str) -> None:
        room = self._rooms.pop(service, None)
        if room is not None:
            room.set()

    def _remove(self, replica: Replica) -> None:
        entry = replica.entry
        self._by_id.pop(entry.replica_id, None)
        self._services[entry.service].pop(entry.replica_id, None)
        self._cold_sends.pop(entry.replica_id, None)
        replica.connections.retire()
        logger.bind(**_described(entry)).info('replica removed')


def _is_same(known: ReplicaEntry, entry: ReplicaEntry | None) -> bool:
    """Tell whether an entry is of the same process at the same place."""
    if entry is None:
        return False
    return (
        known.service == entry.service
        and known.address == entry.address
        and known.born_ms == entry.born_ms
    )


def _refresh(replica: Replica, entry: ReplicaEntry, now_seconds: float) -> None:
    if entry.state is not replica.entry.state:
        logger.bind(**_described(entry)).info('replica changed')
        if not replica.is_ready:
            replica.connections.retire()
    replica.entry = entry
    replica.warm_seconds = now_seconds + entry.warmup_left_ms / 1000


def _described(entry: ReplicaEntry) -> dict[str, object]:
    return {
        'replica': entry.replica_id,
        'service': entry.service,
        'address': entry.address,
        'state': entry.state.value,
    }
