"""Read and write the group record at the platform."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

import attrs
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dragonflyramp.members._group_json import decode_record, encode_record
from dragonflyramp.members._group_views import GroupView
from dragonflyramp.members._groups import GroupRecord
from dragonflyramp.members._settings import MembershipSettings
from dragonflyramp.members._writing import StoredRecord
from dragonflyramp.metrics import counters
from dragonflyramp.platform import ObjectStore, VersionedObject
from dragonflyramp.results import ResultCode

_Reply = TypeVar('_Reply')


async def ask_platform(
    call: Awaitable[Result[_Reply, ResultCode]],
    view: GroupView,
    timeout_seconds: float,
) -> Result[_Reply, ResultCode]:
    """Wait for the platform's answer; fail with platform_down after that.

    Any answer, a refusal too, counts as contact with the platform.
    """
    try:
        async with asyncio.timeout(timeout_seconds):
            reply = await call
    except TimeoutError:
        reply = Failure(ResultCode.platform_down)
    if reply == Failure(ResultCode.platform_down):
        counters.add('platform_failures', ResultCode.platform_down.name)
    else:
        view.contacts.note_platform()
    return reply


@attrs.define
class GroupStore:
    """Keep the group's object; its version never goes back."""

    _platform: ObjectStore
    _view: GroupView
    _settings: MembershipSettings
    _version: int = 0

    async def read(self) -> Result[StoredRecord, ResultCode]:
        """Read the record.

        Fail with object_missing, platform_down or bad_message. An answer
        older than one already seen counts as none.
        """
        reply = await ask_platform(
            self._platform.read(self._settings.group_object),
            self._view,
            self._settings.platform_timeout_seconds,
        )
        return reply.bind(self._decoded)

    async def write(
        self, record: GroupRecord, version: int
    ) -> Result[int, ResultCode]:
        """Write the record if the version still stands."""
        reply = await ask_platform(
            self._platform.write(
                self._settings.group_object, encode_record(record), version
            ),
            self._view,
            self._settings.platform_timeout_seconds,
        )
        if is_successful(reply):
            self._version = max(self._version, reply.unwrap())
        return reply

    def _decoded(
        self, found: VersionedObject
    ) -> Result[StoredRecord, ResultCode]:
        if found.version < self._version:
            counters.add('stale_answers', 'group')
            return Failure(ResultCode.platform_down)
        record = decode_record(found.body)
        if not is_successful(record):
            # The version of a malformed answer is not to be trusted either:
            # a high one would make every later answer count as older.
            counters.add('malformed_records', found.name)
            return Failure(record.failure())
        self._version = found.version
        return Success(StoredRecord(record.unwrap(), found.version))
