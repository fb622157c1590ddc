"""Choose the snapshot, the relay of each shard, and the deadlines."""

import collections
from collections.abc import Collection, Iterable, Mapping

import attrs

from dragonflyramp.callers._settings import DeadlineSettings
from dragonflyramp.members import ConfigurationSource, RelayLinks
from dragonflyramp.messages import Report
from dragonflyramp.models import Configuration, MemberId, Snapshot
from dragonflyramp.slices import SliceMap, slice_map


@attrs.frozen(kw_only=True)
class SnapshotView:
    """Describe what relays report of one snapshot of a service.

    `total_documents` is None when no replica knows it or when replicas
    disagree, on it or on the documents of a shard.
    """

    snapshot_id: str
    generation: int
    total_documents: int | None
    documents: Mapping[str, int]
    relays: Mapping[str, frozenset[MemberId]]

    @property
    def reachable(self) -> int:
        """Sum the documents of the shards that some relay can serve."""
        return sum(self.documents.values())


@attrs.frozen
class _Sighting:
    relay_id: MemberId
    shard: str
    snapshot: Snapshot


def snapshot_views(
    reports: Iterable[Report], shards: Collection[str]
) -> tuple[SnapshotView, ...]:
    """List the snapshots of the shards, the one to choose first.

    The most reachable documents come first, and the newest generation
    among equals.
    """
    wanted = frozenset(shards)
    by_snapshot = collections.defaultdict(list)
    for sighting in _sightings(reports):
        if sighting.shard in wanted:
            by_snapshot[sighting.snapshot.snapshot_id].append(sighting)
    views = [_view(sightings) for sightings in by_snapshot.values()]
    views.sort(
        key=lambda view: (-view.reachable, -view.generation, view.snapshot_id)
    )
    return tuple(views)


def next_relay(
    candidates: Iterable[MemberId],
    *,
    serving: Collection[MemberId],
    asked: Collection[MemberId],
    avoid: Collection[MemberId] = (),
) -> MemberId | None:
    """Choose the relay to ask for a shard, None when all were asked.

    The order of the candidates decides between relays that report the
    snapshot for the shard; the others come last, and so do the avoided.
    """
    ranked = sorted(
        (relay_id for relay_id in candidates if relay_id not in asked),
        key=lambda relay_id: (relay_id in avoid, relay_id not in serving),
    )
    return ranked[0] if ranked else None


@attrs.frozen(kw_only=True)
class DeadlineSplit:
    """Hold the monotonic times that a caller's deadline is split into."""

    #: The answer is closed here; the rest is for merging and encoding.
    gather_until_seconds: float
    hop_seconds: float
    relay_share: float

    def remaining_ms(self, now_seconds: float) -> int:
        """Return what a relay may use, less the way back of a part."""
        left = self.gather_until_seconds - self.hop_seconds - now_seconds
        return max(0, int(left * 1000))

    def share_until(self, now_seconds: float) -> float:
        """Return when a relay asked now counts as silent for a shard."""
        left = max(0, self.gather_until_seconds - now_seconds)
        return now_seconds + left * self.relay_share


def split_deadline(
    received_seconds: float, deadline_ms: float, settings: DeadlineSettings
) -> DeadlineSplit:
    """Reserve time to merge and for the way back out of a deadline."""
    merge_ms = min(
        max(settings.merge_min_ms, deadline_ms * settings.merge_fraction),
        settings.merge_max_ms,
    )
    reserve_ms = merge_ms + settings.hop_ms
    scale = min(1, deadline_ms * settings.reserve_max_fraction / reserve_ms)
    return DeadlineSplit(
        gather_until_seconds=received_seconds
        + (deadline_ms - merge_ms * scale) / 1000,
        hop_seconds=settings.hop_ms * scale / 1000,
        relay_share=settings.relay_share,
    )


@attrs.frozen
class ServicePlan:
    """Hold the shards of a service and its snapshots, the best first."""

    shards: tuple[str, ...]
    views: tuple[SnapshotView, ...]


@attrs.define(eq=False)
class Planner:
    """Find snapshots and relays for the shards of the configuration.

    Plans are computed anew only when a report or the configuration
    changed, because a search to hundreds of shards reads all reports.
    """

    _links: RelayLinks
    _source: ConfigurationSource
    _configuration: Configuration | None = attrs.field(default=None, init=False)
    _slices: SliceMap | None = attrs.field(default=None, init=False)
    _reports: tuple[Report, ...] = attrs.field(default=(), init=False)
    _plans: dict[str, ServicePlan] = attrs.field(factory=dict, init=False)

    def plan(self, service: str) -> ServicePlan:
        """List the shards and snapshots of a service.

        A service that a new configuration removed has none.
        """
        configuration = self._follow_configuration()
        reports = self._links.reports()
        if not _are_same(reports, self._reports):
            self._reports = reports
            self._plans.clear()
        found = self._plans.get(service)
        if found is None:
            is_known = service in configuration.services
            shards = configuration.shards_of(service) if is_known else ()
            found = ServicePlan(shards, snapshot_views(self._reports, shards))
            self._plans[service] = found
        return found

    def candidates(self, shard: str) -> tuple[MemberId, ...]:
        """List the connected relays for a shard, the holder first."""
        self._follow_configuration()
        slice_id = self._slices and self._slices.by_shard.get(shard)
        return self._links.candidates(slice_id) if slice_id else ()

    def has_relays(self) -> bool:
        """Tell whether any relay is connected."""
        return bool(self._links.reports())

    def _follow_configuration(self) -> Configuration:
        configuration = self._source.current
        if configuration is None:
            raise RuntimeError('planning needs a configuration')
        if configuration is not self._configuration:
            self._configuration = configuration
            self._slices = slice_map(configuration)
            self._plans.clear()
        return configuration


def _are_same(left: tuple[Report, ...], right: tuple[Report, ...]) -> bool:
    return len(left) == len(right) and all(
        one is other for one, other in zip(left, right, strict=True)
    )


def _sightings(reports: Iterable[Report]) -> Iterable[_Sighting]:
    for report in reports:
        for shard in report.shards:
            for snapshot in shard.snapshots:
                yield _Sighting(report.relay_id, shard.shard, snapshot)


def _view(sightings: list[_Sighting]) -> SnapshotView:
    documents = collections.defaultdict[str, set[int]](set)
    relays = collections.defaultdict[str, set[MemberId]](set)
    for sighting in sightings:
        documents[sighting.shard].add(sighting.snapshot.documents)
        relays[sighting.shard].add(sighting.relay_id)
    return SnapshotView(
        snapshot_id=sightings[0].snapshot.snapshot_id,
        generation=max(seen.snapshot.generation for seen in sightings),
        total_documents=_agreed_total(sightings, documents.values()),
        documents={shard: min(counts) for shard, counts in documents.items()},
        relays={shard: frozenset(ids) for shard, ids in relays.items()},
    )


def _agreed_total(
    sightings: list[_Sighting], documents: Iterable[set[int]]
) -> int | None:
    totals = {seen.snapshot.total_documents for seen in sightings} - {None}
    are_agreed = all(len(counts) == 1 for counts in documents)
    return totals.pop() if are_agreed and len(totals) == 1 else None
