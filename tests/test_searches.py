"""Test searches end to end against scripted relays, in virtual time."""

import asyncio
import itertools

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from dragonflyramp.callers import NAIVE_POLICIES, FrontPolicies
from dragonflyramp.messages import Report
from dragonflyramp.results import ResultCode
from tests.standins.front_cases import ALL, Case, Found, codes
from tests.standins.front_fakes import (
    DESK,
    Asked,
    Behaviour,
    Reply,
    report,
    snapshot,
)
from tests.standins.virtual_time import clock, run_virtual


def on_first_relay(reply: Reply | None) -> Behaviour:
    """Give a reply at the first relay and answer everything elsewhere."""
    return lambda asked: reply if asked.relay_id == 'r1' else Reply()


def failing(code: ResultCode) -> Behaviour:
    """Fail every attempt at the first relay."""
    return on_first_relay(Reply(code=code))


A40 = report('r1', ALL, snapshot('A', total=40))
B40 = report('r1', ALL, snapshot('B', total=40))
SHORT_A40 = report('r1', ALL[:3], snapshot('A', total=40))
NEW_B40 = report('r2', ALL, snapshot('B', generation=2, total=40))
A39 = report('r1', ALL, snapshot('A', total=39))
A80 = report('r1', ALL, snapshot('A', total=80))
UNKNOWN_A = report('r1', ALL, snapshot('A'))


@pytest.mark.parametrize(
    ('reports', 'chosen', 'fraction'),
    [
        ((A40,), 'A', 1),
        ((SHORT_A40, B40), 'B', 1),
        ((A40, NEW_B40), 'B', 1),
        ((A80,), 'A', 0.5),
        ((A39,), 'A', None),
        ((UNKNOWN_A,), 'A', None),
        ((A40, A80), 'A', None),
    ],
)
def test_snapshot_choice_and_coverage(
    reports: tuple[Report, ...], chosen: str, fraction: float | None
) -> None:
    """A wrong choice or total would lose documents or overstate coverage."""
    answer = Case(lambda asked: Reply(), reports).answer()
    assert answer.snapshot_id == chosen
    assert answer.coverage.fraction == fraction


@pytest.mark.parametrize(
    'behaviour',
    [
        on_first_relay(None),
        on_first_relay(Reply(loses_relay=True)),
        failing(ResultCode.not_owner),
        failing(ResultCode.no_lease),
        failing(ResultCode.stopping),
    ],
)
def test_missing_shards_go_to_next_relay(behaviour: Behaviour) -> None:
    """A frozen, lost or former holder would cost the whole answer."""
    case = Case(behaviour)
    assert case.answer().coverage.fraction == 1
    assert [relay_id for relay_id, _ in case.links.queries] == ['r1', 'r2']


def test_unreachable_relay_is_skipped() -> None:
    """A message that was not sent would be waited for."""
    case = Case(lambda asked: Reply())
    case.links.unreachable.add('r1')
    assert case.answer().coverage.fraction == 1


@pytest.mark.parametrize(
    ('reply', 'code', 'messages'),
    [
        (None, ResultCode.deadline_exceeded, 2),
        (Reply(loses_relay=True), ResultCode.relay_lost, 2),
        (Reply(code=ResultCode.not_owner), ResultCode.not_owner, 2),
        (Reply(code=ResultCode.shed), ResultCode.shed, 1),
        (Reply(code=ResultCode.snapshot_gone), ResultCode.snapshot_gone, 1),
    ],
)
def test_failing_shards_are_asked_once_more(
    reply: Reply | None, code: ResultCode, messages: int
) -> None:
    """Unbounded resends would multiply the load when everything fails."""
    case = Case(lambda asked: reply)
    assert codes(case.answer()) == dict.fromkeys(ALL, code)
    assert len(case.links.queries) == messages


def slow_last_shard(asked: Asked) -> Reply:
    """Answer the last shard only after 150 ms."""
    return Reply(delay_ms=150 if asked.shard == 's3' else 1)


@pytest.mark.parametrize(
    ('policies', 'merged', 'elapsed_ms', 'cancelled'),
    [(FrontPolicies(), 30, 60, 'r1'), (NAIVE_POLICIES, 40, 150, 'r2')],
)
def test_early_answer_at_target(
    policies: FrontPolicies, merged: int, elapsed_ms: int, cancelled: str
) -> None:
    """A late answer loses the caller; the rest must not run on."""
    desk = attrs.evolve(DESK, coverage_target=0.75, answer_after_ms=60)
    case = Case(slow_last_shard, desk=desk, policies=policies)

    async def timed() -> tuple[Found, float]:  # noqa: WPS430 - one use
        started = clock()
        found = await case.search()
        return found, clock() - started

    found, elapsed_seconds = run_virtual(timed())
    assert found.unwrap().coverage.merged == merged
    assert elapsed_seconds == pytest.approx(elapsed_ms / 1000)
    assert [relay_id for relay_id, _ in case.links.cancelled] == [cancelled]


def gone_at(shard: str, *snapshots: str) -> Behaviour:
    """Lose snapshots at one shard."""
    return lambda asked: (
        Reply(code=ResultCode.snapshot_gone)
        if asked.shard == shard and asked.query.snapshot_id in snapshots
        else Reply(delay_ms=2)
    )


@pytest.mark.parametrize(
    ('shards_of_b', 'behaviour', 'chosen', 'merged', 'messages'),
    [
        (ALL, gone_at('s3', 'A'), 'B', 40, 2),
        (ALL, gone_at('s3', 'A', 'B'), 'B', 30, 2),
        (ALL[:2], gone_at('s3', 'A'), 'A', 30, 1),
        ((), gone_at('s3', 'A'), 'A', 30, 1),
    ],
)
def test_restart_on_other_snapshot(
    shards_of_b: tuple[str, ...],
    behaviour: Behaviour,
    chosen: str,
    merged: int,
    messages: int,
) -> None:
    """A search could mix snapshots, restart for ever, or restart to less."""
    reports = (
        report('r1', ALL, snapshot('A', generation=3, total=40)),
        report('r1', shards_of_b, snapshot('B', generation=2, total=40)),
    )
    case = Case(behaviour, reports)
    answer = case.answer()
    assert (answer.snapshot_id, answer.coverage.merged) == (chosen, merged)
    assert len(case.links.queries) == messages


def test_caller_that_goes_away_cancels() -> None:
    """Backend servers would go on working for nobody."""
    case = Case(lambda asked: None)

    async def abandon() -> None:  # noqa: WPS430 - one use
        task = asyncio.create_task(case.search())
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.wait([task])
        await asyncio.sleep(0)

    run_virtual(abandon())
    assert [relay_id for relay_id, _ in case.links.cancelled] == ['r1']
    assert not case.links.inboxes


REPLIES = st.sampled_from(
    [
        Reply(),
        Reply(delay_ms=40),
        Reply(delay_ms=120),
        None,
        Reply(loses_relay=True, delay_ms=3),
        Reply(code=ResultCode.snapshot_gone),
        Reply(code=ResultCode.not_owner),
        Reply(code=ResultCode.connection_reset, delay_ms=4),
        Reply(code=ResultCode.shed),
    ]
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    replies=st.lists(REPLIES, min_size=1, max_size=24),
    canary_shards=st.sampled_from([0, 2]),
)
def test_any_faults_give_one_snapshot_in_time(
    replies: list[Reply | None], canary_shards: int
) -> None:
    """Faults in combination could mix snapshots, hang, or resend for ever."""
    script = itertools.cycle(replies)
    held = (snapshot('A', generation=2, total=40), snapshot('B', total=40))
    reports = tuple(report(one, ALL, *held) for one in ('r1', 'r2', 'r3'))
    desk = attrs.evolve(DESK, canary_shards=canary_shards)
    case = Case(lambda asked: next(script), reports, desk)
    found = run_virtual(asyncio.wait_for(case.search(), 0.2))
    sent = ','.join(one[3:] for one in case.links.asked()).split(',')
    assert max(sent.count(shard) for shard in ALL) <= 6
    if is_successful(found):
        answer = found.unwrap()
        origins = {
            (hit.fields['snapshot'], hit.fields['id']) for hit in answer.hits
        }
        merged = [(answer.snapshot_id, shard) for shard in ALL]
        assert origins == {one for one in merged if one[1] not in codes(answer)}
        assert answer.coverage.merged == 10 * len(answer.hits)
        assert answer.coverage.fraction == len(answer.hits) / 4
    else:
        assert found.failure().code is ResultCode.quarantined
