"""Commit the steps of one bucket together, one update in flight."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dragonflyramp import traces
from dragonflyramp.callers._claim_records import Bucket, decode_bucket
from dragonflyramp.callers._claim_steps import (
    ClaimReply,
    Decision,
    Ledger,
    Operation,
    Step,
    decide,
)
from dragonflyramp.callers._settings import ClaimSettings
from dragonflyramp.metrics import counters
from dragonflyramp.platform import ABSENT, ObjectStore, VersionedObject
from dragonflyramp.results import ResultCode

_Reply = TypeVar('_Reply')

#: Beyond this the backoff is at its maximum whatever the settings.
_MAX_DOUBLINGS = 20


@attrs.define(kw_only=True, eq=False)
class ClaimClocks:
    """Hold the clocks, in seconds, and the randomness of the claims."""

    clock: Callable[[], float]
    unix_clock: Callable[[], float]
    rng: random.Random


@attrs.define(kw_only=True, eq=False)
class BucketObject:
    """Read and write one bucket object within a time limit for each call."""

    name: str
    store: ObjectStore
    timeout_seconds: float

    async def read(self) -> Result[VersionedObject, ResultCode]:
        """Read the object; a missing one is an empty bucket."""
        found = await self._limit(self.store.read(self.name))
        is_missing = Failure(ResultCode.object_missing)
        if found == is_missing:
            return Success(
                VersionedObject(self.name, ABSENT, Bucket().encode())
            )
        return found

    async def write(self, body: bytes, version: int) -> Result[int, ResultCode]:
        """Write the object if the version still stands."""
        return await self._limit(self.store.write(self.name, body, version))

    async def _limit(
        self, call: Awaitable[Result[_Reply, ResultCode]]
    ) -> Result[_Reply, ResultCode]:
        try:
            async with asyncio.timeout(self.timeout_seconds):
                return await call
        except TimeoutError:
            return Failure(ResultCode.platform_down)


@attrs.frozen
class _Decided:
    operation: Operation
    step: Step
    reply: ClaimReply


@attrs.define(kw_only=True, eq=False)
class BucketWriter:
    """Run the steps that wait for one bucket, until none is left."""

    target: BucketObject
    settings: ClaimSettings
    clocks: ClaimClocks
    own_tokens: set[str]
    waiting: dict[Operation, None] = attrs.field(factory=dict, init=False)

    async def run(self) -> None:
        """Commit what waits, in groups, and back off after a failure."""
        failures = 0
        self._drop(self.clocks.clock())
        while self.waiting:
            failure = await self._commit()
            if failure is None:
                failures = 0
            else:
                failures += 1
                counters.add('claim_retries', failure.name)
                await asyncio.sleep(self._backoff(failures))
            self._drop(self.clocks.clock())

    async def _commit(self) -> ResultCode | None:
        """Read, decide and write once; return why that failed."""
        ledger = await self._read_ledger()
        if not is_successful(ledger):
            return ledger.failure()
        try:
            decided = self._decide(ledger.unwrap())
        except ValueError:
            return ResultCode.bad_message
        if not decided:
            return None
        written = await self.target.write(
            ledger.unwrap().bucket.encode(), ledger.unwrap().version
        )
        if not is_successful(written):
            return written.failure()
        for one in decided:
            # A claim that was given up during the write is released next.
            if one.operation.step is one.step:
                self._finish(one.operation, one.reply)
        return None

    async def _read_ledger(self) -> Result[Ledger, ResultCode]:
        found = await self.target.read()
        if not is_successful(found):
            return Failure(found.failure())
        stored = found.unwrap()
        bucket = decode_bucket(stored.body)
        if not is_successful(bucket):
            return Failure(bucket.failure())
        return Success(
            Ledger(
                bucket=bucket.unwrap(),
                version=stored.version,
                now_unix_seconds=self.clocks.unix_clock(),
                own_tokens=self.own_tokens,
                settings=self.settings,
            )
        )

    def _decide(self, ledger: Ledger) -> list[_Decided]:
        """Apply all waiting steps; finish those that need no write."""
        ledger.bucket.prune(
            ledger.now_unix_seconds,
            self.settings.claim_retention_seconds,
            self.settings.free_retention_seconds,
        )
        decided: list[_Decided] = []
        for operation in tuple(self.waiting):
            decision = _decide(operation, ledger, self.clocks.clock())
            if decision.needs_write:
                operation.unsettled_version = ledger.version
                decided.append(
                    _Decided(operation, operation.step, decision.reply)
                )
            else:
                self._finish(operation, decision.reply)
        return decided

    def _finish(self, operation: Operation, reply: ClaimReply) -> None:
        self.waiting.pop(operation)
        is_granted = (
            operation.step is Step.claim and reply.code is ResultCode.ok
        )
        if not is_granted:
            self.own_tokens.discard(operation.token)
        counters.add(operation.step.counter, reply.code.name)
        operation.reply.set_result(reply)

    def _drop(self, now_seconds: float) -> None:
        """Give up late steps and claims that were never written.

        A claim itself is given up only by the request that waits for it.
        """
        for operation in tuple(self.waiting):
            if operation.step is Step.claim:
                continue
            is_abandoned = operation.step is Step.abandon
            if is_abandoned and operation.unsettled_version is None:
                self._finish(operation, ClaimReply(ResultCode.ok))
            elif operation.until_seconds <= now_seconds:
                self._finish(operation, ClaimReply(ResultCode.claim_failed))

    def _backoff(self, failures: int) -> float:
        """Return a delay in seconds with full jitter."""
        limit_ms = self.settings.backoff_base_ms * 2 ** min(
            failures, _MAX_DOUBLINGS
        )
        limit_ms = min(limit_ms, self.settings.backoff_max_ms)
        return self.clocks.rng.uniform(0, limit_ms) / 1000


def _decide(
    operation: Operation, ledger: Ledger, now_seconds: float
) -> Decision:
    if not traces.decisions.is_on:
        return decide(operation, ledger)
    found = ledger.bucket.lines.get(operation.key.digest)
    decision = decide(operation, ledger)
    traces.decisions.write(
        'claim',
        now_seconds,
        {
            'step': operation.step,
            'key': operation.key,
            'token': operation.token,
            'code': operation.code,
            'unsettled_version': operation.unsettled_version,
            'found': found and found.decode(),
            'version': ledger.version,
            'unix_seconds': ledger.now_unix_seconds,
            'is_own': _is_own(found or b'', ledger),
            'reply': decision.reply.code,
            'needs_write': decision.needs_write,
        },
    )
    return decision


def _is_own(line: bytes, ledger: Ledger) -> bool:
    return any(token.encode() in line for token in ledger.own_tokens)
