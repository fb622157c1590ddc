"""Create the components of a front; start and stop them together."""

import asyncio
import functools
import random
import time

import attrs

from dragonflyramp.backends import (
    BackendClient,
    Preconnector,
    apply_peer_latency_ratios,
)
from dragonflyramp.callers import Front, NativeApiServer
from dragonflyramp.machine_settings import MachineSettings, RevocationBounds
from dragonflyramp.members import (
    DAEMONS_KIND,
    Cluster,
    HubLinks,
    Registrar,
    StoredSuspectRecords,
    SyncServer,
    ViewSynchronizer,
    Watcher,
)
from dragonflyramp.metrics import latencies
from dragonflyramp.metrics_http import MetricsServer
from dragonflyramp.platform import (
    REQUEST_ID,
    FrontServer,
    StoreClient,
)
from dragonflyramp.routing_state import RoutingState
from dragonflyramp.runtime import StandstillDetector, TaskSet, run_all
from dragonflyramp.settings import Settings
from dragonflyramp.slow_replicas import SlowReplicaDetector
from dragonflyramp.tools._admission_components import create_admission
from dragonflyramp.tools._backend_components import (
    create_backend_client,
    create_fleet,
)
from dragonflyramp.tools._caller_components import (
    create_key_trust,
    create_native_api_server,
)
from dragonflyramp.tools._front_gauges import register_gauges
from dragonflyramp.tools._front_views import (
    ChangeDispatcher,
    create_decoder,
    create_membership,
    create_views,
    create_watchers,
)
from dragonflyramp.tools._quota_components import connect_quotas
from dragonflyramp.tools._rollout_components import connect_rollouts
from dragonflyramp.tools._suspect_components import (
    connect_crash_detector,
    connect_suspects,
    create_suspect_guard,
    create_suspect_records,
    run_suspect_records,
)


@attrs.define(eq=False, kw_only=True)
class FrontComponents:
    """Components of a front that start and stop together."""

    settings: Settings
    machine: MachineSettings
    front: Front
    front_server: FrontServer
    native_api_server: NativeApiServer
    metrics_server: MetricsServer
    sync_server: SyncServer
    hub_links: HubLinks
    registrar: Registrar
    routing_state: RoutingState
    watchers: tuple[Watcher, ...]
    preconnector: Preconnector
    connection_tasks: TaskSet
    standstill_detector: StandstillDetector
    suspect_records: StoredSuspectRecords
    dispatcher: ChangeDispatcher

    async def listen(self) -> dict[str, str]:
        """Listen on all ports and return the addresses to log, by name.

        Raise OSError if a port cannot be bound, or RuntimeError for the port
        that other daemons use.
        """
        machine = self.machine
        if machine.member_address:
            await self.sync_server.start(machine.member_address)
        frontend_address = await self.front_server.start(
            machine.frontend_address, machine.readiness_address
        )
        host = machine.frontend_address.rpartition(':')[0]
        metrics_address = await self.metrics_server.start(
            host, self.settings.metrics_port
        )
        addresses = {'frontend': frontend_address, 'metrics': metrics_address}
        if self.settings.own_address:
            native_api_address = await self.native_api_server.start(
                self.settings.own_address
            )
            addresses['own'] = native_api_address
        return addresses

    async def run(self) -> None:
        """Run the tasks that update routes and replicas, until cancelled."""
        await run_all(
            self.registrar.run(),
            self.hub_links.run(),
            self.routing_state.run(),
            self.preconnector.run(),
            run_suspect_records(self.suspect_records),
            self.native_api_server.run(),
            self._detect_standstill(),
            self.front.quotas.run(),
            *(watcher.run() for watcher in self.watchers),
            self.dispatcher.run_rollouts(),
        )

    async def stop(self) -> None:
        """Report not ready, keep serving for the notice time, then drain."""
        self.front.is_stopping = True
        self.front.admission.stop_waiting()
        now_seconds = time.monotonic()
        # The grace period has begun before a standstill, if there was one.
        signal_at_seconds = self.standstill_detector.earliest_signal_at_seconds(
            now_seconds
        )
        drain_ends_at_seconds = (
            signal_at_seconds
            + self.machine.grace_seconds
            - self.settings.stop_reserve_seconds
        )
        # The platform keeps sending callers here until it notices that this
        # front is not ready.
        notice_ends_at_seconds = min(
            now_seconds + self.settings.stop_notice_seconds,
            drain_ends_at_seconds,
        )
        await asyncio.sleep(max(0, notice_ends_at_seconds - now_seconds))
        await self.front_server.drain(drain_ends_at_seconds - time.monotonic())

    async def close(self) -> None:
        """Close all ports and connections."""
        await self.front_server.stop()
        self.front.backend_client.calls.run_all()
        await self.native_api_server.stop()
        await self.metrics_server.stop()
        await self.sync_server.stop()
        await self.connection_tasks.cancel()

    async def _detect_standstill(self) -> None:
        while True:
            now_seconds = time.monotonic()
            self.standstill_detector.tick(now_seconds)
            await asyncio.sleep(_TICK_INTERVAL_SECONDS)
            slept_seconds = time.monotonic() - now_seconds
            delay_seconds = max(0, slept_seconds - _TICK_INTERVAL_SECONDS)
            latencies.record('event_loop_delays', delay_seconds * 1000)


def create_components(
    settings: Settings, machine: MachineSettings, store: StoreClient
) -> FrontComponents:
    """Create all components of a front without starting them."""
    decoder = create_decoder(settings)
    views = create_views(decoder, machine)
    connection_tasks = TaskSet()
    routing_state = RoutingState(
        views=views,
        decoder=decoder,
        fleet=create_fleet(machine, views, connection_tasks, _CLOCK),
        clock=_CLOCK,
    )
    dispatcher = ChangeDispatcher(routing_state, create_membership(machine))
    synchronizer = ViewSynchronizer(
        Cluster(dispatcher.membership),
        views,
        dispatcher.dispatch,
        SlowReplicaDetector(
            functools.partial(apply_peer_latency_ratios, routing_state.fleet)
        ),
        routing_state.fleet.reply_notices.notices,
        store_era=store.era,
    )
    dispatcher.hub_links = HubLinks(synchronizer, machine.seeds, _CLOCK)
    suspect_records = create_suspect_records(store, synchronizer, _CLOCK)
    connect_suspects(suspect_records, dispatcher, dispatcher.hub_links)
    dispatcher.rollouts = connect_rollouts(
        store, routing_state.fleet, synchronizer, dispatcher.hub_links
    )
    front = _create_front(
        create_backend_client(
            machine, routing_state.fleet, synchronizer, _CLOCK
        ),
        routing_state,
        synchronizer,
        suspect_records,
        revocation_bounds=machine.revocation_bounds,
        logs_all_answers=settings.logs_all_answers,
    )
    connect_quotas(front, machine, synchronizer, dispatcher.hub_links)
    front.admission = create_admission(settings.admission, front.backend_client)
    return FrontComponents(
        settings=settings,
        machine=machine,
        front=front,
        front_server=FrontServer(front, _CLOCK, machine.vm_limits),
        native_api_server=create_native_api_server(
            front, store, machine.vm_limits, _CLOCK
        ),
        metrics_server=MetricsServer(caller_header=REQUEST_ID),
        sync_server=SyncServer(
            synchronizer, _CLOCK, machine.vm_limits.max_descriptors
        ),
        hub_links=dispatcher.hub_links,
        registrar=Registrar(
            store=store,
            cluster=synchronizer.cluster,
            view=views[DAEMONS_KIND],
            clock=_CLOCK,
            rng=random.Random(),
        ),
        routing_state=routing_state,
        watchers=create_watchers(store, synchronizer, dispatcher, _CLOCK),
        preconnector=Preconnector(
            routing_state.fleet,
            lambda: (
                routing_state.table.searched_shards()
                if routing_state.table
                else ()
            ),
            _CLOCK,
        ),
        connection_tasks=connection_tasks,
        standstill_detector=StandstillDetector(_CLOCK()),
        suspect_records=suspect_records,
        dispatcher=dispatcher,
    )


def _create_front(
    backend_client: BackendClient,
    routing_state: RoutingState,
    synchronizer: ViewSynchronizer,
    suspect_records: StoredSuspectRecords,
    *,
    revocation_bounds: RevocationBounds,
    logs_all_answers: bool,
) -> Front:
    connect_crash_detector(backend_client, synchronizer, suspect_records)
    register_gauges(
        routing_state, backend_client, synchronizer.store_era, _CLOCK
    )
    return Front(
        backend_client=backend_client,
        clock=_CLOCK,
        current_table=lambda: routing_state.table,
        has_synced=lambda: routing_state.has_synced,
        logs_all_answers=logs_all_answers,
        suspect_guard=create_suspect_guard(backend_client, suspect_records),
        key_trust=create_key_trust(revocation_bounds, synchronizer),
    )


_CLOCK = time.monotonic
_TICK_INTERVAL_SECONDS = 0.2
