"""Define the interface for encoding requests and decoding replies."""

from typing import Protocol

from dragonflyramp.messages import Headers, Reply, Request


class Codec(Protocol):
    """Encoder of requests and decoder of replies for one protocol."""

    def encode(
        self,
        request: Request,
        replica_id: str,
        remaining_ms: int,
        tenant_name: str | None = None,
    ) -> bytes:
        """Encode a request to one replica, with the remaining time in ms.

        With a tenant name, which may be empty, the request has no other name
        of a tenant and no API key.
        """

    def decode(self, status: int, headers: Headers, body: bytes) -> Reply:
        """Decode a complete reply; invalid header fields are ignored."""
