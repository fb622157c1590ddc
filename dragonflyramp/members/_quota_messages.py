"""Encode the messages on quotas as JSON values."""

import math
from typing import Any

import attrs

from dragonflyramp.quotas import (
    GrantReply,
    GrantRequest,
    LeaseOffer,
    LeaseStamp,
    QuotaAsk,
    QuotaGrant,
    QuotaLimit,
    Settlement,
)
from dragonflyramp.views import Fields

#: More entries in one list are a mistake of the sender.
_MAX_ENTRIES = 1024
_MAX_TEXT_LENGTH = 256
_MAX_UNITS = 1_000_000


def encode_offer(offer: LeaseOffer | None) -> Any:
    """Encode an offer; None without one."""
    return None if offer is None else attrs.astuple(offer)


def decode_offer(encoded: Any) -> LeaseOffer | None:
    """Decode an offer; None if there is none.

    Daemons of an earlier version send none. Raise KeyError, TypeError or
    ValueError if it is malformed.
    """
    if encoded is None:
        return None
    process_id, sequence, share, *rest = encoded
    hub_lists, stamp = rest
    return LeaseOffer(
        process_id=_text(process_id),
        sequence=int(sequence),
        share=_number(share),
        hub_lists=tuple(
            tuple(map(_text, hub_list)) for hub_list in _entries(hub_lists)
        ),
        stamp=_decode_stamp(stamp),
    )


def encode_stamp(stamp: LeaseStamp | None) -> Any:
    """Encode a stamp; None without one."""
    return None if stamp is None else attrs.astuple(stamp)


def decode_stamp(encoded: Any) -> LeaseStamp | None:
    """Decode a stamp; None if there is none.

    Daemons of an earlier version send none. Raise KeyError, TypeError or
    ValueError if it is malformed.
    """
    return None if encoded is None else _decode_stamp(encoded)


def encode_grant_request(request: GrantRequest) -> Fields:
    """Encode a message to a quota server."""
    return {
        _OFFER_KEY: encode_offer(request.offer),
        'asks': [attrs.astuple(ask) for ask in request.asks],
        'settlements': [
            attrs.astuple(settlement) for settlement in request.settlements
        ],
    }


def decode_grant_request(fields: Any) -> GrantRequest:
    """Decode a message to a quota server.

    Raise KeyError, TypeError, ValueError or AttributeError if it is malformed.
    """
    return GrantRequest(
        offer=decode_offer(fields.get(_OFFER_KEY)),
        asks=tuple(_decode_ask(*ask) for ask in _entries(fields['asks'])),
        settlements=tuple(
            _decode_settlement(*settlement)
            for settlement in _entries(fields['settlements'])
        ),
    )


def encode_grant_reply(reply: GrantReply) -> Fields:
    """Encode a reply of a quota server."""
    return {
        'stamp': encode_stamp(reply.stamp),
        'grants': [attrs.astuple(grant) for grant in reply.grants],
    }


def decode_grant_reply(fields: Any) -> GrantReply:
    """Decode a reply of a quota server.

    Raise KeyError, TypeError, ValueError or AttributeError if it is malformed.
    """
    return GrantReply(
        stamp=_decode_stamp(fields['stamp']),
        grants=tuple(
            _decode_grant(*grant) for grant in _entries(fields['grants'])
        ),
    )


def _decode_stamp(encoded: Any) -> LeaseStamp:
    process_id, sent_at_seconds, applied_sequence = encoded
    return LeaseStamp(
        _text(process_id), _number(sent_at_seconds), int(applied_sequence)
    )


def _decode_ask(
    tenant_name: Any, limit: Any, wanted: Any, ahead: Any
) -> QuotaAsk:
    rate_per_second, burst = map(_number, limit)
    return QuotaAsk(
        tenant_name=_text(tenant_name),
        limit=QuotaLimit(max(0, rate_per_second), max(0, burst)),
        wanted=_units(wanted),
        ahead=_units(ahead),
    )


def _decode_settlement(
    tenant_name: Any, grant_id: Any, unused: Any
) -> Settlement:
    return Settlement(
        tenant_name=_text(tenant_name),
        grant_id=int(grant_id),
        unused=_units(unused),
    )


def _decode_grant(
    tenant_name: Any,
    units: Any,
    ahead: Any,
    grant_id: Any,
    retry_after_seconds: Any,
) -> QuotaGrant:
    return QuotaGrant(
        tenant_name=_text(tenant_name),
        units=_units(units),
        ahead=_units(ahead),
        grant_id=int(grant_id),
        retry_after_seconds=None
        if retry_after_seconds is None
        else max(0, _number(retry_after_seconds)),
    )


def _entries(encoded: Any) -> Any:
    if not isinstance(encoded, list) or len(encoded) > _MAX_ENTRIES:
        raise ValueError('not a list, or too many entries')
    return encoded


def _text(encoded: Any) -> str:
    if not isinstance(encoded, str) or not 0 < len(encoded) <= _MAX_TEXT_LENGTH:
        raise ValueError('not a short text')
    return encoded


def _number(encoded: Any) -> float:
    number = float(encoded)
    if not math.isfinite(number):
        raise ValueError('not a finite number')
    return number


def _units(encoded: Any) -> int:
    units = int(encoded)
    if not 0 <= units <= _MAX_UNITS:
        raise ValueError('not a number of units')
    return units


_OFFER_KEY = 'offer'
