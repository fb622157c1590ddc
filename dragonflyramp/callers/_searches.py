"""Run one search end to end, in the task of the caller's connection."""

import random
from collections.abc import Callable

import attrs
from returns.result import Failure, Result, Success

from dragonflyramp.callers._canary import CanaryPolicy
from dragonflyramp.callers._exchanges import Exchange
from dragonflyramp.callers._planning import (
    Planner,
    SnapshotView,
    split_deadline,
)
from dragonflyramp.callers._quarantine import fingerprint_of
from dragonflyramp.callers._requests import (
    Refusal,
    SearchAnswer,
    SearchRequest,
)
from dragonflyramp.callers._rounds import Job, Round, start_round
from dragonflyramp.callers._settings import DeadlineSettings
from dragonflyramp.metrics import counters
from dragonflyramp.models import Service
from dragonflyramp.results import ResultCode, RunState

#: Enough that ids of one front never repeat in practice.
_QUERY_ID_BYTES = 12


@attrs.define(kw_only=True, eq=False)
class Searches:
    """Run searches; one round each, two when the snapshot disappears."""

    planner: Planner
    exchange: Exchange
    canary: CanaryPolicy
    settings: DeadlineSettings
    clock: Callable[[], float]
    rng: random.Random

    async def search(
        self, request: SearchRequest, service: Service
    ) -> Result[SearchAnswer, Refusal]:
        """Answer from one snapshot, or refuse."""
        plan = self.planner.plan(service.name)
        if not plan.views:
            has_relays = self.planner.has_relays()
            code = ResultCode.no_replica if has_relays else ResultCode.no_relay
            return Failure(Refusal(code))
        rounds = await self._run(
            self._job(request, service, plan.shards), plan.views[0]
        )
        if self.exchange.endings.is_refused(rounds[-1], self.clock()):
            return Failure(_quarantined(rounds))
        return Success(_answer(request, rounds))

    async def _run(self, job: Job, view: SnapshotView) -> list[Round]:
        first = self._start(job, view)
        await self.exchange.run(first)
        other = self.exchange.endings.restart_view(first, self.clock())
        if other is None:
            return [first]
        counters.add('restarts', 'snapshot_gone')
        second = self._start(job, other, is_restart=True)
        await self.exchange.run(second)
        return [first, second]

    def _job(
        self, request: SearchRequest, service: Service, shards: tuple[str, ...]
    ) -> Job:
        deadline_ms = min(request.deadline_ms, service.deadline_ms)
        return Job(
            request=request,
            service=service,
            shards=shards,
            split=split_deadline(
                request.received_seconds, deadline_ms, self.settings
            ),
            fingerprint=fingerprint_of(service.name, request.body),
            canaries=self.canary.canaries(service, shards),
        )

    def _start(
        self, job: Job, view: SnapshotView, *, is_restart: bool = False
    ) -> Round:
        query_id = self.rng.randbytes(_QUERY_ID_BYTES).hex()
        return start_round(job, view, query_id, is_restart=is_restart)


def _quarantined(rounds: list[Round]) -> Refusal:
    was_sent = any(round_.sent for round_ in rounds)
    run = RunState.unknown if was_sent else RunState.not_run
    return Refusal(ResultCode.quarantined, run)


def _answer(request: SearchRequest, rounds: list[Round]) -> SearchAnswer:
    # The later round wins a tie because its snapshot is the newer one.
    best = max(
        reversed(rounds), key=lambda round_: round_.gather.documents.merged
    )
    for shard in best.waiting:
        if shard not in best.asked:
            best.gather.codes.setdefault(shard, ResultCode.canary_incomplete)
    gathered = best.gather.close()
    is_whole = not gathered.coverage.missing
    counters.add('answers', 'complete' if is_whole else 'partial')
    for missing in gathered.coverage.missing:
        counters.add('missing_shards', missing.code.name)
    return SearchAnswer(
        request_id=request.request_id,
        snapshot_id=best.view.snapshot_id,
        hits=gathered.hits,
        coverage=gathered.coverage,
    )
