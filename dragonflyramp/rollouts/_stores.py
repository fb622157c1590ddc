"""Write records and the status of orders, and read what became of it."""

from collections.abc import Callable
from typing import Protocol

import attrs
from loguru import logger
from returns.result import Failure, Result

from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode
from dragonflyramp.rollouts._known_rollouts import KnownRollouts
from dragonflyramp.rollouts._orders import RolloutOrder, RolloutState
from dragonflyramp.rollouts._records import (
    RECORDS_KIND,
    RolloutRecord,
    encode_record,
)
from dragonflyramp.stores import KeyedStore
from dragonflyramp.views import Fields


class OrderStore(Protocol):
    """Store of the orders, of which the product writes only the status."""

    async def read_order(
        self, service: str
    ) -> Result[RolloutOrder, ResultCode]:
        """Return an order; fail with object_missing if it does not exist.

        Like each call, it may also fail with platform_down or bad_reply.
        """

    async def write_status(
        self, order: RolloutOrder, state: RolloutState
    ) -> Result[RolloutOrder, ResultCode]:
        """Write the status of an order and return the order as stored.

        Fail with version_conflict if the object is at another revision. A write
        that failed with platform_down or bad_reply may have taken effect.
        """


def _ignore(service: str) -> None:
    """Do nothing, for fronts that hear of changes from views only."""


@attrs.define(eq=False, kw_only=True)
class RolloutWriter:
    """Write to the store; after a failure, read before anything is repeated."""

    store: KeyedStore
    order_store: OrderStore
    known: KnownRollouts
    #: Called with the service whose record or order has changed.
    on_change: Callable[[str], None] = _ignore

    async def write_record(
        self, service: str, record: RolloutRecord
    ) -> ResultCode:
        """Write a record if the stored one is still the known one.

        Fail with a code of `KeyedStore`.
        """
        write_result = await self._write_record(service, record)
        code = ResultCode.ok
        if isinstance(write_result, Failure):
            code = write_result.failure()
            counters.add('rollout_write_failures', code.name)
            write_result = await self.store.read(RECORDS_KIND, service)
        if isinstance(write_result, Failure):
            return code
        self.known.apply_record(service, write_result.unwrap())
        self.on_change(service)
        stored = self.known.records.get(service)
        if stored is not None and stored.record == record:
            return ResultCode.ok
        return code

    async def write_status(self, service: str, state: RolloutState) -> None:
        """Write a status; the known order shows whether it took effect."""
        order = self.known.orders.get(service)
        if order is None or not order.is_open:
            return
        write_result = await self.order_store.write_status(order, state)
        code = ResultCode.ok
        if isinstance(write_result, Failure):
            code = write_result.failure()
            counters.add('rollout_write_failures', code.name)
            write_result = await self.order_store.read_order(service)
        logger.bind(
            service=service,
            target_version=order.target_version,
            state=state.value,
            code=code.name,
        ).info('rollout status written')
        if not isinstance(write_result, Failure):
            self.known.apply_order(write_result.unwrap())
            self.on_change(service)

    async def _write_record(
        self, service: str, record: RolloutRecord
    ) -> Result[Fields, ResultCode]:
        stored = self.known.records.get(service)
        spec = encode_record(record)
        if stored is None:
            return await self.store.create(RECORDS_KIND, service, spec)
        write_result = await self.store.replace(
            RECORDS_KIND, service, spec, stored.revision
        )
        if write_result == Failure(ResultCode.object_missing):
            # A restored store has lost the record.
            return await self.store.create(RECORDS_KIND, service, spec)
        return write_result
