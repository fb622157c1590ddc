"""Convert the messages on membership and leases to protobuf and back.

Decoding raises ValueError for a message that no member sends.
"""

from dragonflyramp.members import members_pb2 as pb
from dragonflyramp.members._groups import MemberDescription, Role
from dragonflyramp.members._messages import (
    Handover,
    HandoverReply,
    Heartbeat,
    HeartbeatReply,
    Promise,
    PromiseReply,
)
from dragonflyramp.members._pieces_grpc import (
    checked_name,
    decode_epochs,
    decode_quarantined,
    decode_warmths,
    encode_epochs,
    encode_quarantined,
    encode_warmths,
)
from dragonflyramp.models import MemberId
from dragonflyramp.results import ResultCode


def encode_heartbeat(request: Heartbeat) -> pb.HeartbeatRequest:
    """Encode a heartbeat."""
    return pb.HeartbeatRequest(
        member_id=request.member.member_id,
        role=request.member.role.value,
        address=request.member.address,
        failure_domain=request.member.failure_domain,
        held=encode_epochs(request.held),
        released=encode_epochs(request.released),
        renounced=encode_epochs(request.renounced),
        configuration_number=request.configuration_number,
        quarantined=encode_quarantined(request.quarantined),
        renewal=request.renewal,
        status_address=request.member.status_address,
        leaving=request.leaving,
    )


def decode_heartbeat(message: pb.HeartbeatRequest) -> Heartbeat:
    """Decode a heartbeat."""
    member = MemberDescription(
        member_id=MemberId(checked_name(message.member_id)),
        role=Role(message.role),
        address=checked_name(message.address),
        status_address=message.status_address,
        failure_domain=message.failure_domain,
    )
    return Heartbeat(
        member=member,
        held=decode_epochs(message.held),
        released=decode_epochs(message.released),
        renounced=decode_epochs(message.renounced),
        configuration_number=message.configuration_number,
        quarantined=decode_quarantined(message.quarantined),
        renewal=message.renewal,
        leaving=message.leaving,
    )


def encode_heartbeat_reply(reply: HeartbeatReply) -> pb.HeartbeatReply:
    """Encode the reply to a heartbeat."""
    return pb.HeartbeatReply(
        code=reply.code,
        record=reply.record,
        renewal=reply.renewal,
        configuration_number=reply.configuration_number,
        quarantined=encode_quarantined(reply.quarantined),
        writer=reply.writer,
    )


def decode_heartbeat_reply(message: pb.HeartbeatReply) -> HeartbeatReply:
    """Decode the reply to a heartbeat."""
    return HeartbeatReply(
        code=ResultCode(message.code),
        record=message.record,
        renewal=message.renewal,
        configuration_number=message.configuration_number,
        quarantined=decode_quarantined(message.quarantined),
        writer=MemberId(message.writer),
    )


def encode_promise(request: Promise) -> pb.PromiseRequest:
    """Encode a holder's request for a promise."""
    return pb.PromiseRequest(
        holder_id=request.holder_id,
        slices=encode_warmths(request.slices),
        configuration_number=request.configuration_number,
        deputy_id=request.deputy_id,
    )


def decode_promise(message: pb.PromiseRequest) -> Promise:
    """Decode a holder's request for a promise."""
    return Promise(
        holder_id=MemberId(checked_name(message.holder_id)),
        slices=decode_warmths(message.slices),
        configuration_number=message.configuration_number,
        deputy_id=MemberId(message.deputy_id),
    )


def encode_promise_reply(reply: PromiseReply) -> pb.PromiseReply:
    """Encode what a deputy promised."""
    return pb.PromiseReply(
        code=reply.code,
        promised=encode_epochs(reply.promised),
        configuration_number=reply.configuration_number,
    )


def decode_promise_reply(message: pb.PromiseReply) -> PromiseReply:
    """Decode what a deputy promised."""
    return PromiseReply(
        code=ResultCode(message.code),
        promised=decode_epochs(message.promised),
        configuration_number=message.configuration_number,
    )


def encode_handover(request: Handover) -> pb.HandoverRequest:
    """Encode a handover."""
    return pb.HandoverRequest(
        holder_id=request.holder_id, slices=encode_warmths(request.slices)
    )


def decode_handover(message: pb.HandoverRequest) -> Handover:
    """Decode a handover."""
    return Handover(
        holder_id=MemberId(checked_name(message.holder_id)),
        slices=decode_warmths(message.slices),
    )


def encode_handover_reply(reply: HandoverReply) -> pb.HandoverReply:
    """Encode what a successor accepted."""
    return pb.HandoverReply(
        code=reply.code, accepted=encode_epochs(reply.accepted)
    )


def decode_handover_reply(message: pb.HandoverReply) -> HandoverReply:
    """Decode what a successor accepted."""
    return HandoverReply(
        code=ResultCode(message.code),
        accepted=decode_epochs(message.accepted),
    )
