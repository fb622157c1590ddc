"""Define what encodes requests to backend servers and decodes replies."""

from typing import Protocol

from dragonflyramp.messages import Headers, Reply, Request


class Codec(Protocol):
    """Translate between requests, replies and the bytes of the protocol."""

    def encode(self, request: Request, replica_id: str, left_ms: int) -> bytes:
        """Encode a request to one replica with the time that is left."""

    def decode(self, status: int, headers: Headers, body: bytes) -> Reply:
        """Decode a complete reply; unreadable fields count as absent."""
