"""Reach operators: their text, their commands, the daemons' metrics.

_text _fragments _tables _fields _checks _statements  the text
_parts _roots _stored                                 how the text is kept
_push _drafts _commits _outcomes _retries             a change of the text
_routing _sources                                     what daemons make of it
_zones _holds _edits _replicas                        a hold as a change
_commands _daemons_http _explaining                   the commands
"""

from dragonflyramp.operators._commands import (
    PushRequest,
    check,
    explain,
    history,
    push,
    show,
)
from dragonflyramp.operators._daemons_http import DaemonMetrics, read_metrics
from dragonflyramp.operators._explaining import (
    LogLine,
    explain_request,
    read_log,
)
from dragonflyramp.operators._fields import is_ip_and_port
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
from dragonflyramp.operators._routing import held_domains, routing_table
from dragonflyramp.operators._sources import TextSource
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
    'DaemonMetrics',
    'HistoryEntry',
    'HoldRequest',
    'LogLine',
    'Operator',
    'PartRef',
    'Problem',
    'PushOutcome',
    'PushRequest',
    'Pusher',
    'Refused',
    'Retries',
    'Root',
    'TextSource',
    'TextStore',
    'Unknown',
    'bring_in',
    'check',
    'decode_root',
    'digest',
    'encode_root',
    'explain',
    'explain_request',
    'held_domains',
    'history',
    'is_ip_and_port',
    'join_parts',
    'parse_text',
    'part_name',
    'push',
    'read_log',
    'read_metrics',
    'routing_table',
    'show',
    'split_text',
    'take_out',
)
