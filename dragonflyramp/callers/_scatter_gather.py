"""Send a search to all its shards and collect their results."""

import asyncio
import collections
import contextlib

import attrs

from dragonflyramp.backends import (
    BackendClient,
    Fetch,
    FetchResult,
    RequestContext,
)
from dragonflyramp.callers._cutoffs import Progress
from dragonflyramp.callers._part_fetches import PartFetches
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode
from dragonflyramp.routes import GatherSettings


@attrs.frozen
class ShardResults:
    """Results of the shards of one search."""

    shard_count: int
    succeeded: tuple[FetchResult, ...] = ()
    failed: tuple[FetchResult, ...] = ()
    #: Shards that had not finished when the search ended.
    cancelled: tuple[FetchResult, ...] = ()

    @property
    def all_results(self) -> tuple[FetchResult, ...]:
        """Return the results of all shards, for the request log."""
        return (*self.succeeded, *self.failed, *self.cancelled)

    def progress(self, min_share: float) -> Progress:
        """Return the progress of the search.

        `min_share` is the share of shards that an answer requires.
        """
        return Progress(
            shard_count=self.shard_count,
            succeeded_count=len(self.succeeded),
            failed_count=len(self.failed),
            min_share=min_share,
        )

    def without_copies(self) -> 'ShardResults':
        """Return the results with parts that have the same stamp as failed.

        A stamp signs one reply, and nothing tells which part that is.
        """
        stamps = [_stamp_of(part) for part in self.succeeded]
        counts = collections.Counter(stamps)
        if len(counts) == len(stamps):
            return self
        valid = []
        failed = list(self.failed)
        for part, stamp in zip(self.succeeded, stamps, strict=True):
            if counts[stamp] == 1:
                valid.append(part)
                continue
            counters.add('invalid_replies', 'repeated_stamp')
            failed.append(
                attrs.evolve(part, code=ResultCode.bad_reply, success=None)
            )
        return attrs.evolve(self, succeeded=tuple(valid), failed=tuple(failed))


def _count_shards(scatter_gather: 'ScatterGather') -> int:
    return len(scatter_gather.gather.shards)


def _count_required(scatter_gather: 'ScatterGather') -> int:
    return scatter_gather.gather.required_count


@attrs.define(eq=False, kw_only=True)
class ScatterGather:
    """Send a search to all shards and wait for enough results."""

    backend_client: BackendClient
    context: RequestContext
    gather: GatherSettings
    #: Monotonic time from which a partial answer is allowed.
    cutoff_at_seconds: float
    #: Whether the search ended at the cutoff, with enough shards.
    was_cut_off: bool = False
    #: Results so far; `run` returns copies.
    _succeeded: list[FetchResult] = attrs.field(factory=list)
    _failed: list[FetchResult] = attrs.field(factory=list)
    _ended: asyncio.Event = attrs.field(factory=asyncio.Event)
    _is_past_cutoff: bool = False
    _shard_count: int = attrs.field(
        init=False, default=attrs.Factory(_count_shards, takes_self=True)
    )
    _required_count: int = attrs.field(
        init=False, default=attrs.Factory(_count_required, takes_self=True)
    )

    async def run(self) -> ShardResults:
        """Run the search; cancel the fetches that are unfinished at its end."""
        fetches = [
            self.backend_client.create_fetch(self.context, shard)
            for shard in self.gather.shards
        ]
        parts = PartFetches(self.backend_client, self.context, self._add)
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(parts.release)
            if self.context.crash_watch.is_trial:
                fetches = await self._try_shards(fetches)
            parts.start(fetches)
            _record_requests(self.backend_client, self.gather)
            await self._wait_until_ended(self.cutoff_at_seconds)
            was_ended = self._ended.is_set()
            self._is_past_cutoff = True
            self._end_if_possible()
            self.was_cut_off = self._ended.is_set() and not was_ended
            await self._wait_until_ended(self.context.deadline_at_seconds)
            cancelled = parts.give_up()
        return ShardResults(
            shard_count=len(self.gather.shards),
            succeeded=tuple(self._succeeded),
            failed=tuple(self._failed),
            cancelled=cancelled,
        ).without_copies()

    async def _try_shards(self, fetches: list[Fetch]) -> list[Fetch]:
        """Try a suspect search at one shard after another.

        Return the fetches that may all be sent once a replica has answered. If
        a replica may have ended, none is left, and their shards have failed.
        """
        last_service = self.context.crash_watch.suspicion.service
        remaining = sorted(
            fetches, key=lambda fetch: fetch.service != last_service
        )
        while remaining:
            fetch_result = await self._try_shard(remaining.pop(0))
            if self.context.crash_watch.is_answered:
                return remaining
            if fetch_result.may_have_run:
                break
        for unsent in remaining:
            self._add(
                FetchResult(
                    service=unsent.service, code=ResultCode.crash_suspect
                )
            )
        self._ended.set()
        return []

    async def _try_shard(self, fetch: Fetch) -> FetchResult:
        """Fetch from one shard until the deadline, and add the result."""
        remaining_seconds = (
            self.context.deadline_at_seconds - self.backend_client.clock()
        )
        fetch_result = FetchResult(
            service=fetch.service,
            code=ResultCode.deadline_exceeded,
            may_have_run=True,
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0, remaining_seconds)):
                fetch_result = await fetch.run()
        self._add(fetch_result)
        return fetch_result

    def _add(self, fetch_result: FetchResult) -> None:
        is_success = fetch_result.success is not None
        (self._succeeded if is_success else self._failed).append(fetch_result)
        self._end_if_possible()

    def _end_if_possible(self) -> None:
        succeeded_count = len(self._succeeded)
        failed_count = len(self._failed)
        is_partial_allowed = (
            self._is_past_cutoff and succeeded_count >= self._required_count
        )
        if (
            is_partial_allowed
            or succeeded_count + failed_count == self._shard_count
            or self._shard_count - failed_count < self._required_count
        ):
            self._ended.set()

    async def _wait_until_ended(self, timeout_at_seconds: float) -> None:
        remaining_seconds = timeout_at_seconds - self.backend_client.clock()
        if remaining_seconds <= 0 or self._ended.is_set():
            return
        try:
            async with asyncio.timeout(remaining_seconds):
                await self._ended.wait()
        except TimeoutError:
            return


def _record_requests(client: BackendClient, gather: GatherSettings) -> None:
    """Count the search in the budgets for hedges and retries."""
    now_seconds = client.clock()
    for shard in gather.shards:
        client.budgets.for_service(shard).record_request(now_seconds)


def _stamp_of(part: FetchResult) -> str:
    return '' if part.success is None else part.success.stamp
