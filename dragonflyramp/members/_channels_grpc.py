"""Create gRPC channels and servers for links between daemons."""

import ipaddress
from typing import Protocol

from grpc import aio

from dragonflyramp.members._codec_grpc import MAX_MESSAGE_BYTES

# A message between the two limits is counted and skipped by the codec. gRPC
# ends the stream of a longer one without telling the relay the reason.
RECEIVE_LIMIT_BYTES = 2 * MAX_MESSAGE_BYTES

# With relays that send every second, pings start only when a connection has
# gone silent, and the connection is closed 3 s after its last byte.
_KEEPALIVE_MS = 1500
_KEEPALIVE_TIMEOUT_MS = 1500

_SIZES = (
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_receive_message_length', RECEIVE_LIMIT_BYTES),
)
_KEEPALIVE = (
    ('grpc.keepalive_time_ms', _KEEPALIVE_MS),
    ('grpc.keepalive_timeout_ms', _KEEPALIVE_TIMEOUT_MS),
    # gRPC 1.85 keeps a silent connection open for longer than 30 s without
    # this option, whatever the keepalive timeout is.
    ('grpc.http2.ping_timeout_ms', _KEEPALIVE_TIMEOUT_MS),
    ('grpc.keepalive_permit_without_calls', 1),
    ('grpc.http2.max_pings_without_data', 0),
)
_CALL_OPTIONS = (
    *_SIZES,
    ('grpc.enable_retries', 0),
    ('grpc.enable_http_proxy', 0),
    ('grpc.service_config_disable_resolution', 1),
    # Channels share no connections: a new channel is a new connection.
    ('grpc.use_local_subchannel_pool', 1),
)
_STREAM_OPTIONS = (*_CALL_OPTIONS, *_KEEPALIVE)
_SERVER_OPTIONS = (
    *_SIZES,
    *_KEEPALIVE,
    # A newer member at an address proves that the older process ended, which
    # is wrong if two processes can listen there.
    ('grpc.so_reuseport', 0),
    ('grpc.http2.min_ping_interval_without_data_ms', _KEEPALIVE_MS // 3),
    ('grpc.http2.max_ping_strikes', 0),
)


class GrpcService(Protocol):
    """Offer calls to other daemons."""

    def add_to(self, server: aio.Server) -> None:
        """Register the calls with a server that has not started."""


def open_channel(address: str) -> aio.Channel:
    """Create a channel to an IP:port; no name is ever resolved.

    Raise ValueError for anything but an IP address and a port.
    """
    return aio.insecure_channel(_target(address), _STREAM_OPTIONS)


def open_call_channel(address: str) -> aio.Channel:
    """Create a channel for calls with a deadline, which need no keepalive.

    Raise ValueError for anything but an IP address and a port.
    """
    return aio.insecure_channel(_target(address), _CALL_OPTIONS)


class MemberServer:
    """Listen for the calls of other daemons."""

    def __init__(self) -> None:
        """Create a server that neither listens nor offers anything."""
        self._server = aio.server(options=_SERVER_OPTIONS)

    def bind(self, address: str) -> int:
        """Bind an IP:port and return the port; 0 lets the kernel choose.

        Raise RuntimeError when the address cannot be bound.
        """
        return self._server.add_insecure_port(address)

    async def start(self, *services: GrpcService) -> None:
        """Offer services and answer calls."""
        for service in services:
            service.add_to(self._server)
        await self._server.start()

    async def stop(self, grace_seconds: float) -> None:
        """Refuse new calls, and cancel running ones after the grace time."""
        await self._server.stop(grace_seconds)


def _target(address: str) -> str:
    host, _, port = address.rpartition(':')
    version = ipaddress.ip_address(host.strip('[]')).version
    return f'ipv{version}:{host}:{int(port)}'
