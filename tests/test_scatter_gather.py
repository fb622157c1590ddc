"""Test that an exception in one shard's task affects only that shard."""

import random
from collections.abc import Sequence

from dragonflyramp.backends import NoHedging, Policies, Replica
from dragonflyramp.callers import MergedAnswer
from dragonflyramp.metrics import counters
from dragonflyramp.placement import ReplicaSelector, SelectionInputs
from dragonflyramp.routes import GatherSettings
from tests.front_harnesses import make_route, make_table, run_harness

_SEARCH_TABLE = make_table(
    make_route(gather=GatherSettings(('a', 'b'), 3, 0.5))
)


class _FailingSelector(ReplicaSelector):
    def select(
        self,
        candidates: Sequence[Replica],
        inputs: SelectionInputs,
        rng: random.Random,
    ) -> Replica | None:
        """Raise an error for service `a`."""
        if candidates[0].entry.service == 'a':
            raise RuntimeError
        return candidates[0]


async def test_failed_shard_task_is_counted() -> None:
    """An exception in a shard's task must not be mistaken for a slow shard."""
    count_before = counters.get('task_failures', 'shard')
    policies = Policies(selector=_FailingSelector(), hedging=NoHedging())
    async with run_harness(_SEARCH_TABLE, policies=policies) as harness:
        answer = await harness.send(deadline_ms=60_000)
    assert isinstance(answer, MergedAnswer)
    assert answer.missing_count == 1
    assert counters.get('task_failures', 'shard') == count_before + 1
