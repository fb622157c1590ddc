"""Define the context in which a caller's request is executed."""

import attrs

from dragonflyramp.backends._crash_watches import CrashWatch
from dragonflyramp.messages import Request
from dragonflyramp.routes import Route, RoutingTable


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
