"""Connections to replicas, each of which carries one request at a time.

_pools            connections to one replica, open and idle ones
_idle_connections  idle connections to one replica
_limits           this daemon's share of a replica's connections
_exchanges        one request and reply with a replica
_codecs           interface for encoding requests and decoding replies
_connections_http one task for each connection
_protocols_http   requests and replies on one connection
_readers_http     limits and the end of one reply
_reply_builders_http  what the parser of one reply reports
_reply_matchers   which request of a connection a reply answers
_reply_memory     limit on the memory of all replies that are being received
"""

from dragonflyramp.replica_connections._codecs import Codec
from dragonflyramp.replica_connections._connections_http import (
    Clock,
    Connection,
    ConnectionFactory,
    ConnectionHooks,
)
from dragonflyramp.replica_connections._exchanges import (
    ConnectionEnd,
    Exchange,
    Outcome,
    OutcomeKind,
    ReplyOrigin,
)
from dragonflyramp.replica_connections._limits import (
    ConnectionLimits,
    connection_limits,
)
from dragonflyramp.replica_connections._pools import ConnectionPool
from dragonflyramp.replica_connections._reply_memory import ReplyMemory

__all__ = (
    'Clock',
    'Codec',
    'Connection',
    'ConnectionEnd',
    'ConnectionFactory',
    'ConnectionHooks',
    'ConnectionLimits',
    'ConnectionPool',
    'Exchange',
    'Outcome',
    'OutcomeKind',
    'ReplyMemory',
    'ReplyOrigin',
    'connection_limits',
)
