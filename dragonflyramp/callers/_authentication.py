"""Authenticate callers by the API keys of tenants."""

import attrs

from dragonflyramp.callers._queries import Query
from dragonflyramp.results import ResultCode
from dragonflyramp.routes import Route
from dragonflyramp.tenants import Tenant, TenantDirectory


@attrs.frozen
class Identity:
    """Tenant of a caller; None if the caller needs none and has none."""

    tenant: Tenant | None = None


def authenticate(
    query: Query,
    route: Route,
    tenants: TenantDirectory | None,
    *,
    trusts_keys: bool,
) -> Identity | ResultCode:
    """Return the identity of a caller, or unauthorized, or keys_unverified.

    A route that needs no API key gets the tenant of a valid one. A key is
    refused as unverified even if it is unknown, because it may have been added.
    """
    if tenants is None:
        return Identity()
    if query.api_key and not trusts_keys:
        return ResultCode.keys_unverified
    tenant = tenants.find(query.api_key) if query.api_key else None
    if tenant is None and not route.is_anonymous:
        return ResultCode.unauthorized
    return Identity(tenant)
