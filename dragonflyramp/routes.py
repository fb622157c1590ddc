"""Define the routing table: which services answer which requests."""

import itertools
import math
from collections.abc import Iterable, Mapping
from types import MappingProxyType

import attrs

from dragonflyramp.tenants import TenantDirectory

#: Latency outside this daemon for the network in both directions, and for what
#: this daemon does before it reads a request and after it has made the answer.
_NETWORK_OVERHEAD_MS = 9.0
#: Latency for the setup of the caller's connection.
_CONNECTION_SETUP_MS = 3.0
#: Latency outside this daemon for queueing, as a share of the latency target.
_QUEUEING_SHARE = 0.03
#: Tolerance for floating-point errors: 0.07 * 100 is greater than 7 and would
#: otherwise require an eighth shard.
_ROUNDING_TOLERANCE = 1e-9


@attrs.frozen
class WeightedService:
    """Service with its weight in a traffic split."""

    service: str
    weight: float = 1.0


def _without_duplicates(names: Iterable[str]) -> tuple[str, ...]:
    return tuple(dict.fromkeys(names))


@attrs.frozen
class GatherSettings:
    """Shards and answer limits of a search; each shard is a service."""

    #: A set: one that is named twice counts once.
    shards: tuple[str, ...] = attrs.field(converter=_without_duplicates)
    #: Maximum number of records in an answer.
    top_count: int
    #: Minimum share of the shards in an answer, between 0 and 1.
    min_share: float

    @property
    def required_count(self) -> int:
        """Return the number of successful shards that an answer requires."""
        return required_shard_count(len(self.shards), self.min_share)


@attrs.frozen(kw_only=True)
class Route:
    """Settings for requests that match its host and path prefix or its name."""

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    #: Time limit of a request; the caller's deadline can only shorten it.
    timeout_ms: float
    #: Latency target; a later answer counts as late.
    target_ms: float
    #: Maximum number of attempts per service, including retries and hedges. An
    #: attempt that writes no request does not count.
    max_attempts: int
    #: 0 is the highest priority; that of a tenant takes precedence.
    priority: int = 0
    #: Whether callers need no API key.
    is_anonymous: bool = False
    #: One service, or several that share the requests by weight.
    split: tuple[WeightedService, ...] = ()
    gather: GatherSettings | None = None

    @property
    def services(self) -> tuple[str, ...]:
        """Return the names of all services that may receive the requests."""
        if self.gather is not None:
            return self.gather.shards
        return tuple(
            weighted_service.service for weighted_service in self.split
        )


@attrs.frozen(kw_only=True)
class ServicePolicy:
    """Limits on the use of one service's replicas."""

    name: str
    #: Connections that one replica accepts from all daemons together.
    max_connections: int
    #: Request rate that a cold replica can serve; 0 means no limit.
    cold_requests_per_second: float = 0


def _read_only_copy(
    service_policies: Mapping[str, ServicePolicy],
) -> Mapping[str, ServicePolicy]:
    return MappingProxyType(dict(service_policies))


@attrs.frozen(kw_only=True)
class RequestLimits:
    """Limits on the requests of one connection.

    The defaults hold before the first configuration. No caller inside the
    limits that the platform publishes meets them.
    """

    #: Limit on all headers of a request, without its request line.
    max_header_bytes: int = 65_536
    #: Time from the first byte of a head until its end.
    header_timeout_seconds: float = 30
    #: Time without a request. Callers reuse connections that were idle for up
    #: to four fifths of it.
    idle_timeout_seconds: float = 75


@attrs.frozen(kw_only=True)
class RoutingTable:
    """Immutable routing table of one accepted configuration version."""

    version: int
    routes: tuple[Route, ...]
    #: Policies by service name.
    service_policies: Mapping[str, ServicePolicy] = attrs.field(
        converter=_read_only_copy
    )
    #: Limit on the body of a caller's request.
    max_body_bytes: int
    request_limits: RequestLimits = RequestLimits()
    #: None if callers need no API keys.
    tenants: TenantDirectory | None = None
    _routes_by_host: Mapping[str, tuple[Route, ...]] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Index the routes by host, with the longest path prefix first."""
        by_host: dict[str, list[Route]] = {}
        ordered_routes = sorted(self.routes, key=_prefix_length, reverse=True)
        for route in ordered_routes:
            by_host.setdefault(route.host, []).append(route)
        indexed = {host: tuple(routes) for host, routes in by_host.items()}
        object.__setattr__(self, '_routes_by_host', indexed)  # noqa: WPS609

    def find_by_path(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching prefix, if any."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def searched_shards(self) -> tuple[str, ...]:
        """Return the shards of all search routes, without duplicates."""
        gathers = (route.gather for route in self.routes)
        shards = (gather.shards for gather in gathers if gather is not None)
        return tuple(dict.fromkeys(itertools.chain.from_iterable(shards)))

    def find_by_name(self, name: str) -> Route | None:
        """Return the route with the given name, if any."""
        for route in self.routes:
            if route.name == name:
                return route
        return None


def required_shard_count(shard_count: int, min_share: float) -> int:
    """Return the number of successful shards that an answer requires."""
    return max(1, math.ceil(min_share * shard_count - _ROUNDING_TOLERANCE))


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


def answer_due_ms(
    target_ms: float, *, is_connection_kept: bool = False
) -> float:
    """Return when an answer has to leave this daemon to meet a target.

    At least half of the target remains for the work. The caller's time includes
    the setup of its connection, unless that has carried a request before.
    """
    overhead_ms = _NETWORK_OVERHEAD_MS + target_ms * _QUEUEING_SHARE
    if not is_connection_kept:
        overhead_ms += _CONNECTION_SETUP_MS
    return max(target_ms - overhead_ms, target_ms / 2)


def search_route_name(service: str) -> str:
    """Return the name of the native API's search route for a service."""
    return f'search:{service}'


def submit_route_name(service: str) -> str:
    """Return the name of the native API's submit route for a service."""
    return f'submit:{service}'
