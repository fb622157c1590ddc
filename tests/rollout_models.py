"""Play rollouts with many fronts, without a network and a clock."""

import collections
import heapq
import random
from collections.abc import Callable, Collection

import attrs

from dragonflyramp.machine_settings import ExposureBounds
from dragonflyramp.platform import ROLLOUTS_KIND, decode_rollout_order
from dragonflyramp.replicas import ReplicaEntry, ReplicaState
from dragonflyramp.rollouts import (
    EXPOSURE_CAP_FACTOR,
    RECORDS_KIND,
    AnswerKind,
    Census,
    Coordinator,
    FrontRollouts,
    KnownRollouts,
    Observer,
    ReportedAnswers,
    RolloutOrder,
    RolloutPeers,
    RolloutWriter,
    Sending,
    StartTimes,
    record_outstanding,
    update_withdrawn,
)
from dragonflyramp.views import Fields, Listing, View
from tests.rollout_stores import ModelStore

SERVICE = 'lookup'
DURATION_SECONDS = 12
BOUNDS = ExposureBounds(share=0.1, slack=50, rollback_seconds=5)
ROUTES = ('find', 'order')
_HUB_COUNT = 4
_TICK_SECONDS = 0.1
_VIEW_INTERVAL_SECONDS = 0.5
_REPORT_INTERVAL_SECONDS = 1
_BASE_FAILURE_RATE = 0.005
_BASE_SLOW_RATE = 0.05


@attrs.frozen
class ModelReplica:
    """Replica of one software version."""

    entry: ReplicaEntry


@attrs.define(kw_only=True)
class Sent:
    """One request that was sent to a replica."""

    at_seconds: float
    front: 'ModelFront'
    replica: ModelReplica
    #: Whether the decision to complete had not been taken.
    is_tested: bool
    kind: AnswerKind = AnswerKind.good

    @property
    def is_target(self) -> bool:
        """Return whether the target version got it."""
        return self.replica.entry.software_version == 'v2'


@attrs.define(eq=False)
class ModelFront(RolloutPeers):
    """Front with its views, its counts and its part in the coordination."""

    name: str
    model: 'RolloutModel'
    rollouts: FrontRollouts
    reported: ReportedAnswers
    coordinator: Coordinator = attrs.field(init=False)
    #: Whether it reaches the store and the other fronts.
    is_in_touch: bool = True
    #: Whether it runs.
    is_running: bool = True
    has_news: bool = False
    next_view_at_seconds: float = 0
    next_report_at_seconds: float = 0
    in_flight: list[Sent] = attrs.field(factory=list)

    @property
    def own_name(self) -> str:
        """Return the name of this front."""
        return self.name

    def hub_names(self) -> list[str]:
        """Return the first fronts that run and are in touch."""
        return [front.name for front in self.model.hubs()]

    def daemon_names(self) -> list[str]:
        """Return the names of all fronts, lost ones included."""
        return [front.name for front in self.model.fronts]

    def take_census(self, order: RolloutOrder, now_seconds: float) -> Census:
        """Count the replicas of the model."""
        slots = collections.Counter(
            replica.entry.software_version for replica in self.model.replicas
        )
        return Census(
            target_slots={
                replica.entry.replica_id: replica.entry.slots
                for replica in self.model.replicas
                if replica.entry.software_version == order.target_version
            },
            other_slots=3 * (slots.total() - slots[order.target_version]),
        )

    def note_news(self) -> None:
        """Report at the next tick."""
        self.has_news = True

    def read_views(self, now_seconds: float) -> None:
        """Read the store as the hubs have it."""
        known = self.rollouts.known
        store = self.model.store
        for view in (known.orders_view, known.records_view):
            listing = Listing(
                store.revision, dict(store.objects_by_kind[view.kind])
            )
            names = view.replace(listing, now_seconds - _TICK_SECONDS)
            if view.kind == ROLLOUTS_KIND:
                known.apply_orders(names)
            else:
                known.apply_records(names)
        known.start_times.note_confirmation(now_seconds)
        update_withdrawn(self.rollouts, SERVICE)


#: Returns how a replica of the target version answers.
Behaviour = Callable[['RolloutModel', ModelReplica, str], AnswerKind]


@attrs.define(eq=False, kw_only=True)
class RolloutModel:
    """Fronts, replicas and a store under load."""

    rng: random.Random
    behaviour: Behaviour
    requests_per_second: float = 200
    store: ModelStore = attrs.field(factory=ModelStore)
    fronts: list[ModelFront] = attrs.field(factory=list)
    replicas: list[ModelReplica] = attrs.field(factory=list)
    now_seconds: float = 0
    sent: list[Sent] = attrs.field(factory=list)
    #: Requests for which no replica was left.
    refused_count: int = 0
    #: Time of the final status.
    ended_at_seconds: float | None = None
    #: Requests that were running at old replicas at this time.
    cut_count: int = 0
    _answers: list[tuple[float, int, Sent, str]] = attrs.field(factory=list)

    @property
    def state(self) -> str:
        """Return the state in the status of the order."""
        order = self.store.objects_by_kind[ROLLOUTS_KIND].get(SERVICE, {})
        return str(order.get('status', {}).get('state', ''))

    @property
    def phase(self) -> str:
        """Return the phase in the record."""
        return str(self.record.get('phase', ''))

    @property
    def record(self) -> Fields:
        """Return the record; empty without one."""
        stored = self.store.objects_by_kind[RECORDS_KIND].get(SERVICE, {})
        record: Fields = stored.get('spec', {})
        return record

    @property
    def target(self) -> list[Sent]:
        """Return the requests that the target version got."""
        return [sent for sent in self.sent if sent.is_target]

    def hubs(self) -> list[ModelFront]:
        """Return the hubs that are left."""
        usable = [
            front
            for front in self.fronts
            if front.is_running and front.is_in_touch
        ]
        return usable[:_HUB_COUNT]

    def order(self) -> None:
        """Write the order."""
        spec = {
            'service': SERVICE,
            'target_version': 'v2',
            'duration_s': DURATION_SECONDS,
        }
        self.store.put(ROLLOUTS_KIND, SERVICE, spec=spec)

    async def run_until(self, end_seconds: float) -> None:
        """Play until a time."""
        while self.now_seconds < end_seconds:
            self.now_seconds += _TICK_SECONDS
            self._deliver_answers()
            for front in self.fronts:
                if front.is_running:
                    self._exchange(front)
            for hub in self.hubs():
                await hub.coordinator.advance(SERVICE, self.now_seconds)
            is_final = self.state in {'completed', 'rolled_back'}
            if is_final and self.ended_at_seconds is None:
                self.ended_at_seconds = self.now_seconds
                self.cut_count = sum(map(_count_old, self.fronts))
            self._send_requests()

    def recent_count(self, replica: ModelReplica) -> int:
        """Return the requests that a replica got in the last second."""
        return sum(
            sent.replica is replica
            for sent in self.sent[-int(self.requests_per_second * 3) :]
            if self.now_seconds - sent.at_seconds <= 1
        )

    def _exchange(self, front: ModelFront) -> None:
        now_seconds = self.now_seconds
        record_outstanding(
            front.rollouts,
            SERVICE,
            _count_old(front),
        )
        if not front.is_in_touch or self.store.is_down:
            return
        if now_seconds >= front.next_view_at_seconds:
            front.next_view_at_seconds = now_seconds + _VIEW_INTERVAL_SECONDS
            front.read_views(now_seconds)
        if front.has_news or now_seconds >= front.next_report_at_seconds:
            front.has_news = False
            front.next_report_at_seconds = (
                now_seconds + _REPORT_INTERVAL_SECONDS
            )
            report = front.reported.own.report()
            for hub in self.hubs():
                if hub is not front:
                    hub.reported.apply_report(front.name, report)

    def _send_requests(self) -> None:
        count = int(
            self.requests_per_second * _TICK_SECONDS + self.rng.random()
        )
        running = [front for front in self.fronts if front.is_running]
        for _ in range(count):
            self._send(self.rng.choice(running), self.rng.choice(ROUTES))

    def _send(self, front: ModelFront, route: str) -> None:
        sending = Sending(service=SERVICE, route=route, is_first=True)
        permitted = [
            replica
            for replica in self.replicas
            if front.rollouts.permits(replica.entry, self.now_seconds)
        ]
        candidates = front.rollouts.narrow(permitted, sending, self.now_seconds)
        if not candidates:
            self.refused_count += 1
            return
        sent = Sent(
            at_seconds=self.now_seconds,
            front=front,
            replica=self.rng.choice(candidates),
            is_tested=self.phase in {'', 'testing'},
        )
        front.rollouts.record_start(
            sent.replica.entry, sending, self.now_seconds
        )
        self.sent.append(sent)
        front.in_flight.append(sent)
        sent.kind = self._answer(sent, route)
        delay_seconds = self.rng.uniform(0.05, 0.3)
        answered_at_seconds = self.now_seconds + delay_seconds
        heapq.heappush(
            self._answers, (answered_at_seconds, len(self.sent), sent, route)
        )

    def _answer(self, sent: Sent, route: str) -> AnswerKind:
        draw = self.rng.random()
        if draw < _BASE_FAILURE_RATE:
            return AnswerKind.failed
        if draw < _BASE_FAILURE_RATE + _BASE_SLOW_RATE:
            return AnswerKind.slow
        if sent.is_target:
            return self.behaviour(self, sent.replica, route)
        return AnswerKind.good

    def _deliver_answers(self) -> None:
        while self._answers and self._answers[0][0] <= self.now_seconds:
            _, _, sent, route = heapq.heappop(self._answers)
            sent.front.in_flight.remove(sent)
            sent.front.rollouts.record_answer(
                sent.replica.entry, route, sent.kind
            )


def _count_old(front: ModelFront) -> int:
    """Return the number of requests that run at old replicas."""
    return sum(not sent.is_target for sent in front.in_flight)


def create_model(
    behaviour: Behaviour,
    seed: int,
    front_count: int = 40,
    replica_counts: Collection[int] = (8, 8),
) -> RolloutModel:
    """Create a model whose replicas of the target version are listed."""
    model = RolloutModel(rng=random.Random(seed), behaviour=behaviour)
    for version, count in zip(('v1', 'v2'), replica_counts, strict=True):
        model.replicas.extend(
            ModelReplica(
                ReplicaEntry(
                    replica_id=f'{version}-{index}',
                    service=SERVICE,
                    address='10.0.0.1:80',
                    failure_domain='recife',
                    state=ReplicaState.ready,
                    slots=3,
                    start_time_ms=1 if version == 'v1' else 2,
                    software_version=version,
                )
            )
            for index in range(count)
        )
    for number in range(front_count):
        model.fronts.append(create_front(model, f'front-{number}'))
    return model


def create_front(model: RolloutModel, name: str) -> ModelFront:
    """Create a front that has read nothing yet."""
    known = KnownRollouts(
        orders_view=View(ROLLOUTS_KIND),
        records_view=View(RECORDS_KIND),
        decode_order=decode_rollout_order,
        clock=lambda: model.now_seconds,
        start_times=StartTimes(
            model.now_seconds, lambda: int(model.now_seconds * 1000)
        ),
    )
    reported = ReportedAnswers()
    rollouts = FrontRollouts(
        known=known,
        bounds=BOUNDS,
        rng=random.Random(model.rng.random()),
        answers=reported.own,
        daemon_count=lambda: len(model.fronts),
    )
    rollouts.record_listed(
        SERVICE,
        [replica.entry for replica in model.replicas],
        model.now_seconds,
    )
    front = ModelFront(name, model, rollouts, reported)
    rollouts.on_news = front.note_news
    front.next_view_at_seconds = model.rng.random() * _VIEW_INTERVAL_SECONDS
    front.coordinator = Coordinator(
        observer=Observer(
            known=known,
            reported=reported,
            peers=front,
            cap_share=BOUNDS.share * EXPOSURE_CAP_FACTOR,
        ),
        writer=RolloutWriter(
            store=model.store, order_store=model.store, known=known
        ),
    )
    return front
