"""Test that a gathered answer holds only its own parts, each once."""

import json
from collections.abc import Sequence

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dragonflyramp.callers import Gather
from dragonflyramp.callers._coverage import DocumentCount
from dragonflyramp.callers._gather import Gathered, Verdict
from dragonflyramp.callers._hits import merge_hits, parse_hits
from dragonflyramp.callers._requests import Coverage, Hit
from dragonflyramp.messages import Part
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode

SHARDS = ('s0', 's1', 's2')
DOCUMENTS = 10
CLOSE = None


def part(
    shard: str,
    attempt: int = 0,
    query: str = 'q',
    snapshot: str = 'A',
    code: ResultCode = ResultCode.ok,
) -> Part:
    """Build a part whose hit carries its origin."""
    origin = [query, snapshot, shard, f'{shard}.{attempt}']
    hits = [{'score': 1, 'origin': origin}]
    return Part(
        query_id=query,
        shard=shard,
        attempt_id=origin[3],
        snapshot_id=snapshot,
        code=code,
        documents=DOCUMENTS,
        # Without a snapshot in the body only the envelope tells it.
        body=json.dumps({'hits': hits}).encode(),
    )


@attrs.define
class NaiveGather:
    """Merge whatever arrives, as if parts could not go astray."""

    total: int | None
    hits: list[Hit] = attrs.field(factory=list)
    merged: int = 0

    def take(self, part: Part) -> None:
        """Merge any part that is not a failure."""
        if part.code is ResultCode.ok:
            snapshot = part.snapshot_id
            self.hits.extend(parse_hits(part.body, snapshot).unwrap())
            self.merged += part.documents

    def close(self) -> Gathered:
        """Divide by the total."""
        total = self.total or self.merged or 1
        coverage = Coverage(
            merged=self.merged,
            total=self.total,
            fraction=self.merged / total,
            missing=(),
        )
        return Gathered(merge_hits([tuple(self.hits)]), coverage)


def our_gather(total: int | None) -> Gather:
    """Expect two attempts on each shard."""
    gather = Gather(
        query_id='q',
        snapshot_id='A',
        shards=SHARDS,
        documents=DocumentCount(
            total=total, reported=dict.fromkeys(SHARDS, DOCUMENTS)
        ),
    )
    for shard in SHARDS:
        gather.expect(f'{shard}.0', shard)
        gather.expect(f'{shard}.1', shard)
    return gather


def faults(
    gatherer: Gather | NaiveGather,
    script: Sequence[Part | None],
    total: int | None,
) -> set[str]:
    """Feed a script to a gatherer and name what is wrong in its answers."""
    answers = []
    for step in script:
        if step is None:
            answers.append(gatherer.close())
        else:
            gatherer.take(step)
    answers.append(gatherer.close())
    found = {name for answer in answers for name in faults_of(answer, total)}
    if answers[0] != answers[-1]:
        found.add('changed')
    return found


def faults_of(answer: Gathered, total: int | None) -> set[str]:
    """Name what is wrong in one answer."""
    origins = [hit.fields['origin'] for hit in answer.hits]
    expected = [
        ['q', 'A', shard, f'{shard}.{attempt}']
        for shard in SHARDS
        for attempt in (0, 1)
    ]
    shards = [origin[2] for origin in origins]  # type: ignore[index]
    covered = len(set(shards)) * DOCUMENTS
    coverage = answer.coverage
    wrong = {
        'foreign': any(origin not in expected for origin in origins),
        'twice': len(set(shards)) < len(shards),
        'merged': coverage.merged != covered,
        'missing': {one.shard for one in coverage.missing}
        != set(SHARDS) - set(shards),
    }
    if coverage.fraction is not None:
        known = 3 * DOCUMENTS == total
        wrong['fraction'] = not known or coverage.fraction > covered / 30
    return {name for name, is_wrong in wrong.items() if is_wrong}


WHOLE = tuple(part(shard) for shard in SHARDS)


@pytest.mark.parametrize(
    ('script', 'total', 'fault'),
    [
        ([part('s0'), part('s0')], 30, 'twice'),
        ([part('s0'), part('s0', attempt=1)], 30, 'twice'),
        ([part('s0', query='other')], 30, 'foreign'),
        ([part('s0', snapshot='B'), part('s1')], 30, 'foreign'),
        ([part('s0', attempt=7)], 30, 'foreign'),
        ([part('s0'), CLOSE, part('s1')], 30, 'changed'),
        (WHOLE, None, 'fraction'),
        (WHOLE, 20, 'fraction'),
        ([part('s0'), part('s1'), part('s1', query='other')], 30, 'fraction'),
    ],
)
def test_check_finds_naive_faults(
    script: Sequence[Part | None], total: int | None, fault: str
) -> None:
    """A check that passes any gatherer would guard against nothing."""
    assert fault in faults(NaiveGather(total), script, total)
    assert not faults(our_gather(total), script, total)


parts = st.builds(
    part,
    shard=st.sampled_from(['s0', 's1', 's2', 's9']),
    attempt=st.sampled_from([0, 0, 1, 7]),
    query=st.sampled_from(['q', 'q', 'q', 'other']),
    snapshot=st.sampled_from(['A', 'A', 'A', 'B']),
    code=st.sampled_from(
        [
            ResultCode.ok,
            ResultCode.ok,
            ResultCode.shed,
            ResultCode.connection_reset,
        ]
    ),
)


@settings(derandomize=True, max_examples=500)
@given(
    script=st.lists(st.one_of(parts, parts, parts, st.none()), max_size=25),
    total=st.sampled_from([30, 30, None, 20]),
)
def test_any_order_gives_true_answer(
    script: list[Part | None], total: int | None
) -> None:
    """Guard against mixed, foreign, repeated parts and false coverage."""
    assert not faults(our_gather(total), script, total)


def test_dropped_parts_are_counted() -> None:
    """Parts that go astray would stay unnoticed."""
    gather = our_gather(30)
    counted = [
        (part('s0', query='other'), Verdict.foreign_query),
        (part('s0', snapshot='B'), Verdict.foreign_snapshot),
        (part('s0', attempt=7), Verdict.foreign_attempt),
        (part('s0', code=ResultCode.shed), Verdict.failed),
        (part('s0'), Verdict.duplicate),
        (part('s0', attempt=1), Verdict.merged),
        (None, None),
        (part('s1'), Verdict.late),
    ]
    for one, verdict in counted:
        name = verdict.value if verdict else ''
        before = counters.get('dropped_parts', name)
        if one is None:
            gather.close()
            continue
        taken = gather.take(one)
        assert taken.verdict is verdict
        after = counters.get('dropped_parts', name)
        assert after - before == taken.is_dropped


@pytest.mark.parametrize(
    ('documents', 'body'),
    [
        (11, part('s0').body),
        (-1, part('s0').body),
        (10, b'{"hits": [{"score": NaN}]}'),
        (10, b'{"hits": [{"score": 1e999}]}'),
        (10, b'{"hits": [{"score": true}]}'),
        (10, b'{"snapshot": "B", "hits": []}'),
        (10, b'{"hits": 1}'),
        (10, b'[' * 100000),
        (10, b''),
    ],
)
def test_contradictory_part_never_covers(documents: int, body: bytes) -> None:
    """A malformed or contradictory reply would count as documents found."""
    gather = our_gather(30)
    gather.take(attrs.evolve(part('s0'), documents=documents, body=body))
    assert gather.close().coverage.fraction in {0, None}


def test_hits_sort_by_score_then_shard() -> None:
    """Equal scores in order of arrival would differ between two answers."""
    gather = our_gather(30)
    for shard, scores in (('s2', [5, 1]), ('s1', [9, 5]), ('s0', [5])):
        hits = [{'score': score, 'id': f'{shard}-{score}'} for score in scores]
        body = json.dumps({'hits': hits}).encode()
        gather.take(attrs.evolve(part(shard), body=body))
    found = [hit.fields['id'] for hit in gather.close().hits]
    assert found == ['s1-9', 's0-5', 's1-5', 's2-5', 's2-1']
