"""Group the routes of a table by their services and priority.

A configuration may have thousands of routes on one service; each is compared
with groups, and only when it is requested.
"""

from typing import TypeAlias

import attrs

from dragonflyramp.bounded_maps import drop_oldest
from dragonflyramp.routes import Route, RoutingTable

_Priority: TypeAlias = tuple[int, int]
_GroupKey: TypeAlias = tuple[frozenset[str], _Priority]

#: A group stands for its routes by as many of them.
_MAX_REPRESENTATIVES = 16


@attrs.define(eq=False)
class RouteGroup:
    """Routes with the same services and priority."""

    services: frozenset[str]
    #: That of the most urgent requests.
    priority: _Priority
    #: The first routes, and later those that were requested last.
    _routes_by_name: dict[str, Route] = attrs.field(factory=dict)

    def add(self, route: Route) -> None:
        """Add a route while there is room."""
        if len(self._routes_by_name) < _MAX_REPRESENTATIVES:
            self._routes_by_name[route.name] = route

    def record_request(self, route: Route) -> None:
        """Keep a route, in place of the one that was requested least lately."""
        self._routes_by_name.pop(route.name, None)
        self._routes_by_name[route.name] = route
        drop_oldest(self._routes_by_name, _MAX_REPRESENTATIVES)

    def representatives(self) -> tuple[Route, ...]:
        """Return all routes, or the first and the last requested ones."""
        return tuple(self._routes_by_name.values())


@attrs.define(eq=False)
class RouteIndex:
    """Groups of the routes of one table, and which of them share services."""

    #: Kept, so that no other table has its identity meanwhile.
    table: RoutingTable
    _tenant_priority: int | None = None
    _groups: dict[_GroupKey, RouteGroup] = attrs.field(factory=dict)
    _keys_by_route: dict[str, _GroupKey] = attrs.field(factory=dict)
    _rivals: dict[_GroupKey, tuple[RouteGroup, ...]] = attrs.field(factory=dict)

    @classmethod
    def create(cls, table: RoutingTable) -> 'RouteIndex':
        """Group the routes of a table."""
        index = cls(table, _most_urgent_tenant(table))
        for route in table.routes:
            index.find_group(route).add(route)
        return index

    def find_group(self, route: Route) -> RouteGroup:
        """Return the group of a route of the table."""
        key = self._key_of(route)
        group = self._groups.get(key)
        if group is None:
            group = RouteGroup(*key)
            self._groups[key] = group
        return group

    def find_rivals(self, route: Route) -> tuple[RouteGroup, ...]:
        """Return the groups on the same services, also that of the route.

        Return none if the priorities do not differ.
        """
        self.find_group(route).record_request(route)
        key = self._key_of(route)
        rivals = self._rivals.get(key)
        if rivals is None:
            rivals = self._compare(key[0])
            self._rivals[key] = rivals
        return rivals

    def _compare(self, services: frozenset[str]) -> tuple[RouteGroup, ...]:
        rivals = tuple(
            group
            for group in self._groups.values()
            if not services.isdisjoint(group.services)
        )
        priorities = {group.priority for group in rivals}
        differs = self.table.tenants is not None or len(priorities) > 1
        return rivals if differs else ()

    def _key_of(self, route: Route) -> _GroupKey:
        key = self._keys_by_route.get(route.name)
        if key is None:
            priority = (route.priority, route.priority)
            if self._tenant_priority is not None:
                priority = min(
                    priority, (self._tenant_priority, route.priority)
                )
            key = (frozenset(route.services), priority)
            self._keys_by_route[route.name] = key
        return key


def _most_urgent_tenant(table: RoutingTable) -> int | None:
    """Return the most urgent priority of a tenant, if any has one."""
    if table.tenants is None:
        return None
    priorities = (tenant.priority for tenant in table.tenants.by_name.values())
    return min(
        (priority for priority in priorities if priority is not None),
        default=None,
    )
