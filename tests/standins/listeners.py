"""Open loopback ports for stand-ins."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

ConnectionHandler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


async def listen(serve: ConnectionHandler, port: int = 0) -> asyncio.Server:
    """Listen on a loopback port, by default a free one."""
    return await asyncio.start_server(serve, '127.0.0.1', port)


def address_of(server: asyncio.Server) -> str:
    """Return the `IP:port` at which a server listens."""
    host, port = server.sockets[0].getsockname()[:2]
    return f'{host}:{port}'


def reserve_port() -> socket.socket:
    """Return a socket bound to a port that nothing else gets from the kernel.

    A server can listen on the port beside the bound socket.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(('127.0.0.1', 0))
    return sock
