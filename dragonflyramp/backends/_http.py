"""Speak the protocol of the backend servers, over HTTP."""

import asyncio
from collections.abc import Mapping
from http import HTTPStatus

import aiohttp
import attrs
from returns.pipeline import is_successful
from returns.result import Failure, Result

from dragonflyramp.backends._clients import (
    ClientFactory,
    Reply,
    SearchCall,
    Status,
    StatusFailure,
    SubmitCall,
)
from dragonflyramp.backends._decoding import (
    decode_load,
    decode_search,
    decode_status,
    decode_submit,
)
from dragonflyramp.backends._settings import BackendSettings
from dragonflyramp.backends._wire_http import (
    FAILURES,
    TooLargeError,
    WireReply,
    WireRequest,
    end_exchange,
    exchange,
    new_session,
)
from dragonflyramp.results import ResultCode

_MAX_ID_CHARACTERS = 200
_REASON_CODES = (
    (HTTPStatus.NOT_FOUND, 'snapshot-unavailable', ResultCode.snapshot_gone),
    (HTTPStatus.SERVICE_UNAVAILABLE, 'shed', ResultCode.shed),
    (HTTPStatus.SERVICE_UNAVAILABLE, 'draining', ResultCode.draining),
)


class HttpBackendClient:
    """Implement BackendClient with a session of one connection."""

    def __init__(self, address: str, settings: BackendSettings) -> None:
        """Open nothing yet."""
        self._root = f'http://{address}'
        self._settings = settings
        self._session: aiohttp.ClientSession | None = None
        self._ending: set[asyncio.Task[None]] = set()

    def is_open(self) -> bool:
        """Tell whether a status opened a connection that is not lost."""
        return self._session is not None

    async def status(self) -> Result[Status, StatusFailure]:
        """Read the status, on a new connection when none is open."""
        try:
            raw = await self._get_status()
        except FAILURES as error:
            return Failure(_status_failure(error))
        if raw.status != HTTPStatus.OK:
            return Failure(StatusFailure.bad_reply)
        return decode_status(raw.body).alt(
            lambda malformed: StatusFailure.bad_reply
        )

    async def search(self, call: SearchCall) -> Reply:
        """Search on the open connection; unsent when it was lost."""
        headers = {**_headers(call), 'X-Snapshot-Id': call.snapshot_id}
        request = _post_request('/search', headers, call)
        max_bytes = self._settings.max_reply_bytes
        raw = await _post(self._session, request, max_bytes)
        return raw if isinstance(raw, Reply) else _search_reply(raw)

    async def submit(self, call: SubmitCall) -> Reply:
        """Submit on the open connection; unsent when it was lost."""
        headers = {**_headers(call), 'Idempotency-Key': call.idempotency_key}
        request = _post_request('/submit', headers, call)
        max_bytes = self._settings.max_reply_bytes
        raw = await _post(self._session, request, max_bytes)
        return raw if isinstance(raw, Reply) else _submit_reply(raw)

    async def close(self) -> None:
        """Close the connection; the next status opens another one."""
        session = self._session
        self._session = None
        if session is not None:
            await session.close()

    async def _get_status(self) -> WireReply:
        session = self._session
        if session is None:
            idle_seconds = self._settings.connection_idle_seconds
            session = new_session(self._root, idle_seconds)
            self._session = session
        request = WireRequest(method='GET', path='/status', may_open=True)
        task = asyncio.create_task(
            exchange(session, request, self._settings.max_reply_bytes)
        )
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            self._session = None
            ending = asyncio.create_task(end_exchange(session, request, task))
            self._ending.add(ending)
            ending.add_done_callback(self._ending.discard)
            raise


def http_client_factory(settings: BackendSettings) -> ClientFactory:
    """Make clients with the idle time and reply limit of the settings."""
    return lambda address: HttpBackendClient(address, settings)


def _headers(call: SearchCall | SubmitCall) -> dict[str, str]:
    return {
        'Content-Type': 'application/json',
        'X-Deadline-Ms': str(call.deadline_ms),
        'X-Attempt-Id': call.attempt_id,
        'X-Request-Id': call.request_id,
    }


def _post_request(
    path: str, headers: Mapping[str, str], call: SearchCall | SubmitCall
) -> WireRequest:
    return WireRequest(
        method='POST',
        path=path,
        headers=headers,
        body=call.body,
        may_open=False,
        is_allowed=call.is_allowed,
    )


async def _post(
    session: aiohttp.ClientSession | None, request: WireRequest, max_bytes: int
) -> WireReply | Reply:
    if session is None:
        return Reply(code=ResultCode.connection_reset, sent=False)
    try:
        return await exchange(session, request, max_bytes)
    except FAILURES as error:
        return Reply(code=_failure_code(error), sent=request.sent)


def _status_failure(error: Exception) -> StatusFailure:
    if isinstance(error, aiohttp.ClientConnectorError):
        if isinstance(error.os_error, ConnectionRefusedError):
            return StatusFailure.refused
    if isinstance(error, (TooLargeError, aiohttp.ClientResponseError)):
        return StatusFailure.bad_reply
    return StatusFailure.lost


def _failure_code(error: Exception) -> ResultCode:
    if isinstance(error, (TooLargeError, aiohttp.ClientResponseError)):
        return ResultCode.bad_reply
    return ResultCode.connection_reset


def _search_reply(raw: WireReply) -> Reply:
    if raw.status != HTTPStatus.OK:
        return _reply(raw, _refusal_code(raw))
    decoded = decode_search(raw.body).value_or(None)
    if decoded is None:
        return _reply(raw, ResultCode.bad_reply)
    return attrs.evolve(
        _reply(raw, ResultCode.ok),
        snapshot_id=decoded.snapshot_id,
        documents=decoded.documents,
        body=raw.body,
    )


def _submit_reply(raw: WireReply) -> Reply:
    if raw.status != HTTPStatus.OK:
        return _reply(raw, _refusal_code(raw))
    if not is_successful(decode_submit(raw.body)):
        return _reply(raw, ResultCode.bad_reply)
    return attrs.evolve(_reply(raw, ResultCode.ok), body=raw.body)


def _reply(raw: WireReply, code: ResultCode) -> Reply:
    return Reply(
        code=code,
        instance_id=raw.headers.get('X-Instance-Id', '')[:_MAX_ID_CHARACTERS],
        load=decode_load(raw.headers.get('X-Load')),
    )


def _refusal_code(raw: WireReply) -> ResultCode:
    reason = raw.headers.get('X-Reason')
    for status, known_reason, code in _REASON_CODES:
        if (raw.status, reason) == (status, known_reason):
            return code
    return ResultCode.backend_error
