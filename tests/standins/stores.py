"""Stand in for the platform's metadata store over HTTP, with faults.

Run `python -m tests.standins.stores --port 0`; it prints one JSON line with
its address.
"""

import argparse
import asyncio
import contextlib
import json
from typing import Any

import attrs
from aiohttp import web

from tests.standins.resets import reset

_PAGE = 500


@attrs.define(kw_only=True)
class StoreFaults:
    """Hold the switchable faults."""

    #: Every call fails with this status; 0 stands for none.
    status: int = 0
    #: Calls are accepted and never answered.
    is_silent: bool = False
    #: Calls are reset.
    resets: bool = False
    #: The next writes take effect and are not answered.
    lost_replies: int = 0
    #: Watches from before this revision are answered with 410.
    history_from: int = 0


@attrs.define(eq=False)
class Store:
    """Hold all objects by kind and name, and their changes in order."""

    revision: int = 100
    kinds: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    faults: StoreFaults = attrs.field(factory=StoreFaults)
    calls: list[str] = attrs.field(factory=list)
    _events: list[tuple[int, str, Any]] = attrs.field(factory=list)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object as the operator or a replica does."""
        self.revision += 1
        meta = {'name': name, 'rev': self.revision, 'created_rev': 1}
        stored: dict[str, Any] = {'meta': meta, 'spec': spec}
        self.kinds.setdefault(kind, {})[name] = stored
        self._note(kind, {'tombstone': False, 'object': stored})
        return stored

    def remove(self, kind: str, name: str) -> dict[str, Any]:
        """Remove an object."""
        self.revision += 1
        stored: dict[str, Any] = self.kinds[kind].pop(name)
        self._note(kind, {'tombstone': True, 'object': stored})
        return stored

    def cut_watches(self) -> None:
        """Wake all watches without a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def events(
        self, kind: str, revision: int, wait_seconds: float
    ) -> list[dict[str, Any]]:
        """Wait for the events after a revision."""
        loop = asyncio.get_running_loop()
        until_seconds = loop.time() + wait_seconds
        found = self._after(kind, revision)
        while not found and loop.time() < until_seconds:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(until_seconds):
                    await self._changed.wait()
            found = self._after(kind, revision)
        return found

    def _after(self, kind: str, revision: int) -> list[dict[str, Any]]:
        return [
            event
            for at_revision, of_kind, event in self._events
            if at_revision > revision and of_kind == kind
        ]

    def _note(self, kind: str, event: dict[str, Any]) -> None:
        self._events.append((self.revision, kind, event))
        self.cut_watches()


class StoreServer:
    """Serve a store on a loopback port."""

    def __init__(self, store: Store | None = None) -> None:
        """Serve the given store or an empty one."""
        self.store = store or Store()
        self.address = ''
        self._runner: web.AppRunner | None = None

    async def start(self, port: int = 0) -> str:
        """Listen and return `IP:port`; port 0 lets the kernel choose."""
        app = web.Application(middlewares=[self._break])
        base = '/api/objects/{kind}'
        app.add_routes(
            [
                web.get(base, self._list),
                web.post(base, self._create),
                web.get(f'{base}/{{name}}', self._read),
                web.put(f'{base}/{{name}}', self._replace),
                web.delete(f'{base}/{{name}}', self._delete),
                web.post('/control', self._control),
            ]
        )
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, '127.0.0.1', port).start()
        host, chosen = self._runner.addresses[0][:2]
        self.address = f'{host}:{chosen}'
        return self.address

    async def stop(self) -> None:
        """Close the port and every connection."""
        if self._runner:
            await self._runner.cleanup()

    @web.middleware
    async def _break(
        self,
        request: web.Request,
        handler: Any,  # noqa: WPS110 - aiohttp passes it by this name
    ) -> web.StreamResponse:
        faults = self.store.faults
        if request.path == '/control':
            return await handler(request)  # type: ignore[no-any-return]
        self.store.calls.append(f'{request.method} {request.path_qs}')
        if faults.is_silent:
            await asyncio.Event().wait()
        if faults.resets:
            reset(request)
        if faults.status:
            return web.Response(status=faults.status)
        reply: web.StreamResponse = await handler(request)
        if request.method != 'GET' and faults.lost_replies:
            faults.lost_replies -= 1
            reset(request)
        return reply

    async def _list(self, request: web.Request) -> web.Response:
        kind = request.match_info['kind']
        if 'watch' in request.query:
            return await self._watch(request, kind)
        stored = self.store.kinds.get(kind, {})
        names = sorted(
            name for name in stored if name > request.query.get('after', '')
        )
        return web.json_response(
            {
                'items': [stored[name] for name in names[:_PAGE]],
                'has_more': len(names) > _PAGE,
                'at_rev': self.store.revision,
            }
        )

    async def _watch(self, request: web.Request, kind: str) -> web.Response:
        revision = int(request.query['watch'])
        wait_seconds = int(request.query['wait_ms']) / 1000
        if revision < self.store.faults.history_from:
            return web.Response(status=410)
        events = await self.store.events(kind, revision, wait_seconds)
        if self.store.faults.status:
            return web.Response(status=self.store.faults.status)
        return web.json_response(
            {'events': events, 'at_rev': self.store.revision}
        )

    async def _read(self, request: web.Request) -> web.Response:
        return self._answer(self._find(request))

    async def _create(self, request: web.Request) -> web.Response:
        kind = request.match_info['kind']
        sent = await request.json()
        name = sent['meta']['name']
        present = self.store.kinds.get(kind, {}).get(name)
        if present is not None:
            return web.json_response(present, status=409)
        return self._answer(self.store.put(kind, name, sent['spec']))

    async def _replace(self, request: web.Request) -> web.Response:
        sent = await request.json()
        present = self._find(request)
        if present is None:
            return web.Response(status=404)
        wanted = sent['meta'].get('rev', present['meta']['rev'])
        if wanted != present['meta']['rev']:
            return web.json_response(present, status=409)
        name = request.match_info['name']
        kind = request.match_info['kind']
        return self._answer(self.store.put(kind, name, sent['spec']))

    async def _delete(self, request: web.Request) -> web.Response:
        if self._find(request) is None:
            return web.Response(status=404)
        name = request.match_info['name']
        return self._answer(self.store.remove(request.match_info['kind'], name))

    async def _control(self, request: web.Request) -> web.Response:
        order = await request.json()
        for kind, name, spec in order.get('put', ()):
            self.store.put(kind, name, spec)
        for kind, name in order.get('remove', ()):
            self.store.remove(kind, name)
        self.store.faults = attrs.evolve(
            self.store.faults, **order.get('faults', {})
        )
        return web.json_response({'revision': self.store.revision})

    def _find(self, request: web.Request) -> dict[str, Any] | None:
        stored = self.store.kinds.get(request.match_info['kind'], {})
        return stored.get(request.match_info['name'])

    def _answer(self, stored: dict[str, Any] | None) -> web.Response:
        if stored is None:
            return web.Response(status=404)
        return web.json_response(stored)


async def _serve(port: int) -> None:
    server = StoreServer()
    line = json.dumps({'address': await server.start(port)})
    print(line, flush=True)  # noqa: WPS421 - the parent reads this line
    await asyncio.Event().wait()


def main() -> None:
    """Serve until the process is stopped."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=0)
    asyncio.run(_serve(parser.parse_args().port))


if __name__ == '__main__':
    main()
