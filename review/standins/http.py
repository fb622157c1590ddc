"""Read and write HTTP/1.1 messages on asyncio streams."""

import asyncio
import contextlib
import json
from typing import Any


class Message:
    """Request or answer: its first line, headers and body."""

    def __init__(
        self, first_line: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Keep the parts; the names of headers are in lowercase."""
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first_line.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message; return None at the end of the stream."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first_line, *lines = head.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    try:
        body = await _read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(first_line, headers, body)


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    if headers.get('transfer-encoding', '').lower() != 'chunked':
        return await reader.readexactly(int(headers.get('content-length', 0)))
    body = b''
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return body


def encode(first_line: str, headers: dict[str, str], body: bytes) -> bytes:
    """Encode a message with a Content-Length."""
    lines = [first_line, *(f'{name}: {headers[name]}' for name in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def encode_json(status: int, value: Any) -> bytes:
    """Encode an answer with a JSON body."""
    return encode(
        f'HTTP/1.1 {status} Status',
        {'Content-Type': 'application/json'},
        json.dumps(value).encode(),
    )


async def call(
    address: str, request: bytes, timeout_seconds: float
) -> Message | str:
    """Send one request on a new connection; return the answer or a reason."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request)
            answer = await read_message(reader)
            return answer if answer is not None else 'connection closed'
    except TimeoutError:
        return 'no answer in time'
    except OSError as error:
        return f'no connection: {error.strerror}'
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
