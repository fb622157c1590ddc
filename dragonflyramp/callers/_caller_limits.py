"""Derive the limits on connections from the limits of the VM."""

import attrs

from dragonflyramp.machine_settings import VmLimits
from dragonflyramp.routes import RequestLimits

#: The smallest VM in force; used where the settings name no limits.
_DEFAULT_MEMORY_BYTES = 209_715_200  # noqa: WPS432 - 200 MB
_DEFAULT_MAX_DESCRIPTORS = 4100
#: Descriptors that the platform reserves for files.
_FILE_DESCRIPTORS = 200
#: Half of the others is for replicas, the store, daemons and the other ports.
_FRONTEND_DESCRIPTOR_SHARE = 0.5
#: A connection takes about 20 KB, and up to 8 KB of answers are not counted.
_BYTES_PER_CONNECTION = 100_000
_MIN_CONNECTIONS = 16
#: Share of the memory for requests, and as much for answers, of one port. What
#: else a front keeps takes up to 150 of 200 MB (docs/CAPACITY.md).
_MEMORY_SHARE = 0.055
#: The native API has fewer callers than the frontend.
_NATIVE_CONNECTION_SHARE = 0.125


@attrs.frozen(kw_only=True)
class PortLimits:
    """Limits on all connections of one port together."""

    max_connections: int
    #: Bytes of requests that are held before a handler has them.
    max_held_bytes: int
    #: Bytes of answers that callers have not read.
    max_unsent_bytes: int


#: Limits of ports that only the platform and operators use.
INTERNAL_PORT_LIMITS = PortLimits(
    max_connections=32,  # noqa: WPS432
    max_held_bytes=1_048_576,  # noqa: WPS432
    max_unsent_bytes=4_194_304,  # noqa: WPS432
)
INTERNAL_REQUEST_LIMITS = RequestLimits(
    max_header_bytes=16_384,  # noqa: WPS432
    header_timeout_seconds=5,
)


def frontend_limits(vm_limits: VmLimits) -> PortLimits:
    """Return the limits of the frontend."""
    memory_bytes = vm_limits.memory_bytes or _DEFAULT_MEMORY_BYTES
    byte_count = int(memory_bytes * _MEMORY_SHARE)
    return PortLimits(
        max_connections=max(
            _MIN_CONNECTIONS,
            min(
                _share_of_descriptors(vm_limits, _FRONTEND_DESCRIPTOR_SHARE),
                memory_bytes // _BYTES_PER_CONNECTION,
            ),
        ),
        max_held_bytes=byte_count,
        max_unsent_bytes=byte_count,
    )


def native_limits(vm_limits: VmLimits) -> PortLimits:
    """Return the limits of the native API."""
    limits = frontend_limits(vm_limits)
    connection_count = int(limits.max_connections * _NATIVE_CONNECTION_SHARE)
    return attrs.evolve(
        limits, max_connections=max(_MIN_CONNECTIONS, connection_count)
    )


def _share_of_descriptors(vm_limits: VmLimits, share: float) -> int:
    max_descriptors = vm_limits.max_descriptors or _DEFAULT_MAX_DESCRIPTORS
    return int((max_descriptors - _FILE_DESCRIPTORS) * share)
