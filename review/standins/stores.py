"""Stand in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from standins.http import Message, encode_json, read_message


class Store:
    """Objects by kind and name, with one revision counter and a history."""

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 100
        #: Objects in a page of a listing, "about 500" at most.
        self.page_size = 500
        #: Age of the data in stale pages after the first one. One of two
        #: followers answers each stale read, chosen by its URL, and one lags.
        self.stale_seconds = 0.0
        #: Called with each call.
        self.record: Callable[[str], None] = lambda text: None
        self.objects: dict[str, dict[str, Any]] = {}
        #: Monotonic time and revision of each change, its kind and event.
        self.history: list[tuple[float, int, str, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> str:
        """Listen on a free port of a loopback address and return both."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        return f'{host}:{port}'

    def put(
        self, kind: str, name: str, spec: Any, **fields: Any
    ) -> dict[str, Any]:
        """Create or replace an object."""
        known = self.objects.get(kind, {}).get(name)
        self.revision += 1
        created = known['meta']['created_rev'] if known else self.revision
        stored = {
            'meta': {
                'name': name,
                'rev': self.revision,
                'created_rev': created,
                'finalizers': [],
                'pending_delete': False,
            },
            'spec': spec,
            'status': None,
            **fields,
        }
        self.objects.setdefault(kind, {})[name] = stored
        self._record(kind, {'tombstone': False, 'object': stored})
        return stored

    def remove(self, kind: str, name: str) -> dict[str, Any]:
        """Remove an object."""
        stored = self.objects[kind].pop(name)
        self.revision += 1
        self._record(kind, {'tombstone': True, 'object': stored})
        return stored

    def _record(self, kind: str, event: dict[str, Any]) -> None:
        self.history.append((time.monotonic(), self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            with contextlib.suppress(OSError):
                request = await read_message(reader)
                while request is not None:
                    writer.write(await self._answer(request))
                    await writer.drain()
                    request = await read_message(reader)
        finally:
            writer.close()

    async def _answer(self, request: Message) -> bytes:
        method, target, _ = request.first_line.split(' ')
        url = urlsplit(target)
        query = {name: texts[0] for name, texts in parse_qs(url.query).items()}
        kind, *names = map(unquote, url.path.split('/')[3:])
        if method == 'GET' and not names:
            if 'watch' in query:
                return await self._watch(kind, query)
            return encode_json(200, self._list(kind, query))
        body = json.loads(request.body) if request.body else {}
        name = names[0] if names else body['meta']['name']
        known = self.objects.get(kind, {}).get(name)
        if method == 'POST':
            if known:
                return encode_json(409, known)
            return encode_json(201, self.put(kind, name, body['spec']))
        if known is None:
            return encode_json(404, {})
        if method == 'GET':
            return encode_json(200, known)
        revision = body.get('meta', {}).get('rev', query.get('rev'))
        if revision is not None and int(revision) != known['meta']['rev']:
            return encode_json(409, known)
        if method == 'DELETE':
            return encode_json(200, self.remove(kind, name))
        return encode_json(200, self.put(kind, name, body['spec']))

    def _list(self, kind: str, query: dict[str, str]) -> dict[str, Any]:
        after = query.get('after', '')
        objects, revision = self.objects.get(kind, {}), self.revision
        if after and 'allow_stale' in query and self.stale_seconds:
            objects, revision = self._state_at(
                kind, time.monotonic() - self.stale_seconds
            )
        names = sorted(name for name in objects if name > after)
        page = names[: self.page_size]
        self.record(
            f'store lists {kind} after "{after}" as of revision {revision} '
            f'(now {self.revision}): {len(page)} of {len(names)}'
        )
        return {
            'items': [objects[name] for name in page],
            'has_more': len(names) > len(page),
            'at_rev': revision,
        }

    def _state_at(
        self, kind: str, at_seconds: float
    ) -> tuple[dict[str, Any], int]:
        """Return the objects of a kind, and the revision, at a time."""
        objects: dict[str, Any] = {}
        revision = 100
        for changed_at_seconds, changed_revision, name, event in self.history:
            if changed_at_seconds > at_seconds:
                break
            revision = changed_revision
            stored = event['object']
            if name != kind:
                continue
            if event['tombstone']:
                objects.pop(stored['meta']['name'], None)
            else:
                objects[stored['meta']['name']] = stored
        return objects, revision

    async def _watch(self, kind: str, query: dict[str, str]) -> bytes:
        revision = int(query['watch'])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query.get('wait_ms', 0)) / 1000):
                while not self._events(kind, revision):
                    await self._changed.wait()
        events = self._events(kind, revision)
        return encode_json(200, {'events': events, 'at_rev': self.revision})

    def _events(self, kind: str, revision: int) -> list[dict[str, Any]]:
        return [
            event
            for _, event_revision, event_kind, event in self.history
            if event_kind == kind and event_revision > revision
        ]
