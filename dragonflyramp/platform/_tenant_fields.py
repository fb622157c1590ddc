"""Parse the tenants of the configuration."""

from typing import Any

from dragonflyramp.platform._field_checks import (
    require_int,
    require_list,
    require_number,
    require_secret,
    require_text,
)
from dragonflyramp.tenants import Tenant, TenantDirectory
from dragonflyramp.views import Fields

#: Values beyond this limit are mistakes of the writer.
_MAX_COUNT = 1_000_000_000


def parse_tenants(fields: Any) -> TenantDirectory | None:
    """Parse the tenants; None if the configuration has no such field.

    With an empty list, only anonymous routes have callers. Raise KeyError,
    TypeError, ValueError or AttributeError if it is malformed. No such error
    contains a key.
    """
    if fields is None:
        return None
    return TenantDirectory.create(map(_parse_tenant, require_list(fields)))


def _parse_tenant(fields: Fields) -> tuple[Tenant, tuple[str, ...]]:
    priority = fields.get('priority')
    tenant = Tenant(
        name=_parse_name(fields['name']),
        priority=None
        if priority is None
        else require_int(priority, -_MAX_COUNT, _MAX_COUNT),
        rate_per_second=_parse_limit(fields.get('rate_per_s')),
        burst=_parse_limit(fields.get('burst')),
    )
    api_keys = fields.get('api_keys')
    listed_keys = [] if api_keys is None else require_list(api_keys)
    return tenant, tuple(map(require_secret, listed_keys))


def _parse_name(field: Any) -> str:
    """Return a name that reaches replicas unchanged as a header value."""
    name = require_text(field)
    if name != name.strip():
        raise ValueError(name)
    return name


def _parse_limit(field: Any) -> float:
    return 0 if field is None else require_number(field, 0, _MAX_COUNT)
