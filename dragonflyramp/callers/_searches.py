"""Run searches over many shards, and merge their results into answers."""

import functools
from collections.abc import Callable

import attrs

from dragonflyramp.backends import (
    BackendClient,
    RequestContext,
    preferred_replica,
)
from dragonflyramp.callers._answer_builders import (
    build_search_refusal,
    routed_by,
)
from dragonflyramp.callers._answers import Answer, MergedAnswer
from dragonflyramp.callers._cutoffs import CutoffPolicy, Progress
from dragonflyramp.callers._merging import Merger
from dragonflyramp.callers._queries import Query
from dragonflyramp.callers._request_logs import RequestLog, refuse
from dragonflyramp.callers._retry_delays import (
    NOT_RUN_RETRY_AFTER_SECONDS,
    UNAVAILABLE_RETRY_AFTER_SECONDS,
    retry_after_seconds,
)
from dragonflyramp.callers._scatter_gather import ScatterGather, ShardResults
from dragonflyramp.callers._search_times import SearchPhases, measure_search
from dragonflyramp.results import ResultCode
from dragonflyramp.routes import GatherSettings


@attrs.frozen(kw_only=True)
class Searcher:
    """Answer searches."""

    backend_client: BackendClient
    #: Returns the monotonic time in seconds.
    clock: Callable[[], float]
    cutoff_policy: CutoffPolicy
    merger: Merger
    request_log: RequestLog

    async def search(
        self, context: RequestContext, query: Query, gather: GatherSettings
    ) -> Answer:
        """Search all shards and return the merged answer.

        Refuse at once if too few shards have a usable replica.
        """
        admitted_at_seconds = self.clock()
        refusal = self._refuse_infeasible(
            context, query, gather, admitted_at_seconds
        )
        if refusal is not None:
            return refusal
        scatter_gather = ScatterGather(
            backend_client=self.backend_client,
            context=context,
            gather=gather,
            cutoff_at_seconds=self.cutoff_policy.cutoff_at_seconds(
                context.received_at_seconds,
                context.route.target_ms,
                context.deadline_at_seconds,
                is_connection_kept=context.is_connection_kept,
            ),
        )
        shard_results = await scatter_gather.run()
        ended_at_seconds = self.clock()
        answer = self._merge(context, gather, shard_results)
        phases = SearchPhases(
            admitted_at_seconds=admitted_at_seconds,
            ended_at_seconds=ended_at_seconds,
            merged_at_seconds=self.clock(),
        )
        if scatter_gather.was_cut_off:
            self.cutoff_policy.record_answer(
                scatter_gather.cutoff_at_seconds, phases.merged_at_seconds
            )
        self.backend_client.calls.add(
            functools.partial(
                self._record, context, answer, shard_results, phases
            )
        )
        return answer

    def _record(
        self,
        context: RequestContext,
        answer: Answer,
        shard_results: ShardResults,
        phases: SearchPhases,
    ) -> None:
        """Count and log an answer, with the stages of its search."""
        fetch_results = shard_results.all_results
        self.request_log.record(
            context,
            answer,
            fetch_results,
            phases.merged_at_seconds,
            measure_search(
                context, shard_results.succeeded, fetch_results, phases
            ),
        )

    def _refuse_infeasible(
        self,
        context: RequestContext,
        query: Query,
        gather: GatherSettings,
        now_seconds: float,
    ) -> Answer | None:
        fleet = self.backend_client.fleet
        usable_count = sum(
            preferred_replica(fleet, shard, now_seconds) is not None
            for shard in gather.shards
        )
        shard_count = len(gather.shards)
        initial_progress = Progress(
            shard_count=shard_count,
            succeeded_count=0,
            failed_count=shard_count - usable_count,
            min_share=gather.min_share,
        )
        if not initial_progress.is_infeasible:
            return None
        return refuse(
            query,
            ResultCode.no_replica,
            retry_after_seconds(
                fleet,
                gather.shards,
                initial_progress.required_count,
                UNAVAILABLE_RETRY_AFTER_SECONDS,
                now_seconds,
            ),
            tenant_name=context.tenant_name,
        )

    def _merge(
        self,
        context: RequestContext,
        gather: GatherSettings,
        shard_results: ShardResults,
    ) -> Answer:
        progress = shard_results.progress(gather.min_share)
        if not progress.is_sufficient:
            return build_search_refusal(
                shard_results,
                is_finished=progress.is_finished,
                delay_seconds=retry_after_seconds(
                    self.backend_client.fleet,
                    gather.shards,
                    progress.required_count,
                    NOT_RUN_RETRY_AFTER_SECONDS,
                    self.clock(),
                ),
            )
        parts = tuple(
            fetch_result.success
            for fetch_result in shard_results.succeeded
            if fetch_result.success is not None
        )
        return MergedAnswer(
            parts=parts,
            routed=routed_by(context),
            body=self.merger.merge(
                (part.reply.body for part in parts), gather.top_count
            ),
        )
