"""Call the HTTP interfaces of daemons and stand-ins."""

import contextlib
import json
from collections.abc import Mapping
from typing import Any

import aiohttp
import attrs

_CALL_SECONDS = 10


@attrs.frozen
class Reply:
    """Hold a status and the decoded JSON body."""

    status: int
    body: dict[str, Any]


@attrs.frozen
class HttpCalls:
    """Send requests to addresses."""

    session: aiohttp.ClientSession

    async def get(self, address: str, path: str) -> Reply:
        """Send a GET."""
        return await self._send('GET', address, path)

    async def post(
        self,
        address: str,
        path: str,
        body: object,
        headers: Mapping[str, str] | None = None,
    ) -> Reply:
        """Send a POST with a JSON body."""
        return await self._send(
            'POST', address, path, json=body, headers=headers
        )

    async def search(
        self,
        address: str,
        service: str,
        body: object,
        *,
        deadline_ms: int = 400,
        request_id: str = '',
    ) -> Reply:
        """Send a search to a front."""
        headers = {'X-Deadline-Ms': str(deadline_ms)}
        if request_id:
            headers['X-Request-Id'] = request_id
        return await self.post(address, f'/search/{service}', body, headers)

    async def submit(
        self,
        address: str,
        service: str,
        body: object,
        *,
        key: str,
        deadline_ms: int = 400,
        request_id: str = '',
    ) -> Reply:
        """Send a submit to a front."""
        headers = {'X-Deadline-Ms': str(deadline_ms), 'Idempotency-Key': key}
        if request_id:
            headers['X-Request-Id'] = request_id
        return await self.post(address, f'/submit/{service}', body, headers)

    async def _send(
        self, method: str, address: str, path: str, **options: Any
    ) -> Reply:
        async with self.session.request(
            method,
            f'http://{address}{path}',
            timeout=aiohttp.ClientTimeout(_CALL_SECONDS),
            **options,
        ) as reply:
            text = await reply.text()
            with contextlib.suppress(ValueError):
                return Reply(reply.status, json.loads(text))
            return Reply(reply.status, {'text': text})
