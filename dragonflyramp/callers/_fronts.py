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
    routed_by,
)
from dragonflyramp.callers._answers import Answer
from dragonflyramp.callers._cutoffs import CutoffPolicy, TargetCutoff
from dragonflyramp.callers._in_flight import InFlightCounter
from dragonflyramp.callers._merging import Merger, RecordMerger
from dragonflyramp.callers._queries import Query
from dragonflyramp.callers._quota_checks import QuotaCheck
from dragonflyramp.callers._request_contexts import (
    RouteMatch,
    build_context,
    context_after_wait,
    match_query,
)
from dragonflyramp.callers._request_logs import (
    RequestLog,
    refuse,
    refuse_rejected,
    refuse_unmatched,
)
from dragonflyramp.callers._retry_delays import (
    NOT_RUN_RETRY_AFTER_SECONDS,
    UNAVAILABLE_RETRY_AFTER_SECONDS,
    retry_after_seconds,
)
from dragonflyramp.callers._searches import Searcher
from dragonflyramp.callers._suspect_guards import SuspectGuard
from dragonflyramp.callers._traffic_splits import WeightedRoundRobin
from dragonflyramp.quotas import QuotaPolicy, UnlimitedQuotas
from dragonflyramp.results import ResultCode
from dragonflyramp.routes import RoutingTable
from dragonflyramp.tenants import KeyTrust, TrustAlways


def _create_suspect_guard(front: 'Front') -> SuspectGuard:
    return SuspectGuard(detector=front.backend_client.crash_detector)


def _create_request_log(front: 'Front') -> RequestLog:
    return RequestLog(
        front.backend_client.peers,
        logs_all=front.logs_all_answers,
    )


def _create_searcher(front: 'Front') -> Searcher:
    return Searcher(
        backend_client=front.backend_client,
        clock=front.clock,
        cutoff_policy=front.cutoff_policy,
        merger=front.merger,
        request_log=front._request_log,  # noqa: SLF001 - part of the front
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
    _searcher: Searcher = attrs.field(
        init=False, default=attrs.Factory(_create_searcher, takes_self=True)
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
            answer = await self._execute(query, context)
        if not self.in_flight.count:
            self.backend_client.calls.run_soon()
        return answer

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
                NOT_RUN_RETRY_AFTER_SECONDS,
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
        if context.route.gather is None:
            return await self._relay(context, query)
        return await self._searcher.search(context, query, context.route.gather)

    async def _relay(self, context: RequestContext, query: Query) -> Answer:
        budgets = self.backend_client.budgets
        for name in context.route.services:
            budgets.for_service(name).record_request(self.clock())
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
                NOT_RUN_RETRY_AFTER_SECONDS,
                self.clock(),
            ),
        )
        self.backend_client.calls.add(
            functools.partial(
                self._request_log.record,
                context,
                answer,
                (fetch_result,),
                self.clock(),
            )
        )
        return answer


def find_match(front: Front, query: Query) -> RouteMatch | ResultCode:
    """Return the route of a query and its tenant, or why it is refused."""
    return match_query(
        query,
        front.current_table(),
        trusts_keys=not query.api_key
        or front.key_trust.trusts_keys(front.clock()),
    )
