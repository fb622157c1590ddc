"""Identify the tenants of callers by their API keys.

_tenants      type of tenants
_directories  lookup of the tenant that holds a key
"""

from dragonflyramp.tenants._directories import TenantDirectory
from dragonflyramp.tenants._tenants import Tenant

__all__ = ('Tenant', 'TenantDirectory')
