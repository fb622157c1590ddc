"""Find the kinds of requests that share services, and what each can wait."""

import itertools
from collections.abc import Callable
from typing import TypeAlias

import attrs

from dragonflyramp.admission._route_groups import RouteGroup, RouteIndex
from dragonflyramp.backends import RequestContext
from dragonflyramp.bounded_maps import use_entry
from dragonflyramp.routes import Route, answer_due_ms

#: Returns the fast latency of a route in ms.
FastLatency: TypeAlias = Callable[[Route], float]
#: Requests that still have the former table alternate with those of the new.
_MAX_TABLES = 2


@attrs.define(eq=False)
class Contentions:
    """Routes that share services, of the routing tables used last."""

    _fast_latency: FastLatency
    _indexes: dict[int, RouteIndex] = attrs.field(factory=dict)

    def is_contended(self, context: RequestContext) -> bool:
        """Return whether requests differ in tenant or priority."""
        has_tenants = context.table.tenants is not None
        return has_tenants or bool(self._find_rivals(context))

    def slack_ms(self, route: Route) -> float:
        """Return how long a request can wait and still meet its target."""
        return max(0, answer_due_ms(route.target_ms) - self.work_ms(route))

    def work_ms(self, route: Route) -> float:
        """Return the time that a request takes without waiting."""
        return self._fast_latency(route)

    def round_ms(self, context: RequestContext) -> float:
        """Return the longest work of the routes on the same services."""
        rival_routes = itertools.chain.from_iterable(
            group.representatives() for group in self._find_rivals(context)
        )
        return max(
            self.work_ms(route) for route in (context.route, *rival_routes)
        )

    def is_most_urgent(self, context: RequestContext) -> bool:
        """Return whether no other request goes before this one."""
        return not any(
            group.priority < context.priority
            for group in self._find_rivals(context)
        )

    def _find_rivals(self, context: RequestContext) -> tuple[RouteGroup, ...]:
        """Return the routes on the same services, if priorities differ."""
        table = context.table
        index = use_entry(
            self._indexes,
            id(table),
            lambda: RouteIndex.create(table),
            _MAX_TABLES,
        )
        return index.find_rivals(context.route)
