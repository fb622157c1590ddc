"""Select the quota server of a tenant."""

import functools

from dragonflyramp.quotas._messages import HubList
from dragonflyramp.rendezvous import rendezvous_hash

#: Pairs of a tenant and a hub list whose result is kept.
_MAX_CHOICES = 16_384


@functools.lru_cache(_MAX_CHOICES)
def choose_server(tenant_name: str, hub_list: HubList) -> str:
    """Return the first hub of a list in the order for a tenant."""
    return min(
        hub_list, key=lambda hub_name: rendezvous_hash(tenant_name, hub_name)
    )


def is_server(
    hub_name: str, tenant_name: str, hub_lists: tuple[HubList, ...]
) -> bool:
    """Return whether a hub is the quota server under each of several lists."""
    return all(
        choose_server(tenant_name, hub_list) == hub_name
        for hub_list in hub_lists
    )
