"""Run Python modules as child processes and read their output."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
from collections.abc import Mapping, Sequence
from typing import Any, Self

import attrs

ROOT = pathlib.Path(__file__).parents[1]
#: Timeout of each wait. It only prevents a hang: a start takes about a second.
PROGRAM_TIMEOUT_SECONDS = 60
_LINE_LIMIT_BYTES = 4 * 1024 * 1024


@attrs.define(eq=False)
class Program:
    """Run a program in a child process and collect its output."""

    name: str
    process: asyncio.subprocess.Process
    #: Lines of standard output and standard error.
    lines: list[str] = attrs.field(factory=list)
    _readers: list[asyncio.Task[None]] = attrs.field(factory=list)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @classmethod
    async def start(
        cls,
        module: str,
        arguments: Sequence[str] = (),
        *,
        stdin: bytes | None = None,
        environment: Mapping[str, str] | None = None,
        root: pathlib.Path = ROOT,
    ) -> Self:
        """Start `python -m module` in the root of a checkout."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            module,
            *arguments,
            cwd=root,
            env={**os.environ, **(environment or {})},
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            limit=_LINE_LIMIT_BYTES,
        )
        program = cls(module, process)
        await program._connect_streams(stdin)
        return program

    async def wait_json(self, key: str) -> dict[str, Any]:
        """Wait for a line with a JSON object that has the key; return it."""
        async with asyncio.timeout(PROGRAM_TIMEOUT_SECONDS):
            while not self._find(key):
                if self.process.returncode is not None:
                    raise AssertionError('\n'.join(self.lines))
                self._changed.clear()
                await self._changed.wait()
        return self._find(key)

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running.

        `Popen.send_signal` polls first. It could reap a process that has just
        ended, and asyncio would not learn the exit code.
        """
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal_number)

    async def wait(self) -> int:
        """Wait until the process exits and return its exit code."""
        async with asyncio.timeout(PROGRAM_TIMEOUT_SECONDS):
            exit_code = await self.process.wait()
            await asyncio.gather(*self._readers)
        return exit_code

    async def kill(self) -> None:
        """Kill the process, even if it is suspended."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
        for reader in self._readers:
            reader.cancel()

    def _find(self, key: str) -> dict[str, Any]:
        for line in self.lines:
            parsed = _parse(line)
            if key in parsed:
                return parsed
        return {}

    async def _connect_streams(self, stdin: bytes | None) -> None:
        if self.process.stdin is not None:
            if stdin is not None:
                self.process.stdin.write(stdin)
                await self.process.stdin.drain()
            self.process.stdin.close()
        for stream in (self.process.stdout, self.process.stderr):
            if stream is not None:
                self._readers.append(asyncio.create_task(self._read(stream)))

    async def _read(self, stream: asyncio.StreamReader) -> None:
        while line := await stream.readline():
            self.lines.append(line.decode(errors='replace').rstrip())
            self._changed.set()
        self._changed.set()


def _parse(line: str) -> dict[str, Any]:
    with contextlib.suppress(ValueError):
        parsed = json.loads(line)
        if isinstance(parsed, dict):
            return parsed
    return {}
