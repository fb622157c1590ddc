"""Take in the queries and submits of fronts, and count what is open."""

import asyncio
import functools
import math
from collections.abc import Callable

from dragonflyramp.backends._contexts import TierContext
from dragonflyramp.backends._jobs import Job, Outcome
from dragonflyramp.backends._queries import (
    deadline_seconds,
    put_part,
    search_job,
    submit_deadline_seconds,
    submit_job,
)
from dragonflyramp.backends._shard_table import ShardTable
from dragonflyramp.messages import Part, Query, Submit, SubmitOutcome
from dragonflyramp.results import ResultCode


class Intake:
    """Give jobs to the shards until the relay drains."""

    def __init__(self, context: TierContext, shard_table: ShardTable) -> None:
        """Start open."""
        self._context = context
        self._shard_table = shard_table
        self._open_jobs = 0
        self._stopping = False
        self._idle = asyncio.Event()

    def start_query(self, query: Query, outbox: asyncio.Queue[Part]) -> None:
        """Queue each attempt; exactly one part per attempt follows."""
        now_seconds = self._context.clock()
        max_ms = self._context.settings.max_remaining_ms
        deadline = deadline_seconds(query.remaining_ms, max_ms, now_seconds)
        for attempt in query.attempts:
            deliver = functools.partial(put_part, outbox, query, attempt)
            job = search_job(
                query,
                attempt,
                functools.partial(self._finish, deliver),
                deadline=deadline,
                now_seconds=now_seconds,
            )
            self._add(job, attempt.shard)

    async def run_submit(self, submit: Submit) -> SubmitOutcome:
        """Send a submit to one replica at most once."""
        now_seconds = self._context.clock()
        max_ms = self._context.settings.max_remaining_ms
        answer: asyncio.Future[Outcome] = asyncio.Future()
        deliver = functools.partial(_resolve, answer)
        job = submit_job(
            submit,
            functools.partial(self._finish, deliver),
            deadline=submit_deadline_seconds(
                submit.remaining_ms, max_ms, now_seconds
            ),
            now_seconds=now_seconds,
        )
        self._add(job, submit.service)
        try:
            outcome = await answer
        except asyncio.CancelledError:
            # Nobody would record the outcome of a send that starts now.
            job.deadline_seconds = -math.inf
            raise
        return SubmitOutcome(
            submit_id=submit.submit_id, code=outcome.code, body=outcome.body
        )

    async def drain(self) -> None:
        """Refuse new jobs, and wait until none is open."""
        self._stopping = True
        while self._open_jobs:
            self._idle.clear()
            await self._idle.wait()

    def _add(self, job: Job, shard_name: str) -> None:
        self._open_jobs += 1
        refusal = self._refusal(job)
        shard = self._shard_table.shards.get(shard_name)
        if refusal is None and shard is None:
            refusal = ResultCode.not_owner
        if refusal is not None:
            job.finish(Outcome(code=refusal))
        elif shard is not None:
            shard.add(job)

    def _refusal(self, job: Job) -> ResultCode | None:
        if self._stopping:
            return ResultCode.stopping
        if self._context.source.current is None:
            return ResultCode.no_configuration
        if job.deadline_seconds <= job.arrived_seconds:
            return ResultCode.queue_expired
        return None

    def _finish(
        self, deliver: Callable[[Outcome], None], outcome: Outcome
    ) -> None:
        self._open_jobs -= 1
        if not self._open_jobs:
            self._idle.set()
        deliver(outcome)


def _resolve(answer: asyncio.Future[Outcome], outcome: Outcome) -> None:
    if not answer.done():
        answer.set_result(outcome)
