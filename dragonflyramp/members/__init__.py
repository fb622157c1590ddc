"""Reach the other daemons: queries, membership, leases, configuration."""

from dragonflyramp.members._links import (
    ConfigurationSource,
    LeaseTable,
    QueryServer,
    RelayEvent,
    RelayLinks,
    RelayLost,
)

__all__ = (
    'ConfigurationSource',
    'LeaseTable',
    'QueryServer',
    'RelayEvent',
    'RelayLinks',
    'RelayLost',
)
