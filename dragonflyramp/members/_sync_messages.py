"""Define the messages between daemons, and encode them as JSON values."""

import math
from collections.abc import Mapping
from typing import Any

import attrs

from dragonflyramp.members._memberships import Daemon, decode_daemon
from dragonflyramp.members._quota_messages import (
    decode_offer,
    decode_stamp,
    encode_offer,
    encode_stamp,
)
from dragonflyramp.members._rollout_fields import (
    decode_rollout_report,
    encode_rollout_report,
)
from dragonflyramp.members._suspicion_fields import (
    decode_suspicion,
    require_count,
    require_short_text,
)
from dragonflyramp.members._view_updates import (
    UpdateEncoder,
    ViewUpdate,
    add_member,
    decode_update,
    encode_json,
)
from dragonflyramp.quotas import LeaseOffer, LeaseStamp
from dragonflyramp.replica_notices import NO_LEAVING_REPLICAS, LeavingReplicas
from dragonflyramp.rollouts import NO_ROLLOUT_REPORT, RolloutReport
from dragonflyramp.slow_replicas import LatencyAggregate, LatencyAggregates
from dragonflyramp.suspects import (
    MAX_REPORTED_SUSPICIONS,
    NOT_REPORTED_VERSION,
    SuspicionReport,
)
from dragonflyramp.views import Fields

#: JSON has no infinity, so ages are limited; a view this old is of no use.
MAX_AGE_SECONDS = 1e6

#: Keys that requests and responses share.
_SENDER_KEY = 'sender'
_UPDATES_KEY = 'told'
_AGGREGATES_KEY = 'tallies'
_LEAVING_KEY = 'leaving'
_SUSPICIONS_KEY = 'suspicions'
_SUSPICIONS_VERSION_KEY = 'suspicions_version'
_KNOWN_SUSPICIONS_KEY = 'known_suspicions_version'
_QUOTA_OFFER_KEY = 'quota_offer'
_QUOTA_STAMP_KEY = 'quota_stamp'
_ERAS_KEY = 'eras'
_STORE_ERA_KEY = 'store_era'


@attrs.frozen(kw_only=True)
class SyncRequest:
    """Request for all changes after the revisions of the sender's views."""

    sender: Daemon
    #: Revision of each view by kind.
    revisions: Mapping[str, int]
    #: Era of each view by kind, 0 if it is missing. None from a daemon of an
    #: earlier version, which compares revisions only.
    eras: Mapping[str, int] | None = None
    #: Newest era of the store that the sender has heard of.
    store_era: int = 0
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
    #: Suspicions that the sender has not sent to this daemon yet.
    suspicions: SuspicionReport = SuspicionReport()
    #: Version of the last report that the sender got from this daemon.
    known_suspicions_version: int = 0
    #: Answers of rollouts that the sender has counted since its start.
    rollout_report: RolloutReport = NO_ROLLOUT_REPORT
    #: Lease of the sender's share of the quotas; daemons of an earlier version
    #: send none.
    quota_offer: LeaseOffer | None = None


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
    #: Suspicions that the other daemon lacks.
    suspicions: SuspicionReport = SuspicionReport()
    #: From which the other daemon's next lease is counted.
    quota_stamp: LeaseStamp | None = None


def encode_request(request: SyncRequest) -> Fields:
    """Encode a request as plain JSON values."""
    return {
        _SENDER_KEY: attrs.astuple(request.sender),
        'revisions': dict(request.revisions),
        _ERAS_KEY: dict(request.eras or {}),
        _STORE_ERA_KEY: request.store_era,
        'wait': request.wait_seconds,
        'patience': request.response_delay_seconds,
        _AGGREGATES_KEY: _encode_aggregates(request.samples),
        'response_age': min(request.response_age_seconds, MAX_AGE_SECONDS),
        _LEAVING_KEY: dict(request.leaving),
        **_encode_suspicions(request.suspicions),
        _KNOWN_SUSPICIONS_KEY: request.known_suspicions_version,
        **encode_rollout_report(request.rollout_report),
        _QUOTA_OFFER_KEY: encode_offer(request.quota_offer),
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
        eras=_decode_eras(fields),
        store_era=require_count(fields.get(_STORE_ERA_KEY, 0)),
        wait_seconds=min(float(fields['wait']), _MAX_WAIT_SECONDS),
        response_delay_seconds=float(fields['patience']),
        samples=_decode_aggregates(fields[_AGGREGATES_KEY]),
        response_age_seconds=float(fields.get('response_age', MAX_AGE_SECONDS)),
        leaving=_decode_leaving(fields),
        suspicions=_decode_suspicions(fields),
        known_suspicions_version=int(
            fields.get(_KNOWN_SUSPICIONS_KEY, NOT_REPORTED_VERSION)
        ),
        rollout_report=decode_rollout_report(fields),
        quota_offer=decode_offer(fields.get(_QUOTA_OFFER_KEY)),
    )


def encode_response(response: SyncResponse, encoder: UpdateEncoder) -> str:
    """Encode a response as a JSON text."""
    updates_text = ','.join(map(encoder.encode, response.updates))
    return add_member(
        encode_json(_encode_plain(response)), _UPDATES_KEY, f'[{updates_text}]'
    )


def _encode_plain(response: SyncResponse) -> Fields:
    """Encode what a response has besides updates."""
    return {
        _SENDER_KEY: attrs.astuple(response.sender),
        'store_lost': response.is_store_lost,
        _AGGREGATES_KEY: _encode_aggregates(response.report),
        _LEAVING_KEY: dict(response.leaving),
        **_encode_suspicions(response.suspicions),
        _QUOTA_STAMP_KEY: encode_stamp(response.quota_stamp),
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
        updates=tuple(decode_update(update) for update in fields[_UPDATES_KEY]),
        leaving=_decode_leaving(fields),
        suspicions=_decode_suspicions(fields),
        quota_stamp=decode_stamp(fields.get(_QUOTA_STAMP_KEY)),
    )


def _encode_suspicions(report: SuspicionReport) -> Fields:
    if not report.version:
        return {}
    return {
        _SUSPICIONS_KEY: {
            fingerprint: attrs.astuple(suspicion)
            for fingerprint, suspicion in report.suspicions.items()
        },
        _SUSPICIONS_VERSION_KEY: report.version,
    }


def _decode_suspicions(fields: Fields) -> SuspicionReport:
    # Daemons without suspicions, or of an earlier version, send none.
    encoded = fields.get(_SUSPICIONS_KEY, {})
    if len(encoded) > MAX_REPORTED_SUSPICIONS:
        raise ValueError('too many suspicions')
    return SuspicionReport(
        int(fields.get(_SUSPICIONS_VERSION_KEY, 0)),
        {
            require_short_text(fingerprint): decode_suspicion(*suspicion)
            for fingerprint, suspicion in encoded.items()
        },
    )


def _decode_eras(fields: Fields) -> Mapping[str, int] | None:
    eras = fields.get(_ERAS_KEY)
    if eras is None:
        return None
    return {kind: require_count(era) for kind, era in eras.items()}


def _decode_leaving(fields: Fields) -> LeavingReplicas:
    # Daemons of an earlier version send none.
    return {
        str(replica_id): int(start_time_ms)
        for replica_id, start_time_ms in fields.get(_LEAVING_KEY, {}).items()
    }


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


#: Limit on the wait that a request may ask for, because each waiting request
#: occupies a task of the responding daemon.
_MAX_WAIT_SECONDS = 30
