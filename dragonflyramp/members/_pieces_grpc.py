"""Convert the parts that several messages between members contain."""

from collections.abc import Iterable

from dragonflyramp.members import members_pb2 as pb
from dragonflyramp.members._messages import (
    PartContent,
    Quarantined,
    SliceEpoch,
    SliceWarmth,
)
from dragonflyramp.models import SliceId, Warmth, WarmthEntry

_MAX_NAME_CHARACTERS = 256
_MAX_UINT32 = 0xFFFFFFFF


def checked_name(name: str) -> str:
    """Return a name; raise ValueError when it is empty or too long."""
    if 0 < len(name) <= _MAX_NAME_CHARACTERS:
        return name
    raise ValueError(f'a name has {len(name)} characters')


def encode_epochs(tenures: Iterable[SliceEpoch]) -> list[pb.SliceEpoch]:
    """Encode tenures."""
    return [
        pb.SliceEpoch(slice_id=tenure.slice_id, epoch=tenure.epoch)
        for tenure in tenures
    ]


def decode_epochs(
    messages: Iterable[pb.SliceEpoch],
) -> tuple[SliceEpoch, ...]:
    """Decode tenures."""
    return tuple(
        SliceEpoch(SliceId(checked_name(message.slice_id)), message.epoch)
        for message in messages
    )


def encode_quarantined(
    quarantined: Iterable[Quarantined],
) -> list[pb.Quarantined]:
    """Encode quarantined fingerprints."""
    return [
        pb.Quarantined(
            fingerprint=one.fingerprint,
            remaining_ms=min(max(one.remaining_ms, 0), _MAX_UINT32),
        )
        for one in quarantined
    ]


def decode_quarantined(
    messages: Iterable[pb.Quarantined],
) -> tuple[Quarantined, ...]:
    """Decode quarantined fingerprints."""
    return tuple(
        Quarantined(checked_name(message.fingerprint), message.remaining_ms)
        for message in messages
    )


def encode_warmths(slices: Iterable[SliceWarmth]) -> list[pb.SliceWarmth]:
    """Encode warmth tables."""
    return [
        pb.SliceWarmth(
            slice_id=one.slice_id,
            epoch=one.epoch,
            replicas=[_encode_warmth(entry) for entry in one.replicas],
        )
        for one in slices
    ]


def decode_warmths(
    messages: Iterable[pb.SliceWarmth],
) -> tuple[SliceWarmth, ...]:
    """Decode warmth tables."""
    return tuple(
        SliceWarmth(
            slice_id=SliceId(checked_name(message.slice_id)),
            epoch=message.epoch,
            replicas=tuple(map(_decode_warmth, message.replicas)),
        )
        for message in messages
    )


def encode_parts(parts: Iterable[PartContent]) -> list[pb.PartContent]:
    """Encode parts of the operators' text."""
    return [
        pb.PartContent(sha256=part.sha256, content=part.body) for part in parts
    ]


def decode_parts(
    messages: Iterable[pb.PartContent],
) -> tuple[PartContent, ...]:
    """Decode parts of the operators' text."""
    return tuple(
        PartContent(checked_name(message.sha256), message.content)
        for message in messages
    )


def _encode_warmth(entry: WarmthEntry) -> pb.WarmthEntry:
    return pb.WarmthEntry(
        replica_id=entry.replica_id,
        instance_id=entry.instance_id,
        warmth=entry.warmth.value,
        limit=entry.limit,
        latency_ms=entry.latency_ms,
    )


def _decode_warmth(message: pb.WarmthEntry) -> WarmthEntry:
    return WarmthEntry(
        replica_id=checked_name(message.replica_id),
        instance_id=message.instance_id,
        warmth=Warmth(message.warmth),
        limit=message.limit,
        latency_ms=message.latency_ms,
    )
