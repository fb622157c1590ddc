"""Stand in for the platform's metadata store, over HTTP and with faults.

Run `python -m tests.standins.stores --port 0`; it prints its address as a line
of JSON.
"""

import argparse
import asyncio
import contextlib
import json
import time
from collections.abc import Callable
from typing import Any

import attrs
from aiohttp import web

from tests.standins.resets import reset_connection


@attrs.define(kw_only=True)
class StoreFaults:
    """Faults of the store that a test sets."""

    #: Status of every call; 0 disables the fault.
    status: int = 0
    #: Calls are accepted, but never answered.
    is_silent: bool = False
    #: The connection of every call is reset.
    is_resetting: bool = False
    #: Number of next writes that take effect and whose connection is reset
    #: before the reply.
    lost_replies: int = 0
    #: Watches of older revisions are answered with 410.
    oldest_revision: int = 0
    #: Sent as `Store-Era` in place of the era, unless it is None.
    era_header: str | None = None
    #: Revisions of the data in the next stale pages; later ones are current.
    stale_revisions: tuple[int, ...] = ()


@attrs.define(eq=False)
class Store:
    """Store objects by kind and name, and their changes as ordered events."""

    revision: int = 100
    #: Sent as `Store-Era` in all replies; None for a store without the header.
    era: int | None = None
    objects_by_kind: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    faults: StoreFaults = attrs.field(factory=StoreFaults)
    #: Bytes that replace a text in replies, such as those of another writer
    #: that are not valid JSON.
    raw_texts: dict[str, bytes] = attrs.field(factory=dict)
    #: Method and path with query of each call.
    calls: list[str] = attrs.field(factory=list)
    #: Maximum number of objects in a page of a listing.
    page_size: int = 500
    #: Called after each page, such as to change objects between two pages.
    on_page: Callable[[], None] = lambda: None
    #: Revision, kind and event of each change.
    _events: list[tuple[int, str, Any]] = attrs.field(factory=list)
    #: Time of each change, for copies.
    _event_times: list[float] = attrs.field(factory=list)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def put(
        self, kind: str, name: str, spec: Any, **parts: Any
    ) -> dict[str, Any]:
        """Write an object without checking its revision."""
        self.revision += 1
        meta = {'name': name, 'rev': self.revision, 'created_rev': 1}
        stored: dict[str, Any] = {'meta': meta, 'spec': spec, **parts}
        self.objects_by_kind.setdefault(kind, {})[name] = stored
        self._record_event(kind, {'tombstone': False, 'object': stored})
        return stored

    def remove(self, kind: str, name: str) -> dict[str, Any]:
        """Remove an object."""
        self.revision += 1
        stored: dict[str, Any] = self.objects_by_kind[kind].pop(name)
        self._record_event(kind, {'tombstone': True, 'object': stored})
        return stored

    def restore(self, age_seconds: float) -> None:
        """Restore the copy of some seconds ago."""
        copied_at_seconds = time.monotonic() - age_seconds
        count = sum(
            event_time <= copied_at_seconds for event_time in self._event_times
        )
        self.restore_copy(self._events[count - 1][0] if count else 0)

    def restore_copy(self, revision: int) -> None:
        """Forget all later writes, and give out their revisions again."""
        self._events = [event for event in self._events if event[0] <= revision]
        self._event_times = self._event_times[: len(self._events)]
        self.objects_by_kind = {
            kind: self.objects_at(kind, revision)
            for kind in self.objects_by_kind
        }
        self.revision = revision
        self.era = (self.era or 0) + 1
        self.wake_watches()

    def objects_at(self, kind: str, revision: int) -> dict[str, Any]:
        """Return the objects of a kind as of a revision."""
        objects_by_name: dict[str, Any] = {}
        for event_revision, event_kind, event in self._events:
            if event_kind == kind and event_revision <= revision:
                stored = event['object']
                objects_by_name[stored['meta']['name']] = stored
                if event['tombstone']:
                    objects_by_name.pop(stored['meta']['name'])
        return objects_by_name

    def wake_watches(self) -> None:
        """Wake all watches; those without new events continue to wait."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_events(
        self, kind: str, revision: int, wait_seconds: float
    ) -> list[dict[str, Any]]:
        """Wait for events after a revision and return them."""
        loop = asyncio.get_running_loop()
        timeout_at_seconds = loop.time() + wait_seconds
        events = self._events_after(kind, revision)
        while (
            not events
            and revision <= self.revision
            and loop.time() < timeout_at_seconds
        ):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(timeout_at_seconds):
                    await self._changed.wait()
            events = self._events_after(kind, revision)
        return events

    def _events_after(self, kind: str, revision: int) -> list[dict[str, Any]]:
        return [
            event
            for event_revision, event_kind, event in self._events
            if event_revision > revision and event_kind == kind
        ]

    def _record_event(self, kind: str, event: dict[str, Any]) -> None:
        self._events.append((self.revision, kind, event))
        self._event_times.append(time.monotonic())
        self.wake_watches()


class StoreServer:
    """Serve a store on a loopback port."""

    def __init__(
        self, store: Store | None = None, faults: StoreFaults | None = None
    ) -> None:
        """Serve a store, by default an empty one.

        With faults of its own, it treats its clients differently from other
        servers of the same store, also in the calls that are open when a fault
        begins.
        """
        self.store = store or Store()
        self.own_faults = faults
        self.address = ''
        self._runner: web.AppRunner | None = None

    async def start(self, port: int = 0) -> str:
        """Listen and return `IP:port`; port 0 selects a free port."""
        app = web.Application(middlewares=[self._inject_faults])
        app.on_response_prepare.append(self._add_era)
        kind_path = '/api/objects/{kind}'
        app.add_routes(
            [
                web.get(kind_path, self._list),
                web.post(kind_path, self._create),
                web.get(f'{kind_path}/{{name}}', self._read),
                web.put(f'{kind_path}/{{name}}', self._replace),
                web.put(f'{kind_path}/{{name}}/status', self._replace),
                web.delete(f'{kind_path}/{{name}}', self._delete),
                web.post('/control', self._control),
            ]
        )
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, '127.0.0.1', port).start()
        host, bound_port = self._runner.addresses[0][:2]
        self.address = f'{host}:{bound_port}'
        return self.address

    async def stop(self) -> None:
        """Close the port and every connection."""
        if self._runner:
            await self._runner.cleanup()

    async def _add_era(
        self, request: web.Request, reply: web.StreamResponse
    ) -> None:
        era_header = self.store.faults.era_header
        if era_header is None and self.store.era is not None:
            era_header = str(self.store.era)
        if era_header is not None:
            reply.headers['Store-Era'] = era_header

    @web.middleware
    async def _inject_faults(
        self,
        request: web.Request,
        handler: Any,  # noqa: WPS110 - aiohttp passes it by this name
    ) -> web.StreamResponse:
        faults = self.own_faults or self.store.faults
        if request.path == '/control':
            return await handler(request)  # type: ignore[no-any-return]
        self.store.calls.append(f'{request.method} {request.path_qs}')
        refusal = await self._refuse(request, faults)
        if refusal is not None:
            return refusal
        reply: web.StreamResponse = await handler(request)
        if self.own_faults is not None:
            reply = await self._refuse(request, self.own_faults) or reply
        if request.method != 'GET' and faults.lost_replies:
            faults.lost_replies -= 1
            reset_connection(request)
        return reply

    async def _refuse(
        self, request: web.Request, faults: StoreFaults
    ) -> web.StreamResponse | None:
        if faults.is_silent:
            await asyncio.Event().wait()
        if faults.is_resetting:
            reset_connection(request)
        return web.Response(status=faults.status) if faults.status else None

    async def _list(self, request: web.Request) -> web.Response:
        kind = request.match_info['kind']
        if 'watch' in request.query:
            return await self._watch(request, kind)
        store = self.store
        revision = store.revision
        faults = store.faults
        if 'allow_stale' in request.query and faults.stale_revisions:
            revision, *later = faults.stale_revisions
            faults.stale_revisions = tuple(later)
        objects_by_name = store.objects_at(kind, revision)
        names = sorted(
            name
            for name in objects_by_name
            if name > request.query.get('after', '')
        )
        page = self._encode(
            {
                'items': [
                    objects_by_name[name] for name in names[: store.page_size]
                ],
                'has_more': len(names) > store.page_size,
                'at_rev': revision,
            }
        )
        store.on_page()
        return page

    async def _watch(self, request: web.Request, kind: str) -> web.Response:
        revision = int(request.query['watch'])
        wait_seconds = int(request.query['wait_ms']) / 1000
        if revision < self.store.faults.oldest_revision:
            return web.Response(status=410)
        events = await self.store.wait_for_events(kind, revision, wait_seconds)
        if self.store.faults.status:
            return web.Response(status=self.store.faults.status)
        if revision > self.store.revision:
            return web.Response(status=410)
        return self._encode({'events': events, 'at_rev': self.store.revision})

    def _encode(self, fields: dict[str, Any]) -> web.Response:
        body = json.dumps(fields).encode()
        for text, raw_bytes in self.store.raw_texts.items():
            body = body.replace(json.dumps(text).encode(), raw_bytes)
        return web.Response(body=body, content_type='application/json')

    async def _read(self, request: web.Request) -> web.Response:
        return self._respond(self._find(request))

    async def _create(self, request: web.Request) -> web.Response:
        kind = request.match_info['kind']
        requested = await request.json()
        name = requested['meta']['name']
        current = self.store.objects_by_kind.get(kind, {}).get(name)
        if current is not None:
            return web.json_response(current, status=409)
        return self._respond(self.store.put(kind, name, requested['spec']))

    async def _replace(self, request: web.Request) -> web.Response:
        requested = await request.json()
        current = self._find(request)
        if current is None:
            return web.Response(status=404)
        expected_revision = requested['meta'].get('rev', current['meta']['rev'])
        if expected_revision != current['meta']['rev']:
            return web.json_response(current, status=409)
        name = request.match_info['name']
        kind = request.match_info['kind']
        # A write of the status leaves the spec, and one of the spec no status.
        written = {'spec': current['spec'], **requested}
        written.pop('meta')
        return self._respond(self.store.put(kind, name, **written))

    async def _delete(self, request: web.Request) -> web.Response:
        if self._find(request) is None:
            return web.Response(status=404)
        name = request.match_info['name']
        return self._respond(
            self.store.remove(request.match_info['kind'], name)
        )

    async def _control(self, request: web.Request) -> web.Response:
        command = await request.json()
        for kind, name, spec in command.get('put', ()):
            self.store.put(kind, name, spec)
        for kind, name in command.get('remove', ()):
            self.store.remove(kind, name)
        for age_seconds in command.get('restore', ()):
            self.store.restore(age_seconds)
        self.store.faults = attrs.evolve(
            self.store.faults, **command.get('faults', {})
        )
        return web.json_response({'revision': self.store.revision})

    def _find(self, request: web.Request) -> dict[str, Any] | None:
        objects_by_name = self.store.objects_by_kind.get(
            request.match_info['kind'], {}
        )
        return objects_by_name.get(request.match_info['name'])

    def _respond(self, stored: dict[str, Any] | None) -> web.Response:
        if stored is None:
            return web.Response(status=404)
        return web.json_response(stored)


async def _serve(port: int) -> None:
    server = StoreServer()
    line = json.dumps({'address': await server.start(port)})
    print(line, flush=True)  # noqa: WPS421 - the parent reads this line
    await asyncio.Event().wait()


def main() -> None:
    """Serve until the process is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=0)
    asyncio.run(_serve(parser.parse_args().port))


if __name__ == '__main__':
    main()
