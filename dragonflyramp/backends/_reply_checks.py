"""Decide what a complete reply means for the request that it answers."""

import enum
from http import HTTPStatus

from dragonflyramp.messages import Reply


class ReplyVerdict(enum.Enum):
    """Meaning of a complete reply."""

    #: The replica ran the request; the caller may get the reply.
    success = 'success'
    #: The replica ran the request and failed; the caller may get the reply.
    failure = 'failure'
    #: The replica did not run the request.
    not_run = 'not_run'
    #: A success or failure without a valid stamp.
    unsigned = 'unsigned'
    #: A success whose body has a coding that was not asked for.
    encoded_body = 'encoded_body'
    #: A success which says that the replica did not run the request.
    contradictory = 'contradictory'
    #: A status that promises "not run", although the replica does not say that
    #: it did not run the request.
    unproven_refusal = 'unproven_refusal'
    #: A status to which HTTP gives no meaning.
    undefined_status = 'undefined_status'

    @property
    def is_invalid(self) -> bool:
        """Return whether no caller may get the reply.

        The replica may have run the request.
        """
        return self not in _VALID_VERDICTS


def check_reply(
    reply: Reply, *, accepts_content_coding: bool = False
) -> ReplyVerdict:
    """Return what a reply means, on a plain route as in a search."""
    if reply.is_success:
        return _check_success(reply, accepts_content_coding)
    if reply.is_not_run or reply.is_misdirected:
        return ReplyVerdict.not_run
    if reply.status in _NOT_RUN_STATUSES:
        return ReplyVerdict.unproven_refusal
    if reply.status > _MAX_STATUS:
        return ReplyVerdict.undefined_status
    return ReplyVerdict.failure if reply.stamp else ReplyVerdict.unsigned


def _check_success(reply: Reply, accepts_content_coding: bool) -> ReplyVerdict:
    if not reply.stamp:
        return ReplyVerdict.unsigned
    if reply.is_not_run:
        return ReplyVerdict.contradictory
    if reply.has_transfer_coding:
        return ReplyVerdict.encoded_body
    if reply.has_content_coding and not accepts_content_coding:
        return ReplyVerdict.encoded_body
    return ReplyVerdict.success


#: Statuses with which a caller is promised that its request never runs.
_NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
_MAX_STATUS = 599
_VALID_VERDICTS = frozenset(
    (ReplyVerdict.success, ReplyVerdict.failure, ReplyVerdict.not_run)
)
