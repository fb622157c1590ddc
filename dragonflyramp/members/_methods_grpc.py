"""List the methods of the Members service with their encodings."""

from collections.abc import Callable
from typing import Generic, TypeVar

import attrs
from google.protobuf.message import Message

from dragonflyramp.members import _membership_codec_grpc as membership_codec
from dragonflyramp.members import _spread_codec_grpc as spread_codec
from dragonflyramp.members import members_pb2 as pb
from dragonflyramp.results import ResultCode

_Request = TypeVar('_Request')
_Reply = TypeVar('_Reply')
_Plain = TypeVar('_Plain')
_Message = TypeVar('_Message', bound=Message)

_BAD_MESSAGE = ResultCode.bad_message


@attrs.frozen(kw_only=True)
class Method(Generic[_Request, _Reply]):
    """Hold the name and the encodings of one method.

    Unpacking raises DecodeError or ValueError for a malformed message;
    `refusal` is the reply to one.
    """

    name: str
    pack_request: Callable[[_Request], bytes]
    unpack_request: Callable[[bytes], _Request]
    pack_reply: Callable[[_Reply], bytes]
    unpack_reply: Callable[[bytes], _Reply]
    refusal: bytes


def _packer(encode: Callable[[_Plain], Message]) -> Callable[[_Plain], bytes]:
    return lambda plain: encode(plain).SerializeToString()


def _unpacker(
    message_type: type[_Message], decode: Callable[[_Message], _Plain]
) -> Callable[[bytes], _Plain]:
    return lambda raw: decode(message_type.FromString(raw))


HEARTBEAT = Method(
    name='Heartbeat',
    pack_request=_packer(membership_codec.encode_heartbeat),
    unpack_request=_unpacker(
        pb.HeartbeatRequest, membership_codec.decode_heartbeat
    ),
    pack_reply=_packer(membership_codec.encode_heartbeat_reply),
    unpack_reply=_unpacker(
        pb.HeartbeatReply, membership_codec.decode_heartbeat_reply
    ),
    refusal=pb.HeartbeatReply(code=_BAD_MESSAGE).SerializeToString(),
)

PROMISE = Method(
    name='Promise',
    pack_request=_packer(membership_codec.encode_promise),
    unpack_request=_unpacker(
        pb.PromiseRequest, membership_codec.decode_promise
    ),
    pack_reply=_packer(membership_codec.encode_promise_reply),
    unpack_reply=_unpacker(
        pb.PromiseReply, membership_codec.decode_promise_reply
    ),
    refusal=pb.PromiseReply(code=_BAD_MESSAGE).SerializeToString(),
)

HANDOVER = Method(
    name='Handover',
    pack_request=_packer(membership_codec.encode_handover),
    unpack_request=_unpacker(
        pb.HandoverRequest, membership_codec.decode_handover
    ),
    pack_reply=_packer(membership_codec.encode_handover_reply),
    unpack_reply=_unpacker(
        pb.HandoverReply, membership_codec.decode_handover_reply
    ),
    refusal=pb.HandoverReply(code=_BAD_MESSAGE).SerializeToString(),
)

OFFER = Method(
    name='Offer',
    pack_request=_packer(spread_codec.encode_offer),
    unpack_request=_unpacker(pb.OfferRequest, spread_codec.decode_offer),
    pack_reply=_packer(spread_codec.encode_offer_reply),
    unpack_reply=_unpacker(pb.OfferReply, spread_codec.decode_offer_reply),
    refusal=pb.OfferReply(code=_BAD_MESSAGE).SerializeToString(),
)

FETCH = Method(
    name='Fetch',
    pack_request=_packer(spread_codec.encode_fetch),
    unpack_request=_unpacker(pb.FetchRequest, spread_codec.decode_fetch),
    pack_reply=_packer(spread_codec.encode_fetch_reply),
    unpack_reply=_unpacker(pb.FetchReply, spread_codec.decode_fetch_reply),
    refusal=pb.FetchReply(code=_BAD_MESSAGE).SerializeToString(),
)
