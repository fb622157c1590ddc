"""Stand in for the store in models of rollouts, without a network."""

from typing import Any

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.platform import ROLLOUTS_KIND, decode_rollout_order
from dragonflyramp.results import ResultCode
from dragonflyramp.rollouts import (
    RECORDS_KIND,
    OrderStore,
    RolloutOrder,
    RolloutState,
)
from dragonflyramp.views import Fields

KINDS = (ROLLOUTS_KIND, RECORDS_KIND)


@attrs.define(eq=False)
class ModelStore(OrderStore):
    """Objects of the two kinds, with conditional writes and faults."""

    objects_by_kind: dict[str, dict[str, Fields]] = attrs.field(
        factory=lambda: {kind: {} for kind in KINDS}
    )
    revision: int = 10
    is_down: bool = False
    #: Writes of the status that take effect and whose answer is lost.
    lost_status_answers: int = 0
    status_writes: list[str] = attrs.field(factory=list)

    def put(self, kind: str, name: str, **parts: Any) -> Fields:
        """Write an object unconditionally."""
        self.revision += 1
        meta = {'name': name, 'rev': self.revision, 'created_rev': 7}
        self.objects_by_kind[kind][name] = {'meta': meta, **parts}
        return self.objects_by_kind[kind][name]

    async def read(self, kind: str, name: str) -> Result[Fields, ResultCode]:
        """Return an object."""
        if self.is_down:
            return Failure(ResultCode.platform_down)
        stored = self.objects_by_kind[kind].get(name)
        if stored is None:
            return Failure(ResultCode.object_missing)
        return Success(stored)

    async def create(
        self, kind: str, name: str, spec: Any
    ) -> Result[Fields, ResultCode]:
        """Create an object that does not exist."""
        if self.is_down:
            return Failure(ResultCode.platform_down)
        if name in self.objects_by_kind[kind]:
            return Failure(ResultCode.version_conflict)
        return Success(self.put(kind, name, spec=spec))

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> Result[Fields, ResultCode]:
        """Replace an object that is at a revision."""
        if self.is_down:
            return Failure(ResultCode.platform_down)
        stored = self.objects_by_kind[kind].get(name)
        if stored is None:
            return Failure(ResultCode.object_missing)
        if stored['meta']['rev'] != revision:
            return Failure(ResultCode.version_conflict)
        return Success(self.put(kind, name, spec=spec))

    async def delete(self, kind: str, name: str) -> Result[Fields, ResultCode]:
        """Delete nothing: rollouts remove no objects."""
        return Failure(ResultCode.object_missing)

    async def read_order(
        self, service: str
    ) -> Result[RolloutOrder, ResultCode]:
        """Return the order."""
        read_result = await self.read(ROLLOUTS_KIND, service)
        return read_result.map(lambda fields: _decode(service, fields))

    async def write_status(
        self, order: RolloutOrder, state: RolloutState
    ) -> Result[RolloutOrder, ResultCode]:
        """Write the status, with the faults."""
        if self.is_down:
            return Failure(ResultCode.platform_down)
        stored = self.objects_by_kind[ROLLOUTS_KIND][order.service]
        if stored['meta']['rev'] != order.revision:
            return Failure(ResultCode.version_conflict)
        self.status_writes.append(state.value)
        status = {'state': state.value, 'target_version': order.target_version}
        written = self.put(
            ROLLOUTS_KIND, order.service, spec=stored['spec'], status=status
        )
        if self.lost_status_answers:
            self.lost_status_answers -= 1
            return Failure(ResultCode.platform_down)
        return Success(_decode(order.service, written))


def _decode(service: str, fields: Fields) -> RolloutOrder:
    order = decode_rollout_order(service, fields)
    assert order is not None
    return order
