"""Run a program that takes orders as JSON lines and answers each of them."""

import asyncio
import contextlib
import json
import os
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import Any, Self, TypeAlias

import attrs

from tests.programs import ROOT, START_SECONDS

Reply: TypeAlias = dict[str, Any]
OrderCall: TypeAlias = Callable[..., Awaitable[Reply]]

_LINE_LIMIT_BYTES = 1024 * 1024


@attrs.define(eq=False)
class Child:
    """Give orders to one program."""

    _reader: asyncio.StreamReader
    _writer: asyncio.StreamWriter

    @classmethod
    @contextlib.asynccontextmanager
    async def running(cls, module: str, *arguments: str) -> AsyncIterator[Self]:
        """Run `python -m module` for the length of the context."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            module,
            *arguments,
            cwd=ROOT,
            env={**os.environ, 'GRPC_VERBOSITY': 'NONE'},
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=_LINE_LIMIT_BYTES,
        )
        if process.stdin is None or process.stdout is None:
            raise RuntimeError(f'{module} has no pipes')
        try:
            yield cls(process.stdout, process.stdin)
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()

    async def ask(self, order: str, **fields: object) -> Reply:
        """Give an order and wait for its answer."""
        line = json.dumps({'order': order, **fields})
        self._writer.write(f'{line}\n'.encode())
        async with asyncio.timeout(START_SECONDS):
            answer = await self._reader.readline()
        if not answer:
            raise RuntimeError(f'the program ended at the order {order}')
        reply: Reply = json.loads(answer)
        return reply


async def serve_orders(handlers: Mapping[str, OrderCall]) -> None:
    """Answer orders on standard input until it ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=_LINE_LIMIT_BYTES)
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        fields = json.loads(line)
        answer = await handlers[fields.pop('order')](**fields)
        print(json.dumps(answer), flush=True)
