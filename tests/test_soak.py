"""Run short soaks, and test that their checks detect violations."""

import pathlib

import attrs
import pytest

from tests.soaks import run_seed
from tests.soaks._callers import RequestRecord
from tests.soaks._checks import (
    Execution,
    Observations,
    ReceivedRequests,
    find_violations,
)
from tests.soaks._faults import draw_faults

#: Seed 5 failed when the proxy forwarded a reset as a close, so that a
#: truncated body without a length looked complete. Seed 39 failed when a SIGHUP
#: during the start of a front terminated it. Seed 186 failed when replies
#: without a length lost their headers, or had a second reply in their body.
_SEEDS = (1, 5, 39, 186)
_RUN_SECONDS = 6


@pytest.mark.parametrize('seed', _SEEDS)
async def test_guarantees_hold_under_faults(
    seed: int, tmp_path: pathlib.Path
) -> None:
    """Fronts must keep their guarantees during overlapping faults."""
    soak_result = await run_seed(seed, _RUN_SECONDS, tmp_path)
    assert not soak_result.violations
    assert soak_result.success_count


def test_seed_draws_same_faults() -> None:
    """A violation must be reproducible from its seed."""
    assert draw_faults(7, 12) == draw_faults(7, 12)
    assert draw_faults(7, 12) != draw_faults(8, 12)


_ORDER = RequestRecord(
    request_id='q1',
    path='/order/x',
    front_name='front-0',
    process_id=1,
    started_at_seconds=100,
    ended_at_seconds=101,
    status=200,
    headers={'Server-Stamp': 'lookup-0.1', 'Request-Id': 'q1'},
    body=b'ppppppppppppppppq1',
)
_SEARCH = attrs.evolve(
    _ORDER,
    request_id='search-000000001',
    path='/search/x',
    headers={
        'Part-Stamps': 'shard-a-0.1, shard-c-1.1',
        'Missing-Parts': '1',
    },
    body=b'search-000000001' * 2 + b'c' * 16 + b'a' * 16,
)
_EXECUTION = Execution(
    request_id='q1',
    service='lookup',
    replica_id='lookup-0',
    started_at_seconds=100.5,
)
_PARTS = tuple(
    attrs.evolve(
        _EXECUTION,
        request_id='search-000000001',
        service=replica_id[:7],
        replica_id=replica_id,
    )
    for replica_id in ('shard-a-0', 'shard-c-1')
)
_OBSERVATIONS = Observations(
    requests=(_ORDER, _SEARCH),
    executions=(_EXECUTION, *_PARTS),
    drain_started_at_seconds={},
    unplanned_fault_spans=(),
    budget_slack=2,
)


def test_correct_run_has_no_violations() -> None:
    """The checks must not report violations in a correct run."""
    assert not find_violations(_OBSERVATIONS)


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        (
            {'requests': (attrs.evolve(_SEARCH, body=b'a' * 16),)},
            'body does not match its parts',
        ),
        (
            {
                'requests': (
                    attrs.evolve(
                        _SEARCH,
                        headers={'Part-Stamps': 'shard-a-0.1, shard-a-1.1'},
                    ),
                )
            },
            'unknown or duplicate shards',
        ),
        (
            {'requests': (attrs.evolve(_ORDER, headers={}),)},
            'without a Server-Stamp',
        ),
        (
            {'requests': (attrs.evolve(_ORDER, headers={}),)},
            'another Request-Id, or none',
        ),
        (
            {'executions': (attrs.evolve(_EXECUTION, request_id='q2'),)},
            'lookup-0.1 is the stamp of another request',
        ),
        ({'executions': (_EXECUTION,)}, 'stamp of another request in'),
        (
            {
                'requests': (
                    attrs.evolve(
                        _SEARCH, headers=_ORDER.headers | _SEARCH.headers
                    ),
                )
            },
            'search with a Server-Stamp',
        ),
        (
            {'requests': (attrs.evolve(_ORDER, status=502),)},
            'of another answer',
        ),
        (
            {
                'log_lines': (
                    '{"message": "answer has no proof and is not sent"}',
                )
            },
            'without a proof',
        ),
        (
            {'requests': (attrs.evolve(_ORDER, request_id='q2'),)},
            'body is not its own',
        ),
        (
            {'requests': (attrs.evolve(_ORDER, body=b'ppppppppppppppppq'),)},
            'or not whole',
        ),
        ({'executions': (_EXECUTION, _EXECUTION)}, 'ran 2 times'),
        (
            {'requests': (attrs.evolve(_ORDER, status=503),)},
            'means that it did not',
        ),
        (
            {'executions': (_EXECUTION,) * 5, 'requests': ()},
            '3 extra executions for 1 requests',
        ),
        ({'drain_started_at_seconds': {'lookup-0': 97}}, 'which was draining'),
        (
            {'crashed_at_seconds': (1, 2, 3, 4, 5, 6, 7)},
            'ended 4 replicas after it had ended 3',
        ),
        (
            {
                'received': (
                    ReceivedRequests(
                        replica_id='lookup-0',
                        arrivals=((99, 'q1'), (100.6, 'q1')) * 3,
                        notices=((100, 'q1', 1.5),),
                    ),
                )
            },
            'wants no more',
        ),
        (
            {
                'received': (
                    ReceivedRequests(
                        replica_id='lookup-0',
                        arrivals=(),
                        notices=(),
                        bodies=(bytes(range(200)),),
                    ),
                )
            },
            'got a changed body',
        ),
        (
            {'requests': (attrs.evolve(_ORDER, status=0),)},
            'failed before the answer was complete',
        ),
        (
            {
                'requests': (
                    attrs.evolve(_ORDER, path='/newest/x'),
                    attrs.evolve(
                        _ORDER,
                        path='/newest/x',
                        started_at_seconds=102,
                        status=404,
                    ),
                )
            },
            'served before is now unknown',
        ),
    ],
)
def test_violations_are_detected(
    changes: dict[str, object], expected: str
) -> None:
    """Each check must report a violation of its guarantee."""
    violations = find_violations(
        attrs.evolve(_OBSERVATIONS, **changes)  # type: ignore[arg-type]
    )
    assert any(expected in violation for violation in violations)


def test_violations_during_recovery_are_allowed() -> None:
    """The checks must allow a late drain after an unplanned fault."""
    observations = attrs.evolve(
        _OBSERVATIONS,
        drain_started_at_seconds={'lookup-0': 97},
        unplanned_fault_spans=((98.0, 99.0),),
    )
    assert not find_violations(observations)
