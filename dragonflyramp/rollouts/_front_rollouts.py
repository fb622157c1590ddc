"""Apply the decisions on rollouts to the requests of this front."""

import random
from collections.abc import Callable, Iterable

import attrs

from dragonflyramp.machine_settings import ExposureBounds
from dragonflyramp.metrics import counters
from dragonflyramp.replicas import ReplicaEntry
from dragonflyramp.rollouts._answer_counts import (
    AnswerKey,
    AnswerKind,
    OwnAnswers,
)
from dragonflyramp.rollouts._exposure_limits import (
    ExposureLimiter,
    ServiceExposure,
)
from dragonflyramp.rollouts._known_rollouts import KnownRollouts, Rollout
from dragonflyramp.rollouts._listed_versions import ListedVersions
from dragonflyramp.rollouts._orders import RolloutState
from dragonflyramp.rollouts._records import Phase
from dragonflyramp.rollouts._version_policies import (
    Candidate,
    Sending,
    VersionPolicy,
)

#: Share of the bound on exposure that the fronts use together. The rest is for
#: requests whose attempts the fronts and the platform count differently.
EXPOSURE_CAP_FACTOR = 0.9
#: Part of the slack that the fronts use, for services with few requests.
_SLACK_FACTOR = 0.4
#: While a rollout runs, its record is confirmed about every second. A front
#: that has not heard for longer may have missed a rollback.
_MAX_RECORD_AGE_SECONDS = 4


def _ignore() -> None:
    """Do nothing, for fronts without other daemons."""


def _count_one() -> int:
    """Return the number of daemons for fronts without others."""
    return 1


@attrs.define(eq=False, kw_only=True)
class FrontRollouts(VersionPolicy):
    """Give each software version the requests that the rollouts allow."""

    known: KnownRollouts
    bounds: ExposureBounds
    rng: random.Random
    answers: OwnAnswers = attrs.field(factory=OwnAnswers)
    #: Called when the hubs should hear of the counts at once.
    on_news: Callable[[], None] = _ignore
    #: Returns the number of daemons that share the slack of the bound.
    daemon_count: Callable[[], int] = _count_one
    versions: dict[str, ListedVersions] = attrs.field(factory=dict)
    exposures: dict[str, ServiceExposure] = attrs.field(factory=dict)

    def record_listed(
        self, service: str, entries: Iterable[ReplicaEntry], now_seconds: float
    ) -> None:
        """Hear of all replicas of a service after a change."""
        versions = self.versions.setdefault(service, ListedVersions())
        versions.update(entries, now_seconds)

    def permits(self, entry: ReplicaEntry, now_seconds: float) -> bool:
        """Return whether a replica may get requests at all."""
        rollout = self.known.find(entry.service)
        versions = self.versions.get(entry.service, _NO_VERSIONS)
        version = entry.software_version
        if rollout is None:
            return versions.permits_unordered(version, now_seconds)
        is_target = version == rollout.order.target_version
        if rollout.is_switched:
            return is_target
        if not is_target:
            return version not in versions.withdrawn
        return not rollout.is_rolled_back and (
            is_only_version(self, rollout, now_seconds)
            or _gets_share(self, rollout, entry, now_seconds)
        )

    def divides_requests(self, service: str) -> bool:
        """Return whether a rollout of a service is not decided yet."""
        rollout = self.known.find(service)
        return rollout is not None and not _is_decided(rollout)

    def narrow(
        self, candidates: list[Candidate], sending: Sending, now_seconds: float
    ) -> list[Candidate]:
        """Return the permitted candidates of which one may get an attempt."""
        rollout = self.known.find(sending.service)
        if rollout is None or _is_decided(rollout):
            return candidates
        target_version = rollout.order.target_version
        others = [
            candidate
            for candidate in candidates
            if candidate.entry.software_version != target_version
        ]
        is_mixed = len(others) < len(candidates)
        if not is_mixed or is_only_version(self, rollout, now_seconds):
            return candidates
        if not self._is_due(rollout, sending, now_seconds):
            return others
        return [
            candidate
            for candidate in candidates
            if candidate.entry.software_version == target_version
        ]

    def record_start(
        self, entry: ReplicaEntry, sending: Sending, now_seconds: float
    ) -> None:
        """Count an attempt that has started."""
        rollout = self.known.find(sending.service)
        if rollout is None or _is_decided(rollout) or not sending.is_first:
            return
        is_given = entry.software_version == rollout.order.target_version
        counters.add('rollout_requests', 'target' if is_given else 'others')
        find_exposure(self, rollout).limiter.record_request(
            sending.route, _share(self, rollout, now_seconds), is_given=is_given
        )

    def record_answer(
        self, entry: ReplicaEntry, route: str, kind: AnswerKind
    ) -> None:
        """Count what an attempt says about its version."""
        rollout = self.known.find(entry.service)
        if rollout is None or not rollout.order.is_open:
            return
        is_target = entry.software_version == rollout.order.target_version
        key = AnswerKey(
            service=entry.service,
            order_key=rollout.order.key,
            route=route,
            replica_id=entry.replica_id if is_target else '',
        )
        self.answers.record(key, kind)
        if is_target:
            counters.add('rollout_answers', kind.value)
            exposure = find_exposure(self, rollout)
            exposure.record_answer(entry.replica_id, kind)
            if kind is not AnswerKind.good:
                self.on_news()

    def _is_due(
        self, rollout: Rollout, sending: Sending, now_seconds: float
    ) -> bool:
        """Return whether an attempt is for the target version."""
        return sending.is_first and find_exposure(self, rollout).limiter.is_due(
            sending.route,
            _share(self, rollout, now_seconds),
            self.bounds.slack * _SLACK_FACTOR / self.daemon_count(),
        )


def find_exposure(front: FrontRollouts, rollout: Rollout) -> ServiceExposure:
    """Return what this front has given to the target of a rollout."""
    service = rollout.order.service
    exposure = front.exposures.get(service)
    if exposure is None or exposure.order_key != rollout.order.key:
        exposure = ServiceExposure(
            rollout.order.key,
            ExposureLimiter(
                front.bounds.share * EXPOSURE_CAP_FACTOR, front.rng.random()
            ),
        )
        front.exposures[service] = exposure
        front.answers.forget_other_orders(service, rollout.order.key)
    return exposure


def is_only_version(
    front: FrontRollouts, rollout: Rollout, now_seconds: float
) -> bool:
    """Return whether the target serves everything for want of another version.

    Before the end of the duration, the bound on exposure has precedence.
    """
    versions = front.versions.get(rollout.order.service, _NO_VERSIONS)
    return rollout.elapsed_share(now_seconds) > 1 and not versions.has_others(
        rollout.order.target_version
    )


def update_withdrawn(front: FrontRollouts, service: str) -> None:
    """Withdraw the versions that an order has ended, until they are gone.

    The next order for the service must not give them requests.
    """
    rollout = front.known.find(service)
    if rollout is None:
        return
    versions = front.versions.setdefault(service, ListedVersions())
    target_version = rollout.order.target_version
    if rollout.order.state is RolloutState.completed:
        versions.withdraw_all_but(target_version)
    elif rollout.is_rolled_back:
        versions.withdrawn.add(target_version)
    else:
        versions.withdrawn.discard(target_version)


def record_outstanding(front: FrontRollouts, service: str, count: int) -> None:
    """Tell the hubs once when no request is left at old replicas."""
    rollout = front.known.find(service)
    if rollout is None or not rollout.is_switched or count:
        return
    order_key = rollout.order.key
    if front.answers.drained_orders.get(service) != order_key:
        front.answers.drained_orders[service] = order_key
        front.on_news()


def _share(front: FrontRollouts, rollout: Rollout, now_seconds: float) -> float:
    """Return the share of the target; 0 while this front is out of touch.

    No share is above the cap for longer than the limiter allows.
    """
    record = rollout.record
    if record is None or record.phase is not Phase.testing:
        return 0
    age_seconds = front.known.records_view.age_seconds(now_seconds)
    return 0 if age_seconds > _MAX_RECORD_AGE_SECONDS else record.share


def _gets_share(
    front: FrontRollouts,
    rollout: Rollout,
    entry: ReplicaEntry,
    now_seconds: float,
) -> bool:
    """Return whether a target replica is one of those being tested."""
    record = rollout.record
    return (
        record is not None
        and entry.replica_id in record.replica_ids
        and _share(front, rollout, now_seconds) > 0
        and not find_exposure(front, rollout).is_stopped(entry.replica_id)
    )


def _is_decided(rollout: Rollout) -> bool:
    return rollout.is_switched or rollout.is_rolled_back


_NO_VERSIONS = ListedVersions()
