"""Test the limits on single requests, and the answers beyond them."""

import asyncio
import contextlib
import re
import time
from collections.abc import AsyncIterator, Sequence

import attrs
import pytest

from dragonflyramp.platform import FrontServer
from dragonflyramp.routes import RequestLimits
from tests.front_harnesses import make_route, make_table, run_harness

_LIMITS = RequestLimits(
    max_header_bytes=16384, header_timeout_seconds=0.5, idle_timeout_seconds=60
)
_TABLE = attrs.evolve(
    make_table(make_route('lookup', target_ms=20000, timeout_ms=30000)),
    request_limits=_LIMITS,
)
_TIMEOUT_SECONDS = 20


def _request(*lines: str, body: bytes = b'', method: str = 'GET') -> bytes:
    """Encode a request of a caller."""
    head = (f'{method} /lookup/x HTTP/1.1', 'Host: h', 'Request-Id: q', *lines)
    return b''.join(('\r\n'.join((*head, '', '')).encode(), body))


def _padding(byte_count: int) -> str:
    text = 'y' * byte_count
    return f'X: {text}'


_HUNDRED = tuple(200 for _ in range(100))
_ONE_BYTE_CHUNKS = b''.join((b'1\r\nx\r\n' * 900, b'0\r\n\r\n'))
_ONE_HEADER = 16384 - len('Host: h\r\nRequest-Id: q\r\nX: \r\n')


@contextlib.asynccontextmanager
async def _connect() -> AsyncIterator[
    tuple[asyncio.StreamReader, asyncio.StreamWriter]
]:
    """Connect to a front whose replicas answer each lookup."""
    async with run_harness(_TABLE) as harness:
        server = FrontServer(harness.front, time.monotonic)
        address = await server.start('127.0.0.1:0', '127.0.0.1:0')
        host, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        with contextlib.closing(writer):
            yield reader, writer
        await server.stop()


async def _read_statuses(reader: asyncio.StreamReader, count: int) -> list[int]:
    """Read until a number of answers has come, or the connection ends."""
    received = b''
    statuses: list[bytes] = []
    async with asyncio.timeout(_TIMEOUT_SECONDS):
        while len(statuses) < count and not reader.at_eof():
            received += await reader.read(65536)
            statuses = re.findall(rb'HTTP/1\.\d (\d{3})', received)
    return [int(status) for status in statuses]


@pytest.mark.parametrize(
    ('sent', 'statuses'),
    [
        (_request(_padding(_ONE_HEADER)), [200]),
        (_request(*('a: b' for _ in range(120))), [200]),
        (_request(_padding(_ONE_HEADER + 1)), [431]),
        (_request(_padding(200_000)), [431]),
        (b''.join((_request(), _request(_padding(40_000)))), [200, 431]),
        (b'\r\n\r\n'.join((b'', _request(), _request())), [200, 200]),
        (b'\r\n' * 40_000, [431]),
        (b'no request\r\n\r\n', [400]),
        (b''.join(_request() for _ in range(100)), _HUNDRED),
        (
            _request(
                'Transfer-Encoding: chunked',
                body=_ONE_BYTE_CHUNKS,
                method='POST',
            ),
            [200],
        ),
        (
            _request(
                'Transfer-Encoding: chunked',
                body=b''.join((b'1;', b'x' * 200_000)),
                method='POST',
            ),
            [413],
        ),
        (_request('Content-Length: 2000', method='POST'), [413]),
        (_request(_padding(9)).rstrip(), [408]),
    ],
)
async def test_answer_at_limit(sent: bytes, statuses: Sequence[int]) -> None:
    """A request inside the limits must be served; others state why not."""
    async with _connect() as (reader, writer):
        writer.write(sent)
        assert await _read_statuses(reader, len(statuses)) == list(statuses)
