"""Define what fronts and quota servers tell each other."""

from typing import TypeAlias

import attrs

from dragonflyramp.quotas._limits import QuotaLimit

#: Names of the hubs among which a front selects quota servers.
HubList: TypeAlias = tuple[str, ...]


@attrs.frozen
class LeaseStamp:
    """Process of a hub, and when it sent a message, on its own clock."""

    process_id: str
    sent_at_seconds: float
    #: Last offer of the receiving process that is in force or has been; the
    #: hub uses no earlier one any more.
    applied_sequence: int = 0


@attrs.frozen(kw_only=True)
class LeaseOffer:
    """Lease of the share of a front to a hub.

    It covers the tenants of which the hub is the quota server under each of
    the hub lists.
    """

    process_id: str
    #: Increases with each offer of the process.
    sequence: int
    #: Part of the rate and burst of every tenant.
    share: float
    hub_lists: tuple[HubList, ...]
    #: The last stamp of the hub, from which the lease is counted.
    stamp: LeaseStamp


@attrs.frozen(kw_only=True)
class QuotaAsk:
    """Request for units of one tenant."""

    tenant_name: str
    #: Limit in the table of the front, for a hub without the tenant in its own.
    limit: QuotaLimit
    #: Units for requests that wait.
    wanted: int
    #: Units for requests that are expected soon.
    ahead: int = 0


@attrs.frozen(kw_only=True)
class QuotaGrant:
    """Units of one tenant for a front."""

    tenant_name: str
    units: int = 0
    ahead: int = 0
    #: Identifies the units ahead in a settlement.
    grant_id: int = 0
    #: Time until there is a unit; None if all wanted ones were granted.
    retry_after_seconds: float | None = None


@attrs.frozen(kw_only=True)
class Settlement:
    """End of a grant of units ahead."""

    tenant_name: str
    grant_id: int
    #: Units that were not used and never will be.
    unused: int


@attrs.frozen(kw_only=True)
class GrantRequest:
    """Message of a front to a quota server."""

    offer: LeaseOffer | None = None
    asks: tuple[QuotaAsk, ...] = ()
    settlements: tuple[Settlement, ...] = ()


@attrs.frozen(kw_only=True)
class GrantReply:
    """Reply of a quota server to a front."""

    stamp: LeaseStamp
    grants: tuple[QuotaGrant, ...] = ()
