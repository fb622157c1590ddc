"""Build answers from what was fetched."""

from dragonflyramp.backends import FetchResult, RequestContext
from dragonflyramp.callers._answers import (
    Answer,
    Refusal,
    RelayedAnswer,
    RelayedFailure,
    RouteVersion,
)
from dragonflyramp.callers._scatter_gather import ShardResults
from dragonflyramp.results import ResultCode


def routed_by(context: RequestContext) -> RouteVersion:
    """Return the route and the version of the configuration of a request."""
    return RouteVersion(route=context.route, version=context.table.version)


def build_relay_answer(
    fetch_result: FetchResult, routed: RouteVersion, delay_seconds: float
) -> Answer:
    """Build the answer of a plain route from the result of its fetch."""
    if fetch_result.success is not None:
        return RelayedAnswer(success=fetch_result.success, routed=routed)
    if fetch_result.failure is not None:
        return RelayedFailure(reply=fetch_result.failure)
    if fetch_result.may_have_run:
        return Refusal(code=fetch_result.code, may_have_run=True)
    return Refusal(code=fetch_result.code, retry_after_seconds=delay_seconds)


def build_search_refusal(
    shard_results: ShardResults,
    *,
    is_finished: bool,
    delay_seconds: float,
) -> Refusal:
    """Build the refusal of a search without enough successful shards.

    A replica of an unfinished shard may have run the request.
    """
    may_have_run = (
        not is_finished
        or bool(shard_results.succeeded)
        or any(
            fetch_result.may_have_run for fetch_result in shard_results.failed
        )
    )
    code = ResultCode.deadline_exceeded
    if shard_results.failed:
        code = shard_results.failed[-1].code
    if may_have_run:
        return Refusal(code=code, may_have_run=True)
    return Refusal(code=code, retry_after_seconds=delay_seconds)
