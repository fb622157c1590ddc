"""Reach the other daemons: queries, membership, leases, configuration."""

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
    add_members_service,
    create_server,
)
from dragonflyramp.members._membership import Membership
from dragonflyramp.members._membership_inputs import MembershipInputs
from dragonflyramp.members._messages import PartContent, Quarantined
from dragonflyramp.members._settings import MembershipSettings
from dragonflyramp.members._spread import ConfigurationKeeper, SpreadInputs
from dragonflyramp.members._texts import AdoptedTexts, RootFacts, TextCodec

__all__ = (
    'AdoptedTexts',
    'ConfigurationKeeper',
    'ConfigurationSource',
    'GroupRecord',
    'GrpcMemberCalls',
    'LeaseTable',
    'MemberDescription',
    'MemberEntry',
    'Membership',
    'MembershipHooks',
    'MembershipInputs',
    'MembershipSettings',
    'PartContent',
    'Quarantined',
    'QueryServer',
    'RelayEvent',
    'RelayLinks',
    'RelayLost',
    'Role',
    'RootFacts',
    'SpreadInputs',
    'TextCodec',
    'add_members_service',
    'create_server',
)
