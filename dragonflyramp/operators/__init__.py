"""Reach operators: their text, their commands, a daemon's status."""

from dragonflyramp.operators._assembly import PartCache
from dragonflyramp.operators._commands import (
    PushRequest,
    check,
    explain,
    history,
    notify,
    push,
    show,
    status,
)
from dragonflyramp.operators._daemons import (
    DaemonAnswer,
    DaemonClient,
    DaemonView,
    Offer,
    OfferReply,
    Status,
)
from dragonflyramp.operators._deltas import (
    RootDelta,
    apply_delta,
    decode_delta,
    encode_delta,
    root_delta,
)
from dragonflyramp.operators._fields import is_ip_and_port
from dragonflyramp.operators._http import (
    open_daemons,
    serve_status,
    status_application,
)
from dragonflyramp.operators._outcomes import (
    Accepted,
    PushOutcome,
    Refused,
    Unknown,
)
from dragonflyramp.operators._parts import (
    PartRef,
    digest,
    join_parts,
    split_text,
)
from dragonflyramp.operators._problems import Problem
from dragonflyramp.operators._push import Pusher
from dragonflyramp.operators._retries import Retries
from dragonflyramp.operators._roots import (
    ROOT_NAME,
    HistoryEntry,
    Root,
    decode_root,
    encode_root,
)
from dragonflyramp.operators._stored import (
    TextStore,
    part_name,
)
from dragonflyramp.operators._text import parse_text
from dragonflyramp.operators._zones import (
    HoldRequest,
    Operator,
    bring_in,
    take_out,
)

__all__ = (
    'ROOT_NAME',
    'Accepted',
    'DaemonAnswer',
    'DaemonClient',
    'DaemonView',
    'HistoryEntry',
    'HoldRequest',
    'Offer',
    'OfferReply',
    'Operator',
    'PartCache',
    'PartRef',
    'Problem',
    'PushOutcome',
    'PushRequest',
    'Pusher',
    'Refused',
    'Retries',
    'Root',
    'RootDelta',
    'Status',
    'TextStore',
    'Unknown',
    'apply_delta',
    'bring_in',
    'check',
    'decode_delta',
    'decode_root',
    'digest',
    'encode_delta',
    'encode_root',
    'explain',
    'history',
    'is_ip_and_port',
    'join_parts',
    'notify',
    'open_daemons',
    'parse_text',
    'part_name',
    'push',
    'root_delta',
    'serve_status',
    'show',
    'split_text',
    'status',
    'status_application',
    'take_out',
)
