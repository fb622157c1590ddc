"""Answer searches without any of the checks of the real tier."""

import asyncio
from collections.abc import Mapping
from typing import Any

import attrs

from tests.http_calls import HttpCalls, Reply
from tests.standins.layouts import Answer

_PATIENCE_SECONDS = 0.06


@attrs.define(eq=False)
class NaiveTier:
    """Merge what one server of each shard has.

    It asks each server for its newest snapshot, takes the replies of a
    server in the order of the requests, and counts the coverage against
    what it merged.
    """

    calls: HttpCalls
    addresses: Mapping[str, str]
    _pending: dict[str, asyncio.Task[Reply]] = attrs.field(factory=dict)

    async def search(self, number: int) -> Answer:
        """Search all shards at once."""
        body = {'number': number}
        parts = await asyncio.gather(
            *(self._part(shard, body) for shard in self.addresses)
        )
        merged = [part for part in parts if part]
        documents = sum(part['documents'] for part in merged)
        coverage = {
            'merged': documents,
            'total': documents,
            'fraction': 1,
            'missing': [],
        }
        found = {
            'request_id': str(number),
            'snapshot': merged[-1]['snapshot'],
            'hits': [hit for part in merged for hit in part['hits']],
            'coverage': coverage,
        }
        return Answer(str(number), body, Reply(200, found))

    async def _part(self, shard: str, body: object) -> dict[str, Any]:
        task = self._pending.pop(shard, None)
        if task is None:
            task = asyncio.create_task(self._ask(shard, body))
        await asyncio.wait([task], timeout=_PATIENCE_SECONDS)
        if task.done():
            return task.result().body
        self._pending[shard] = task
        return {}

    async def _ask(self, shard: str, body: object) -> Reply:
        address = self.addresses[shard]
        status = await self.calls.get(address, '/status')
        newest = max(
            status.body['snapshots'], key=lambda one: int(one['generation'])
        )
        headers = {'X-Snapshot-Id': newest['id'], 'X-Deadline-Ms': '1000'}
        return await self.calls.post(address, '/search', body, headers)
