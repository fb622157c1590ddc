"""Define the record of a rollout in the store, and encode it."""

import contextlib
import enum
from typing import Any

import attrs

from dragonflyramp.object_limits import DECODE_ERRORS
from dragonflyramp.views import Fields

#: Kind of the records in the store.
RECORDS_KIND = 'dragonflyramp-rollouts'

#: Revision of an object that has not been read since a restore of the store.
UNKNOWN_REVISION = 0

_MAX_TEXT_LENGTH = 300
#: The record names the replicas that get requests, few at a time.
_MAX_REPLICAS = 64
#: Unix times in ms are the largest numbers.
_MAX_COUNT = 100_000_000_000_000


class Phase(enum.Enum):
    """Phase of a rollout, as the coordinator decides it."""

    #: The target version gets a small share of the requests.
    testing = 'testing'
    #: It gets all requests; the status is written when all fronts know it.
    switching = 'switching'
    #: It gets none.
    rolled_back = 'rolled_back'


@attrs.frozen(kw_only=True)
class RolloutRecord:
    """Decisions on one rollout, which all fronts follow."""

    #: `RolloutOrder.key` of the order; the record is of no use for others.
    order_key: str
    #: Name of the daemon that may write the record.
    coordinator: str
    phase: Phase = Phase.testing
    #: Share of the requests that the target version gets while it is tested.
    share: float = 0
    #: Replicas of the target version that get this share.
    replica_ids: tuple[str, ...] = ()
    #: Unix time at which the rollout began.
    started_ms: int = 0
    #: Number of the write, which shows that the coordinator is alive.
    beat: int = 0


@attrs.frozen
class StoredRecord:
    """Record, and the revision of its object in the store."""

    record: RolloutRecord
    revision: int


def encode_record(record: RolloutRecord) -> Fields:
    """Encode a record as the `spec` of an object."""
    return {
        **attrs.asdict(record),
        'phase': record.phase.value,
        'replica_ids': list(record.replica_ids),
    }


def decode_record(fields: Fields) -> StoredRecord | None:
    """Decode an object; return None if it is malformed."""
    with contextlib.suppress(*DECODE_ERRORS):
        spec = fields['spec']
        replica_ids = spec['replica_ids']
        if not isinstance(replica_ids, list):
            return None
        if len(replica_ids) > _MAX_REPLICAS:
            return None
        record = RolloutRecord(
            order_key=_require_text(spec['order_key']),
            coordinator=_require_text(spec['coordinator']),
            phase=Phase(spec['phase']),
            share=_require_share(spec['share']),
            replica_ids=tuple(map(_require_text, replica_ids)),
            started_ms=_require_count(spec['started_ms']),
            beat=_require_count(spec['beat']),
        )
        return StoredRecord(record, _require_count(fields['meta']['rev']))
    return None


def _require_text(field: Any) -> str:
    if not isinstance(field, str):
        raise TypeError(field)
    if len(field) > _MAX_TEXT_LENGTH or not field.isprintable():
        raise ValueError(field)
    return field


def _require_count(field: Any) -> int:
    if isinstance(field, bool) or not isinstance(field, int):
        raise TypeError(field)
    if not 0 <= field <= _MAX_COUNT:
        raise ValueError(field)
    return field


def _require_share(field: Any) -> float:
    if isinstance(field, bool) or not isinstance(field, int | float):
        raise TypeError(field)
    # A comparison with NaN is false.
    if 0 <= field <= 1:
        return float(field)
    raise ValueError(field)
