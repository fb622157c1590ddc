"""Test responses of the store whose status is no success."""

import asyncio
import contextlib
import functools

import pytest
from returns.result import Failure

from dragonflyramp.platform import open_store
from tests.standins.listeners import address_of, listen

_BODY = b'{"meta": {"name": "n", "rev": 1}, "spec": {}}'


async def _respond(
    status_line: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.closing(writer):
        await reader.readuntil(b'\r\n\r\n')
        lines = (f'HTTP/1.1 {status_line}', f'Content-Length: {len(_BODY)}')
        writer.write('\r\n'.join((*lines, '', '')).encode() + _BODY)
        await writer.drain()


@pytest.mark.parametrize(
    'status_line',
    [
        '000 Zero',
        '099 Low',
        '302 Found',
        '600 Odd',
        '999 Odd',
        '20 OK',
        '2000 OK',
        '+20 OK',
        '2x0 OK',
        'ABC OK',
    ],
)
async def test_status_that_is_no_success_fails_call(status_line: str) -> None:
    """A write must not count as done without a status that says so."""
    server = await listen(functools.partial(_respond, status_line))
    async with server, open_store(address_of(server), 0.5) as store:
        written = await store.create('config', 'n', {})
    assert isinstance(written, Failure)
