"""Define requests and replies, independent of their wire encoding."""

from typing import TypeAlias

import attrs

#: A tuple, so that no owner of a message can change the headers of another.
Headers: TypeAlias = tuple[tuple[str, str], ...]


@attrs.frozen(kw_only=True)
class Request:
    """Caller's request in the form forwarded to backend servers."""

    request_id: str
    method: str
    #: Path and query string, forwarded byte for byte.
    path_and_query: str
    #: End-to-end headers; hop-by-hop headers are removed. They may hold an API
    #: key, which is secret.
    headers: Headers = attrs.field(repr=False)
    #: The same without the API key and the tenant that the caller names, for
    #: replicas if tenants are configured.
    headers_without_tenant: Headers = attrs.field(
        repr=False,
        default=attrs.Factory(lambda request: request.headers, takes_self=True),
    )
    body: bytes = b''
    #: Whether the caller sent a body, which may be empty.
    has_body: bool = False
    #: Whether the caller asked for a content coding of the reply, such as gzip.
    accepts_content_coding: bool = False


@attrs.frozen
class Load:
    """Load reported by a replica: running and waiting requests, and slots."""

    running: int
    waiting: int
    slots: int
    #: How long work takes now, as a multiple of the usual; None if unknown.
    work_time_ratio: float | None = None


@attrs.frozen(kw_only=True)
class Reply:
    """Complete reply of a backend server."""

    status: int
    headers: Headers
    body: bytes
    #: The server's signature of this reply; empty if it gave none.
    stamp: str = ''
    #: Request id echoed by the server; empty if it echoed none.
    request_id: str = ''
    #: Whether the server states that it did not run the request.
    is_not_run: bool = False
    #: Whether the address now belongs to another server.
    is_misdirected: bool = False
    load: Load | None = None
    #: How long the server keeps an idle connection open; None if unknown.
    keep_alive_seconds: float | None = None
    closes_connection: bool = False
    #: Whether the body has a content coding.
    has_content_coding: bool = False
    #: Whether the body has a transfer coding other than chunked.
    has_transfer_coding: bool = False
    #: Whether the server states that it leaves and wants no further requests.
    is_leaving: bool = False
    #: For how long the server wants no requests; None if it does not say.
    pause_seconds: float | None = None

    @property
    def is_success(self) -> bool:
        """Return whether the status is in the 2xx class."""
        return 200 <= self.status < 300  # noqa: WPS432 - HTTP status classes
