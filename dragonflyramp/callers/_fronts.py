"""Route queries to backend servers and build the answers to callers."""

import contextlib
import functools
import math
from collections.abc import Callable

import attrs

from dragonflyramp.admission import AdmissionPolicy, AdmitAll
from dragonflyramp.backends import BackendClient, RequestContext
from dragonflyramp.callers._answer_builders import (
    build_relay_answer,
    build_search_refusal,
    routed_by,
)
from dragonflyramp.callers._answers import Answer, MergedAnswer
from dragonflyramp.callers._cutoffs import CutoffPolicy, Progress, TargetCutoff
from dragonflyramp.callers._in_flight import InFlightCounter
from dragonflyramp.callers._merging import Merger, RecordMerger
from dragonflyramp.callers._queries import Query
from dragonflyramp.callers._quota_checks import QuotaCheck
from dragonflyramp.callers._request_logs import (
    RequestLog,
    refuse,
    refuse_rejected,
    refuse_unmatched,
)
from dragonflyramp.callers._request_contexts import (
    RouteMatch,
    build_context,
    context_after_wait,
    match_query,
)
from dragonflyramp.callers._retry_delays import (
    UNAVAILABLE_RETRY_AFTER_SECONDS,
    retry_after_seconds,
)
from dragonflyramp.callers._scatter_gather import ScatterGather, ShardResults
from dragonflyramp.callers._suspect_guards import SuspectGuard
from dragonflyramp.callers._traffic_splits import WeightedRoundRobin
from dragonflyramp.quotas import QuotaPolicy, UnlimitedQuotas
from dragonflyramp.results import ResultCode
from dragonflyramp.routes import GatherSettings, RoutingTable
from dragonflyramp.tenants import KeyTrust, TrustAlways

#: Retry delay for the caller if no replica ran the request, usually because all
#: were full: a slot becomes free after about the duration of one request.
_NOT_RUN_RETRY_AFTER_SECONDS = 0.1


def _create_suspect_guard(front: 'Front') -> SuspectGuard:
    return SuspectGuard(detector=front.backend_client.crash_detector)


def _create_request_log(front: 'Front') -> RequestLog:
    return RequestLog(
        front.clock,
        front.backend_client.peers,
        logs_all=front.logs_all_answers,
    )


@attrs.define(eq=False, kw_only=True)
class Front:
    """Route, execute and log callers' queries."""

    backend_client: BackendClient
    #: Returns the monotonic time in seconds.
    clock: Callable[[], float]
    #: Returns the newest routing table, or None before the first one.
    current_table: Callable[[], RoutingTable | None]
    #: Returns whether routes and replicas have been read at least once.
    has_synced: Callable[[], bool]
    cutoff_policy: CutoffPolicy = attrs.field(factory=TargetCutoff)
    merger: Merger = attrs.field(factory=RecordMerger)
    quotas: QuotaPolicy = attrs.field(factory=UnlimitedQuotas)
    admission: AdmissionPolicy = attrs.field(factory=AdmitAll)
    key_trust: KeyTrust = attrs.field(factory=TrustAlways)
    #: Whether successful answers in time are all logged, instead of a sample.
    logs_all_answers: bool = False
    is_stopping: bool = False
    #: Monotonic time at which a planned stop ends the requests in progress.
    drain_ends_at_seconds: float = math.inf
    in_flight: InFlightCounter = attrs.field(factory=InFlightCounter)
    _round_robin: WeightedRoundRobin = attrs.field(factory=WeightedRoundRobin)
    suspect_guard: SuspectGuard = attrs.field(
        default=attrs.Factory(_create_suspect_guard, takes_self=True)
    )
    _request_log: RequestLog = attrs.field(
        init=False, default=attrs.Factory(_create_request_log, takes_self=True)
    )

    def is_ready(self) -> bool:
        """Return whether load balancers should send callers to this front."""
        return self.has_synced() and not self.is_stopping

    async def serve(self, query: Query) -> Answer:
        """Answer a query.

        Cancelling this coroutine cancels all requests to backend servers.
        """
        match = find_match(self, query)
        if isinstance(match, ResultCode):
            return refuse_unmatched(query, match)
        context = build_context(
            query, match, self.backend_client.crash_detector
        )
        with self.in_flight:
            return await self._execute(query, context)

    async def _execute(self, query: Query, context: RequestContext) -> Answer:
        now_seconds = self.clock()
        if now_seconds >= context.deadline_at_seconds:
            return refuse(
                query, ResultCode.bad_deadline, tenant_name=context.tenant_name
            )
        if context.deadline_at_seconds > self.drain_ends_at_seconds:
            return refuse(
                query,
                ResultCode.stopping,
                _NOT_RUN_RETRY_AFTER_SECONDS,
                tenant_name=context.tenant_name,
            )
        quota_check = QuotaCheck(
            self.quotas, context.tenant, context.deadline_at_seconds
        )
        quota_delay_seconds = await quota_check.acquire(now_seconds)
        if quota_delay_seconds is not None:
            return refuse(
                query,
                ResultCode.quota_exceeded,
                quota_delay_seconds,
                tenant_name=context.tenant_name,
            )
        with contextlib.ExitStack() as cleanup:
            rejection = await self.admission.admit(
                context, cleanup, now_seconds
            )
            if rejection is not None:
                return refuse_rejected(query, rejection, context.tenant_name)
            return await self.suspect_guard.run(
                context_after_wait(context, self.clock() - now_seconds),
                functools.partial(self._send, query, quota_check),
            )

    async def _send(
        self, query: Query, quota_check: QuotaCheck, context: RequestContext
    ) -> Answer:
        """Send a request to replicas and build the answer."""
        now_seconds = self.clock()
        quota_delay_seconds = await quota_check.acquire(now_seconds)
        if quota_delay_seconds is not None:
            return refuse(
                query,
                ResultCode.quota_exceeded,
                quota_delay_seconds,
                tenant_name=context.tenant_name,
            )
        route = context.route
        for service in route.services:
            self.backend_client.budgets.for_service(service).record_request(
                now_seconds
            )
        if route.gather is None:
            return await self._relay(context, query)
        return await self._search(context, query, route.gather)

    async def _relay(self, context: RequestContext, query: Query) -> Answer:
        service = self._round_robin.select(context.route)
        fleet = self.backend_client.fleet
        if not fleet.usable_replicas(service, self.clock()):
            return refuse(
                query,
                ResultCode.no_replica,
                retry_after_seconds(
                    fleet,
                    (service,),
                    1,
                    UNAVAILABLE_RETRY_AFTER_SECONDS,
                    self.clock(),
                ),
                tenant_name=context.tenant_name,
            )
        fetch_result = await self.backend_client.create_fetch(
            context, service
        ).run()
        answer = build_relay_answer(
            fetch_result,
            routed_by(context),
            retry_after_seconds(
                fleet,
                (service,),
                1,
                _NOT_RUN_RETRY_AFTER_SECONDS,
                self.clock(),
            ),
        )
        self._request_log.record(context, answer, (fetch_result,))
        return answer

    async def _search(
        self, context: RequestContext, query: Query, gather: GatherSettings
    ) -> Answer:
        fleet = self.backend_client.fleet
        now_seconds = self.clock()
        usable_count = sum(
            bool(fleet.usable_replicas(shard, now_seconds))
            for shard in gather.shards
        )
        shard_count = len(gather.shards)
        initial_progress = Progress(
            shard_count=shard_count,
            succeeded_count=0,
            failed_count=shard_count - usable_count,
            min_share=gather.min_share,
        )
        if initial_progress.is_infeasible:
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
        scatter_gather = ScatterGather(
            backend_client=self.backend_client,
            context=context,
            gather=gather,
            cutoff_at_seconds=self.cutoff_policy.cutoff_at_seconds(
                context.received_at_seconds,
                context.route.target_ms,
                context.deadline_at_seconds,
            ),
        )
        shard_results = await scatter_gather.run()
        answer = self._merge(context, gather, shard_results)
        if scatter_gather.was_cut_off:
            self.cutoff_policy.record_answer(
                scatter_gather.cutoff_at_seconds, self.clock()
            )
        self._request_log.record(context, answer, shard_results.all_results)
        return answer

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
                    _NOT_RUN_RETRY_AFTER_SECONDS,
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


def find_match(front: Front, query: Query) -> RouteMatch | ResultCode:
    """Return the route of a query and its tenant, or why it is refused."""
    return match_query(
        query,
        front.current_table(),
        trusts_keys=not query.api_key
        or front.key_trust.trusts_keys(front.clock()),
    )
