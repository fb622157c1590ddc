"""Decode the objects in the platform's store.

They are the configuration, the entries of replicas, and evacuations, which put
failure domains on hold.
"""

import contextlib
from collections.abc import Mapping
from typing import Any

import attrs

from dragonflyramp.object_limits import DECODE_ERRORS
from dragonflyramp.platform._field_checks import (
    require_address,
    require_flag,
    require_id,
    require_int,
    require_number,
    require_text,
)
from dragonflyramp.platform._tenant_fields import parse_tenants
from dragonflyramp.replicas import ReplicaEntry, ReplicaState
from dragonflyramp.routes import (
    GatherSettings,
    RequestLimits,
    Route,
    RoutingTable,
    ServicePolicy,
    WeightedService,
)
from dragonflyramp.routing_state import ObjectDecoder
from dragonflyramp.tenants import TenantDirectory
from dragonflyramp.views import Fields

#: Kinds of objects in the store.
CONFIG_KIND = 'config'
ENTRIES_KIND = 'servers'
EVACUATIONS_KIND = 'evacuations'
#: Name of the object with the current configuration.
CONFIG_NAME = 'main'

_DEFAULT_MAX_BODY_BYTES = 1024 * 1024
#: Timeout of requests whose route has none.
_DEFAULT_TIMEOUT_MS = 30000

#: Values beyond these limits are mistakes of the writer.
_MAX_COUNT = 1_000_000_000
_MAX_SLOTS = 1_000_000
_MAX_DURATION_MS = 86_400_000
#: The end of the year 2999.
_MAX_UNIX_MS = 32_503_680_000_000
_MAX_VERSION_LENGTH = 200
_MS_PER_SECOND = 1000


def decode_routing_table(stored_object: Fields) -> RoutingTable | None:
    """Decode the object `config/main`; return None if it is malformed."""
    with contextlib.suppress(*DECODE_ERRORS):
        return _parse_table(stored_object['spec'])
    return None


def decode_replica_entry(stored_object: Fields) -> ReplicaEntry | None:
    """Decode a replica's entry; return None if it is malformed."""
    with contextlib.suppress(*DECODE_ERRORS):
        return _parse_entry(stored_object)
    return None


def _parse_table(spec: Fields) -> RoutingTable:
    limits = spec.get('limits') or {}
    tenants = parse_tenants(spec.get('tenants'))
    return RoutingTable(
        version=require_int(spec['version'], 0, _MAX_COUNT),
        routes=tuple(_parse_route(route, tenants) for route in spec['routes']),
        service_policies={
            service.name: service
            for service in map(_parse_service, spec['services'])
        },
        max_body_bytes=require_int(
            limits.get('max_body_bytes', _DEFAULT_MAX_BODY_BYTES),
            0,
            _MAX_COUNT,
        ),
        request_limits=_parse_request_limits(limits),
        tenants=tenants,
    )


def _parse_request_limits(limits: Fields) -> RequestLimits:
    """Parse the limits; those that are missing or 0 have their default."""
    default = RequestLimits()
    default_header_ms = default.header_timeout_seconds * _MS_PER_SECOND
    default_idle_ms = default.idle_timeout_seconds * _MS_PER_SECOND
    return RequestLimits(
        max_header_bytes=require_int(
            limits.get('max_header_bytes') or default.max_header_bytes,
            0,
            _MAX_COUNT,
        ),
        header_timeout_seconds=_parse_ms(
            limits.get('header_timeout_ms') or default_header_ms
        )
        / _MS_PER_SECOND,
        idle_timeout_seconds=_parse_ms(
            limits.get('idle_timeout_ms') or default_idle_ms
        )
        / _MS_PER_SECOND,
    )


def _parse_route(fields: Fields, tenants: TenantDirectory | None) -> Route:
    timeout_ms = _parse_ms(fields.get('timeout_ms') or _DEFAULT_TIMEOUT_MS)
    return Route(
        name=require_text(fields['name']),
        host=require_text(fields['host']).lower(),
        prefix=require_text(fields['path_prefix']),
        is_idempotent=fields['kind'] == 'idempotent',
        timeout_ms=timeout_ms,
        target_ms=_parse_ms(fields.get('target_latency_ms') or timeout_ms),
        max_attempts=require_int(
            fields.get('max_attempts') or 1, 0, _MAX_COUNT
        ),
        priority=require_int(
            fields.get('priority') or 0, -_MAX_COUNT, _MAX_COUNT
        ),
        split=_parse_split(fields),
        gather=_parse_gather(fields),
        is_anonymous=tenants is not None and _parse_anonymous(fields),
    )


def _parse_anonymous(fields: Fields) -> bool:
    is_anonymous = fields.get('anonymous')
    return False if is_anonymous is None else require_flag(is_anonymous)


def _parse_split(fields: Fields) -> tuple[WeightedService, ...]:
    weighted_services = fields.get('traffic_split')
    if weighted_services:
        return tuple(
            WeightedService(
                require_text(weighted_service['service']),
                require_number(weighted_service['weight'], 0, _MAX_COUNT),
            )
            for weighted_service in weighted_services
        )
    service = fields.get('service')
    return (WeightedService(require_text(service)),) if service else ()


def _parse_gather(fields: Fields) -> GatherSettings | None:
    shards = fields.get('gather')
    if not shards:
        return None
    return GatherSettings(
        shards=tuple(map(require_text, shards)),
        top_count=require_int(fields['top_k'], 0, _MAX_COUNT),
        min_share=require_number(fields.get('min_shard_share', 1), 0, 1),
    )


def _parse_service(fields: Fields) -> ServicePolicy:
    return ServicePolicy(
        name=require_text(fields['name']),
        max_connections=require_int(
            fields.get('max_conns') or 1, 1, _MAX_COUNT
        ),
        cold_requests_per_second=require_number(
            fields.get('warmup_per_s') or 0, 0, _MAX_COUNT
        ),
    )


def _parse_entry(stored_object: Fields) -> ReplicaEntry:
    spec = stored_object['spec']
    start_time_ms = stored_object.get('born', spec.get('born', 0))
    return ReplicaEntry(
        replica_id=require_id(stored_object['meta']['name']),
        service=require_text(spec['service']),
        address=require_address(spec['address']),
        failure_domain=require_text(spec['zone']),
        state=ReplicaState(spec['state']),
        slots=max(
            1, require_int(spec.get('slots', 1), -_MAX_SLOTS, _MAX_SLOTS)
        ),
        cold_remaining_ms=_parse_ms(spec.get('warmup_left_ms', 0)),
        start_time_ms=require_int(start_time_ms, 0, _MAX_UNIX_MS),
        software_version=_parse_software_version(spec.get('version')),
    )


def _parse_software_version(field: Any) -> str:
    """Return the version; an entry without a usable one is used as well."""
    is_usable = (
        isinstance(field, str)
        and field.isprintable()
        and len(field) <= _MAX_VERSION_LENGTH
    )
    return field if is_usable else ''


def _parse_ms(field: Any) -> float:
    return require_number(field, 0, _MAX_DURATION_MS)


@attrs.frozen
class StoreDecoder(ObjectDecoder):
    """Decode the objects in the platform's store."""

    config_kind: str = CONFIG_KIND
    entries_kind: str = ENTRIES_KIND
    holds_kind: str = EVACUATIONS_KIND

    def decode_table(
        self, objects_by_name: Mapping[str, Fields]
    ) -> RoutingTable | None:
        """Decode the configuration; return None if missing or malformed."""
        config = objects_by_name.get(CONFIG_NAME)
        return None if config is None else decode_routing_table(config)

    def decode_entry(self, stored_object: Fields) -> ReplicaEntry | None:
        """Decode a replica's entry; return None if it is malformed."""
        return decode_replica_entry(stored_object)

    def decode_held_domains(
        self, objects_by_name: Mapping[str, Fields]
    ) -> frozenset[str]:
        """Return the names of the failure domains under evacuation."""
        return frozenset(objects_by_name)
