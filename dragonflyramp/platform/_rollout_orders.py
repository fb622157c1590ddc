"""Decode the orders of rollouts, and write their status."""

import contextlib
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.object_limits import DECODE_ERRORS
from dragonflyramp.platform._field_checks import (
    require_int,
    require_number,
    require_text,
)
from dragonflyramp.platform._store_http import StoreClient
from dragonflyramp.results import ResultCode
from dragonflyramp.rollouts import (
    OrderStore,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from dragonflyramp.views import Fields

#: Kind of the orders in the store.
ROLLOUTS_KIND = 'rollouts'
#: Name of the contract with which the orders are in force.
ROLLOUT_CONTRACT = 'rollout'

_MIN_DURATION_SECONDS = 0.1
_MAX_DURATION_SECONDS = 86_400
_MAX_VERSION_LENGTH = 200
_MAX_REVISION = 100_000_000_000_000


def decode_rollout_order(
    name: str, stored_object: Fields
) -> RolloutOrder | None:
    """Decode the order for the service of this name; None if malformed.

    A malformed status counts as none: the product writes it.
    """
    with contextlib.suppress(*DECODE_ERRORS):
        spec = stored_object['spec']
        meta = stored_object['meta']
        if require_text(spec['service']) != name:
            return None
        return RolloutOrder(
            service=name,
            target_version=_require_version(spec['target_version']),
            duration_seconds=require_number(
                spec['duration_s'],
                _MIN_DURATION_SECONDS,
                _MAX_DURATION_SECONDS,
            ),
            revision=require_int(meta['rev'], 0, _MAX_REVISION),
            created_revision=require_int(
                meta.get('created_rev', 0), 0, _MAX_REVISION
            ),
            status=_decode_status(stored_object.get('status')),
        )
    return None


@attrs.frozen
class PlatformOrderStore(OrderStore):
    """Read the orders and write their status in the platform's store."""

    _client: StoreClient

    async def read_order(
        self, service: str
    ) -> Result[RolloutOrder, ResultCode]:
        """Return an order; fail as `OrderStore.read_order` states."""
        read_result = await self._client.read(ROLLOUTS_KIND, service)
        return read_result.bind(lambda fields: _decode(service, fields))

    async def write_status(
        self, order: RolloutOrder, state: RolloutState
    ) -> Result[RolloutOrder, ResultCode]:
        """Write a status; fail as `OrderStore.write_status` states."""
        status = {'state': state.value, 'target_version': order.target_version}
        write_result = await self._client.replace(
            ROLLOUTS_KIND,
            order.service,
            status,
            order.revision,
            is_status=True,
        )
        return write_result.bind(lambda fields: _decode(order.service, fields))


def _decode(service: str, fields: Fields) -> Result[RolloutOrder, ResultCode]:
    order = decode_rollout_order(service, fields)
    return Failure(ResultCode.bad_reply) if order is None else Success(order)


def _decode_status(field: Any) -> RolloutStatus | None:
    with contextlib.suppress(*DECODE_ERRORS):
        return RolloutStatus(
            RolloutState(field['state']),
            _require_version(field['target_version']),
        )
    return None


def _require_version(field: Any) -> str:
    """Return a version that the entry of a replica can have."""
    text = require_text(field)
    if len(text) > _MAX_VERSION_LENGTH:
        raise ValueError(field)
    return text
