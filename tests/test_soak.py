"""Run a short soak, and show that its checks see what they are for."""

import pathlib

import attrs
import pytest

from tests.soaks import run_seed
from tests.soaks._callers import Asked
from tests.soaks._checks import Arrival, Seen, violations
from tests.soaks._faults import draw

#: Seed 5: a body without a length that a reset cut short looked complete,
#: because the proxy passed the reset on as an end of the stream.
#: Seed 39: a SIGHUP that came while a front started ended it.
_SEEDS = (1, 5, 39)
_SECONDS = 6


@pytest.mark.parametrize('seed', _SEEDS)
async def test_promises_hold_under_faults(
    seed: int, tmp_path: pathlib.Path
) -> None:
    """Faults that overlap must break no promise to callers or replicas."""
    run = await run_seed(seed, _SECONDS, tmp_path)
    assert not run.violations
    assert run.served


def test_a_seed_draws_the_same_faults() -> None:
    """A seed that failed must fail again in the same way."""
    assert draw(7, 12) == draw(7, 12)
    assert draw(7, 12) != draw(8, 12)


_ORDER = Asked(
    request_id='q1',
    path='/order/x',
    front='front-0',
    incarnation=1,
    started_seconds=100,
    ended_seconds=101,
    status=200,
    headers={'Server-Stamp': 'lookup-0.1'},
)
_SEARCH = attrs.evolve(
    _ORDER,
    path='/search/x',
    headers={
        'Part-Stamps': 'shard-a-0.1, shard-c-1.4',
        'Missing-Parts': '1',
    },
    body=b'c' * 16 + b'a' * 16,
)
_ARRIVAL = Arrival(
    request_id='q1',
    service='lookup',
    replica_id='lookup-0',
    at_seconds=100.5,
)
_SEEN = Seen(
    asked=(_ORDER, _SEARCH),
    arrivals=(_ARRIVAL,),
    drained={},
    troubles=(),
    slack=2,
)


def test_checks_pass_what_is_right() -> None:
    """A check that cries wolf hides the failures that matter."""
    assert not violations(_SEEN)


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        (
            {'asked': (attrs.evolve(_SEARCH, body=b'a' * 16),)},
            'not that of its parts',
        ),
        (
            {
                'asked': (
                    attrs.evolve(
                        _SEARCH,
                        headers={'Part-Stamps': 'shard-a-0.1, shard-a-1.1'},
                    ),
                )
            },
            'parts of',
        ),
        ({'asked': (attrs.evolve(_ORDER, headers={}),)}, 'without a stamp'),
        ({'arrivals': (_ARRIVAL, _ARRIVAL)}, 'ran 2 times'),
        ({'asked': (attrs.evolve(_ORDER, status=503),)}, 'says it has not'),
        ({'arrivals': (_ARRIVAL,) * 5, 'asked': ()}, '3 extra for 1'),
        ({'drained': {'lookup-0': 97}}, 'which left'),
        ({'asked': (attrs.evolve(_ORDER, status=0),)}, 'cut off at'),
        (
            {
                'asked': (
                    attrs.evolve(_ORDER, path='/newest/x'),
                    attrs.evolve(
                        _ORDER,
                        path='/newest/x',
                        started_seconds=102,
                        status=404,
                    ),
                )
            },
            'a route that was known',
        ),
    ],
)
def test_checks_see_broken_promises(
    changes: dict[str, object], expected: str
) -> None:
    """A check that sees nothing proves nothing."""
    found = violations(attrs.evolve(_SEEN, **changes))  # type: ignore[arg-type]
    assert any(expected in one for one in found)


def test_trouble_excuses_what_follows_it() -> None:
    """A front that was just cut off may know of a leaving replica late."""
    seen = attrs.evolve(
        _SEEN, drained={'lookup-0': 97}, troubles=((98.0, 99.0),)
    )
    assert not violations(seen)
