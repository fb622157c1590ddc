"""Exchange updates of views with other daemons."""

import asyncio
import math
from collections.abc import Callable, Mapping

import attrs

from dragonflyramp.members._clusters import Cluster
from dragonflyramp.members._sync_messages import (
    MAX_AGE_SECONDS,
    SyncRequest,
    SyncResponse,
)
from dragonflyramp.members._view_updates import ViewUpdate
from dragonflyramp.metrics import counters
from dragonflyramp.quotas import NoQuotaLeasing, QuotaLeasing
from dragonflyramp.replica_notices import ReplicaNotices
from dragonflyramp.rollouts import ReportedAnswers
from dragonflyramp.runtime import Broadcast
from dragonflyramp.slow_replicas import SlowReplicaDetector
from dragonflyramp.stores import StoreEra
from dragonflyramp.suspects import (
    CrashSuspects,
    has_changes_after,
    report_after,
)
from dragonflyramp.views import ChangeBatch, Listing, Position, View

#: Leaving replicas are sent again for this long, because the daemons do not
#: share a clock and a message takes a while.
_LEAVING_OVERLAP_SECONDS = 1.5
#: Objects that take more memory have no room in a message.
_MAX_UPDATE_BYTES = 8_388_608
#: A watch confirms a view more often than this while the store is available.
_MAX_INFORMED_AGE_SECONDS = 5


@attrs.frozen(kw_only=True)
class LinkProgress:
    """What was exchanged on the link to another daemon."""

    #: Monotonic time of the last response.
    last_response_at_seconds: float = -math.inf
    #: Version of this daemon's suspicions that the other daemon has.
    sent_suspicions_version: int = 0
    #: Version of the other daemon's suspicions that this daemon has.
    known_suspicions_version: int = 0


NO_PROGRESS = LinkProgress()

#: Called with the kind of a view and the names of the objects that changed.
OnChange = Callable[[str, set[str]], None]


@attrs.define(eq=False)
class ViewSynchronizer:
    """Exchange changes of the views with other daemons."""

    cluster: Cluster
    views: Mapping[str, View]
    on_change: OnChange
    slow_replica_detector: SlowReplicaDetector
    replica_notices: ReplicaNotices = attrs.field(factory=ReplicaNotices)
    crash_suspects: CrashSuspects = attrs.field(factory=CrashSuspects)
    rollout_answers: ReportedAnswers = attrs.field(factory=ReportedAnswers)
    quota_leasing: QuotaLeasing = attrs.field(factory=NoQuotaLeasing)
    store_era: StoreEra = attrs.field(factory=StoreEra)
    _view_changes: Broadcast = attrs.field(factory=Broadcast)

    def wake_waiting_requests(self) -> None:
        """End the wait of all requests from other daemons."""
        self._view_changes.wake()

    def build_request(
        self,
        *,
        wait_seconds: float = 0,
        response_delay_seconds: float = 0,
        includes_samples: bool = False,
        progress: LinkProgress = NO_PROGRESS,
        daemon_name: str = '',
        now_seconds: float,
    ) -> SyncRequest:
        """Return a request for all changes that the views lack.

        `progress` is that of the link to the same daemon, and `daemon_name` its
        name, if it is known. With samples, the
        request includes the latency samples that have not been sent yet. Each
        sample is sent once; a failed request loses its samples.
        """
        return SyncRequest(
            sender=self.cluster.own_daemon,
            revisions={
                kind: view.revision for kind, view in self.views.items()
            },
            eras={
                kind: view.position.era
                for kind, view in self.views.items()
                if view.position.era
            },
            store_era=self.store_era.number,
            wait_seconds=wait_seconds,
            response_delay_seconds=response_delay_seconds,
            samples=self.slow_replica_detector.pop_unsent_samples()
            if includes_samples
            else {},
            response_age_seconds=now_seconds
            - progress.last_response_at_seconds,
            leaving=self.replica_notices.leaving_since(
                progress.last_response_at_seconds - _LEAVING_OVERLAP_SECONDS
            ),
            suspicions=report_after(
                self.crash_suspects.table, progress.sent_suspicions_version
            ),
            known_suspicions_version=progress.known_suspicions_version,
            rollout_report=self.rollout_answers.own.report(),
            quota_offer=self.quota_leasing.build_offer(daemon_name),
        )

    def has_changes_for(self, request: SyncRequest) -> bool:
        """Return whether the request's sender lacks changes."""
        return has_changes_after(
            self.crash_suspects.table, request.known_suspicions_version
        ) or any(
            _known_position(request, view) < view.last_change_position
            for view in self.views.values()
        )

    async def wait_for_changes(self, request: SyncRequest) -> None:
        """Wait for a change, at most as long as the request allows.

        Return at once if a view already has changes that the sender lacks.
        """
        try:
            async with asyncio.timeout(request.wait_seconds):
                if not self.has_changes_for(request):
                    await self._view_changes.wait()
                    await asyncio.sleep(request.response_delay_seconds)
        except TimeoutError:
            return

    def build_response(
        self, request: SyncRequest, now_seconds: float
    ) -> SyncResponse:
        """Return the changes that the sender of a request lacks.

        The response also reports slow replicas; this daemon applies the same
        report.
        """
        own_daemon = self.cluster.own_daemon
        report = self.slow_replica_detector.current_report(now_seconds)
        self.slow_replica_detector.apply_report(
            own_daemon.name, report, now_seconds
        )
        return SyncResponse(
            sender=own_daemon,
            report=report,
            is_store_lost=own_daemon.name
            in self.cluster.daemon_health.without_store,
            updates=tuple(
                _build_update(view, request, now_seconds)
                for view in self.views.values()
            ),
            leaving=self.replica_notices.leaving_since(
                now_seconds
                - request.response_age_seconds
                - request.wait_seconds
                - _LEAVING_OVERLAP_SECONDS
            ),
            suspicions=report_after(
                self.crash_suspects.table, request.known_suspicions_version
            ),
            quota_stamp=self.quota_leasing.build_stamp(request.quota_offer),
        )

    def apply_response(
        self, response: SyncResponse, now_seconds: float
    ) -> None:
        """Apply a response, except updates that are older than the views."""
        self.cluster.membership.record_contact(response.sender, now_seconds)
        self.replica_notices.record_reported(response.leaving, now_seconds)
        self.crash_suspects.apply_report(response.suspicions, now_seconds)
        self.quota_leasing.record_stamp(
            response.sender.name, response.quota_stamp
        )
        self.slow_replica_detector.apply_report(
            response.sender.name, response.report, now_seconds
        )
        self.cluster.daemon_health.record_response(
            response.sender.name,
            now_seconds,
            is_store_lost=response.is_store_lost,
        )
        for update in response.updates:
            self._apply_update(update, now_seconds)

    def _apply_update(self, update: ViewUpdate, now_seconds: float) -> None:
        view = self.views.get(update.kind)
        position = Position(update.era, update.revision)
        if view is None or position < view.position:
            return
        self.store_era.observe(update.era, now_seconds)
        confirmed_at_seconds = now_seconds - update.age_seconds
        view.record_outage_end(now_seconds - update.outage_age_seconds)
        names: set[str] = set()
        if isinstance(update.changes, Listing):
            names = view.replace(update.changes, confirmed_at_seconds)
        elif update.changes is None:
            _confirm_view(view, position, confirmed_at_seconds)
        else:
            names = view.apply(update.changes, confirmed_at_seconds)
        if names:
            self.on_change(view.kind, names)


def _confirm_view(
    view: View, position: Position, confirmed_at_seconds: float
) -> None:
    """Confirm a view by an update without changes.

    If its position is later, the changes are too large for a message.
    """
    if position > view.position:
        view.lacks_changes = True
        counters.add('watch_restarts', 'changes_too_large')
    else:
        unchanged = ChangeBatch(position.revision, (), position.era)
        view.apply(unchanged, confirmed_at_seconds)


def lacks_changes(synchronizer: ViewSynchronizer) -> bool:
    """Return whether a view needs changes that messages do not bring."""
    return any(view.lacks_changes for view in synchronizer.views.values())


def is_informed(synchronizer: ViewSynchronizer, now_seconds: float) -> bool:
    """Return whether the store or another daemon has responded lately.

    A daemon whose last call to the store failed may have missed changes since.
    """
    cluster = synchronizer.cluster
    if not cluster.is_isolated(now_seconds):
        return True
    if cluster.own_daemon.name in cluster.daemon_health.without_store:
        return False
    ages_seconds = (
        view.age_seconds(now_seconds) for view in synchronizer.views.values()
    )
    return min(ages_seconds) <= _MAX_INFORMED_AGE_SECONDS


def news_age_seconds(
    synchronizer: ViewSynchronizer, now_seconds: float
) -> float:
    """Return the seconds since the store or another daemon responded."""
    ages_seconds = (
        view.age_seconds(now_seconds) for view in synchronizer.views.values()
    )
    return min(
        synchronizer.cluster.daemon_health.response_age_seconds(now_seconds),
        *ages_seconds,
    )


def _known_position(request: SyncRequest, view: View) -> Position:
    """Return the position of the view of a request's sender.

    A daemon of an earlier version ignores eras, and updates by revision only.
    """
    revision = request.revisions.get(view.kind, 0)
    if request.eras is None:
        return Position(view.position.era, revision)
    return Position(request.eras.get(view.kind, 0), revision)


def _build_update(
    view: View, request: SyncRequest, now_seconds: float
) -> ViewUpdate:
    known_position = _known_position(request, view)
    changes: ChangeBatch | Listing | None = None
    if known_position < view.position:
        if request.eras is None and view.position.era:
            # The revision may be that of an earlier era.
            known_position = Position()
        # If no object of this kind changed, the batch is empty, but carries the
        # revision from which a watch continues.
        changes = view.changes_since(known_position, _MAX_UPDATE_BYTES)
    return ViewUpdate(
        kind=view.kind,
        revision=view.revision,
        era=view.position.era,
        changes_key=(known_position, view.version),
        age_seconds=min(view.age_seconds(now_seconds), MAX_AGE_SECONDS),
        outage_age_seconds=min(
            now_seconds - view.outage_ended_at_seconds, MAX_AGE_SECONDS
        ),
        changes=changes,
    )
