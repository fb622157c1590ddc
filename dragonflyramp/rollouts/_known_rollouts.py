"""Keep the orders and records of rollouts, as the views show them."""

from collections.abc import Callable, Collection, Mapping
from types import MappingProxyType
from typing import TypeAlias

import attrs
from loguru import logger

from dragonflyramp.metrics import counters
from dragonflyramp.rollouts._orders import RolloutOrder, RolloutState
from dragonflyramp.rollouts._records import (
    UNKNOWN_REVISION,
    Phase,
    RolloutRecord,
    StoredRecord,
    decode_record,
)
from dragonflyramp.rollouts._start_times import StartTimes
from dragonflyramp.views import Fields, View

_FINAL_PHASES: Mapping[RolloutState | None, Phase] = MappingProxyType(
    {
        RolloutState.completed: Phase.switching,
        RolloutState.rolled_back: Phase.rolled_back,
    }
)

#: Decodes an order by its name; returns None for a malformed one.
OrderDecoder: TypeAlias = Callable[[str, Fields], RolloutOrder | None]


@attrs.frozen(kw_only=True)
class Rollout:
    """Order of a service, and its record.

    It is looked up for each attempt, so what follows from both is kept.
    """

    order: RolloutOrder
    #: None if there is no record of this order yet.
    stored: StoredRecord | None
    began_at_seconds: float
    #: Whether only the target version gets requests.
    is_switched: bool
    #: Whether the target version gets nothing any more.
    is_rolled_back: bool

    @property
    def record(self) -> RolloutRecord | None:
        """Return the record without its revision."""
        return None if self.stored is None else self.stored.record

    def elapsed_seconds(self, now_seconds: float) -> float:
        """Return the time since the order was given."""
        return now_seconds - self.began_at_seconds

    def elapsed_share(self, now_seconds: float) -> float:
        """Return this time as a share of the duration."""
        return self.elapsed_seconds(now_seconds) / self.order.duration_seconds


def create_rollout(
    order: RolloutOrder, stored: StoredRecord | None, began_at_seconds: float
) -> Rollout:
    """Combine an order and the newest record of its service.

    The status of the order has precedence over the record.
    """
    if stored is not None and stored.record.order_key != order.key:
        stored = None
    phase = None if stored is None else stored.record.phase
    phase = _FINAL_PHASES.get(order.state, phase)
    return Rollout(
        order=order,
        stored=stored,
        began_at_seconds=began_at_seconds,
        is_switched=phase is Phase.switching,
        is_rolled_back=phase is Phase.rolled_back,
    )


@attrs.define(eq=False, kw_only=True)
class KnownRollouts:
    """Orders and records by service."""

    orders_view: View
    records_view: View
    decode_order: OrderDecoder
    #: Returns the monotonic time in seconds.
    clock: Callable[[], float]
    start_times: StartTimes
    orders: dict[str, RolloutOrder] = attrs.field(factory=dict)
    #: Records of any order, by service.
    records: dict[str, StoredRecord] = attrs.field(factory=dict)
    #: When the record of a service last changed.
    changed_at_seconds: dict[str, float] = attrs.field(factory=dict)
    _rollouts: dict[str, Rollout] = attrs.field(factory=dict)

    def find(self, service: str) -> Rollout | None:
        """Return the rollout of a service, open or not, if it has an order."""
        return self._rollouts.get(service)

    def apply_orders(self, names: Collection[str]) -> None:
        """Apply the orders that changed in their view."""
        for name in names:
            fields = self.orders_view.objects_by_name.get(name)
            if fields is None:
                self.orders.pop(name, None)
                self.refresh(name)
                logger.bind(service=name).info('rollout order removed')
                continue
            order = self.decode_order(name, fields)
            if order is None:
                counters.add('bad_objects', 'rollout')
                logger.bind(service=name).warning(
                    'rollout order is malformed; the last valid one stays'
                )
            else:
                self.apply_order(order)

    def apply_order(self, order: RolloutOrder) -> None:
        """Apply an order from the store; an older one is ignored."""
        known = self.orders.get(order.service)
        if known is not None and order.revision < known.revision:
            return
        self.orders[order.service] = order
        if known is None or known.key != order.key:
            self._begin(order)
        self.refresh(order.service)

    def apply_records(self, names: Collection[str]) -> None:
        """Apply the records that changed in their view.

        A record that is malformed or removed leaves the last one in force.
        """
        for name in names:
            fields = self.records_view.objects_by_name.get(name)
            if fields is not None:
                self.apply_record(name, fields)

    def apply_record(self, service: str, fields: Fields) -> None:
        """Apply a record from the store; an older one is ignored."""
        stored = decode_record(fields)
        if stored is None:
            counters.add('bad_objects', 'rollout_record')
            logger.bind(service=service).warning(
                'record of a rollout is malformed; the last valid one stays'
            )
            return
        known = self.records.get(service)
        if known is not None:
            if stored.revision <= known.revision:
                return
            stored = _without_regression(known, stored)
        now_seconds = self.clock()
        self.records[service] = stored
        self.changed_at_seconds[service] = now_seconds
        order = self.orders.get(service)
        if order is not None and order.key == stored.record.order_key:
            self.start_times.adopt(order, stored.record, now_seconds)
        self.refresh(service)

    def refresh(self, service: str) -> None:
        """Combine the order and the record of a service anew."""
        order = self.orders.get(service)
        if order is None:
            self._rollouts.pop(service, None)
            return
        self._rollouts[service] = create_rollout(
            order,
            self.records.get(service),
            self.start_times.began_at_seconds(service, self.clock()),
        )

    def _begin(self, order: RolloutOrder) -> None:
        now_seconds = self.clock()
        self.start_times.begin(order, now_seconds)
        stored = self.records.get(order.service)
        if stored is not None and stored.record.order_key == order.key:
            self.start_times.adopt(order, stored.record, now_seconds)
        logger.bind(
            service=order.service,
            target_version=order.target_version,
            duration_seconds=order.duration_seconds,
            state=order.state.value if order.state else '',
        ).info('rollout ordered')


def record_restore(known: KnownRollouts) -> None:
    """Forget the revisions, which a restored store gives out again."""
    for service, order in known.orders.items():
        known.orders[service] = attrs.evolve(order, revision=UNKNOWN_REVISION)
    for service, stored in known.records.items():
        known.records[service] = attrs.evolve(stored, revision=UNKNOWN_REVISION)
        known.refresh(service)


def _without_regression(
    known: StoredRecord, stored: StoredRecord
) -> StoredRecord:
    """Return the stored record, or a later one that a restore has lost."""
    is_same_rollout = known.record.order_key == stored.record.order_key
    is_restored = known.revision == UNKNOWN_REVISION
    if is_restored and is_same_rollout:
        latest = max(known.record, stored.record, key=lambda each: each.beat)
        return attrs.evolve(stored, record=latest)
    return stored
