"""Read roots and parts of the operators' text at the platform."""

import asyncio
import hashlib
from collections.abc import Iterable, Sequence

import attrs
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dragonflyramp.members._group_stores import ask_platform
from dragonflyramp.members._group_views import GroupView
from dragonflyramp.members._messages import PartContent
from dragonflyramp.members._settings import MembershipSettings
from dragonflyramp.members._texts import TextCodec
from dragonflyramp.metrics import counters
from dragonflyramp.platform import ObjectStore, VersionedObject
from dragonflyramp.results import ResultCode

ROOT_OBJECT = 'texts/root'

#: Parts read at the same time; a text of 1 MB has about 128.
_READS_AT_ONCE = 8


def verified(parts: Iterable[PartContent]) -> dict[str, bytes]:
    """Keep the parts whose content has the hash that names them."""
    good: dict[str, bytes] = {}
    for part in parts:
        if hashlib.sha256(part.body).hexdigest() == part.sha256:
            good[part.sha256] = part.body
        else:
            counters.add('refused_parts', ResultCode.bad_message.name)
    return good


@attrs.define(eq=False)
class PlatformTexts:
    """Read the root, wait for its changes, and read parts.

    The version of the root never goes back: an older answer counts as
    none. The version of a malformed root is not remembered, because a high
    one would make every later answer count as older.
    """

    _store: ObjectStore
    _view: GroupView
    _settings: MembershipSettings
    _codec: TextCodec
    _version: int = 0

    async def read_root(self) -> Result[VersionedObject, ResultCode]:
        """Read the root.

        Fail with object_missing, platform_down, or why it is malformed.
        """
        found = await ask_platform(
            self._store.read(ROOT_OBJECT),
            self._view,
            self._settings.platform_timeout_seconds,
        )
        return found.bind(self._newest)

    async def watch_root(self) -> Result[VersionedObject | None, ResultCode]:
        """Wait for a newer root; None when there is none for some time."""
        wait_seconds = self._settings.watch_timeout_seconds
        found = await ask_platform(
            self._store.watch(ROOT_OBJECT, self._version, wait_seconds),
            self._view,
            wait_seconds + self._settings.platform_timeout_seconds,
        )
        if found == Success(None):
            return found
        return found.bind(self._newest)

    async def read_parts(self, hashes: Sequence[str]) -> dict[str, bytes]:
        """Read parts; leave out those that cannot be read now."""
        parts: dict[str, bytes] = {}
        for start in range(0, len(hashes), _READS_AT_ONCE):
            batch = hashes[start : start + _READS_AT_ONCE]
            bodies = await asyncio.gather(*map(self._read_part, batch))
            found = map(PartContent, batch, bodies)
            parts.update(verified(part for part in found if part.body))
        return parts

    async def _read_part(self, sha256: str) -> bytes:
        found = await ask_platform(
            self._store.read(f'parts/{sha256}'),
            self._view,
            self._settings.platform_timeout_seconds,
        )
        return found.unwrap().body if is_successful(found) else b''

    def _newest(
        self, found: VersionedObject | None
    ) -> Result[VersionedObject, ResultCode]:
        if found is None or found.version < self._version:
            counters.add('stale_answers', 'root')
            return Failure(ResultCode.platform_down)
        facts = self._codec.decode_root(found.body)
        if not is_successful(facts):
            counters.add('refused_texts', facts.failure().name)
            return Failure(facts.failure())
        self._version = found.version
        return Success(found)
