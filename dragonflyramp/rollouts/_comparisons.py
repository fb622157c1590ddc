"""Compare the answers of the target version with those of the others."""

import collections
import math
from collections.abc import Iterable, Mapping

import attrs

from dragonflyramp.rollouts._answer_counts import (
    NO_ANSWERS,
    AnswerCounts,
    AnswersByKey,
)

#: Negative logarithm of the probability below which bad answers are no chance:
#: 1 in 1,100 while the version is tested, because the test is repeated often,
#: and 1 in 7 before the decision to complete, and 1 in 20 for the
#: opposite: that the fault of one replica is not one of all.
_TEST_EVIDENCE = 7.0
_FINAL_EVIDENCE = 2.0
_CLEARING_EVIDENCE = 3.0
#: Evidence of failures for which a decision to complete is taken back: answers
#: are worse for a moment while all requests move.
_REVERSAL_EVIDENCE = 10.0

#: Least rates of bad answers that are expected of a good version. A replica
#: that gets the load step without a choice between replicas is sometimes slow.
_MIN_FAILURE_RATE = 0.02
_MIN_SLOW_RATE = 0.2
#: Expected rates as a multiple of those of the other versions, and their limit.
_RATE_FACTOR = 2
_MAX_RATE = 0.9
#: Fewer bad answers are no evidence: one replica that ends loses a few.
_MIN_BAD_COUNT = 3
_MIN_FINAL_BAD_COUNT = 2
#: A version is bad after this many bad answers beyond the expected ones.
_MAX_EXCESS_COUNT = 25
#: So many bad replicas are no fault of their machines.
_BAD_REPLICA_COUNT = 2


@attrs.frozen(kw_only=True)
class Sample:
    """Answers of one period, by route."""

    #: Answers of the other versions.
    others: Mapping[str, AnswerCounts]
    #: Answers of the target version, by replica.
    target: Mapping[str, Mapping[str, AnswerCounts]]

    def target_total(self) -> AnswerCounts:
        """Return all answers of the target version."""
        return _total(
            counts
            for by_route in self.target.values()
            for counts in by_route.values()
        )

    def others_total(self) -> AnswerCounts:
        """Return all answers of the other versions."""
        return _total(self.others.values())

    def without(self, replica_ids: Iterable[str]) -> 'Sample':
        """Return the sample without some replicas of the target version."""
        excluded = frozenset(replica_ids)
        kept = {
            replica_id: by_route
            for replica_id, by_route in self.target.items()
            if replica_id not in excluded
        }
        return attrs.evolve(self, target=kept)


@attrs.frozen(kw_only=True)
class Verdict:
    """What the answers of one rollout show."""

    bad_replica_ids: frozenset[str]
    #: Bad answers of the target version beyond the expected ones.
    excess_count: float

    def is_bad(self, target_replica_count: int) -> bool:
        """Return whether the version is bad, not only one of its machines."""
        required = min(_BAD_REPLICA_COUNT, max(1, target_replica_count))
        if len(self.bad_replica_ids) >= required:
            return True
        return self.excess_count >= _MAX_EXCESS_COUNT


def create_sample(answers: AnswersByKey) -> Sample:
    """Group the answers of one rollout."""
    others: dict[str, AnswerCounts] = {}
    target: dict[str, dict[str, AnswerCounts]] = collections.defaultdict(dict)
    for key, counts in answers.items():
        by_route = target[key.replica_id] if key.replica_id else others
        earlier = by_route.get(key.route, NO_ANSWERS)
        by_route[key.route] = earlier.plus(counts)
    return Sample(others=others, target=target)


def judge(samples: Iterable[Sample]) -> Verdict:
    """Return what the samples show: all answers, and those of a window."""
    bad_replica_ids: set[str] = set()
    excess_count: float = 0
    for sample in samples:
        bad_replica_ids.update(
            replica_id
            for replica_id, by_route in sample.target.items()
            if _is_bad(by_route, sample.others)
        )
        excess_count = max(excess_count, _excess_count(sample))
    return Verdict(
        bad_replica_ids=frozenset(bad_replica_ids), excess_count=excess_count
    )


def is_fit(sample: Sample) -> bool:
    """Return whether nothing in the answers indicates a bad version."""
    pairs = [
        (counts, sample.others.get(route, NO_ANSWERS))
        for by_route in sample.target.values()
        for route, counts in by_route.items()
    ]
    pairs.append((sample.target_total(), sample.others_total()))
    evidence = (
        _evidence(counts, others, _MIN_FINAL_BAD_COUNT)
        for counts, others in pairs
    )
    return max(evidence) < _FINAL_EVIDENCE


def is_cleared(sample: Sample, bad_replica_ids: frozenset[str]) -> bool:
    """Return whether the other replicas do not share the fault of bad ones.

    Too few answers of the others clear nothing.
    """
    rest = sample.without(bad_replica_ids)
    if len(rest.target) == len(sample.target):
        return True
    others = rest.target_total()
    bad = _total(
        counts
        for replica_id in bad_replica_ids
        for counts in sample.target.get(replica_id, {}).values()
    )
    # The rates of the good answers: those of the others have to be higher.
    bad_rate = (bad.failed + bad.slow) / max(1, bad.total)
    rate = min(_MAX_RATE, max(_MIN_FAILURE_RATE, bad_rate))
    evidence = _chernoff_evidence(others.good, others.total, 1 - rate)
    return evidence >= _CLEARING_EVIDENCE


def is_failing(sample: Sample) -> bool:
    """Return whether the target fails, whatever its speed."""
    counts = sample.target_total()
    rate = _failure_rate(sample.others_total())
    evidence = _chernoff_evidence(counts.failed, counts.total, rate)
    return counts.failed >= _MIN_BAD_COUNT and evidence >= _REVERSAL_EVIDENCE


def _is_bad(
    by_route: Mapping[str, AnswerCounts], others: Mapping[str, AnswerCounts]
) -> bool:
    total_evidence = _evidence(
        _total(by_route.values()), _total(others.values()), _MIN_BAD_COUNT
    )
    evidence = [
        _evidence(counts, others.get(route, NO_ANSWERS), _MIN_BAD_COUNT)
        for route, counts in by_route.items()
    ]
    return max(total_evidence, *evidence) >= _TEST_EVIDENCE


def _evidence(
    counts: AnswerCounts, others: AnswerCounts, min_bad_count: int
) -> float:
    """Return the evidence that failures or slow answers are no chance."""
    if max(counts.failed, counts.slow) < min_bad_count:
        return 0
    failure_rate = _failure_rate(others)
    slow_rate = _slow_rate(others)
    return max(
        _chernoff_evidence(counts.failed, counts.total, failure_rate),
        _chernoff_evidence(counts.slow, counts.total, slow_rate),
    )


def _excess_count(sample: Sample) -> float:
    excess_count: float = 0
    for by_route in sample.target.values():
        for route, counts in by_route.items():
            others = sample.others.get(route, NO_ANSWERS)
            excess_count += counts.failed - counts.total * _failure_rate(others)
            excess_count += counts.slow - counts.total * _slow_rate(others)
    return excess_count


def _failure_rate(others: AnswerCounts) -> float:
    return _expected_rate(others.failed, others.total, _MIN_FAILURE_RATE)


def _slow_rate(others: AnswerCounts) -> float:
    return _expected_rate(others.slow, others.total, _MIN_SLOW_RATE)


def _expected_rate(bad_count: int, total: int, minimum: float) -> float:
    rate = _RATE_FACTOR * bad_count / max(1, total)
    return min(_MAX_RATE, max(minimum, rate))


def _chernoff_evidence(bad_count: int, total: int, rate: float) -> float:
    """Return a bound on how improbable so many bad answers are.

    It is the negative logarithm of the Chernoff bound on the probability of at
    least `bad_count` among `total`, each with probability `rate`.
    """
    if not total or bad_count <= total * rate:
        return 0
    bad_share = bad_count / total
    good_share = 1 - bad_share
    divergence = bad_share * math.log(bad_share / rate)
    if good_share > 0:
        divergence += good_share * math.log(good_share / (1 - rate))
    return total * divergence


def _total(all_counts: Iterable[AnswerCounts]) -> AnswerCounts:
    total = NO_ANSWERS
    for counts in all_counts:
        total = total.plus(counts)
    return total
