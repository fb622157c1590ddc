"""Build the routing table of a configuration."""

from collections.abc import Iterator

from dragonflyramp.models import Configuration, HoldKind, Service
from dragonflyramp.routes import (
    GatherSettings,
    Route,
    RoutingTable,
    ServicePolicy,
    WeightedService,
    search_route_name,
    submit_route_name,
)

#: Maximum size of a caller's request body.
_MAX_BODY_BYTES = 1024 * 1024
#: Maximum number of records in an answer to a search.
_MAX_RECORDS = 50
#: A search may be sent to a second replica of a shard; a submit is sent again
#: only after a reply that it was not run.
_MAX_ATTEMPTS = 2


def build_routing_table(configuration: Configuration) -> RoutingTable:
    """Return the routing table of a configuration.

    It has a search route for each service and a submit route for each shard.
    """
    return RoutingTable(
        version=configuration.number,
        routes=tuple(_routes(configuration)),
        service_policies={
            service.name: _service_policy(service)
            for service in configuration.services.values()
        },
        max_body_bytes=_MAX_BODY_BYTES,
    )


def held_domains(configuration: Configuration) -> frozenset[str]:
    """Return the names of the failure domains that have a hold."""
    return frozenset(
        hold.name
        for hold in configuration.holds.values()
        if hold.kind is HoldKind.failure_domain
    )


def _routes(configuration: Configuration) -> Iterator[Route]:
    for service in configuration.services.values():
        shards = configuration.shards_of(service.name)
        yield _search_route(service, shards)
        if not service.depends_on:
            yield _submit_route(service)


def _search_route(service: Service, shards: tuple[str, ...]) -> Route:
    return Route(
        name=search_route_name(service.name),
        host='',
        prefix='/',
        is_idempotent=True,
        timeout_ms=service.deadline_ms,
        target_ms=service.answer_after_ms or service.deadline_ms,
        max_attempts=_MAX_ATTEMPTS,
        gather=GatherSettings(shards, _MAX_RECORDS, service.coverage_target),
    )


def _submit_route(service: Service) -> Route:
    return Route(
        name=submit_route_name(service.name),
        host='',
        prefix='/',
        is_idempotent=False,
        timeout_ms=service.deadline_ms,
        target_ms=service.deadline_ms,
        max_attempts=_MAX_ATTEMPTS,
        split=(WeightedService(service.name),),
    )


def _service_policy(service: Service) -> ServicePolicy:
    return ServicePolicy(
        name=service.name,
        max_connections=service.connections,
        cold_requests_per_second=service.cold_requests_per_second,
    )
