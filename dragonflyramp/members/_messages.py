"""Define the messages between members, free of any encoding."""

import attrs

from dragonflyramp.members._groups import MemberDescription
from dragonflyramp.models import MemberId, SliceId, WarmthEntry
from dragonflyramp.results import ResultCode


@attrs.frozen
class SliceEpoch:
    """Name one tenure of a slice."""

    slice_id: SliceId
    epoch: int


@attrs.frozen
class Quarantined:
    """Carry a quarantined fingerprint and the time it has left."""

    fingerprint: str
    remaining_ms: int


@attrs.frozen(kw_only=True)
class Heartbeat:
    """Report a member to the writer, or ask another member who that is.

    `renewal` is the newest renewal of the record that the sender knows.
    """

    member: MemberDescription
    configuration_number: int
    renewal: int
    held: tuple[SliceEpoch, ...] = ()
    released: tuple[SliceEpoch, ...] = ()
    renounced: tuple[SliceEpoch, ...] = ()
    quarantined: tuple[Quarantined, ...] = ()
    leaving: bool = False


@attrs.frozen(kw_only=True)
class HeartbeatReply:
    """Answer a heartbeat; ok means that a write of the record covers it.

    `record` is the JSON of the record, or empty when the sender knows all
    of it but its counters.
    """

    code: ResultCode
    renewal: int
    writer: MemberId
    configuration_number: int
    record: bytes = b''
    quarantined: tuple[Quarantined, ...] = ()


@attrs.frozen(kw_only=True)
class SliceWarmth:
    """Carry the warmth table of one slice."""

    slice_id: SliceId
    epoch: int
    replicas: tuple[WarmthEntry, ...]


@attrs.frozen(kw_only=True)
class Promise:
    """Ask a deputy not to renounce slices for one term.

    A later process at the deputy's address has another id and is no deputy.
    """

    holder_id: MemberId
    deputy_id: MemberId
    configuration_number: int
    slices: tuple[SliceWarmth, ...]


@attrs.frozen(kw_only=True)
class PromiseReply:
    """List the tenures that the deputy promised not to renounce."""

    code: ResultCode
    configuration_number: int
    promised: tuple[SliceEpoch, ...] = ()


@attrs.frozen(kw_only=True)
class Handover:
    """Give slices that the holder stopped using to their successor."""

    holder_id: MemberId
    slices: tuple[SliceWarmth, ...]


@attrs.frozen(kw_only=True)
class HandoverReply:
    """List the tenures whose warmth the successor took over."""

    code: ResultCode
    accepted: tuple[SliceEpoch, ...] = ()


@attrs.frozen
class PartContent:
    """Carry one part of the operators' text under its SHA-256."""

    sha256: str
    body: bytes


@attrs.frozen(kw_only=True)
class Offer:
    """Offer a configuration: the root, or its delta to a base number."""

    member_id: MemberId
    number: int
    base_number: int
    root: bytes
    whole: bool
    parts: tuple[PartContent, ...]


@attrs.frozen(kw_only=True)
class OfferReply:
    """Tell which configuration number the receiver now has."""

    code: ResultCode
    number: int


@attrs.frozen(kw_only=True)
class Fetch:
    """Ask for the whole root and for the parts that are not known."""

    member_id: MemberId
    known_number: int
    known_parts: tuple[str, ...]


@attrs.frozen(kw_only=True)
class FetchReply:
    """Carry the root and as many missing parts as one message holds."""

    code: ResultCode
    number: int
    root: bytes = b''
    parts: tuple[PartContent, ...] = ()
