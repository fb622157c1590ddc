"""Serve the native API, this project's own HTTP API for callers.

This module translates between HTTP and queries; the front routes and executes
the queries.
"""

import json
import secrets
from collections.abc import Callable, Mapping
from http import HTTPStatus

import attrs
from aiohttp import web
from aiohttp.typedefs import Handler

from dragonflyramp.callers._answers import Answer, MergedAnswer, Refusal
from dragonflyramp.callers._caller_limits import native_limits
from dragonflyramp.callers._claims import Claims, KeyedRequest, KeyedResult
from dragonflyramp.callers._connection_guards import ConnectionGuard
from dragonflyramp.callers._fronts import Front, find_match
from dragonflyramp.callers._guarded_servers_http import (
    GuardedAppRunner,
    check_connections,
)
from dragonflyramp.callers._merging import split_records
from dragonflyramp.callers._queries import Query
from dragonflyramp.callers._request_logs import refuse_unmatched
from dragonflyramp.machine_settings import VmLimits
from dragonflyramp.messages import Headers, Request
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode
from dragonflyramp.routes import RequestLimits
from dragonflyramp.runtime import TaskSet

#: Maximum length of a request id and of an idempotency key.
_MAX_ID_CHARACTERS = 200
_MAX_BODY_BYTES = 1024 * 1024
#: Nine digits of milliseconds are over eleven days, far more than the timeout
#: of any service.
_MAX_DEADLINE_DIGITS = 9
_GENERATED_ID_BYTES = 16
_JSON_CONTENT_TYPE = 'application/json'

_DEADLINE_HEADER = 'X-Deadline-Ms'
#: Header of requests to backend servers. Callers of the frontend have it, too.
_BACKEND_ID_HEADER = 'Request-Id'

#: Returns the name of the route for a service.
RouteNamer = Callable[[str], str]
#: Returns the API key in the headers of a caller, '' without one.
ApiKeyParser = Callable[[Headers], str]


def _ignore_keys(headers: Headers) -> str:
    """Return no key, for deployments without tenants."""
    return ''


@attrs.frozen(kw_only=True)
class NativeApi:
    """Handle the requests of the native API."""

    front: Front
    claims: Claims
    #: Returns the monotonic time in seconds.
    clock: Callable[[], float]
    name_search_route: RouteNamer
    name_submit_route: RouteNamer
    parse_api_key: ApiKeyParser = _ignore_keys

    def create_application(self) -> web.Application:
        """Create the application.

        Its runner must enable handler cancellation, so that a query ends
        when its caller disconnects.
        """
        application = web.Application(
            client_max_size=_MAX_BODY_BYTES, middlewares=[_refuse_misdirected]
        )
        application.add_routes(
            [
                web.post('/search/{service}', self.search),
                web.post('/submit/{service}', self.submit),
            ]
        )
        return application

    async def search(self, request: web.Request) -> web.Response:
        """Handle a search over all shards of a service."""
        query = await self._read_query(
            request, '/search', self.name_search_route
        )
        if isinstance(query, ResultCode):
            return _refusal_response(query, '')
        answer = await self.front.serve(query)
        if isinstance(answer, MergedAnswer):
            return web.json_response(_search_body(query, answer))
        return _refusal_response(
            _refusal_code(answer), query.request.request_id
        )

    async def submit(self, request: web.Request) -> web.Response:
        """Handle a non-idempotent request, run at most once for each key."""
        query = await self._read_query(
            request, '/submit', self.name_submit_route
        )
        if isinstance(query, ResultCode):
            return _refusal_response(query, '')
        key = request.headers.get('Idempotency-Key', '')
        request_id = query.request.request_id
        if not _is_valid_id(key):
            return _refusal_response(
                ResultCode.missing_idempotency_key, request_id
            )
        # An outcome is not replayed to a caller that another tenant's key or
        # none identifies.
        match = find_match(self.front, query)
        if isinstance(match, ResultCode) and _needs_known_tenant(match, query):
            refusal = refuse_unmatched(query, match)
            return _refusal_response(refusal.code, request_id)
        keyed_request = KeyedRequest(
            service=request.match_info['service'],
            key=key,
            body=query.request.body,
            tenant_name=''
            if isinstance(match, ResultCode)
            else match.tenant_name,
        )
        keyed_result = await self.claims.run(
            keyed_request, lambda: self.front.serve(query)
        )
        return _submit_response(keyed_result, request_id)

    async def _read_query(
        self, request: web.Request, path: str, name_route: RouteNamer
    ) -> Query | ResultCode:
        received_at_seconds = self.clock()
        deadline_text = request.headers.get(_DEADLINE_HEADER, '')
        is_number = deadline_text.isascii() and deadline_text.isdecimal()
        if not is_number or len(deadline_text) > _MAX_DEADLINE_DIGITS:
            return ResultCode.bad_deadline
        body = await request.read()
        if not _is_valid_json(body):
            return ResultCode.bad_request
        caller_request_id = request.headers.get('X-Request-Id', '')
        request_id = (
            caller_request_id
            if _is_valid_id(caller_request_id)
            else secrets.token_hex(_GENERATED_ID_BYTES)
        )
        return Query(
            request=_backend_request(path, request_id, body),
            host='',
            path=path,
            deadline_ms=int(deadline_text),
            received_at_seconds=received_at_seconds,
            route_name=name_route(request.match_info['service']),
            api_key=self.parse_api_key(_decode_headers(request)),
        )


@attrs.define(eq=False)
class NativeApiServer:
    """Serve the native API over HTTP."""

    _api: NativeApi
    _vm_limits: VmLimits = VmLimits()
    _tasks: TaskSet = attrs.field(factory=TaskSet)
    _runner: web.AppRunner | None = None

    async def start(self, address: str) -> str:
        """Listen at `IP:port` and return the bound address.

        Raise OSError if the address cannot be bound.
        """
        guard = ConnectionGuard(
            'native', native_limits(self._vm_limits), self._request_limits
        )
        self._tasks.start(check_connections(guard), 'connection_checks')
        self._runner = GuardedAppRunner(
            self._api.create_application(),
            guard,
            handler_cancellation=True,
            access_log=None,
        )
        await self._runner.setup()
        host, _, port = address.rpartition(':')
        await web.TCPSite(self._runner, host, int(port)).start()
        bound_host, bound_port = self._runner.addresses[0][:2]
        return f'{bound_host}:{bound_port}'

    async def run(self) -> None:
        """Write claims again after each restore of the store."""
        await self._api.claims.rewriter.run()

    async def stop(self) -> None:
        """Close the port and the open connections."""
        await self._tasks.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def _request_limits(self) -> RequestLimits:
        table = self._api.front.current_table()
        return RequestLimits() if table is None else table.request_limits


@web.middleware
async def _refuse_misdirected(
    request: web.Request,
    handler: Handler,  # noqa: WPS110 - as in aiohttp
) -> web.StreamResponse:
    """Tell a caller of a former frontend that its request has not run."""
    is_misdirected = (
        _BACKEND_ID_HEADER in request.headers
        and _DEADLINE_HEADER not in request.headers
    )
    if is_misdirected:
        counters.add('misdirected_requests', 'native')
        return web.Response(status=HTTPStatus.MISDIRECTED_REQUEST)
    return await handler(request)


def _needs_known_tenant(code: ResultCode, query: Query) -> bool:
    """Return whether a query without a match may not reach the claims."""
    return bool(query.api_key) or code is ResultCode.unauthorized


def _decode_headers(request: web.Request) -> Headers:
    return tuple(
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in request.raw_headers
    )


def _backend_request(path: str, request_id: str, body: bytes) -> Request:
    headers = (
        ('Host', 'dragonflyramp'),
        (_BACKEND_ID_HEADER, request_id),
        ('Content-Type', _JSON_CONTENT_TYPE),
    )
    return Request(
        request_id=request_id,
        method='POST',
        path_and_query=path,
        headers=headers,
        body=body,
        has_body=True,
    )


def _search_body(query: Query, answer: MergedAnswer) -> Mapping[str, object]:
    merged = len(answer.stamps)
    return {
        'request_id': query.request.request_id,
        'snapshot': answer.version,
        'hits': [record.hex() for record in split_records(answer.body)],
        'coverage': {
            'merged': merged,
            'total': answer.shard_count,
            'fraction': merged / answer.shard_count,
        },
    }


def _submit_response(
    keyed_result: KeyedResult, request_id: str
) -> web.Response:
    if keyed_result.code in {ResultCode.ok, ResultCode.outcome_replayed}:
        return web.json_response(
            {
                'request_id': request_id,
                'replayed': keyed_result.code is ResultCode.outcome_replayed,
                'outcome': keyed_result.outcome,
            }
        )
    return _refusal_response(keyed_result.code, request_id)


def _refusal_response(code: ResultCode, request_id: str) -> web.Response:
    meaning = code.meaning
    return web.json_response(
        {
            'code': code.value,
            'name': code.name,
            'sentence': meaning.sentence,
            'run': meaning.run_state.value,
            'request_id': request_id,
        },
        status=meaning.http_status,
    )


def _refusal_code(answer: Answer) -> ResultCode:
    """Return the result code for an answer without search results.

    A code that means "not run" is replaced by `backend_error` if the request
    may have run.
    """
    if not isinstance(answer, Refusal):
        return ResultCode.backend_error
    is_not_run_code = answer.code.meaning.run_state.value == 'not run'
    if answer.may_have_run and is_not_run_code:
        return ResultCode.backend_error
    return answer.code


def _is_valid_json(body: bytes) -> bool:
    try:
        json.loads(body)
    except ValueError:
        return False
    return True


def _is_valid_id(text: str) -> bool:
    is_visible = text.isascii() and text.isprintable()
    return is_visible and 0 < len(text) <= _MAX_ID_CHARACTERS
