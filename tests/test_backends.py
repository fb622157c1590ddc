"""Test BackendTier against backend servers in the same process."""

import json
from typing import Any

from dragonflyramp.results import ResultCode
from tests.backend_rig import running
from tests.standins.backend_models import ServerSpec


def specs(*replica_ids: str, **fields: Any) -> list[ServerSpec]:
    """Describe servers whose shard is the first part of the id."""
    return [
        ServerSpec(
            replica_id=replica_id,
            shard=replica_id.partition('-')[0],
            **fields,
        )
        for replica_id in replica_ids
    ]


async def test_search_gives_one_part_per_attempt() -> None:
    """A lost or doubled part would leave a search open or miscounted."""
    async with running(specs('x-1', 'x-2', 'y-1', 'y-2')) as rig:
        rig.make_warm()
        parts = await rig.search(rig.query('x', 'y'))
        assert {part.code for part in parts.values()} == {ResultCode.ok}
        assert {part.documents for part in parts.values()} == {100}
        assert json.loads(parts['x'].body)['hits'][0]['id'] == 'x/1'
