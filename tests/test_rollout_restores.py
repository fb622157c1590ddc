"""Test rollouts whose records a restored store has lost."""

import copy
from collections.abc import Mapping
from types import MappingProxyType

import pytest

from dragonflyramp.platform import ROLLOUTS_KIND, decode_rollout_order
from dragonflyramp.results import ResultCode
from dragonflyramp.rollouts import (
    RECORDS_KIND,
    KnownRollouts,
    RolloutWriter,
    StartTimes,
    record_restore,
)
from dragonflyramp.rollouts._records import Phase, RolloutRecord
from dragonflyramp.views import View
from tests.rollout_stores import ModelStore

_SERVICE = 'lookup'
_SPEC: Mapping[str, object] = MappingProxyType(
    {'service': _SERVICE, 'target_version': 'v2', 'duration_s': 12}
)


def _create_known(store: ModelStore) -> KnownRollouts:
    known = KnownRollouts(
        orders_view=View(ROLLOUTS_KIND),
        records_view=View(RECORDS_KIND),
        decode_order=decode_rollout_order,
        clock=float,
        start_times=StartTimes(0, int),
    )
    order = decode_rollout_order(
        _SERVICE, store.put(ROLLOUTS_KIND, _SERVICE, spec=dict(_SPEC))
    )
    assert order is not None
    known.apply_order(order)
    return known


def _record(known: KnownRollouts, phase: Phase, beat: int) -> RolloutRecord:
    return RolloutRecord(
        order_key=known.orders[_SERVICE].key,
        coordinator='front-1',
        phase=phase,
        beat=beat,
    )


@pytest.mark.parametrize('is_lost', [True, False])
async def test_restore_does_not_resume_a_rollout(*, is_lost: bool) -> None:
    """A version that was rolled back must get nothing after a restore.

    The store comes back without the record, or with an earlier one, and gives
    out the revisions since then again.
    """
    store = ModelStore()
    known = _create_known(store)
    writer = RolloutWriter(store=store, order_store=store, known=known)
    await writer.write_record(_SERVICE, _record(known, Phase.testing, 1))
    saved = copy.deepcopy(store.objects_by_kind)
    saved_revision = store.revision
    await writer.write_record(_SERVICE, _record(known, Phase.rolled_back, 2))

    store.objects_by_kind = saved
    store.revision = saved_revision
    if is_lost:
        store.objects_by_kind[RECORDS_KIND].clear()
    record_restore(known)
    for fields in store.objects_by_kind[RECORDS_KIND].values():
        known.apply_record(_SERVICE, fields)

    rollout = known.find(_SERVICE)
    assert rollout is not None
    assert rollout.is_rolled_back
    rewritten = _record(known, Phase.rolled_back, 3)
    assert await writer.write_record(_SERVICE, rewritten) is ResultCode.ok
    spec = store.objects_by_kind[RECORDS_KIND][_SERVICE]['spec']
    assert spec['phase'] == 'rolled_back'


def test_order_of_a_restored_store_is_followed() -> None:
    """An order whose revision went back must not be ignored."""
    store = ModelStore()
    known = _create_known(store)
    record_restore(known)
    store.revision = 3
    fields = store.put(ROLLOUTS_KIND, _SERVICE, spec=dict(_SPEC))
    order = decode_rollout_order(_SERVICE, fields)
    assert order is not None
    known.apply_order(order)
    assert known.orders[_SERVICE].revision == 4
