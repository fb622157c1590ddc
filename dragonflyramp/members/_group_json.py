"""Encode the group record as JSON and decode it.

Unknown keys are ignored, so that daemons of two versions can share a group.
"""

import types

import attrs
from cattrs import BaseValidationError
from cattrs.preconf.json import JsonConverter, make_converter
from returns.result import Failure, Result, Success

from dragonflyramp.members._groups import GroupRecord, MemberEntry, SliceEntry
from dragonflyramp.models import MemberId
from dragonflyramp.results import ResultCode

#: The platform stores values up to 1 MB.
MAX_RECORD_BYTES = 1_000_000

_MALFORMED = (BaseValidationError, ValueError, TypeError, RecursionError)

_converter: JsonConverter = make_converter(omit_if_default=True)


@attrs.frozen(kw_only=True)
class _StoredRecord:
    renewal: int
    writer: MemberId
    configuration_number: int
    members: tuple[MemberEntry, ...]
    slices: tuple[SliceEntry, ...]


def encode_record(record: GroupRecord) -> bytes:
    """Encode a record as JSON."""
    stored = _StoredRecord(
        renewal=record.renewal,
        writer=record.writer,
        configuration_number=record.configuration_number,
        members=tuple(record.members.values()),
        slices=tuple(record.slices.values()),
    )
    return _converter.dumps(stored, separators=(',', ':')).encode()


def decode_record(body: bytes) -> Result[GroupRecord, ResultCode]:
    """Decode a record; fail with bad_message when it is malformed."""
    if len(body) > MAX_RECORD_BYTES:
        return Failure(ResultCode.bad_message)
    try:
        stored = _converter.loads(body.decode(), _StoredRecord)
    except _MALFORMED:
        return Failure(ResultCode.bad_message)
    return Success(_from_stored(stored))


def _from_stored(stored: _StoredRecord) -> GroupRecord:
    return GroupRecord(
        renewal=stored.renewal,
        writer=stored.writer,
        configuration_number=stored.configuration_number,
        members=types.MappingProxyType(
            {entry.member_id: entry for entry in stored.members}
        ),
        slices=types.MappingProxyType(
            {entry.slice_id: entry for entry in stored.slices}
        ),
    )
