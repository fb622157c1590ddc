"""Create and connect what finds and refuses requests that end replicas."""

import functools
from collections.abc import Callable

from dragonflyramp.backends import BackendClient, Crash, software_versions
from dragonflyramp.callers import SuspectGuard, TrialClaims
from dragonflyramp.members import (
    SUSPECTS_KIND,
    HubLinks,
    StoredSuspectRecords,
    SuspectObjects,
    SuspectRestorer,
    ViewSynchronizer,
    is_informed,
    maintain_suspects,
)
from dragonflyramp.runtime import Coalescer, run_all, unix_ms
from dragonflyramp.stores import KeyedStore
from dragonflyramp.tools._front_views import ChangeDispatcher


def create_suspect_records(
    store: KeyedStore,
    synchronizer: ViewSynchronizer,
    clock: Callable[[], float],
) -> StoredSuspectRecords:
    """Create the records of suspect requests in the store."""
    return StoredSuspectRecords(
        suspect_objects=SuspectObjects(
            store=store,
            view=synchronizer.views[SUSPECTS_KIND],
            suspects=synchronizer.crash_suspects,
            clock=clock,
            store_era=synchronizer.store_era,
        ),
        cluster=synchronizer.cluster,
        wall_clock_ms=unix_ms,
    )


async def run_suspect_records(records: StoredSuspectRecords) -> None:
    """Remove old records, and write lost ones again, until cancelled."""
    restorer = SuspectRestorer(
        suspect_objects=records.suspect_objects, cluster=records.cluster
    )
    await run_all(maintain_suspects(records), restorer.run())


def connect_suspects(
    records: StoredSuspectRecords,
    dispatcher: ChangeDispatcher,
    hub_links: HubLinks,
) -> None:
    """Apply changes of the records, and tell other daemons of suspicions."""
    dispatcher.suspect_objects = records.suspect_objects
    coalescer = Coalescer(hub_links.notify_change)
    records.suspect_objects.suspects.on_change = coalescer.request


def connect_crash_detector(
    backend_client: BackendClient,
    synchronizer: ViewSynchronizer,
    records: StoredSuspectRecords,
) -> None:
    """Share what the detector of a front finds with the other daemons."""
    detector = backend_client.crash_detector
    detector.suspects = synchronizer.crash_suspects
    detector.is_informed = functools.partial(is_informed, synchronizer)

    def save(crash: Crash) -> None:  # noqa: WPS430 - closes over the records
        detector.tasks.start(
            records.save(
                crash.fingerprint, crash.suspicion, crash.software_version
            ),
            'suspect_record',
        )

    detector.on_crash = save


def create_suspect_guard(
    backend_client: BackendClient, records: StoredSuspectRecords
) -> SuspectGuard:
    """Create the guard of a front that shares the records of trials."""
    detector = backend_client.crash_detector
    return SuspectGuard(
        detector=detector,
        claims=TrialClaims(
            detector=detector,
            records=records,
            software_versions=functools.partial(
                software_versions, backend_client.fleet
            ),
        ),
    )
