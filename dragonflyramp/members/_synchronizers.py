"""Exchange updates of views with other daemons, encoded as JSON."""

import asyncio
import math
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from dragonflyramp.members._clusters import Cluster
from dragonflyramp.members._memberships import Daemon, decode_daemon
from dragonflyramp.object_limits import is_within_limits
from dragonflyramp.replica_notices import (
    NO_LEAVING_REPLICAS,
    LeavingReplicas,
    ReplicaNotices,
)
from dragonflyramp.slow_replicas import (
    LatencyAggregate,
    LatencyAggregates,
    SlowReplicaDetector,
)
from dragonflyramp.views import Change, ChangeBatch, Fields, Listing, View

#: Keys that requests and responses share.
_SENDER_KEY = 'sender'
_AGGREGATES_KEY = 'tallies'
_LEAVING_KEY = 'leaving'

#: Leaving replicas are sent again for this long, because the daemons do not
#: share a clock and a message takes a while.
_LEAVING_OVERLAP_SECONDS = 1.5

#: Called with the kind of a view and the names of the objects that changed.
OnChange = Callable[[str, set[str]], None]


@attrs.frozen(kw_only=True)
class SyncRequest:
    """Request for all changes after the revisions of the sender's views."""

    sender: Daemon
    #: Revision of each view by kind.
    revisions: Mapping[str, int]
    #: How long to wait for a change before responding without one.
    wait_seconds: float = 0
    #: How long to delay the response after a change. Requests to backup hubs
    #: have a delay, because the primary hub usually sends the change first.
    response_delay_seconds: float = 0
    #: Latency samples of the sender since its last request with samples.
    samples: LatencyAggregates = attrs.field(factory=dict)
    #: Time since the sender's last response from the daemon that it asks.
    response_age_seconds: float = math.inf
    #: Leaving replicas of which the sender learned in about that time.
    leaving: LeavingReplicas = NO_LEAVING_REPLICAS


@attrs.frozen(kw_only=True)
class ViewUpdate:
    """Changes of one view for another daemon; ages are as of sending."""

    kind: str
    revision: int
    age_seconds: float
    #: How long ago the store became available again after an outage.
    outage_age_seconds: float
    #: None if the revision of the other daemon's view is not older.
    changes: ChangeBatch | Listing | None = None


@attrs.frozen(kw_only=True)
class SyncResponse:
    """Updates of views and a report of slow replicas for another daemon."""

    sender: Daemon
    is_store_lost: bool
    #: Latencies of replicas that are slow or nearly so, from the samples of the
    #: responding daemon and of those that send it requests.
    report: LatencyAggregates
    updates: tuple[ViewUpdate, ...]
    #: Leaving replicas of which the responding daemon learned in about the time
    #: since the last response.
    leaving: LeavingReplicas = NO_LEAVING_REPLICAS


@attrs.define(eq=False)
class ViewSynchronizer:
    """Exchange changes of the views with other daemons."""

    cluster: Cluster
    views: Mapping[str, View]
    on_change: OnChange
    slow_replica_detector: SlowReplicaDetector
    replica_notices: ReplicaNotices = attrs.field(factory=ReplicaNotices)
    _view_changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def wake_waiting_requests(self) -> None:
        """End the wait of all requests from other daemons."""
        self._view_changed.set()
        self._view_changed = asyncio.Event()

    def build_request(
        self,
        *,
        wait_seconds: float = 0,
        response_delay_seconds: float = 0,
        includes_samples: bool = False,
        last_response_at_seconds: float = -math.inf,
        now_seconds: float,
    ) -> SyncRequest:
        """Return a request for all changes that the views lack.

        `last_response_at_seconds` is the monotonic time of the last response
        from the same daemon. With samples, the request includes the latency
        samples that have not been sent yet. Each sample is sent once; a failed
        request loses its samples.
        """
        return SyncRequest(
            sender=self.cluster.own_daemon,
            revisions={
                kind: view.revision for kind, view in self.views.items()
            },
            wait_seconds=wait_seconds,
            response_delay_seconds=response_delay_seconds,
            samples=self.slow_replica_detector.pop_unsent_samples()
            if includes_samples
            else {},
            response_age_seconds=now_seconds - last_response_at_seconds,
            leaving=self.replica_notices.leaving_since(
                last_response_at_seconds - _LEAVING_OVERLAP_SECONDS
            ),
        )

    def has_changes_for(self, request: SyncRequest) -> bool:
        """Return whether a view has changes that the request's sender lacks."""
        return any(
            request.revisions.get(kind, 0) < view.last_change_revision
            for kind, view in self.views.items()
        )

    async def wait_for_changes(self, request: SyncRequest) -> None:
        """Wait for a change, at most as long as the request allows.

        Return at once if a view already has changes that the sender lacks.
        """
        try:
            async with asyncio.timeout(request.wait_seconds):
                if not self.has_changes_for(request):
                    await self._view_changed.wait()
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
                _build_update(view, request.revisions.get(kind, 0), now_seconds)
                for kind, view in self.views.items()
            ),
            leaving=self.replica_notices.leaving_since(
                now_seconds
                - request.response_age_seconds
                - request.wait_seconds
                - _LEAVING_OVERLAP_SECONDS
            ),
        )

    def apply_response(
        self, response: SyncResponse, now_seconds: float
    ) -> None:
        """Apply a response, except updates that are older than the views."""
        self.cluster.membership.record_contact(response.sender, now_seconds)
        self.replica_notices.record_reported(response.leaving, now_seconds)
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
        if view is None or update.revision < view.revision:
            return
        confirmed_at_seconds = now_seconds - update.age_seconds
        view.record_outage_end(now_seconds - update.outage_age_seconds)
        names: set[str] = set()
        if isinstance(update.changes, Listing):
            names = view.replace(update.changes, confirmed_at_seconds)
        elif update.changes is not None:
            names = view.apply(update.changes, confirmed_at_seconds)
        elif update.revision == view.revision:
            view.apply(ChangeBatch(update.revision, ()), confirmed_at_seconds)
        if names:
            self.on_change(view.kind, names)


def encode_request(request: SyncRequest) -> Fields:
    """Encode a request as plain JSON values."""
    return {
        _SENDER_KEY: attrs.astuple(request.sender),
        'revisions': dict(request.revisions),
        'wait': request.wait_seconds,
        'patience': request.response_delay_seconds,
        _AGGREGATES_KEY: _encode_aggregates(request.samples),
        'response_age': min(request.response_age_seconds, _MAX_AGE_SECONDS),
        _LEAVING_KEY: dict(request.leaving),
    }


def decode_request(fields: Any) -> SyncRequest:
    """Decode a request, and limit its wait to `_MAX_WAIT_SECONDS`.

    Raise KeyError, TypeError, ValueError or AttributeError if it is
    malformed.
    """
    return SyncRequest(
        sender=decode_daemon(*fields[_SENDER_KEY]),
        revisions={
            kind: int(revision)
            for kind, revision in fields['revisions'].items()
        },
        wait_seconds=min(float(fields['wait']), _MAX_WAIT_SECONDS),
        response_delay_seconds=float(fields['patience']),
        samples=_decode_aggregates(fields[_AGGREGATES_KEY]),
        response_age_seconds=float(
            fields.get('response_age', _MAX_AGE_SECONDS)
        ),
        leaving=_decode_leaving(fields),
    )


def encode_response(response: SyncResponse) -> Fields:
    """Encode a response as plain JSON values."""
    return {
        _SENDER_KEY: attrs.astuple(response.sender),
        'store_lost': response.is_store_lost,
        _AGGREGATES_KEY: _encode_aggregates(response.report),
        'told': [_encode_update(update) for update in response.updates],
        _LEAVING_KEY: dict(response.leaving),
    }


def decode_response(fields: Any) -> SyncResponse:
    """Decode a response.

    Raise KeyError, TypeError, ValueError or AttributeError if it is
    malformed.
    """
    return SyncResponse(
        sender=decode_daemon(*fields[_SENDER_KEY]),
        is_store_lost=bool(fields['store_lost']),
        report=_decode_aggregates(fields[_AGGREGATES_KEY]),
        updates=tuple(_decode_update(update) for update in fields['told']),
        leaving=_decode_leaving(fields),
    )


def _decode_leaving(fields: Fields) -> LeavingReplicas:
    # Daemons of an earlier version send none.
    return {
        str(replica_id): int(start_time_ms)
        for replica_id, start_time_ms in fields.get(_LEAVING_KEY, {}).items()
    }


def _limit(object_fields: Any) -> Any:
    """Return an object of another daemon, or raise ValueError.

    A daemon that kept one that is too deep could not respond to others.
    """
    if is_within_limits(object_fields, _MAX_MESSAGE_SIZE):
        return object_fields
    raise ValueError('an object is nested too deeply or too large')


def _encode_aggregates(aggregates: LatencyAggregates) -> Fields:
    return {
        replica_id: (round(aggregate.count, 2), round(aggregate.ratio_sum, 2))
        for replica_id, aggregate in aggregates.items()
    }


def _decode_aggregates(fields: Fields) -> LatencyAggregates:
    return {
        replica_id: LatencyAggregate(float(count), float(ratio_sum))
        for replica_id, (count, ratio_sum) in fields.items()
    }


def _build_update(
    view: View, known_revision: int, now_seconds: float
) -> ViewUpdate:
    changes = None
    if known_revision < view.revision:
        # If no object of this kind changed, the batch is empty, but carries the
        # revision from which a watch continues.
        changes = view.changes_since(known_revision)
    return ViewUpdate(
        kind=view.kind,
        revision=view.revision,
        age_seconds=min(view.age_seconds(now_seconds), _MAX_AGE_SECONDS),
        outage_age_seconds=min(
            now_seconds - view.outage_ended_at_seconds, _MAX_AGE_SECONDS
        ),
        changes=changes,
    )


def _encode_update(update: ViewUpdate) -> Fields:
    fields: Fields = {
        'kind': update.kind,
        'revision': update.revision,
        'age': round(update.age_seconds, 3),
        'outage_age': round(update.outage_age_seconds, 3),
    }
    if isinstance(update.changes, Listing):
        fields['all'] = dict(update.changes.objects_by_name)
    elif update.changes is not None:
        fields['changes'] = [
            (change.name, change.fields) for change in update.changes.changes
        ]
    return fields


def _decode_update(fields: Fields) -> ViewUpdate:
    revision = int(fields['revision'])
    changes: ChangeBatch | Listing | None = None
    objects_by_name = fields.get('all')
    encoded_changes = fields.get('changes')
    if objects_by_name is not None:
        changes = Listing(
            revision,
            {
                str(name): _limit(object_fields)
                for name, object_fields in objects_by_name.items()
            },
        )
    elif encoded_changes is not None:
        decoded_changes = tuple(
            Change(str(name), _limit(object_fields))
            for name, object_fields in encoded_changes
        )
        changes = ChangeBatch(revision, decoded_changes)
    return ViewUpdate(
        kind=str(fields['kind']),
        revision=revision,
        age_seconds=float(fields['age']),
        outage_age_seconds=float(fields['outage_age']),
        changes=changes,
    )


#: Limit on an object in a message.
_MAX_MESSAGE_SIZE = 10 * 1024 * 1024
#: JSON has no infinity, so ages are limited; a view this old is of no use.
_MAX_AGE_SECONDS = 1e6
#: Limit on the wait that a request may ask for, because each waiting request
#: occupies a task of the responding daemon.
_MAX_WAIT_SECONDS = 30
