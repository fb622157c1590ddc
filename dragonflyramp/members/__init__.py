"""Reach the other daemons: queries, membership, leases, configuration."""

from dragonflyramp.members._channels_grpc import MemberServer, open_channel
from dragonflyramp.members._fronts import FrontLimits, Fronts
from dragonflyramp.members._groups import (
    GroupRecord,
    MemberDescription,
    MemberEntry,
    Role,
)
from dragonflyramp.members._hooks import MembershipHooks
from dragonflyramp.members._links import (
    ConfigurationSource,
    LeaseTable,
    QueryServer,
    RelayEvent,
    RelayLinks,
    RelayLost,
)
from dragonflyramp.members._members_grpc import (
    GrpcMemberCalls,
    MembersService,
)
from dragonflyramp.members._membership import Membership
from dragonflyramp.members._membership_inputs import MembershipInputs
from dragonflyramp.members._messages import PartContent, Quarantined
from dragonflyramp.members._outboxes import OutboxLimits
from dragonflyramp.members._peer_links import LinkLimits, LinkTools, RelayPeer
from dragonflyramp.members._peers import PeerLinks, RelayPeers
from dragonflyramp.members._scatter_grpc import (
    GrpcStreamOpener,
    ScatterService,
)
from dragonflyramp.members._settings import MembershipSettings
from dragonflyramp.members._shared_slices import SharedSlices
from dragonflyramp.members._spread import ConfigurationKeeper, SpreadInputs
from dragonflyramp.members._texts import AdoptedTexts, RootFacts, TextCodec

__all__ = (
    'AdoptedTexts',
    'ConfigurationKeeper',
    'ConfigurationSource',
    'FrontLimits',
    'Fronts',
    'GroupRecord',
    'GrpcMemberCalls',
    'GrpcStreamOpener',
    'LeaseTable',
    'LinkLimits',
    'LinkTools',
    'MemberDescription',
    'MemberEntry',
    'MemberServer',
    'MembersService',
    'Membership',
    'MembershipHooks',
    'MembershipInputs',
    'MembershipSettings',
    'OutboxLimits',
    'PartContent',
    'PeerLinks',
    'Quarantined',
    'QueryServer',
    'RelayEvent',
    'RelayLinks',
    'RelayLost',
    'RelayPeer',
    'RelayPeers',
    'Role',
    'RootFacts',
    'ScatterService',
    'SharedSlices',
    'SpreadInputs',
    'TextCodec',
    'open_channel',
)
