"""Bind the addresses that a daemon's settings give."""

import socket

_BACKLOG = 1024


def bind(address: str) -> socket.socket:
    """Listen on an IP:port; raise OSError when it cannot be bound."""
    host, port = split(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    return socket.create_server((host, port), family=family, backlog=_BACKLOG)


def split(address: str) -> tuple[str, int]:
    """Split an IP:port; IPv6 addresses are in brackets.

    >>> split('[::1]:80')
    ('::1', 80)
    """
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


def with_port(address: str, port: int) -> str:
    """Replace the port of an IP:port.

    >>> with_port('127.0.0.1:0', 8080)
    '127.0.0.1:8080'
    """
    host, _, _ = address.rpartition(':')
    return f'{host}:{port}'
