"""Find the kinds of requests that share services, and what each can wait."""

from collections.abc import Callable, Iterator
from typing import TypeAlias

import attrs

from dragonflyramp.backends import RequestContext
from dragonflyramp.routes import Route, RoutingTable, answer_due_ms

#: Returns the fast latency of a route in ms.
FastLatency: TypeAlias = Callable[[Route], float]
_Priority: TypeAlias = tuple[int, int]


@attrs.frozen
class Rival:
    """Route that shares services with another one, or is the same."""

    route: Route
    #: That of its most urgent requests.
    priority: tuple[int, int]


@attrs.define(eq=False)
class Contentions:
    """Routes that share services, of the routing table used last."""

    _fast_latency: FastLatency
    _table: RoutingTable | None = None
    #: Rivals by the name of the route; empty if priorities do not differ.
    _rivals_by_route: dict[str, tuple[Rival, ...]] = attrs.field(factory=dict)

    def is_contended(self, context: RequestContext) -> bool:
        """Return whether requests differ in tenant or priority."""
        return context.table.tenants is not None or bool(self._rivals(context))

    def slack_ms(self, route: Route) -> float:
        """Return how long a request can wait and still meet its target."""
        return max(0, answer_due_ms(route.target_ms) - self.work_ms(route))

    def work_ms(self, route: Route) -> float:
        """Return the time that a request takes without waiting."""
        return self._fast_latency(route)

    def round_ms(self, context: RequestContext) -> float:
        """Return the longest work of the routes on the same services."""
        rival_routes = (rival.route for rival in self._rivals(context))
        return max(
            self.work_ms(route) for route in (context.route, *rival_routes)
        )

    def is_most_urgent(self, context: RequestContext) -> bool:
        """Return whether no other request goes before this one."""
        return not any(
            rival.priority < context.priority for rival in self._rivals(context)
        )

    def _rivals(self, context: RequestContext) -> tuple[Rival, ...]:
        if context.table is not self._table:
            self._table = context.table
            self._rivals_by_route = {
                route.name: _find_rivals(context.table, route)
                for route in context.table.routes
            }
        return self._rivals_by_route.get(context.route.name, ())


def _find_rivals(table: RoutingTable, route: Route) -> tuple[Rival, ...]:
    services = frozenset(route.services)
    rivals = tuple(
        Rival(other, min(_priorities(table, other)))
        for other in table.routes
        if not services.isdisjoint(other.services)
    )
    priorities = {rival.priority for rival in rivals}
    differs = table.tenants is not None or len(priorities) > 1
    return rivals if differs else ()


def _priorities(table: RoutingTable, route: Route) -> Iterator[_Priority]:
    yield (route.priority, route.priority)
    if table.tenants is None:
        return
    for tenant in table.tenants.by_name.values():
        if tenant.priority is not None:
            yield (tenant.priority, route.priority)
