"""Read and write the stored text: its root object and its parts."""

import asyncio

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.operators._parts import PartRef, join_parts, sha256_hex
from dragonflyramp.operators._retries import RetryPolicy
from dragonflyramp.operators._roots import (
    ROOT_NAME,
    Root,
    decode_root,
    encode_root,
)
from dragonflyramp.results import ResultCode
from dragonflyramp.stores import ABSENT_VERSION, ObjectStore, VersionedObject

#: Limits the concurrent reads of parts; a text of 22,000 services has about
#: 1,400 parts.
_MAX_CONCURRENT_READS = 16


@attrs.frozen
class StoredRoot:
    """Root and its version; `root` is None before the first push."""

    version: int
    root: Root | None

    @property
    def number(self) -> int:
        """Return the number of the last accepted change, or 0."""
        return self.root.number if self.root else 0


@attrs.frozen
class StoredText:
    """Stored text, and the root that lists its parts."""

    stored_root: StoredRoot
    text: bytes


@attrs.frozen(kw_only=True)
class TextStore:
    """Read and write the stored text in the object store."""

    store: ObjectStore
    retries: RetryPolicy

    async def read_root(self) -> Result[StoredRoot, ResultCode]:
        """Read the root; fail with platform_down, bad_reply or bad_message."""
        read_result = await self.retries.call(
            lambda: self.store.read(ROOT_NAME)
        )
        if read_result == Failure(ResultCode.object_missing):
            return Success(StoredRoot(ABSENT_VERSION, None))
        return read_result.bind(_decode_stored_root)

    async def write_root(
        self, root: Root, version: int
    ) -> Result[int, ResultCode]:
        """Write the root without retries and return its new version.

        Fail as `ObjectStore.write` states.
        """
        return await self.store.write(ROOT_NAME, encode_root(root), version)

    async def read_text(self) -> Result[StoredText, ResultCode]:
        """Read the root and its text; the text is empty without a root.

        Fail with platform_down, bad_reply or bad_message, and with
        object_missing if a part is missing.
        """
        root_result = await self.read_root()
        if isinstance(root_result, Failure):
            return root_result
        stored_root = root_result.unwrap()
        text_result = await self._read_parts(
            stored_root.root.parts if stored_root.root else ()
        )
        return text_result.map(lambda text: StoredText(stored_root, text))

    async def write_part(self, part: bytes) -> Result[bool, ResultCode]:
        """Write a part; return false if it exists already.

        Fail with body_too_large, platform_down or bad_reply.
        """
        name = part_object_name(sha256_hex(part))
        write_result = await self.retries.call(
            lambda: self.store.write(name, part, ABSENT_VERSION)
        )
        # The name is the digest of the content, so a conflict means that the
        # part is stored already.
        if write_result == Failure(ResultCode.version_conflict):
            return Success(False)
        return write_result.map(bool)

    async def _read_parts(
        self, refs: tuple[PartRef, ...]
    ) -> Result[bytes, ResultCode]:
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT_READS)
        part_results = await asyncio.gather(
            *(self._read_part(semaphore, ref) for ref in refs)
        )
        for part_result in part_results:
            if isinstance(part_result, Failure):
                return part_result
        return Success(
            join_parts(verified.unwrap() for verified in part_results)
        )

    async def _read_part(
        self, semaphore: asyncio.Semaphore, ref: PartRef
    ) -> Result[bytes, ResultCode]:
        name = part_object_name(ref.sha256)
        async with semaphore:
            read_result = await self.retries.call(lambda: self.store.read(name))
        return read_result.bind(
            lambda stored_object: _verify_part(ref, stored_object)
        )


def part_object_name(sha256: str) -> str:
    """Return the name of the object that stores a part."""
    return f'parts/{sha256}'


def _decode_stored_root(
    stored_object: VersionedObject,
) -> Result[StoredRoot, ResultCode]:
    decode_result = decode_root(stored_object.body)
    return decode_result.map(
        lambda root: StoredRoot(stored_object.version, root)
    )


def _verify_part(
    ref: PartRef, stored_object: VersionedObject
) -> Result[bytes, ResultCode]:
    if sha256_hex(stored_object.body) == ref.sha256:
        return Success(stored_object.body)
    return Failure(ResultCode.bad_message)
