"""List, watch, read and write objects in the platform's store."""

import contextlib
import functools
from collections.abc import AsyncIterator, Mapping
from typing import Any
from urllib.parse import quote, urlencode

from returns.result import Failure, Result, Success

from dragonflyramp.metrics import counters
from dragonflyramp.platform._api_http import (
    ApiCall,
    ApiClient,
    ApiReply,
    open_api_client,
)
from dragonflyramp.platform._collectors import ChangeCollector, PageCollector
from dragonflyramp.platform._store_replies import (
    collect_elements,
    read_stored_object,
)
from dragonflyramp.results import ResultCode
from dragonflyramp.stored_objects import HeldObjects, ObjectRoom
from dragonflyramp.views import ChangeBatch, Fields, Listing, ListingBuilder

#: Time after the end of the wait within which the reply to a watch must arrive.
_WATCH_MARGIN_SECONDS = 0.8
#: Wait of a watch for changes that have already happened.
_CATCH_UP_WAIT_SECONDS = 0.001
_DEFAULT_ROOM = ObjectRoom()


class StoreClient:
    """Call the platform's store.

    Failures are result codes, never exceptions. Objects that cannot be held are
    left out, and reported; the others stay.
    """

    def __init__(self, api: ApiClient, room: ObjectRoom) -> None:
        """Send calls through an API client, which the caller closes.

        Listings and changes of a kind take as much memory as the room says.
        """
        self._api = api
        self._room = room
        #: Newest era of the store that a reply had.
        self.era = api.era

    async def list_objects(
        self, kind: str, *, allow_stale: bool = False
    ) -> Result[Listing, ResultCode]:
        """List the objects of a kind as of one revision.

        Fail with history_gone, platform_down or bad_reply. If the pages are as
        of different revisions, a watch from the oldest one is added.
        """
        builder = ListingBuilder(_create_held(self._room, kind))
        list_result = await _read_pages(
            self._api, kind, builder, allow_stale=allow_stale
        )
        while builder.needs_changes and not isinstance(list_result, Failure):
            list_result = await _catch_up(self, kind, builder)
        return list_result.map(lambda _: builder.build())

    async def watch(
        self, kind: str, revision: int, wait_seconds: float
    ) -> Result[ChangeBatch, ResultCode]:
        """Wait up to `wait_seconds` for changes after a revision; return them.

        Fail with history_gone, platform_down or bad_reply.
        """
        collector = ChangeCollector(kind, _create_held(self._room, kind))
        wait_ms = int(wait_seconds * 1000)
        query = {'watch': str(revision), 'wait_ms': str(wait_ms)}
        call_result = await self._api.send_for_reply(
            ApiCall(
                purpose='watch',
                path_and_query=_build_path_and_query(kind, '', query),
                read_body=functools.partial(
                    collect_elements, collector=collector
                ),
                timeout_seconds=wait_seconds + _WATCH_MARGIN_SECONDS,
            )
        )
        return call_result.bind(functools.partial(_build_changes, collector))

    async def read(self, kind: str, name: str) -> Result[Fields, ResultCode]:
        """Read an object.

        Fail with object_missing, platform_down or bad_reply.
        """
        return await self._api.send(
            ApiCall(
                purpose='read',
                path_and_query=_build_path_and_query(kind, name),
                read_body=functools.partial(read_stored_object, kind, name),
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
                read_body=functools.partial(read_stored_object, kind, name),
                body=body,
            )
        )

    async def replace(
        self,
        kind: str,
        name: str,
        spec: Any,
        revision: int,
        *,
        is_status: bool = False,
    ) -> Result[Fields, ResultCode]:
        """Replace an object's spec and return the object as stored.

        With `is_status`, replace its status instead. Fail with version_conflict
        if the object is at another revision, and with object_missing if it does
        not exist.
        """
        path = _build_path_and_query(kind, name)
        body = {'meta': {'name': name, 'rev': revision}}
        return await self._api.send(
            ApiCall(
                purpose='write',
                method='PUT',
                path_and_query=f'{path}/status' if is_status else path,
                read_body=functools.partial(read_stored_object, kind, name),
                body={**body, 'status' if is_status else 'spec': spec},
            )
        )

    async def delete(self, kind: str, name: str) -> Result[Fields, ResultCode]:
        """Delete an object; fail with object_missing if it does not exist."""
        return await self._api.send(
            ApiCall(
                purpose='write',
                method='DELETE',
                path_and_query=_build_path_and_query(kind, name),
                read_body=functools.partial(read_stored_object, kind, name),
            )
        )


@contextlib.asynccontextmanager
async def open_store(
    address: str, timeout_seconds: float, room: ObjectRoom = _DEFAULT_ROOM
) -> AsyncIterator[StoreClient]:
    """Open a client of the store at `IP:port` for the length of the context."""
    async with open_api_client(address, timeout_seconds) as api:
        yield StoreClient(api, room)


async def _read_pages(
    api: ApiClient, kind: str, builder: ListingBuilder, *, allow_stale: bool
) -> Result[None, ResultCode]:
    base_query = {'allow_stale': '1'} if allow_stale else {}
    query = base_query
    while True:
        collector = PageCollector(kind, builder.held)
        page_result = await api.send_for_reply(
            ApiCall(
                purpose='list',
                path_and_query=_build_path_and_query(kind, '', query),
                read_body=functools.partial(
                    collect_elements, collector=collector
                ),
            )
        )
        next_result = page_result.bind(
            functools.partial(_add_page, builder, collector)
        )
        if isinstance(next_result, Failure):
            return next_result
        next_after = next_result.unwrap()
        if next_after is None:
            return Success(None)
        if next_after <= query.get('after', ''):
            return Failure(ResultCode.bad_reply)
        query = {**base_query, 'after': next_after}


def _add_page(
    builder: ListingBuilder, collector: PageCollector, reply: ApiReply
) -> Result[str | None, ResultCode]:
    """Add a page; return the name after which the next one begins, if any."""
    revision = reply.fields.get('at_rev')
    if not collector.has_list or not isinstance(revision, int):
        return Failure(ResultCode.bad_reply)
    if not builder.add_page(Listing(revision, {}, reply.era)):
        return Failure(ResultCode.history_gone)
    return Success(
        collector.last_name if reply.fields.get('has_more') else None
    )


def _create_held(room: ObjectRoom, kind: str) -> HeldObjects:
    return HeldObjects(kind, room.max_bytes(kind))


def _build_changes(
    collector: ChangeCollector, reply: ApiReply
) -> Result[ChangeBatch, ResultCode]:
    revision = reply.fields.get('at_rev')
    if not collector.has_list or not isinstance(revision, int):
        return Failure(ResultCode.bad_reply)
    return Success(ChangeBatch(revision, collector.changes(), reply.era))


async def _catch_up(
    store: StoreClient, kind: str, builder: ListingBuilder
) -> Result[None, ResultCode]:
    """Apply the changes since the oldest page."""
    counters.add('listing_catch_ups', kind)
    revision = builder.revision
    changes_result = await store.watch(kind, revision, _CATCH_UP_WAIT_SECONDS)
    if isinstance(changes_result, Failure):
        return changes_result
    changes = changes_result.unwrap()
    if changes.era != builder.era:
        return Failure(ResultCode.history_gone)
    if changes.revision <= revision:
        return Failure(ResultCode.bad_reply)
    builder.apply(changes)
    return Success(None)


def _build_path_and_query(
    kind: str, name: str, query: Mapping[str, str] | None = None
) -> str:
    path = f'/{quote(kind)}'
    if name:
        quoted = quote(name, safe='')
        path = f'{path}/{quoted}'
    return f'{path}?{urlencode(query)}' if query else path
