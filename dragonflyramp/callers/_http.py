"""Serve the product's own interface over HTTP; decisions are the front's."""

import json
import secrets
from collections.abc import Callable, Mapping

import attrs
from aiohttp import web

from dragonflyramp.callers._claims import Claimed, Claims, KeyedRequest
from dragonflyramp.callers._fronts import Front
from dragonflyramp.callers._merging import cut_records
from dragonflyramp.callers._queries import Answer, Gathered, Query, Refusal
from dragonflyramp.messages import Request
from dragonflyramp.results import ResultCode

_MAX_ID_LENGTH = 200
_MAX_BODY_BYTES = 1024 * 1024
#: More digits are no deadline; the service's own bound is far below.
_MAX_DEADLINE_DIGITS = 9
_REQUEST_ID_BYTES = 16
_JSON = 'application/json'

#: Names the route of a service.
NameRoute = Callable[[str], str]


@attrs.frozen(kw_only=True)
class OwnInterface:
    """Hold what the interface needs."""

    front: Front
    claims: Claims
    clock: Callable[[], float]
    search_route: NameRoute
    submit_route: NameRoute

    def application(self) -> web.Application:
        """Create the application; it needs handler cancellation."""
        application = web.Application(client_max_size=_MAX_BODY_BYTES)
        application.add_routes(
            [
                web.post('/search/{service}', self.search),
                web.post('/submit/{service}', self.submit),
            ]
        )
        return application

    async def search(self, request: web.Request) -> web.Response:
        """Search all shards of a service."""
        query = await self._query(request, '/search', self.search_route)
        if isinstance(query, ResultCode):
            return _refused(query, '')
        answer = await self.front.serve(query)
        if isinstance(answer, Gathered):
            return web.json_response(_found(query, answer))
        return _refused(_code(answer), query.request.request_id)

    async def submit(self, request: web.Request) -> web.Response:
        """Run a request that must not be repeated, once for each key."""
        query = await self._query(request, '/submit', self.submit_route)
        if isinstance(query, ResultCode):
            return _refused(query, '')
        key = request.headers.get('Idempotency-Key', '')
        request_id = query.request.request_id
        if not _is_id(key):
            return _refused(ResultCode.missing_idempotency_key, request_id)
        keyed = KeyedRequest(
            service=request.match_info['service'],
            key=key,
            body=query.request.body,
        )
        claimed = await self.claims.run(keyed, lambda: self.front.serve(query))
        return _submitted(claimed, request_id)

    async def _query(
        self, request: web.Request, path: str, name_route: NameRoute
    ) -> Query | ResultCode:
        received_seconds = self.clock()
        digits = request.headers.get('X-Deadline-Ms', '')
        is_number = digits.isascii() and digits.isdecimal()
        if not is_number or len(digits) > _MAX_DEADLINE_DIGITS:
            return ResultCode.bad_deadline
        body = await request.read()
        if not _is_json(body):
            return ResultCode.bad_request
        given = request.headers.get('X-Request-Id', '')
        request_id = (
            given if _is_id(given) else secrets.token_hex(_REQUEST_ID_BYTES)
        )
        return Query(
            request=_request(path, request_id, body),
            host='',
            path=path,
            deadline_ms=int(digits),
            received_seconds=received_seconds,
            route_name=name_route(request.match_info['service']),
        )


@attrs.define(eq=False)
class OwnServer:
    """Listen for callers of the own interface."""

    _interface: OwnInterface
    _runner: web.AppRunner | None = None

    async def start(self, address: str) -> str:
        """Listen and return the address; raise OSError when it is taken."""
        self._runner = web.AppRunner(
            self._interface.application(),
            handler_cancellation=True,
            access_log=None,
        )
        await self._runner.setup()
        host, _, port = address.rpartition(':')
        await web.TCPSite(self._runner, host, int(port)).start()
        bound_host, bound_port = self._runner.addresses[0][:2]
        return f'{bound_host}:{bound_port}'

    async def stop(self) -> None:
        """Close the port."""
        if self._runner is not None:
            await self._runner.cleanup()


def _request(path: str, request_id: str, body: bytes) -> Request:
    headers = (
        ('Host', 'dragonflyramp'),
        ('Request-Id', request_id),
        ('Content-Type', _JSON),
    )
    return Request(
        request_id=request_id,
        method='POST',
        path_and_query=path,
        headers=headers,
        body=body,
        has_body=True,
    )


def _found(query: Query, answer: Gathered) -> Mapping[str, object]:
    merged = len(answer.stamps)
    return {
        'request_id': query.request.request_id,
        'snapshot': answer.version,
        'hits': [record.hex() for record in cut_records(answer.body)],
        'coverage': {
            'merged': merged,
            'total': answer.total,
            'fraction': merged / answer.total,
        },
    }


def _submitted(claimed: Claimed, request_id: str) -> web.Response:
    if claimed.code in {ResultCode.ok, ResultCode.outcome_replayed}:
        return web.json_response(
            {
                'request_id': request_id,
                'replayed': claimed.code is ResultCode.outcome_replayed,
                'outcome': claimed.outcome,
            }
        )
    return _refused(claimed.code, request_id)


def _refused(code: ResultCode, request_id: str) -> web.Response:
    meaning = code.meaning
    return web.json_response(
        {
            'code': code.value,
            'name': code.name,
            'sentence': meaning.sentence,
            'run': meaning.run.value,
            'request_id': request_id,
        },
        status=meaning.http_status,
    )


def _code(answer: Answer) -> ResultCode:
    """Name a failure; one that may have run must not be called not run."""
    if not isinstance(answer, Refusal):
        return ResultCode.backend_error
    is_said_not_run = answer.code.meaning.run.value == 'not run'
    if answer.may_have_run and is_said_not_run:
        return ResultCode.backend_error
    return answer.code


def _is_json(body: bytes) -> bool:
    try:
        json.loads(body)
    except ValueError:
        return False
    return True


def _is_id(text: str) -> bool:
    return 0 < len(text) <= _MAX_ID_LENGTH and text.isprintable()
