"""Parse the tenants of the configuration."""

from typing import Any

from dragonflyramp.platform._field_checks import (
    require_id,
    require_int,
    require_number,
    require_secret,
)
from dragonflyramp.tenants import Tenant, TenantDirectory
from dragonflyramp.views import Fields

#: Values beyond this limit are mistakes of the writer.
_MAX_COUNT = 1_000_000_000


def parse_tenants(fields: Any) -> TenantDirectory | None:
    """Parse the tenants; None if the configuration has no such field.

    With an empty list, only anonymous routes have callers. Raise KeyError,
    TypeError, ValueError or AttributeError if it is malformed.
    """
    if fields is None:
        return None
    return TenantDirectory.create(map(_parse_tenant, fields))


def _parse_tenant(fields: Fields) -> tuple[Tenant, tuple[str, ...]]:
    priority = fields.get('priority')
    tenant = Tenant(
        name=require_id(fields['name']),
        priority=None
        if priority is None
        else require_int(priority, -_MAX_COUNT, _MAX_COUNT),
        rate_per_second=require_number(
            fields.get('rate_per_s') or 0, 0, _MAX_COUNT
        ),
        burst=require_number(fields.get('burst') or 0, 0, _MAX_COUNT),
    )
    return tenant, tuple(map(require_secret, fields.get('api_keys') or ()))
