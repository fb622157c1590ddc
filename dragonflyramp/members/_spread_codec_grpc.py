"""Convert the messages on configuration to protobuf and back.

Decoding raises ValueError for a message that no member sends.
"""

from dragonflyramp.members import members_pb2 as pb
from dragonflyramp.members._messages import (
    Fetch,
    FetchReply,
    Offer,
    OfferReply,
)
from dragonflyramp.members._pieces_grpc import (
    checked_name,
    decode_parts,
    encode_parts,
)
from dragonflyramp.models import MemberId
from dragonflyramp.results import ResultCode


def encode_offer(request: Offer) -> pb.OfferRequest:
    """Encode an offer of a configuration."""
    return pb.OfferRequest(
        member_id=request.member_id,
        number=request.number,
        base_number=request.base_number,
        root=request.root,
        whole=request.whole,
        parts=encode_parts(request.parts),
    )


def decode_offer(message: pb.OfferRequest) -> Offer:
    """Decode an offer of a configuration."""
    return Offer(
        member_id=MemberId(checked_name(message.member_id)),
        number=message.number,
        base_number=message.base_number,
        root=message.root,
        whole=message.whole,
        parts=decode_parts(message.parts),
    )


def encode_offer_reply(reply: OfferReply) -> pb.OfferReply:
    """Encode the reply to an offer."""
    return pb.OfferReply(code=reply.code, number=reply.number)


def decode_offer_reply(message: pb.OfferReply) -> OfferReply:
    """Decode the reply to an offer."""
    return OfferReply(code=ResultCode(message.code), number=message.number)


def encode_fetch(request: Fetch) -> pb.FetchRequest:
    """Encode a request for the newest configuration."""
    return pb.FetchRequest(
        member_id=request.member_id,
        known_number=request.known_number,
        known_parts=request.known_parts,
    )


def decode_fetch(message: pb.FetchRequest) -> Fetch:
    """Decode a request for the newest configuration."""
    return Fetch(
        member_id=MemberId(checked_name(message.member_id)),
        known_number=message.known_number,
        known_parts=tuple(message.known_parts),
    )


def encode_fetch_reply(reply: FetchReply) -> pb.FetchReply:
    """Encode a configuration or a share of it."""
    return pb.FetchReply(
        code=reply.code,
        number=reply.number,
        root=reply.root,
        parts=encode_parts(reply.parts),
    )


def decode_fetch_reply(message: pb.FetchReply) -> FetchReply:
    """Decode a configuration or a share of it."""
    return FetchReply(
        code=ResultCode(message.code),
        number=message.number,
        root=message.root,
        parts=decode_parts(message.parts),
    )
