"""Reach the other daemons: queries, membership, leases, configuration."""

from dragonflyramp.members._channels_grpc import MemberServer, open_channel
from dragonflyramp.members._fronts import FrontLimits, Fronts
from dragonflyramp.members._links import (
    ConfigurationSource,
    LeaseTable,
    QueryServer,
    RelayEvent,
    RelayLinks,
    RelayLost,
)
from dragonflyramp.members._outboxes import OutboxLimits
from dragonflyramp.members._peer_links import LinkLimits, LinkTools, RelayPeer
from dragonflyramp.members._peers import PeerLinks, RelayPeers
from dragonflyramp.members._scatter_grpc import (
    GrpcStreamOpener,
    ScatterService,
)

__all__ = (
    'ConfigurationSource',
    'FrontLimits',
    'Fronts',
    'GrpcStreamOpener',
    'LeaseTable',
    'LinkLimits',
    'LinkTools',
    'MemberServer',
    'OutboxLimits',
    'PeerLinks',
    'QueryServer',
    'RelayEvent',
    'RelayLinks',
    'RelayLost',
    'RelayPeer',
    'RelayPeers',
    'ScatterService',
    'open_channel',
)
