"""Speak the protocol of the backend servers, over HTTP."""

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

    def is_open(self) -> bool:
        """Tell whether a status opened a connection that is not lost."""
        return self._session is not None

    async def status(self) -> Result[Status, StatusFailure]:
        """Read the status, on a new connection when none is open."""
        if self._session is None:
            idle_seconds = self._settings.connection_idle_seconds
            self._session = new_session(self._root, idle_seconds)
        request = WireRequest(method='GET', path='/status', may_open=True)
        max_bytes = self._settings.max_reply_bytes
        try:
            raw = await exchange(self._session, request, max_bytes)
        except FAILURES as error:
            return Failure(_status_failure(error))
        if raw.status != HTTPStatus.OK:
            return Failure(StatusFailure.bad_reply)
        return decode_status(raw.body).alt(
            lambda malformed: StatusFailure.bad_reply
        )

    async def search(self, call: SearchCall) -> Reply:
        """Search on the open connection; unsent when it was lost."""
        headers = {
            'X-Snapshot-Id': call.snapshot_id,
            'X-Deadline-Ms': str(call.deadline_ms),
            'X-Attempt-Id': call.attempt_id,
            'X-Request-Id': call.request_id,
        }
        raw = await self._post('/search', headers, call.body)
        return raw if isinstance(raw, Reply) else _search_reply(raw)

    async def submit(self, call: SubmitCall) -> Reply:
        """Submit on the open connection; unsent when it was lost."""
        headers = {
            'Idempotency-Key': call.idempotency_key,
            'X-Deadline-Ms': str(call.deadline_ms),
            'X-Attempt-Id': call.attempt_id,
            'X-Request-Id': call.request_id,
        }
        raw = await self._post('/submit', headers, call.body)
        return raw if isinstance(raw, Reply) else _submit_reply(raw)

    async def close(self) -> None:
        """Close the connection; the next status opens another one."""
        session = self._session
        self._session = None
        if session is not None:
            await session.close()

    async def _post(
        self, path: str, headers: Mapping[str, str], body: bytes
    ) -> WireReply | Reply:
        if self._session is None:
            return Reply(code=ResultCode.connection_reset, sent=False)
        request = WireRequest(
            method='POST',
            path=path,
            headers={**headers, 'Content-Type': 'application/json'},
            body=body,
            may_open=False,
        )
        max_bytes = self._settings.max_reply_bytes
        try:
            return await exchange(self._session, request, max_bytes)
        except FAILURES as error:
            return Reply(code=_failure_code(error), sent=request.sent)


def http_client_factory(settings: BackendSettings) -> ClientFactory:
    """Make clients with the idle time and reply limit of the settings."""
    return lambda address: HttpBackendClient(address, settings)


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
