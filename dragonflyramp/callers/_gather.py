"""Gather the parts of one query to one snapshot."""

import enum
from collections.abc import Mapping

import attrs
from returns.pipeline import is_successful

from dragonflyramp.callers._coverage import DocumentCount
from dragonflyramp.callers._hits import merge_hits, parse_hits
from dragonflyramp.callers._requests import Coverage, Hit, MissingShard
from dragonflyramp.messages import Part
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode


class Verdict(enum.Enum):
    """Name what became of a part."""

    merged = 'merged'
    failed = 'failed'
    late = 'late'
    duplicate = 'duplicate'
    foreign_query = 'foreign_query'
    foreign_snapshot = 'foreign_snapshot'
    foreign_attempt = 'foreign_attempt'


@attrs.frozen
class Taken:
    """Tell what became of a part; the code is that of the shard."""

    verdict: Verdict
    code: ResultCode = ResultCode.ok

    @property
    def is_dropped(self) -> bool:
        """Tell whether the part was dropped and changed nothing."""
        return self.verdict not in {Verdict.merged, Verdict.failed}


@attrs.frozen
class Gathered:
    """Hold the hits and the coverage of a closed answer."""

    hits: tuple[Hit, ...]
    coverage: Coverage


@attrs.define(kw_only=True, eq=False)
class Gather:
    """Take the parts of one query and close the answer once.

    `merged` holds the hits by shard, `codes` why a shard is missing so far.
    """

    query_id: str
    snapshot_id: str
    shards: tuple[str, ...]
    documents: DocumentCount
    merged: dict[str, tuple[Hit, ...]] = attrs.field(factory=dict, init=False)
    codes: dict[str, ResultCode] = attrs.field(factory=dict, init=False)
    _expected: dict[str, str] = attrs.field(factory=dict, init=False)
    _answered: set[str] = attrs.field(factory=set, init=False)
    _closed: Gathered | None = attrs.field(default=None, init=False)

    def expect(self, attempt_id: str, shard: str) -> None:
        """Accept one answer to an attempt that is about to be sent."""
        self._expected[attempt_id] = shard

    def take(self, part: Part) -> Taken:
        """Merge a part, note its failure, or drop and count it."""
        reason = self._reason_to_drop(part)
        if reason:
            counters.add('dropped_parts', reason.value)
            return Taken(reason)
        self._answered.add(part.attempt_id)
        code = self._merge(part) if part.code is ResultCode.ok else part.code
        if code is ResultCode.ok:
            return Taken(Verdict.merged)
        self.codes[part.shard] = code
        return Taken(Verdict.failed, code)

    def close(self) -> Gathered:
        """Close the answer; later calls return the same answer."""
        if self._closed is None:
            self._closed = Gathered(
                merge_hits(
                    self.merged[shard]
                    for shard in self.shards
                    if shard in self.merged
                ),
                Coverage(
                    merged=self.documents.merged,
                    total=self.documents.known_total,
                    fraction=self.documents.fraction,
                    missing=_missing(self.shards, self.merged, self.codes),
                ),
            )
        return self._closed

    def _reason_to_drop(self, part: Part) -> Verdict | None:
        foreign = self._foreign(part)
        if foreign:
            return foreign
        if self._closed is not None:
            return Verdict.late
        if part.attempt_id in self._answered or part.shard in self.merged:
            return Verdict.duplicate
        return None

    def _foreign(self, part: Part) -> Verdict | None:
        if part.query_id != self.query_id:
            return Verdict.foreign_query
        if self._expected.get(part.attempt_id) != part.shard:
            return Verdict.foreign_attempt
        if part.snapshot_id != self.snapshot_id:
            return Verdict.foreign_snapshot
        return None

    def _merge(self, part: Part) -> ResultCode:
        if part.documents < 0:
            return ResultCode.bad_reply
        parsed = parse_hits(part.body, self.snapshot_id)
        if not is_successful(parsed):
            return parsed.failure()
        self.merged[part.shard] = parsed.unwrap()
        self.documents.add(part.shard, part.documents)
        return ResultCode.ok


def _missing(
    shards: tuple[str, ...],
    merged: Mapping[str, object],
    codes: Mapping[str, ResultCode],
) -> tuple[MissingShard, ...]:
    return tuple(
        MissingShard(shard, codes.get(shard, ResultCode.deadline_exceeded))
        for shard in shards
        if shard not in merged
    )
