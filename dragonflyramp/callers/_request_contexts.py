"""Find the route of a query, and build the context of its execution."""

import attrs

from dragonflyramp.backends import CrashDetector, CrashWatch, RequestContext
from dragonflyramp.callers._authentication import Identity, authenticate
from dragonflyramp.callers._queries import Query
from dragonflyramp.results import ResultCode
from dragonflyramp.routes import Route, RoutingTable

#: Maximum wait for a replica with capacity, as a share of the latency target or
#: of the time limit, whichever is shorter. A request that would wait longer
#: is refused, so that the caller can try elsewhere.
_CAPACITY_WAIT_SHARE = 0.2
#: Shorter waits before that are not taken from it.
_MIN_WAITED_SECONDS = 0.001


def find_route(table: RoutingTable, query: Query) -> Route | None:
    """Return the route of a query, if any."""
    if query.route_name:
        return table.find_by_name(query.route_name)
    return table.find_by_path(query.host, query.path)


@attrs.frozen
class RouteMatch:
    """Route of a query, its routing table, and who sent the query."""

    table: RoutingTable
    route: Route
    identity: Identity

    @property
    def tenant_name(self) -> str:
        """Return the name of the tenant, '' without one."""
        tenant = self.identity.tenant
        return '' if tenant is None else tenant.name


def match_query(
    query: Query, table: RoutingTable | None, *, trusts_keys: bool
) -> RouteMatch | ResultCode:
    """Return the route and the tenant of a query, or why it is refused.

    Without a table, a query is not called unauthorized, because its key may be
    a valid one.
    """
    if table is None:
        return ResultCode.no_configuration
    route = find_route(table, query)
    if route is None:
        return ResultCode.unknown_service
    identity = authenticate(
        query, route, table.tenants, trusts_keys=trusts_keys
    )
    if isinstance(identity, ResultCode):
        return identity
    return RouteMatch(table, route, identity)


def build_context(
    query: Query, match: RouteMatch, detector: CrashDetector
) -> RequestContext:
    """Return the context of a query, with the shorter of both time limits."""
    route = match.route
    limit_ms = route.timeout_ms
    if query.deadline_ms is not None:
        limit_ms = min(limit_ms, query.deadline_ms)
    return RequestContext(
        request=query.request,
        route=route,
        table=match.table,
        tenant=match.identity.tenant,
        received_at_seconds=query.received_at_seconds,
        read_delay_seconds=query.read_delay_seconds,
        is_connection_kept=query.is_connection_kept,
        deadline_at_seconds=query.received_at_seconds + limit_ms / 1000,
        capacity_wait_seconds=min(limit_ms, route.target_ms)
        * _CAPACITY_WAIT_SHARE
        / 1000,
        crash_watch=CrashWatch(
            detector=detector,
            request=query.request,
            tenant_name=match.tenant_name,
        ),
    )


def context_after_wait(
    context: RequestContext, waited_seconds: float
) -> RequestContext:
    """Return the context with what is left of the wait for capacity."""
    if waited_seconds < _MIN_WAITED_SECONDS:
        return context
    return attrs.evolve(
        context,
        capacity_wait_seconds=max(
            0, context.capacity_wait_seconds - waited_seconds
        ),
    )
