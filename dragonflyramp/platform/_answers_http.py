"""Encode the answers to callers over HTTP.

Only `SuccessResponse` has a status in the 2xx class, and only an answer with
its proof makes one.
"""

from collections.abc import Mapping
from http import HTTPStatus
from typing import TypeAlias

from aiohttp import web
from loguru import logger

from dragonflyramp.backends import UnprovenSuccessError
from dragonflyramp.callers import (
    Answer,
    Refusal,
    RelayedAnswer,
    RelayedFailure,
    Success,
    describe_proofs,
)
from dragonflyramp.messages import Headers, Request
from dragonflyramp.metrics import counters
from dragonflyramp.platform import _headers as http_headers
from dragonflyramp.results import ResultCode

_REFUSAL_STATUSES = {  # noqa: WPS407 - never changed
    ResultCode.unknown_service: HTTPStatus.NOT_FOUND,
    ResultCode.unauthorized: HTTPStatus.UNAUTHORIZED,
    ResultCode.quota_exceeded: HTTPStatus.TOO_MANY_REQUESTS,
    ResultCode.bad_request: HTTPStatus.BAD_REQUEST,
    ResultCode.body_too_large: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
}


class SuccessResponse(web.Response):
    """Success of a replica or a search, with the stamps of its replies.

    Raise UnprovenSuccessError unless what is sent answers the request.
    """

    def __init__(self, answer: Success, request: Request) -> None:
        """Encode an answer to a request."""
        if answer.request is not request:
            raise UnprovenSuccessError('answer to another request')
        if isinstance(answer, RelayedAnswer):
            reply = answer.reply
            super().__init__(status=reply.status, body=reply.body)
            _set_headers(self, reply.headers)
            _check_headers(self, answer, request)
            counters.add('successes', 'relayed')
        else:
            headers = {
                http_headers.PART_STAMPS: ', '.join(answer.stamps),
                http_headers.MISSING_PARTS: str(answer.missing_count),
            }
            super().__init__(body=answer.body, headers=headers)
            counters.add('successes', 'merged')


class FailureResponse(web.Response):
    """Refusal, or a failure that a replica reported.

    Raise UnprovenSuccessError for a status in the 2xx class.
    """

    def __init__(
        self,
        status: int,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
    ) -> None:
        """Create a response that is no success."""
        if HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES:
            raise UnprovenSuccessError('a success is no failure')
        super().__init__(status=status, headers=headers, body=body)


CallerResponse: TypeAlias = SuccessResponse | FailureResponse


def encode_answer(answer: Answer, request: Request) -> CallerResponse:
    """Encode the answer to a request, or a failure if it has no proof."""
    if isinstance(answer, RelayedFailure):
        return _encode_failure(answer)
    if isinstance(answer, Refusal):
        return encode_refusal(answer)
    try:
        return SuccessResponse(answer, request)
    except UnprovenSuccessError as error:
        return encode_unproven(request, error, answer)


def encode_unproven(
    request: Request,
    error: UnprovenSuccessError,
    answer: Answer | None = None,
) -> FailureResponse:
    """Encode the failure of a request whose success has no proof.

    A replica may have run the request.
    """
    counters.add('invalid_replies', 'unproven')
    logger.bind(
        request=request.request_id,
        reason=str(error),
        sources=[] if answer is None else describe_proofs(answer),
    ).warning('answer has no proof and is not sent')
    return encode_refusal(Refusal(code=ResultCode.bad_reply, may_have_run=True))


def encode_refusal(refusal: Refusal) -> FailureResponse:
    """Encode a refusal; status 503 promises that the request never runs."""
    status = _REFUSAL_STATUSES.get(refusal.code, HTTPStatus.SERVICE_UNAVAILABLE)
    if refusal.may_have_run:
        status = HTTPStatus.BAD_GATEWAY
        if refusal.code is ResultCode.deadline_exceeded:
            status = HTTPStatus.GATEWAY_TIMEOUT
    headers = {}
    if refusal.retry_after_seconds is not None:
        headers[http_headers.RETRY_AFTER] = str(refusal.retry_after_seconds)
    return FailureResponse(status, headers=headers)


def _encode_failure(answer: RelayedFailure) -> FailureResponse:
    reply = answer.reply
    response = FailureResponse(reply.status, body=reply.body)
    _set_headers(response, reply.headers)
    if not _has_stamp(response, reply.stamp):
        logger.bind(request=reply.request_id, stamp=reply.stamp).warning(
            'reply cannot be relayed without its stamp'
        )
        counters.add('invalid_replies', 'stamp_lost')
        return encode_refusal(
            Refusal(code=ResultCode.bad_reply, may_have_run=True)
        )
    return response


def _set_headers(response: web.Response, headers: Headers) -> None:
    """Set the headers of a reply as received."""
    response.headers.clear()
    for name, text in http_headers.end_to_end_headers(headers):
        try:
            response.headers.add(name, http_headers.decode_utf8(text))
        except UnicodeError:
            # aiohttp sends UTF-8 only. The caller needs the other headers.
            counters.add('backend_faults', 'header_left_out')


def _check_headers(
    response: web.Response, answer: RelayedAnswer, request: Request
) -> None:
    """Raise UnprovenSuccessError unless stamp and id are sent as proven."""
    if not _has_stamp(response, answer.success.stamp):
        raise UnprovenSuccessError('stamp lost')
    sent_ids = set(response.headers.getall(http_headers.REQUEST_ID, []))
    # One that is no UTF-8 is left out of the headers.
    if any(
        sent_id != http_headers.decode_utf8(request.request_id)
        for sent_id in sent_ids - {''}
    ):
        raise UnprovenSuccessError('id of another request')


def _has_stamp(response: web.Response, stamp: str) -> bool:
    return response.headers.getall(http_headers.STAMP, None) == [stamp]
