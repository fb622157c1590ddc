"""Define the numbered result codes and their meanings."""

import enum
import types
from http import HTTPStatus

import attrs


class RunState(enum.Enum):
    """Whether a backend server ran the request."""

    run = 'run'
    not_run = 'not run'
    unknown = 'unknown'


@attrs.frozen
class CodeMeaning:
    """HTTP status, run state and sentence of a result code."""

    http_status: HTTPStatus
    run_state: RunState
    sentence: str


class ResultCode(enum.IntEnum):
    """Result codes; a number is never reused for another meaning.

    Missing numbers belonged to features that were removed.
    """

    ok = 0
    outcome_replayed = 1

    bad_request = 100
    unknown_service = 101
    bad_deadline = 102
    body_too_large = 103
    missing_idempotency_key = 104
    key_reused = 106
    unauthorized = 107

    no_configuration = 201
    no_replica = 205
    queue_full = 206
    shed = 208
    claim_failed = 212
    crash_suspect = 220
    stopping = 221
    quota_exceeded = 222
    not_admitted = 223
    keys_unverified = 224

    deadline_exceeded = 300
    connection_reset = 302
    backend_error = 304
    bad_reply = 305
    outcome_unknown = 307
    already_claimed = 308
    cancelled = 309
    stopped = 310

    text_syntax = 400
    unknown_key = 401
    missing_key = 402
    bad_value = 403
    unknown_name = 404
    dependency_cycle = 405
    slots_over_connections = 406
    hold_leaves_shard_dark = 407
    stale_base = 408
    hold_protected = 409
    push_unknown = 410
    text_too_large = 411

    platform_down = 500
    version_conflict = 501
    object_missing = 502
    bad_message = 503
    internal_error = 504
    bad_setting = 505
    daemon_unreachable = 506
    history_gone = 510

    @property
    def meaning(self) -> CodeMeaning:
        """Return the HTTP status, run state and sentence of the code."""
        return _MEANINGS[self]


def _not_run(http_status: HTTPStatus, sentence: str) -> CodeMeaning:
    return CodeMeaning(http_status, RunState.not_run, sentence)


def _run_unknown(http_status: HTTPStatus, sentence: str) -> CodeMeaning:
    return CodeMeaning(http_status, RunState.unknown, sentence)


_MEANINGS = types.MappingProxyType(
    {
        ResultCode.ok: CodeMeaning(
            HTTPStatus.OK, RunState.run, 'The request was run.'
        ),
        ResultCode.outcome_replayed: CodeMeaning(
            HTTPStatus.OK,
            RunState.run,
            'The recorded outcome of an earlier run follows.',
        ),
        ResultCode.bad_request: _not_run(
            HTTPStatus.BAD_REQUEST, 'The request is malformed.'
        ),
        ResultCode.unknown_service: _not_run(
            HTTPStatus.NOT_FOUND, 'The configuration has no such service.'
        ),
        ResultCode.bad_deadline: _not_run(
            HTTPStatus.BAD_REQUEST,
            'X-Deadline-Ms is missing, not a number, or out of range.',
        ),
        ResultCode.body_too_large: _not_run(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'The body is too large.'
        ),
        ResultCode.missing_idempotency_key: _not_run(
            HTTPStatus.BAD_REQUEST,
            'A submit needs an Idempotency-Key of 1 to 200 characters.',
        ),
        ResultCode.key_reused: _not_run(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            'The Idempotency-Key was used with another body.',
        ),
        ResultCode.unauthorized: _not_run(
            HTTPStatus.UNAUTHORIZED,
            'The API key is missing, or no tenant holds it.',
        ),
        ResultCode.no_configuration: _not_run(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'The daemon has no configuration yet.',
        ),
        ResultCode.no_replica: _not_run(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'No replica of the shard may be used now.',
        ),
        ResultCode.queue_full: _not_run(
            HTTPStatus.SERVICE_UNAVAILABLE, 'The queue of the shard is full.'
        ),
        ResultCode.shed: _not_run(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'The backend server shed the request.',
        ),
        ResultCode.claim_failed: _not_run(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'This request was not run, because the platform did not record the '
            'claim of its key. Send it again with the same key: an earlier '
            'request with the key may have run.',
        ),
        ResultCode.crash_suspect: _not_run(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'This request was not run, because replicas ended each time they '
            'ran it, or because another caller tries it now.',
        ),
        ResultCode.stopping: _not_run(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'The daemon stops before the deadline of the request.',
        ),
        ResultCode.quota_exceeded: _not_run(
            HTTPStatus.TOO_MANY_REQUESTS,
            'The tenant has used its quota.',
        ),
        ResultCode.not_admitted: _not_run(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'Capacity is short, and the request could not be served in time.',
        ),
        ResultCode.keys_unverified: _not_run(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'The daemon has not heard for too long whether API keys changed.',
        ),
        ResultCode.deadline_exceeded: _run_unknown(
            HTTPStatus.GATEWAY_TIMEOUT, 'No answer came before the deadline.'
        ),
        ResultCode.connection_reset: _run_unknown(
            HTTPStatus.BAD_GATEWAY,
            'The connection to the backend server was reset.',
        ),
        ResultCode.backend_error: _run_unknown(
            HTTPStatus.BAD_GATEWAY, 'The backend server answered with an error.'
        ),
        ResultCode.bad_reply: _run_unknown(
            HTTPStatus.BAD_GATEWAY,
            'The reply of the backend server is malformed, or lacks what a '
            'reply must have.',
        ),
        ResultCode.outcome_unknown: _run_unknown(
            HTTPStatus.CONFLICT,
            'The key was sent once, its outcome is unknown, not run again.',
        ),
        ResultCode.already_claimed: _run_unknown(
            HTTPStatus.CONFLICT, 'The key is being run by another request.'
        ),
        ResultCode.cancelled: _run_unknown(
            HTTPStatus.REQUEST_TIMEOUT, 'The caller went away.'
        ),
        ResultCode.stopped: _run_unknown(
            HTTPStatus.BAD_GATEWAY,
            'The daemon was stopped before it had an answer.',
        ),
        ResultCode.text_syntax: _not_run(
            HTTPStatus.BAD_REQUEST, 'The text is not valid TOML.'
        ),
        ResultCode.unknown_key: _not_run(
            HTTPStatus.BAD_REQUEST, 'The text has an unknown key.'
        ),
        ResultCode.missing_key: _not_run(
            HTTPStatus.BAD_REQUEST, 'The text lacks a required key.'
        ),
        ResultCode.bad_value: _not_run(
            HTTPStatus.BAD_REQUEST,
            'A value has the wrong type or is out of range.',
        ),
        ResultCode.unknown_name: _not_run(
            HTTPStatus.BAD_REQUEST,
            'The text names something that it does not define.',
        ),
        ResultCode.dependency_cycle: _not_run(
            HTTPStatus.BAD_REQUEST, 'A service depends on itself.'
        ),
        ResultCode.slots_over_connections: _not_run(
            HTTPStatus.BAD_REQUEST, 'A service has more slots than connections.'
        ),
        ResultCode.hold_leaves_shard_dark: _not_run(
            HTTPStatus.CONFLICT, 'The hold leaves a shard without any replica.'
        ),
        ResultCode.stale_base: _not_run(
            HTTPStatus.CONFLICT,
            'The text was edited from an older configuration.',
        ),
        ResultCode.hold_protected: _not_run(
            HTTPStatus.CONFLICT,
            'The push removes a hold without releasing it by name.',
        ),
        ResultCode.push_unknown: _run_unknown(
            HTTPStatus.GATEWAY_TIMEOUT,
            'It is unknown whether the push was accepted.',
        ),
        ResultCode.text_too_large: _not_run(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'The text is too large.'
        ),
        ResultCode.platform_down: _run_unknown(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'The platform did not answer in time.',
        ),
        ResultCode.version_conflict: _not_run(
            HTTPStatus.CONFLICT, 'The object changed since it was read.'
        ),
        ResultCode.object_missing: _not_run(
            HTTPStatus.NOT_FOUND, 'The object does not exist.'
        ),
        ResultCode.bad_message: _not_run(
            HTTPStatus.BAD_REQUEST, 'A message is malformed.'
        ),
        ResultCode.internal_error: _run_unknown(
            HTTPStatus.INTERNAL_SERVER_ERROR, 'An unexpected error occurred.'
        ),
        ResultCode.bad_setting: _not_run(
            HTTPStatus.BAD_REQUEST, 'A setting is malformed or out of range.'
        ),
        ResultCode.daemon_unreachable: _run_unknown(
            HTTPStatus.GATEWAY_TIMEOUT, 'The daemon did not answer in time.'
        ),
        ResultCode.history_gone: _not_run(
            HTTPStatus.GONE, 'The platform forgot the history that was asked.'
        ),
    }
)


def render_table() -> str:
    """Return the Markdown text of docs/result-codes.md."""
    rows = [_render_row(code) for code in ResultCode]
    return '\n'.join((_TABLE_HEAD, *rows, ''))


def _render_row(code: ResultCode) -> str:
    meaning = code.meaning
    cells = (
        str(code.value),
        f'`{code.name}`',
        str(meaning.http_status.value),
        meaning.run_state.value,
        meaning.sentence,
    )
    row = ' | '.join(cells)
    return f'| {row} |'


_TABLE_HEAD = """# Result codes

Every refusal and failure carries one of these numbers. Numbers are never
reused. The column "run" states whether a backend server ran the request:
"not run" means that nothing was sent, or that the backend server itself
reported that it did not start the request. Print this page with
`python -m dragonflyramp.results`.

| number | name | HTTP status | run | meaning |
|---|---|---|---|---|"""


if __name__ == '__main__':
    print(render_table(), end='')  # noqa: WPS421 - prints the page
