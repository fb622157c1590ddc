"""Store the operators' text in the platform's store, and list replicas."""

from collections.abc import Callable, Mapping
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.platform._store_decoders import (
    ENTRIES_KIND,
    decode_replica_entry,
)
from dragonflyramp.platform._store_http import StoreClient
from dragonflyramp.replicas import ReplicaEntry
from dragonflyramp.results import ResultCode
from dragonflyramp.stores import (
    ABSENT_VERSION,
    MAX_OBJECT_BYTES,
    ObjectStore,
    ReplicaLister,
    VersionedObject,
)
from dragonflyramp.views import Fields

#: Kind of the objects that hold the parts and the root of the operators' text.
TEXTS_KIND = 'dragonflyramp-texts'
_BODY_KEY = 'body'


@attrs.frozen
class PlatformObjectStore(ObjectStore, ReplicaLister):
    """Implement `ObjectStore` and `ReplicaLister` on the platform's store."""

    _client: StoreClient

    async def read(self, name: str) -> Result[VersionedObject, ResultCode]:
        """Read an object; fail as `ObjectStore.read` states."""
        read_result = await self._client.read(TEXTS_KIND, _platform_name(name))
        return read_result.bind(
            lambda stored_object: _decode_object(name, stored_object)
        )

    def current_era(self) -> int:
        """Return the newest era that an answer had."""
        return self._client.era.number

    async def write(
        self, name: str, body: bytes, version: int
    ) -> Result[int, ResultCode]:
        """Write an object; fail as `ObjectStore.write` states."""
        if len(body) > MAX_OBJECT_BYTES:
            return Failure(ResultCode.body_too_large)
        platform_name = _platform_name(name)
        spec = {_BODY_KEY: body.decode()}
        if version == ABSENT_VERSION:
            write_result = await self._client.create(
                TEXTS_KIND, platform_name, spec
            )
        else:
            write_result = await self._client.replace(
                TEXTS_KIND, platform_name, spec, version
            )
        return write_result.bind(_decode_revision)

    async def list_replicas(
        self,
    ) -> Result[tuple[ReplicaEntry, ...], ResultCode]:
        """List all replicas except those with a malformed entry.

        Fail as `ReplicaLister.list_replicas` states.
        """
        list_result = await self._client.list_objects(ENTRIES_KIND)
        if isinstance(list_result, Failure):
            return list_result
        decoded = map(
            decode_replica_entry, list_result.unwrap().objects_by_name.values()
        )
        return Success(tuple(filter(None, decoded)))


def create_body_reader(
    objects_by_name: Mapping[str, Fields],
) -> Callable[[str], bytes | None]:
    """Return a function that returns the body of a named object.

    The objects are those of a view of `TEXTS_KIND`. The function returns None
    if the object is missing or malformed.
    """

    def read(name: str) -> bytes | None:  # noqa: WPS430 - closes over the view
        fields = objects_by_name.get(_platform_name(name), {})
        spec = fields.get('spec')
        body = spec.get(_BODY_KEY) if isinstance(spec, dict) else None
        return body.encode() if isinstance(body, str) else None

    return read


def _platform_name(name: str) -> str:
    return name.replace('/', '.')


def _decode_object(
    name: str, stored_object: Fields
) -> Result[VersionedObject, ResultCode]:
    spec: Any = stored_object.get('spec')
    body = spec.get(_BODY_KEY) if isinstance(spec, dict) else None
    if not isinstance(body, str):
        return Failure(ResultCode.bad_reply)
    return _decode_revision(stored_object).map(
        lambda version: VersionedObject(name, version, body.encode())
    )


def _decode_revision(stored_object: Fields) -> Result[int, ResultCode]:
    meta = stored_object.get('meta')
    revision = meta.get('rev') if isinstance(meta, dict) else None
    if isinstance(revision, int):
        return Success(revision)
    return Failure(ResultCode.bad_reply)
