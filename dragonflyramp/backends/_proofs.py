"""Prove that a reply is a success of the request that a caller sent."""

import attrs

from dragonflyramp.backends._reply_checks import ReplyVerdict, check_reply
from dragonflyramp.messages import Reply, Request
from dragonflyramp.replica_connections import ReplyOrigin


class UnprovenSuccessError(Exception):
    """Raised where a success is to be made that nothing proves."""


@attrs.frozen(kw_only=True)
class ProvenSuccess:
    """Success of a replica, with what proves that it answers a request.

    Every instance is a proof: creating one raises UnprovenSuccessError unless
    the reply is a signed success that may answer the request.
    """

    request: Request
    reply: Reply
    service: str
    replica_id: str
    #: Purpose of the attempt: first, retry or hedge.
    purpose: str
    origin: ReplyOrigin

    def __attrs_post_init__(self) -> None:
        """Check the proof."""
        verdict = check_reply(
            self.reply,
            accepts_content_coding=self.request.accepts_content_coding,
        )
        if verdict is not ReplyVerdict.success:
            raise UnprovenSuccessError(verdict.value)
        if self.reply.request_id not in {'', self.request.request_id}:
            raise UnprovenSuccessError('reply of another request')

    @property
    def stamp(self) -> str:
        """Return the server's signature of the reply."""
        return self.reply.stamp
