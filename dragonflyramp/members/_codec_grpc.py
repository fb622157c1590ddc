"""Encode and decode the messages of the scatter stream as protobuf."""

import enum
from typing import TypeVar

from google.protobuf.message import DecodeError, Message
from returns.result import Failure, Result, Success

from dragonflyramp.members import _fields_grpc as fields
from dragonflyramp.members import members_pb2 as wire
from dragonflyramp.members._streams import (
    Cancel,
    FrontMessage,
    Hello,
    KeepAlive,
    Parts,
    RelayMessage,
)
from dragonflyramp.messages import Part, Query, Report, Submit, SubmitOutcome
from dragonflyramp.models import MemberId

_FIELDS_BYTES = 65536

#: Longest encoded message that either side sends or accepts, in bytes.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024

#: Longest body in a message; the rest is room for its other fields.
MAX_BODY_BYTES = MAX_MESSAGE_BYTES - _FIELDS_BYTES

_Wire = TypeVar('_Wire', bound=Message)
_Message = TypeVar('_Message')


class BadMessage(enum.Enum):
    """Name why a received message is not accepted."""

    malformed = 'malformed'
    unknown_kind = 'unknown_kind'
    missing_field = 'missing_field'
    too_large = 'too_large'


def encode_front(message: FrontMessage) -> bytes:
    """Encode a message from a front to a relay."""
    match message:
        case Hello():
            hello = wire.Hello(front_id=message.front_id)
            encoded = wire.FrontMessage(hello=hello)
        case Query():
            encoded = wire.FrontMessage(query=fields.query_to_wire(message))
        case Cancel():
            cancel = wire.Cancel(query_id=message.query_id)
            encoded = wire.FrontMessage(cancel=cancel)
        case Submit():
            encoded = wire.FrontMessage(submit=fields.submit_to_wire(message))
    return encoded.SerializeToString()


def encode_relay(message: RelayMessage) -> bytes:
    """Encode a message from a relay to a front."""
    match message:
        case Report():
            report = fields.report_to_wire(message)
            encoded = wire.RelayMessage(report=report)
        case KeepAlive():
            encoded = wire.RelayMessage(report=wire.Report())
        case Part():
            encoded = wire.RelayMessage(part=fields.part_to_wire(message))
        case Parts():
            encoded = wire.RelayMessage(parts=fields.parts_to_wire(message))
        case SubmitOutcome():
            outcome = fields.outcome_to_wire(message)
            encoded = wire.RelayMessage(outcome=outcome)
    return encoded.SerializeToString()


def decode_front(raw: bytes) -> Result[FrontMessage, BadMessage]:
    """Decode what a relay received."""
    return _parse(wire.FrontMessage, raw).bind(_front_message)


def decode_relay(raw: bytes) -> Result[RelayMessage, BadMessage]:
    """Decode what a front received."""
    return _parse(wire.RelayMessage, raw).bind(_relay_message)


def _parse(kind: type[_Wire], raw: bytes) -> Result[_Wire, BadMessage]:
    if len(raw) > MAX_MESSAGE_BYTES:
        return Failure(BadMessage.too_large)
    try:
        return Success(kind.FromString(raw))
    except DecodeError:
        return Failure(BadMessage.malformed)


def _front_message(
    received: wire.FrontMessage,
) -> Result[FrontMessage, BadMessage]:
    match received.WhichOneof('kind'):
        case 'query':
            return _require(fields.query_from_wire(received.query))
        case 'cancel':
            return Success(Cancel(received.cancel.query_id))
        case 'submit':
            return _require(fields.submit_from_wire(received.submit))
        case 'hello':
            return Success(Hello(MemberId(received.hello.front_id)))
    return Failure(BadMessage.unknown_kind)


def _relay_message(
    received: wire.RelayMessage,
) -> Result[RelayMessage, BadMessage]:
    match received.WhichOneof('kind'):
        case 'part':
            return _require(fields.part_from_wire(received.part))
        case 'parts':
            return _require(fields.parts_from_wire(received.parts))
        case 'outcome':
            return _require(fields.outcome_from_wire(received.outcome))
        case 'report':
            return _report(received.report)
    return Failure(BadMessage.unknown_kind)


def _report(received: wire.Report) -> Result[RelayMessage, BadMessage]:
    if received.ByteSize():
        return _require(fields.report_from_wire(received))
    return Success(KeepAlive())


def _require(message: _Message | None) -> Result[_Message, BadMessage]:
    if message is None:
        return Failure(BadMessage.missing_field)
    return Success(message)
