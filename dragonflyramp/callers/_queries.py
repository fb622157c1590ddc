"""Define the type of callers' queries."""

import attrs

from dragonflyramp.messages import Request


@attrs.frozen(kw_only=True)
class Query:
    """Caller's request with its deadline and the fields that select a route."""

    request: Request
    host: str
    path: str
    #: Time that the caller waits after arrival; None if it set no deadline.
    deadline_ms: float | None
    #: Monotonic time of arrival.
    received_at_seconds: float
    #: How long the request had waited in this process when it was read.
    read_delay_seconds: float = 0
    #: Whether the caller's connection has carried a request before.
    is_connection_kept: bool = False
    #: Selects a route by name instead of by host and path.
    route_name: str = ''
    #: API key of the caller, empty without one. It is secret.
    api_key: str = attrs.field(default='', repr=False)
