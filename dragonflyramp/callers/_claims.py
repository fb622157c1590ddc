"""Claim idempotency keys over the platform's object API."""

import asyncio

import attrs

from dragonflyramp.callers._background import BackgroundTasks
from dragonflyramp.callers._claim_buckets import (
    BucketObject,
    BucketWriter,
    ClaimClocks,
)
from dragonflyramp.callers._claim_records import ClaimKey
from dragonflyramp.callers._claim_steps import ClaimReply, Operation, Step
from dragonflyramp.callers._settings import ClaimSettings
from dragonflyramp.messages import SubmitOutcome
from dragonflyramp.platform import ObjectStore
from dragonflyramp.results import ResultCode, RunState


@attrs.define(kw_only=True, eq=False)
class Claims:
    """Claim keys and record outcomes; one task for each busy bucket."""

    store: ObjectStore
    settings: ClaimSettings
    clocks: ClaimClocks
    background: BackgroundTasks
    _own_tokens: set[str] = attrs.field(factory=set, init=False)
    _writers: dict[int, BucketWriter] = attrs.field(factory=dict, init=False)
    _tasks: dict[int, asyncio.Task[None]] = attrs.field(
        factory=dict, init=False
    )

    async def claim(
        self, key: ClaimKey, token: str, until_seconds: float
    ) -> ClaimReply:
        """Claim a key for a token until a monotonic time.

        The code is ok when the key is claimed and the request may be sent
        once. With claim_failed nothing may be sent; a claim that took
        effect nevertheless is freed in the background.
        """
        writer = self._writer(key.bucket)
        if len(writer.waiting) >= self.settings.max_waiting:
            return ClaimReply(ResultCode.claim_failed)
        operation = Operation(
            step=Step.claim, key=key, token=token, until_seconds=until_seconds
        )
        self._own_tokens.add(token)
        self._enqueue(operation)
        left_seconds = until_seconds - self.clocks.clock()
        await asyncio.wait([operation.reply], timeout=max(0, left_seconds))
        if operation.reply.done():
            return operation.reply.result()
        operation.step = Step.abandon
        operation.until_seconds = self._settle_until()
        return ClaimReply(ResultCode.claim_failed)

    async def settle(
        self,
        key: ClaimKey,
        token: str,
        outcome: SubmitOutcome,
        until_seconds: float,
    ) -> bool:
        """Record an outcome, or free the claim of a request not run.

        Wait for at most record_wait_ms and until a monotonic time, and tell
        whether it is done; it is retried in the background for
        settle_seconds.
        """
        is_kept = len(outcome.body) <= self.settings.max_outcome_bytes
        was_run = outcome.code.meaning.run is not RunState.not_run
        operation = Operation(
            step=Step.record if was_run else Step.release,
            key=key,
            token=token,
            until_seconds=self._settle_until(),
            code=outcome.code,
            body=outcome.body if is_kept else None,
        )
        self._enqueue(operation)
        left_seconds = max(0, until_seconds - self.clocks.clock())
        limit_seconds = self.settings.record_wait_ms / 1000
        await asyncio.wait(
            [operation.reply], timeout=min(left_seconds, limit_seconds)
        )
        return operation.reply.done()

    def _settle_until(self) -> float:
        return self.clocks.clock() + self.settings.settle_seconds

    def _enqueue(self, operation: Operation) -> None:
        number = operation.key.bucket
        writer = self._writer(number)
        writer.waiting[operation] = None
        task = self._tasks.get(number)
        if task is None or task.done():
            self._tasks[number] = self.background.start(writer.run())

    def _writer(self, number: int) -> BucketWriter:
        found = self._writers.get(number)
        if found is None:
            found = BucketWriter(
                target=BucketObject(
                    name=f'claims/{number}',
                    store=self.store,
                    timeout_seconds=self.settings.call_timeout_seconds,
                ),
                settings=self.settings,
                clocks=self.clocks,
                own_tokens=self._own_tokens,
            )
            self._writers[number] = found
        return found
