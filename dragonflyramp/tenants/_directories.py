"""Find the tenant that holds an API key."""

import hashlib
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import TypeAlias

import attrs

from dragonflyramp.tenants._tenants import Tenant

#: Tenant and its API keys.
TenantKeys: TypeAlias = tuple[Tenant, Iterable[str]]


@attrs.frozen
class TenantDirectory:
    """Tenants of one version of the configuration, by name and by key.

    Only digests of the keys are kept. The time of a lookup depends on the
    digest, which a caller cannot choose byte by byte, and not on how much of
    a key is right.
    """

    by_name: Mapping[str, Tenant]
    _by_digest: Mapping[bytes, Tenant] = attrs.field(repr=False)

    @classmethod
    def create(cls, tenants: Iterable[TenantKeys]) -> 'TenantDirectory':
        """Create a directory of tenants and their keys.

        Raise ValueError, without naming a key, if a name or a key occurs twice.
        """
        by_name: dict[str, Tenant] = {}
        by_digest: dict[bytes, Tenant] = {}
        for tenant, api_keys in tenants:
            if by_name.setdefault(tenant.name, tenant) is not tenant:
                raise ValueError(f'two tenants have the name {tenant.name}')
            digests = dict.fromkeys(map(_digest, api_keys), tenant)
            if by_digest.keys() & digests.keys():
                raise ValueError(
                    f'tenant {tenant.name} has a key of another tenant'
                )
            by_digest.update(digests)
        return cls(MappingProxyType(by_name), MappingProxyType(by_digest))

    def find(self, api_key: str) -> Tenant | None:
        """Return the tenant that holds a key, if any."""
        return self._by_digest.get(_digest(api_key))


def _digest(api_key: str) -> bytes:
    return hashlib.sha256(api_key.encode('utf-8', 'surrogatepass')).digest()
