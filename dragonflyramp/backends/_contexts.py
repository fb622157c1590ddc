"""Define the context in which a caller's request is executed."""

import attrs

from dragonflyramp.backends._crash_watches import CrashWatch
from dragonflyramp.messages import Request
from dragonflyramp.routes import Route, RoutingTable, answer_due_ms
from dragonflyramp.tenants import Tenant


@attrs.frozen(kw_only=True)
class RequestContext:
    """Caller's request with the configuration in force at its arrival."""

    request: Request
    route: Route
    table: RoutingTable
    #: Monotonic times of arrival and deadline.
    received_at_seconds: float
    deadline_at_seconds: float
    #: Maximum wait for a replica with capacity.
    capacity_wait_seconds: float
    crash_watch: CrashWatch
    #: How long the request had waited in this process when it was read.
    read_delay_seconds: float = 0
    #: Whether the caller's connection has carried a request before.
    is_connection_kept: bool = False
    #: None if no tenants are configured or the caller needs no API key.
    tenant: Tenant | None = None

    @property
    def priority(self) -> tuple[int, int]:
        """Return the priority of the tenant, and that of the route.

        The least is the highest. Without one of the tenant, that of the route
        takes its place.
        """
        route_priority = self.route.priority
        if self.tenant is None or self.tenant.priority is None:
            return (route_priority, route_priority)
        return (self.tenant.priority, route_priority)

    @property
    def due_ms(self) -> float:
        """Return when the answer has to leave, in ms after the arrival."""
        return answer_due_ms(
            self.route.target_ms, is_connection_kept=self.is_connection_kept
        )

    def remaining_ms(self, now_seconds: float) -> float:
        """Return the time in ms until the answer has to leave."""
        elapsed_seconds = now_seconds - self.received_at_seconds
        return self.due_ms - elapsed_seconds * _MS_PER_SECOND

    @property
    def tenant_name(self) -> str | None:
        """Return the name that replicas get, or '' without a tenant.

        Return None if no tenants are configured.
        """
        if self.table.tenants is None:
            return None
        return '' if self.tenant is None else self.tenant.name


_MS_PER_SECOND = 1000
