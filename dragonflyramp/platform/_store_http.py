"""List, watch, read and write objects in the platform's store."""

import contextlib
import functools
from collections.abc import AsyncIterator, Mapping
from typing import Any
from urllib.parse import quote, urlencode

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.metrics import counters
from dragonflyramp.object_limits import is_within_limits
from dragonflyramp.platform._api_http import ApiCall, ApiClient, open_api_client
from dragonflyramp.platform._json_replies import create_unreadable_object
from dragonflyramp.platform._store_decoders import ENTRIES_KIND
from dragonflyramp.results import ResultCode
from dragonflyramp.views import Change, ChangeBatch, Fields, Listing

#: Limit of the platform on the bytes of an object.
_MAX_OBJECT_SIZE = 1024 * 1024
#: Daemons pass entries on to each other. One of a replica has about 300 bytes.
_MAX_ENTRY_SIZE = 16_384
#: Time after the end of the wait within which the reply to a watch must arrive.
_WATCH_MARGIN_SECONDS = 0.8


class StoreClient:
    """Call the platform's store.

    Failures are result codes, never exceptions.
    """

    def __init__(self, api: ApiClient) -> None:
        """Send calls through an API client, which the caller closes."""
        self._api = api

    async def list_objects(
        self, kind: str, *, allow_stale: bool = False
    ) -> Result[Listing, ResultCode]:
        """List the objects of a kind; fail with platform_down or bad_reply.

        The revision is that of the first page, so that a watch from there
        repeats changes that were made between two pages but misses none.
        """
        objects_by_name: dict[str, Fields] = {}
        revision: int | None = None
        base_query = {'allow_stale': '1'} if allow_stale else {}
        query = base_query
        while True:
            page_result = await self._api.send(
                ApiCall(
                    purpose='list',
                    path_and_query=_build_path_and_query(kind, '', query),
                )
            )
            if isinstance(page_result, Failure):
                return page_result
            page = _parse_page(kind, page_result.unwrap())
            if page is None:
                return Failure(ResultCode.bad_reply)
            objects_by_name.update(page.objects_by_name)
            revision = page.revision if revision is None else revision
            if not page.has_more:
                return Success(Listing(revision, objects_by_name))
            query = {**base_query, 'after': max(page.objects_by_name)}

    async def watch(
        self, kind: str, revision: int, wait_seconds: float
    ) -> Result[ChangeBatch, ResultCode]:
        """Wait up to `wait_seconds` for changes after a revision; return them.

        Fail with history_gone, platform_down or bad_reply.
        """
        wait_ms = int(wait_seconds * 1000)
        query = {'watch': str(revision), 'wait_ms': str(wait_ms)}
        call_result = await self._api.send(
            ApiCall(
                purpose='watch',
                path_and_query=_build_path_and_query(kind, '', query),
                timeout_seconds=wait_seconds + _WATCH_MARGIN_SECONDS,
            )
        )
        return call_result.bind(functools.partial(_parse_changes, kind))

    async def read(self, kind: str, name: str) -> Result[Fields, ResultCode]:
        """Read an object.

        Fail with object_missing, platform_down or bad_reply.
        """
        return await self._api.send(
            ApiCall(
                purpose='read', path_and_query=_build_path_and_query(kind, name)
            )
        )

    async def create(
        self, kind: str, name: str, spec: Any
    ) -> Result[Fields, ResultCode]:
        """Create an object and return it as stored.

        Fail with version_conflict if it exists.
        """
        body = {'meta': {'name': name}, 'spec': spec}
        return await self._api.send(
            ApiCall(
                purpose='write',
                method='POST',
                path_and_query=_build_path_and_query(kind, ''),
                body=body,
            )
        )

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> Result[Fields, ResultCode]:
        """Replace an object's spec and return the object as stored.

        Fail with version_conflict if the object is at another revision, and
        with object_missing if it does not exist.
        """
        body = {'meta': {'name': name, 'rev': revision}, 'spec': spec}
        return await self._api.send(
            ApiCall(
                purpose='write',
                method='PUT',
                path_and_query=_build_path_and_query(kind, name),
                body=body,
            )
        )

    async def delete(self, kind: str, name: str) -> Result[Fields, ResultCode]:
        """Delete an object; fail with object_missing if it does not exist."""
        return await self._api.send(
            ApiCall(
                purpose='write',
                method='DELETE',
                path_and_query=_build_path_and_query(kind, name),
            )
        )


@contextlib.asynccontextmanager
async def open_store(
    address: str, timeout_seconds: float
) -> AsyncIterator[StoreClient]:
    """Open a client of the store at `IP:port` for the length of the context."""
    async with open_api_client(address, timeout_seconds) as api:
        yield StoreClient(api)


@attrs.frozen
class _Page:
    revision: int
    objects_by_name: Mapping[str, Fields]
    has_more: bool


def _build_path_and_query(
    kind: str, name: str, query: Mapping[str, str] | None = None
) -> str:
    path = f'/{quote(kind)}'
    if name:
        quoted = quote(name, safe='')
        path = f'{path}/{quoted}'
    return f'{path}?{urlencode(query)}' if query else path


def _parse_page(kind: str, fields: Fields) -> _Page | None:
    listed_objects = fields.get('items')
    revision = fields.get('at_rev')
    if not isinstance(listed_objects, list) or not isinstance(revision, int):
        return None
    objects_by_name = {
        _object_name(stored_object): _limit(kind, stored_object)
        for stored_object in listed_objects
    }
    if objects_by_name.pop('', None) is not None:
        counters.add('bad_objects', 'unnamed')
    has_more = bool(fields.get('has_more')) and bool(objects_by_name)
    return _Page(revision, objects_by_name, has_more)


def _parse_changes(
    kind: str, fields: Fields
) -> Result[ChangeBatch, ResultCode]:
    events = fields.get('events')
    revision = fields.get('at_rev')
    if not isinstance(events, list) or not isinstance(revision, int):
        return Failure(ResultCode.bad_reply)
    changes = (_parse_event(kind, event) for event in events)
    return Success(ChangeBatch(revision, tuple(filter(None, changes))))


def _parse_event(kind: str, event: Any) -> Change | None:
    """Parse an event of a watch; return None if it names no object."""
    stored_object = event.get('object') if isinstance(event, dict) else None
    name = _object_name(stored_object)
    if not name:
        counters.add('bad_objects', 'unnamed')
        return None
    is_removal = bool(event.get('tombstone'))
    return Change(name, None if is_removal else _limit(kind, stored_object))


def _limit(kind: str, stored_object: Any) -> Any:
    """Remove the spec of an object that is too deep or too large."""
    max_size = _MAX_ENTRY_SIZE if kind == ENTRIES_KIND else _MAX_OBJECT_SIZE
    if is_within_limits(stored_object, max_size):
        return stored_object
    counters.add('bad_objects', 'too_large')
    return create_unreadable_object(_object_name(stored_object))


def _object_name(stored_object: Any) -> str:
    meta = (
        stored_object.get('meta') if isinstance(stored_object, dict) else None
    )
    name = meta.get('name') if isinstance(meta, dict) else ''
    # An unprintable name, as with a lone surrogate, has no encoding.
    return name if isinstance(name, str) and name.isprintable() else ''
