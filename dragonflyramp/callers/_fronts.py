"""Answer callers: find the route, refuse or send, and log what happened."""

from collections.abc import Callable, Sequence

import attrs
from loguru import logger

from dragonflyramp import metrics
from dragonflyramp.backends import Ask, Fetched, Tier
from dragonflyramp.callers._gathers import Collection, Gathering
from dragonflyramp.callers._merging import Merger, RecordMerger
from dragonflyramp.callers._patience import Patience, Progress, TargetPatience
from dragonflyramp.callers._queries import (
    Answer,
    Gathered,
    Query,
    Refusal,
    Relayed,
)
from dragonflyramp.callers._splits import Splitter
from dragonflyramp.results import ResultCode
from dragonflyramp.routes import Gather, Route, RoutingTable

#: A replica that is full has room after about the time of one request.
_FULL_RETRY_SECONDS = 0.1
#: Replicas come back, or others are listed, within a few tenths of a second.
_ABSENT_RETRY_SECONDS = 0.25
#: A request that waits longer for room than this share of its latency target
#: is better refused, so that the caller can go elsewhere.
_ROOM_SHARE = 0.2
#: Of the requests that went well on the first try one in this many is logged.
_SAMPLE = 64


@attrs.define(eq=False, kw_only=True)
class Front:
    """Answer one query after another; all state is that of the parts."""

    tier: Tier
    clock: Callable[[], float]
    #: Gives the newest routing table; None before the first.
    table: Callable[[], RoutingTable | None]
    patience: Patience = attrs.field(factory=TargetPatience)
    merger: Merger = attrs.field(factory=RecordMerger)
    is_stopping: bool = False
    running: int = 0
    _splitter: Splitter = attrs.field(factory=Splitter)
    _answered: int = 0

    def is_ready(self) -> bool:
        """Tell whether callers should be sent here."""
        return self.table() is not None and not self.is_stopping

    async def serve(self, query: Query) -> Answer:
        """Answer a query; cancelling it gives up all sends."""
        table = self.table()
        if table is None:
            return self._refuse(
                query, ResultCode.no_configuration, _ABSENT_RETRY_SECONDS
            )
        route = _find(table, query)
        if route is None:
            return self._refuse(query, ResultCode.unknown_service)
        self.running += 1
        try:
            return await self._serve(query, table, route)
        finally:
            self.running -= 1

    async def _serve(
        self, query: Query, table: RoutingTable, route: Route
    ) -> Answer:
        ask = _ask(query, table, route)
        now_seconds = self.clock()
        if now_seconds >= ask.deadline_seconds:
            return self._refuse(query, ResultCode.bad_deadline)
        self.tier.note_request(ask, now_seconds)
        if route.gather is None:
            return await self._relay(ask, query)
        return await self._gather(ask, query, route.gather)

    async def _relay(self, ask: Ask, query: Query) -> Answer:
        service = self._splitter.pick(ask.route)
        if not self.tier.fleet.usable(service):
            return self._refuse(
                query, ResultCode.no_replica, _ABSENT_RETRY_SECONDS
            )
        fetched = await self.tier.fetch(ask, service).run()
        answer = _relayed(fetched)
        self._log(ask, answer, (fetched,))
        return answer

    async def _gather(self, ask: Ask, query: Query, gather: Gather) -> Answer:
        usable = sum(
            bool(self.tier.fleet.usable(shard)) for shard in gather.shards
        )
        total = len(gather.shards)
        hope = Progress(
            total=total,
            merged=0,
            failed=total - usable,
            min_share=gather.min_share,
        )
        if hope.is_hopeless:
            return self._refuse(
                query, ResultCode.no_replica, _ABSENT_RETRY_SECONDS
            )
        gathering = Gathering(
            tier=self.tier,
            ask=ask,
            gather=gather,
            answer_at_seconds=self.patience.answer_at_seconds(
                ask.received_seconds, ask.route.target_ms, ask.deadline_seconds
            ),
        )
        collection = await gathering.run()
        answer = self._merge(ask, gather, collection)
        self._log(ask, answer, (*collection.merged, *collection.failed))
        return answer

    def _merge(
        self, ask: Ask, gather: Gather, collection: Collection
    ) -> Answer:
        progress = collection.progress(gather.min_share)
        if not progress.is_enough:
            return _failed_gather(collection, is_over=progress.is_over)
        replies = [
            fetched.reply
            for fetched in collection.merged
            if fetched.reply is not None
        ]
        body = self.merger.merge(
            (reply.body for reply in replies), gather.top_count
        )
        return Gathered(
            stamps=tuple(reply.stamp for reply in replies),
            total=collection.total,
            version=ask.table.version,
            body=body,
        )

    def _refuse(
        self,
        query: Query,
        code: ResultCode,
        retry_after_seconds: float | None = None,
    ) -> Refusal:
        metrics.counters.add('refusals', code.name)
        logger.bind(
            request=query.request.request_id,
            host=query.host,
            path=query.path,
            code=code.name,
        ).info('request refused')
        return Refusal(code=code, retry_after_seconds=retry_after_seconds)

    def _log(
        self, ask: Ask, answer: Answer, fetched: Sequence[Fetched]
    ) -> None:
        """Write the story of a request that did not simply go well."""
        elapsed_ms = (self.clock() - ask.received_seconds) * 1000
        is_late = elapsed_ms > ask.route.target_ms
        outcome = _outcome(answer)
        metrics.counters.add('answers', 'late' if is_late else outcome)
        self._answered += 1
        is_sampled = self._answered % _SAMPLE == 0
        if outcome == ResultCode.ok.name and not is_late and not is_sampled:
            return
        logger.bind(
            request=ask.request.request_id,
            route=ask.route.name,
            version=ask.table.version,
            outcome=outcome,
            elapsed_ms=round(elapsed_ms, 1),
            target_ms=ask.route.target_ms,
            daemons=self.tier.count_daemons(self.clock()),
            parts=[_part_story(one) for one in fetched if _is_telling(one)],
        ).info('request answered')


def _find(table: RoutingTable, query: Query) -> Route | None:
    if query.route_name:
        return table.named(query.route_name)
    return table.find(query.host, query.path)


def _ask(query: Query, table: RoutingTable, route: Route) -> Ask:
    limit_ms = route.timeout_ms
    if query.deadline_ms is not None:
        limit_ms = min(limit_ms, query.deadline_ms)
    return Ask(
        request=query.request,
        route=route,
        table=table,
        received_seconds=query.received_seconds,
        deadline_seconds=query.received_seconds + limit_ms / 1000,
        room_seconds=min(limit_ms, route.target_ms) * _ROOM_SHARE / 1000,
    )


def _relayed(fetched: Fetched) -> Answer:
    if fetched.reply is not None:
        return Relayed(reply=fetched.reply)
    if fetched.may_have_run:
        return Refusal(code=fetched.code, may_have_run=True)
    return Refusal(code=fetched.code, retry_after_seconds=_FULL_RETRY_SECONDS)


def _failed_gather(collection: Collection, *, is_over: bool) -> Refusal:
    """Name the failure; shards that were not waited for may have run."""
    may_have_run = (
        not is_over
        or bool(collection.merged)
        or any(one.may_have_run for one in collection.failed)
    )
    code = ResultCode.deadline_exceeded
    if collection.failed:
        code = collection.failed[-1].code
    if may_have_run:
        return Refusal(code=code, may_have_run=True)
    return Refusal(code=code, retry_after_seconds=_FULL_RETRY_SECONDS)


def _outcome(answer: Answer) -> str:
    if isinstance(answer, Refusal):
        return answer.code.name
    if isinstance(answer, Gathered) and answer.missing:
        return 'partial'
    if isinstance(answer, Relayed) and not answer.reply.is_success:
        return 'backend_failure'
    return ResultCode.ok.name


def _is_telling(fetched: Fetched) -> bool:
    return fetched.code is not ResultCode.ok or len(fetched.records) > 1


def _part_story(fetched: Fetched) -> list[object]:
    sends = [list(attrs.astuple(record)) for record in fetched.records]
    return [fetched.service, fetched.code.name, sends]
