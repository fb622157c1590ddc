"""Build configurations with the values of the small sites."""

from collections.abc import Iterable
from typing import Any

HOST = 'hufi27.example'
TIMEOUT_MS = 3000


def build_route(prefix: str, **fields: Any) -> dict[str, Any]:
    """Return a route; the fields replace or add to the usual ones."""
    label = prefix.strip('/').replace('/', '-')
    return {
        'name': f'r-{label}',
        'host': HOST,
        'path_prefix': prefix,
        'kind': 'idempotent',
        'timeout_ms': TIMEOUT_MS,
        'target_latency_ms': 542,
        'priority': 1,
        'max_attempts': 2,
        **fields,
    }


def build_config(
    version: int, routes: list[dict[str, Any]], services: Iterable[str]
) -> dict[str, Any]:
    """Return the spec of the object `config/main`."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': service,
                'health_path': '/health',
                'max_conns': 31,
                'protocol': 'h1',
                'tls': False,
                'warmup_s': 3.0,
                'warmup_per_s': 0.0,
            }
            for service in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
    }
