"""Test callers that send bytes without end."""

import asyncio
import contextlib
import pathlib
import re
from collections.abc import Mapping
from types import MappingProxyType
from typing import TypeAlias

import pytest

from tests.deployments import HOST, FrontProcess, run_deployment

#: `memory_mb` of the smallest VM in force.
_MAX_MEMORY_MB = 200
_CALLER_COUNT = 40
_BYTES_PER_CALLER = 15_000_000
_BLOCK_BYTES = 65_536
_HEAD = f'POST /lookup/x HTTP/1.1\r\nHost: {HOST}\r\n'.encode()
_Form: TypeAlias = tuple[tuple[bytes, ...], bytes]
_FORMS: Mapping[str, _Form] = MappingProxyType(
    {
        'headers': ((_HEAD,), b'a:\r\n'),
        'header': ((_HEAD, b'X: '), b'y'),
        'body': ((_HEAD, b'Content-Length: 99999999999\r\n\r\n'), b'x'),
        'chunk-extension': (
            (_HEAD, b'Transfer-Encoding: chunked\r\n\r\n', b'1;'),
            b'x',
        ),
    }
)


async def _send_without_end(
    front: FrontProcess, start: bytes, block: bytes
) -> None:
    """Send bytes until a limit, on a new connection after each end."""
    host, _, port = front.frontend_address.rpartition(':')
    left_bytes = _BYTES_PER_CALLER
    while left_bytes > 0:
        _, writer = await asyncio.open_connection(host, int(port))
        left_bytes -= _BLOCK_BYTES
        with contextlib.suppress(ConnectionError, TimeoutError):
            writer.write(start)
            while left_bytes > 0:
                writer.write(block)
                async with asyncio.timeout(1):
                    await writer.drain()
                left_bytes -= len(block)
        writer.transport.abort()


@pytest.mark.parametrize('form', _FORMS)
async def test_endless_callers_do_not_fill_memory(
    tmp_path: pathlib.Path, form: str
) -> None:
    """Bytes without end from callers must not end a front.

    The requests of other callers on the front would end with it.
    """
    start, piece = _FORMS[form]
    block = piece * (_BLOCK_BYTES // len(piece))
    async with run_deployment(tmp_path, 1, 1) as deployment:
        front = deployment.fronts[0]
        async with asyncio.TaskGroup() as sending:
            for _ in range(_CALLER_COUNT):
                sending.create_task(
                    _send_without_end(front, b''.join(start), block)
                )
        process_id = front.program.process.pid
        status = pathlib.Path('/proc', str(process_id), 'status')
        peak = re.search(r'VmHWM:\s+(\d+)', status.read_text())
        assert peak is not None
        assert int(peak[1]) // 1024 < _MAX_MEMORY_MB
