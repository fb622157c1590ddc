"""Encode requests to replicas and decode their replies."""

import weakref
from http import HTTPStatus

import attrs

from dragonflyramp.messages import Headers, Reply, Request
from dragonflyramp.metrics import counters
from dragonflyramp.platform import _headers as http_headers
from dragonflyramp.replica_connections import (
    Codec,
)


@attrs.frozen
class _SharedHead:
    request: weakref.ref[Request]
    tenant_name: str | None
    encoded: bytes = attrs.field(repr=False)


@attrs.define(eq=False)
class ReplicaCodec(Codec):
    """Encode requests to replicas and decode their replies in HTTP/1.1."""

    _last_head: _SharedHead | None = None

    def encode(
        self,
        request: Request,
        replica_id: str,
        remaining_ms: int,
        tenant_name: str | None = None,
    ) -> bytes:
        """Encode a request with its deadline and the expected replica id.

        With tenants, the caller's API key is left out, and the name of its
        tenant in UTF-8 replaces whatever the caller sent.
        """
        own_lines = (
            f'{http_headers.DEADLINE_MS}: {remaining_ms}\r\n'
            f'{http_headers.EXPECT_INSTANCE}: {replica_id}\r\n\r\n'
        )
        head = self._shared_head(request, tenant_name)
        return head + own_lines.encode('latin-1') + request.body

    def decode(self, status: int, headers: Headers, body: bytes) -> Reply:
        """Decode a reply and the headers that the backend client uses."""
        by_name = _combine_by_name(headers)
        is_misdirected = status == _MISDIRECTED_STATUS
        pause_seconds = None
        if status in _PAUSE_STATUSES:
            pause_seconds = _parse_pause_seconds(by_name.get(_RETRY_AFTER_KEY))
        keep_alive_seconds = None
        keep_alive = by_name.get(_KEEP_ALIVE_KEY)
        if keep_alive is not None:
            keep_alive_seconds = http_headers.parse_keep_alive_seconds(
                keep_alive
            )
        transfer_coding = by_name.get(_TRANSFER_CODING_KEY, _CHUNKED)
        return Reply(
            status=status,
            headers=headers,
            body=body,
            stamp=_decode_stamp(by_name.get(_STAMP_KEY, '')),
            request_id=by_name.get(_REQUEST_ID_KEY, ''),
            is_not_run=_NOT_EXECUTED_KEY in by_name or is_misdirected,
            is_misdirected=is_misdirected,
            load=http_headers.parse_load(by_name.get(_LOAD_KEY)),
            keep_alive_seconds=keep_alive_seconds,
            closes_connection=_CONNECTION_KEY in by_name
            and 'close' in by_name[_CONNECTION_KEY].lower(),
            has_content_coding=_CONTENT_CODING_KEY in by_name,
            has_transfer_coding=transfer_coding.lower() != _CHUNKED,
            is_leaving=_LEAVING_KEY in by_name
            and by_name[_LEAVING_KEY].strip() == '1',
            pause_seconds=pause_seconds,
        )

    def _shared_head(self, request: Request, tenant_name: str | None) -> bytes:
        """Return the lines that are equal in all attempts at a request.

        Those of the last request are kept: the parts of a search follow each
        other.
        """
        last = self._last_head
        if (
            last is not None
            and last.request() is request
            and last.tenant_name == tenant_name
        ):
            return last.encoded
        encoded = _encode_head(request, tenant_name)
        self._last_head = _SharedHead(
            weakref.ref(request), tenant_name, encoded
        )
        return encoded


def _encode_head(request: Request, tenant_name: str | None) -> bytes:
    headers = request.headers
    if tenant_name is not None:
        headers = request.headers_without_tenant
    lines = [f'{request.method} {request.path_and_query} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in headers)
    if tenant_name:
        tenant_text = http_headers.encode_utf8(tenant_name)
        lines.append(f'{http_headers.TENANT}: {tenant_text}')
    if request.has_body:
        length = len(request.body)
        lines.append(f'Content-Length: {length}')
    lines.append('')
    return '\r\n'.join(lines).encode('latin-1')


def _combine_by_name(headers: Headers) -> dict[str, str]:
    """Return the headers by lower-case name, equal names joined by commas."""
    by_name = {name.lower(): text for name, text in headers}
    if len(by_name) < len(headers):
        by_name.clear()
        for name, text in headers:
            key = name.lower()
            by_name[key] = f'{by_name[key]}, {text}' if key in by_name else text
    return by_name


def _decode_stamp(text: str) -> str:
    """Return a stamp that can be an entry of Part-Stamps, else ''."""
    is_visible = text.isascii() and text.isprintable()
    is_single = ',' not in text and ' ' not in text
    return text if is_visible and is_single else ''


def _parse_pause_seconds(text: str | None) -> float | None:
    """Parse Retry-After in seconds; count and ignore a malformed one."""
    pause_seconds = http_headers.parse_number(text)
    if text is not None and pause_seconds is None:
        counters.add('backend_faults', 'bad_retry_after')
    return pause_seconds


_STAMP_KEY = http_headers.STAMP.lower()
_REQUEST_ID_KEY = http_headers.REQUEST_ID.lower()
_NOT_EXECUTED_KEY = http_headers.NOT_EXECUTED.lower()
_LOAD_KEY = http_headers.LOAD.lower()
_LEAVING_KEY = http_headers.LEAVING.lower()
_CONNECTION_KEY = 'connection'
_KEEP_ALIVE_KEY = 'keep-alive'
_CONTENT_CODING_KEY = 'content-encoding'
_TRANSFER_CODING_KEY = 'transfer-encoding'
_CHUNKED = 'chunked'
_RETRY_AFTER_KEY = http_headers.RETRY_AFTER.lower()
_MISDIRECTED_STATUS = int(HTTPStatus.MISDIRECTED_REQUEST)
#: Statuses with which a replica turns a request away.
_PAUSE_STATUSES = (
    int(HTTPStatus.SERVICE_UNAVAILABLE),
    int(HTTPStatus.TOO_MANY_REQUESTS),
)
