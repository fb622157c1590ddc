"""Identify the tenants of callers by their API keys.

_tenants      type of tenants
_directories  lookup of the tenant that holds a key
_key_trust    whether the known keys may be trusted now
"""

from dragonflyramp.tenants._directories import TenantDirectory
from dragonflyramp.tenants._key_trust import (
    KeyTrust,
    TrustAlways,
    TrustWhileInformed,
)
from dragonflyramp.tenants._tenants import Tenant

__all__ = (
    'KeyTrust',
    'Tenant',
    'TenantDirectory',
    'TrustAlways',
    'TrustWhileInformed',
)
