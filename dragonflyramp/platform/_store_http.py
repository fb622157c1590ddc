"""Speak the protocol of the platform's metadata store."""

import contextlib
from collections.abc import AsyncIterator, Mapping
from typing import Any
from urllib.parse import quote, urlencode

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.platform._calls_http import Call, Calls, open_calls
from dragonflyramp.results import ResultCode
from dragonflyramp.views import Change, Changes, Fields, Listing

#: Time that the answer to a watch may take beyond the wait itself.
_WATCH_SLACK_SECONDS = 0.8


class StoreClient:
    """Call the store; failures are result codes, never exceptions."""

    def __init__(self, calls: Calls) -> None:
        """Make calls through what `open_store` opened."""
        self._calls = calls

    async def list_objects(
        self, kind: str, *, allow_stale: bool = False
    ) -> Result[Listing, ResultCode]:
        """Read all pages; fail with platform_down or bad_reply.

        The revision is that of the first page, so that a later watch repeats
        changes made between two pages and misses none.
        """
        stored: dict[str, Fields] = {}
        revision: int | None = None
        base_query = {'allow_stale': '1'} if allow_stale else {}
        query = base_query
        while True:
            page = await self._calls.make(
                Call(purpose='list', path=_url_path(kind, '', query))
            )
            if isinstance(page, Failure):
                return page
            read = _read_page(page.unwrap())
            if read is None:
                return Failure(ResultCode.bad_reply)
            stored.update(read.stored)
            revision = read.revision if revision is None else revision
            if not read.has_more:
                return Success(Listing(revision, stored))
            query = {**base_query, 'after': max(read.stored)}

    async def watch(
        self, kind: str, revision: int, wait_seconds: float
    ) -> Result[Changes, ResultCode]:
        """Wait for changes after a revision.

        Fail with history_gone, platform_down or bad_reply.
        """
        wait_ms = int(wait_seconds * 1000)
        query = {'watch': str(revision), 'wait_ms': str(wait_ms)}
        reply = await self._calls.make(
            Call(
                purpose='watch',
                path=_url_path(kind, '', query),
                timeout_seconds=wait_seconds + _WATCH_SLACK_SECONDS,
            )
        )
        return reply.bind(_read_changes)

    async def read(self, kind: str, name: str) -> Result[Fields, ResultCode]:
        """Read one object; fail with object_missing or as other calls."""
        return await self._calls.make(
            Call(purpose='read', path=_url_path(kind, name))
        )

    async def create(
        self, kind: str, name: str, spec: Any
    ) -> Result[Fields, ResultCode]:
        """Create an object; fail with version_conflict if it exists."""
        body = {'meta': {'name': name}, 'spec': spec}
        return await self._calls.make(
            Call(
                purpose='write',
                method='POST',
                path=_url_path(kind, ''),
                body=body,
            )
        )

    async def replace(
        self, kind: str, name: str, spec: Any, revision: int
    ) -> Result[Fields, ResultCode]:
        """Replace an object's spec if the revision still stands."""
        body = {'meta': {'name': name, 'rev': revision}, 'spec': spec}
        return await self._calls.make(
            Call(
                purpose='write',
                method='PUT',
                path=_url_path(kind, name),
                body=body,
            )
        )

    async def delete(self, kind: str, name: str) -> Result[Fields, ResultCode]:
        """Remove an object; fail with object_missing if there is none."""
        return await self._calls.make(
            Call(purpose='write', method='DELETE', path=_url_path(kind, name))
        )


@contextlib.asynccontextmanager
async def open_store(
    address: str, timeout_seconds: float
) -> AsyncIterator[StoreClient]:
    """Open a client of the store at `IP:port` for the length of the context."""
    async with open_calls(address, timeout_seconds) as calls:
        yield StoreClient(calls)


@attrs.frozen
class _Page:
    revision: int
    stored: Mapping[str, Fields]
    has_more: bool


def _url_path(
    kind: str, name: str, query: Mapping[str, str] | None = None
) -> str:
    path = f'/{quote(kind)}'
    if name:
        quoted = quote(name, safe='')
        path = f'{path}/{quoted}'
    return f'{path}?{urlencode(query)}' if query else path


def _read_page(fields: Fields) -> _Page | None:
    found = fields.get('items')
    revision = fields.get('at_rev')
    if not isinstance(found, list) or not isinstance(revision, int):
        return None
    named = {_name(stored): stored for stored in found}
    named.pop('', None)
    has_more = bool(fields.get('has_more')) and bool(named)
    return _Page(revision, named, has_more)


def _read_changes(fields: Fields) -> Result[Changes, ResultCode]:
    events = fields.get('events')
    revision = fields.get('at_rev')
    if not isinstance(events, list) or not isinstance(revision, int):
        return Failure(ResultCode.bad_reply)
    changes = tuple(
        Change(
            _name(event.get('object')),
            None if event.get('tombstone') else event.get('object'),
        )
        for event in events
        if isinstance(event, dict)
    )
    return Success(Changes(revision, changes))


def _name(stored: Any) -> str:
    meta = stored.get('meta') if isinstance(stored, dict) else None
    name = meta.get('name') if isinstance(meta, dict) else ''
    return name if isinstance(name, str) else ''
