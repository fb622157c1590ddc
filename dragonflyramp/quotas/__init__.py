"""Limit the requests of each tenant over all fronts together.

_policies     interface of the limit, and a policy without any
_messages     what fronts and quota servers tell each other
_limits       limit of a tenant, and the capacity of its bucket
_choices      selection of the quota server of a tenant
_buckets      token bucket of a tenant at a quota server
_leases       shares that fronts have leased to a quota server
_servers      grants of units to fronts
_shares       the share of a front, and to which hubs it is leased
_nodes        leases of this front's share, and the quota server beside it
_pools        units of a tenant on a front
_accounts     decisions of a front for one tenant
_asks         asks of the quota servers, one a tenant at a time
_distributed  the policy: answers from an account, or asks a quota server
"""

from dragonflyramp.quotas._distributed import DistributedQuotas
from dragonflyramp.quotas._leases import LeaseTable
from dragonflyramp.quotas._limits import (
    MAX_SEND_DELAY_SECONDS,
    QuotaLimit,
    limit_of,
)
from dragonflyramp.quotas._messages import (
    GrantReply,
    GrantRequest,
    LeaseOffer,
    LeaseStamp,
    QuotaAsk,
    QuotaGrant,
    Settlement,
)
from dragonflyramp.quotas._nodes import (
    GrantClient,
    NoQuotaLeasing,
    QuotaLeasing,
    QuotaNode,
)
from dragonflyramp.quotas._policies import QuotaPolicy, UnlimitedQuotas
from dragonflyramp.quotas._servers import QuotaServer
from dragonflyramp.quotas._shares import KnownDaemons, OwnedShare, ShareLeases

__all__ = (
    'MAX_SEND_DELAY_SECONDS',
    'DistributedQuotas',
    'GrantClient',
    'GrantReply',
    'GrantRequest',
    'KnownDaemons',
    'LeaseOffer',
    'LeaseStamp',
    'LeaseTable',
    'NoQuotaLeasing',
    'OwnedShare',
    'QuotaAsk',
    'QuotaGrant',
    'QuotaLeasing',
    'QuotaLimit',
    'QuotaNode',
    'QuotaPolicy',
    'QuotaServer',
    'Settlement',
    'ShareLeases',
    'UnlimitedQuotas',
    'limit_of',
)
