"""Keep the orders and records of rollouts, as the views show them."""

from collections.abc import Callable, Collection
from typing import TypeAlias

import attrs
from loguru import logger

from dragonflyramp.metrics import counters
from dragonflyramp.rollouts._orders import RolloutOrder, RolloutState
from dragonflyramp.rollouts._records import (
    Phase,
    RolloutRecord,
    StoredRecord,
    decode_record,
)
from dragonflyramp.rollouts._start_times import StartTimes
from dragonflyramp.views import Fields, View

#: Decodes an order by its name; returns None for a malformed one.
OrderDecoder: TypeAlias = Callable[[str, Fields], RolloutOrder | None]


@attrs.frozen(kw_only=True)
class Rollout:
    """Order of a service, its record, and the time since it was given."""

    order: RolloutOrder
    #: None if there is no record of this order yet.
    stored: StoredRecord | None
    elapsed_seconds: float

    @property
    def record(self) -> RolloutRecord | None:
        """Return the record without its revision."""
        return None if self.stored is None else self.stored.record

    @property
    def is_rolled_back(self) -> bool:
        """Return whether the target version gets nothing any more."""
        if self.order.is_open:
            record = self.record
            return record is not None and record.phase is Phase.rolled_back
        return self.order.state is RolloutState.rolled_back

    @property
    def is_switched(self) -> bool:
        """Return whether only the target version gets requests."""
        if self.order.is_open:
            record = self.record
            return record is not None and record.phase is Phase.switching
        return self.order.state is RolloutState.completed

    @property
    def elapsed_share(self) -> float:
        """Return the time since the order as a share of its duration."""
        return self.elapsed_seconds / self.order.duration_seconds


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

    def find(self, service: str, now_seconds: float) -> Rollout | None:
        """Return the rollout of a service, open or not, if it has an order."""
        order = self.orders.get(service)
        if order is None:
            return None
        stored = self.records.get(service)
        if stored is not None and stored.record.order_key != order.key:
            stored = None
        return Rollout(
            order=order,
            stored=stored,
            elapsed_seconds=self.start_times.elapsed_seconds(
                service, now_seconds
            ),
        )

    def apply_orders(self, names: Collection[str]) -> None:
        """Apply the orders that changed in their view."""
        for name in names:
            fields = self.orders_view.objects_by_name.get(name)
            if fields is None:
                self.orders.pop(name, None)
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
        if known is not None and known.key == order.key:
            return
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
        if known is not None and stored.revision <= known.revision:
            return
        now_seconds = self.clock()
        self.records[service] = stored
        self.changed_at_seconds[service] = now_seconds
        order = self.orders.get(service)
        if order is not None and order.key == stored.record.order_key:
            self.start_times.adopt(order, stored.record, now_seconds)
