"""Ask quota servers for grants, and answer such asks, over gRPC."""

import asyncio
import contextlib
import json
from collections.abc import Callable
from typing import Any

import attrs
from grpc import StatusCode, aio

from dragonflyramp.members._quota_messages import (
    decode_grant_reply,
    decode_grant_request,
    encode_grant_reply,
    encode_grant_request,
)
from dragonflyramp.metrics import counters
from dragonflyramp.object_limits import DECODE_ERRORS, has_few_values
from dragonflyramp.quotas import (
    GrantClient,
    GrantReply,
    GrantRequest,
    QuotaLeasing,
)

GRANT_METHOD = 'Grant'
#: Units of a later answer have expired.
_TIMEOUT_SECONDS = 0.25
_DECODE_ERRORS = (*DECODE_ERRORS, RecursionError)


@attrs.define(eq=False)
class LinkGrantClient(GrantClient):
    """Ask quota servers over the channels of the links to hubs."""

    #: Returns the channel of the link to a daemon, if it is open.
    find_channel: Callable[[str], aio.Channel | None]
    _method_path: str

    async def request_grants(
        self, hub_name: str, request: GrantRequest
    ) -> GrantReply | None:
        """Send a message to a hub; return None if there is no answer."""
        channel = self.find_channel(hub_name)
        if channel is None:
            return None
        pending = asyncio.create_task(self._call(channel, request))
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(pending.cancel)
            await asyncio.wait((pending,))
        # A link that closes its channel cancels the call.
        if pending.cancelled() or pending.exception() is not None:
            return None
        try:
            return decode_grant_reply(_deserialize(pending.result()))
        except _DECODE_ERRORS:
            counters.add('member_failures', 'bad_message')
            return None

    async def _call(self, channel: aio.Channel, request: GrantRequest) -> bytes:
        call = channel.unary_unary(
            self._method_path,
            request_serializer=None,
            response_deserializer=None,
        )
        body: bytes = await call(
            _serialize(encode_grant_request(request)), timeout=_TIMEOUT_SECONDS
        )
        return body


async def answer_grant_request(
    leasing: QuotaLeasing, body: bytes, context: aio.ServicerContext[Any, Any]
) -> bytes:
    """Answer the message of a front."""
    try:
        request = decode_grant_request(_deserialize(body))
    except _DECODE_ERRORS:
        counters.add('member_failures', 'bad_message')
        await context.abort(StatusCode.INVALID_ARGUMENT)
    reply = leasing.answer_request(request)
    if reply is None:
        await context.abort(StatusCode.UNIMPLEMENTED)
    return _serialize(encode_grant_reply(reply))


def _serialize(fields: Any) -> bytes:
    return json.dumps(fields, separators=(',', ':')).encode()


def _deserialize(body: bytes) -> Any:
    if not has_few_values(body):
        raise ValueError('too many values')
    return json.loads(body)
