"""Create and connect what moves requests between software versions."""

import asyncio
import random
from collections.abc import Callable, Mapping

import attrs

from dragonflyramp.backends import Fleet
from dragonflyramp.machine_settings import MachineSettings
from dragonflyramp.members import HubLinks, ViewSynchronizer
from dragonflyramp.platform import (
    ROLLOUT_CONTRACT,
    ROLLOUTS_KIND,
    PlatformOrderStore,
    StoreClient,
    decode_rollout_order,
)
from dragonflyramp.rollouts import (
    EXPOSURE_CAP_FACTOR,
    RECORDS_KIND,
    AllVersions,
    Census,
    Coordinator,
    FrontRollouts,
    KnownRollouts,
    Observer,
    RolloutOrder,
    RolloutPeers,
    RolloutWriter,
    StartTimes,
    VersionPolicy,
    record_outstanding,
    record_restore,
    update_withdrawn,
)
from dragonflyramp.runtime import Coalescer, run_all, unix_ms
from dragonflyramp.stores import StoreEra
from dragonflyramp.views import View

#: Kinds of objects of rollouts: the orders and the product's own records.
ROLLOUT_KINDS = (ROLLOUTS_KIND, RECORDS_KIND)

_CHECK_INTERVAL_SECONDS = 0.1
#: Bad answers of several requests are reported together.
_REPORT_INTERVAL_SECONDS = 0.2


@attrs.define(eq=False, kw_only=True)
class RolloutComponents:
    """Rollouts of a front, and its part in their coordination."""

    front: FrontRollouts
    fleet: Fleet
    coordinator: Coordinator
    store_era: StoreEra

    def apply_changes(self, kind: str, names: set[str]) -> None:
        """Apply the objects that changed in the view of a kind."""
        if kind == ROLLOUTS_KIND:
            self.front.known.apply_orders(names)
        else:
            self.front.known.apply_records(names)
        for service in names:
            self.apply_service(service)

    def apply_service(self, service: str) -> None:
        """Apply what has changed for the replicas of one service."""
        now_seconds = self.front.known.clock()
        update_withdrawn(self.front, service)
        _withdraw_forbidden(self.fleet, service, now_seconds)

    async def run(self) -> None:
        """Coordinate rollouts and report drained services, until cancelled."""
        await run_all(
            self.coordinator.run(),
            self._report_drained(),
            self._follow_restores(),
        )

    async def _follow_restores(self) -> None:
        while True:
            await self.store_era.wait_for_later(self.store_era.number)
            record_restore(self.front.known)

    async def _report_drained(self) -> None:
        while True:
            for service, order in self.front.known.orders.items():
                rollout = self.front.known.find(service)
                if order.is_open and rollout and rollout.is_switched:
                    outstanding_count = _count_outstanding(
                        self.fleet, service, order.target_version
                    )
                    record_outstanding(self.front, service, outstanding_count)
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)


@attrs.frozen(eq=False)
class _FleetPeers(RolloutPeers):
    """Daemons of the cluster and replicas of the fleet."""

    _synchronizer: ViewSynchronizer
    _fleet: Fleet

    @property
    def own_name(self) -> str:
        """Return the name of this daemon."""
        return self._synchronizer.cluster.own_daemon.name

    def hub_names(self) -> list[str]:
        """Return the names of the hubs."""
        return [hub.name for hub in self._synchronizer.cluster.hubs()]

    def daemon_names(self) -> list[str]:
        """Return the names of all known daemons, including this one."""
        membership = self._synchronizer.cluster.membership
        return [daemon.name for daemon in membership.hub_order()]

    def take_census(self, order: RolloutOrder, now_seconds: float) -> Census:
        """Count the ready replicas outside the held failure domains."""
        ready = [
            replica
            for replica in self._fleet.service_replicas(order.service).values()
            if replica.is_ready
            and replica.entry.failure_domain not in self._fleet.held_domains
        ]
        target = [
            replica
            for replica in ready
            if replica.entry.software_version == order.target_version
        ]
        warm = [
            replica for replica in target if not replica.is_cold(now_seconds)
        ]
        return Census(
            target_slots={
                replica.entry.replica_id: replica.entry.slots
                for replica in warm or target
            },
            other_slots=sum(
                replica.entry.slots
                for replica in ready
                if replica not in target
            ),
        )


def is_rollout_in_force(machine: MachineSettings) -> bool:
    """Return whether the settings call for rollouts."""
    return ROLLOUT_CONTRACT in machine.contracts


def rollout_kinds(machine: MachineSettings) -> tuple[str, ...]:
    """Return the kinds of objects to watch for rollouts."""
    return ROLLOUT_KINDS if is_rollout_in_force(machine) else ()


def create_version_policy(
    machine: MachineSettings,
    views: Mapping[str, View],
    clock: Callable[[], float],
) -> VersionPolicy:
    """Create the policy for which software versions get requests."""
    if not is_rollout_in_force(machine):
        return AllVersions()
    return FrontRollouts(
        known=KnownRollouts(
            orders_view=views[ROLLOUTS_KIND],
            records_view=views[RECORDS_KIND],
            decode_order=decode_rollout_order,
            clock=clock,
            start_times=StartTimes(clock(), unix_ms),
        ),
        bounds=machine.exposure_bounds,
        rng=random.Random(),
    )


def connect_rollouts(
    store: StoreClient,
    fleet: Fleet,
    synchronizer: ViewSynchronizer,
    hub_links: HubLinks,
) -> RolloutComponents | None:
    """Connect the rollouts with the store and the other daemons.

    Return None if rollouts are not in force.
    """
    front = fleet.versions
    if not isinstance(front, FrontRollouts):
        return None
    front.answers = synchronizer.rollout_answers.own
    front.daemon_count = synchronizer.cluster.daemon_count
    front.on_news = Coalescer(
        hub_links.renew_requests, _REPORT_INTERVAL_SECONDS
    ).request
    writer = RolloutWriter(
        store=store, order_store=PlatformOrderStore(store), known=front.known
    )
    components = RolloutComponents(
        front=front,
        fleet=fleet,
        coordinator=Coordinator(
            observer=Observer(
                known=front.known,
                reported=synchronizer.rollout_answers,
                peers=_FleetPeers(synchronizer, fleet),
                cap_share=front.bounds.share * EXPOSURE_CAP_FACTOR,
            ),
            writer=writer,
        ),
        store_era=synchronizer.store_era,
    )
    writer.on_change = components.apply_service
    return components


def _withdraw_forbidden(fleet: Fleet, service: str, now_seconds: float) -> None:
    """Withdraw what is not sent yet to software versions that get nothing.

    Requests that wait for a replica look again.
    """
    for replica in fleet.service_replicas(service).values():
        if not fleet.versions.permits(replica.entry, now_seconds):
            replica.withdraw_unwritten()
    fleet.capacity_events.notify(service)


def _count_outstanding(fleet: Fleet, service: str, target_version: str) -> int:
    """Return the number of requests at replicas of other versions."""
    return sum(
        len(replica.in_flight)
        for replica in fleet.service_replicas(service).values()
        if replica.entry.software_version != target_version
    )
