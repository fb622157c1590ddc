"""Stand in for callers that keep their connections open."""

import asyncio
import contextlib
import secrets
from collections.abc import Callable

from standins.configs import HOST
from standins.http import encode, read_message

CUT = 'connection closed without an answer'
NO_ANSWER = 'no answer in time'
NO_CONNECTION = 'no connection'


class KeptCaller:
    """Send one request after another on one connection."""

    def __init__(
        self, address: str, path: str, timeout_ms: int, method: str = 'GET'
    ) -> None:
        """Send to a front's address for callers."""
        self.address = address
        self.path = path
        self.timeout_ms = timeout_ms
        self.method = method
        #: Called with each event and the id of the request.
        self.record: Callable[[str, str], None] = lambda event, request_id: None
        #: Status or reason of each request by its id.
        self.answers: dict[str, str] = {}

    async def run(self) -> None:
        """Send requests until cancelled; connect again after a failure."""
        host, _, port = self.address.rpartition(':')
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.2)
                continue
            try:
                while await self._send(reader, writer):
                    await asyncio.sleep(0.01)
            finally:
                writer.close()
            await asyncio.sleep(0.05)

    async def _send(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send a request; return whether the connection stays open."""
        request_id = secrets.token_hex(8)
        self.record('caller sends', request_id)
        writer.write(
            encode(
                f'{self.method} {self.path} HTTP/1.1',
                {
                    'Host': HOST,
                    'Request-Id': request_id,
                    'Deadline-Ms': str(self.timeout_ms),
                },
                b'' if self.method == 'GET' else b'book the band',
            )
        )
        answer = None
        reason = CUT
        with contextlib.suppress(OSError):
            try:
                async with asyncio.timeout(self.timeout_ms / 1000 + 1):
                    answer = await read_message(reader)
            except TimeoutError:
                reason = NO_ANSWER
        self.answers[request_id] = str(answer.status) if answer else reason
        self.record(f'caller gets {self.answers[request_id]}', request_id)
        if answer is None:
            return False
        return answer.headers.get('connection', '').lower() != 'close'
