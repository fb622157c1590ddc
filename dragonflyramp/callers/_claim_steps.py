"""Decide what a step on a claim does to its bucket."""

import asyncio
import enum

import attrs

from dragonflyramp.callers._claim_records import (
    Bucket,
    ClaimKey,
    ClaimRecord,
    ClaimState,
    encode_record,
)
from dragonflyramp.callers._settings import ClaimSettings
from dragonflyramp.results import ResultCode


class Step(enum.Enum):
    """Name what is done to a claim."""

    claim = 'claim'
    record = 'record'
    release = 'release'
    #: Release a claim if one of its writes took or takes effect.
    abandon = 'abandon'

    @property
    def counter(self) -> str:
        """Name the counter of the results of this step."""
        return f'claim_{self.value}'


@attrs.frozen
class ClaimReply:
    """Tell what became of a step.

    The code is ok when the step is done, outcome_replayed with the body
    when a claim found a recorded outcome, and else says why it is refused.
    """

    code: ResultCode
    body: bytes = b''


@attrs.frozen
class Decision:
    """Hold a reply, and whether it is true only after a write."""

    reply: ClaimReply
    needs_write: bool = False


@attrs.define(kw_only=True, eq=False)
class Operation:
    """Hold one step that waits for a commit of its bucket.

    `unsettled_version` is the version that the last write with this step
    was based on. While the object stands at that version, a write whose
    reply was lost may still take effect.
    """

    step: Step
    key: ClaimKey
    token: str
    until_seconds: float
    code: ResultCode = ResultCode.ok
    #: None when the body is too large to be kept.
    body: bytes | None = b''
    unsettled_version: int | None = None
    reply: asyncio.Future[ClaimReply] = attrs.field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )

    def may_still_land(self, version: int) -> bool:
        """Tell whether an earlier write may take effect at this version."""
        unsettled = self.unsettled_version
        return unsettled is not None and version <= unsettled


@attrs.frozen(kw_only=True)
class Ledger:
    """Hold a bucket as read, and what a decision needs besides."""

    bucket: Bucket
    version: int
    now_unix_seconds: float
    #: Tokens of this front whose outcome is not recorded yet.
    own_tokens: set[str]
    settings: ClaimSettings


def decide(operation: Operation, ledger: Ledger) -> Decision:
    """Apply a step to the bucket; raise ValueError if that is malformed.

    Each step may be applied again: it finds its own token and does nothing.
    """
    if operation.step is Step.claim:
        return _claim(operation, ledger)
    if operation.step is Step.record:
        return _record(operation, ledger)
    return _release(operation, ledger)


def _claim(operation: Operation, ledger: Ledger) -> Decision:
    found = ledger.bucket.find(operation.key.digest)
    if found is None or found.state is ClaimState.free:
        claimed = _record_of(operation, ledger, ClaimState.claimed)
        size_bytes = ledger.bucket.size_bytes + len(encode_record(claimed))
        if size_bytes < ledger.settings.claims_limit_bytes:
            ledger.bucket.put(claimed)
            return Decision(ClaimReply(ResultCode.ok), needs_write=True)
        reply = ClaimReply(ResultCode.claims_full)
    elif found.token == operation.token:
        return Decision(ClaimReply(ResultCode.ok))
    else:
        reply = _reply_of(found, operation, ledger)
    # A refusal has to fence off an earlier write that would still claim.
    return Decision(reply, operation.may_still_land(ledger.version))


def _reply_of(
    found: ClaimRecord, operation: Operation, ledger: Ledger
) -> ClaimReply:
    if found.key != operation.key:
        return ClaimReply(ResultCode.key_reused)
    if found.state is ClaimState.claimed:
        is_own = found.token in ledger.own_tokens
        return ClaimReply(
            ResultCode.already_claimed if is_own else ResultCode.outcome_unknown
        )
    if found.code is ResultCode.ok and found.body is not None:
        return ClaimReply(ResultCode.outcome_replayed, found.body)
    return ClaimReply(ResultCode.outcome_unknown)


def _record(operation: Operation, ledger: Ledger) -> Decision:
    found = ledger.bucket.find(operation.key.digest)
    if found and found.token != operation.token:
        return Decision(ClaimReply(ResultCode.outcome_unknown))
    if found and found.state is ClaimState.done:
        return Decision(ClaimReply(ResultCode.ok))
    done = _record_of(operation, ledger, ClaimState.done)
    if found:
        seconds = found.claimed_unix_seconds
        done = attrs.evolve(done, claimed_unix_seconds=seconds)
    size_bytes = ledger.bucket.size_bytes + len(encode_record(done))
    if size_bytes >= ledger.settings.bucket_limit_bytes:
        done = attrs.evolve(done, body=None)
    ledger.bucket.put(done)
    return Decision(ClaimReply(ResultCode.ok), needs_write=True)


def _release(operation: Operation, ledger: Ledger) -> Decision:
    reply = ClaimReply(ResultCode.ok)
    found = ledger.bucket.find(operation.key.digest)
    if found and found.token == operation.token:
        if found.state is ClaimState.claimed:
            ledger.bucket.put(attrs.evolve(found, state=ClaimState.free))
            return Decision(reply, needs_write=True)
        return Decision(reply)
    return Decision(reply, operation.may_still_land(ledger.version))


def _record_of(
    operation: Operation, ledger: Ledger, state: ClaimState
) -> ClaimRecord:
    is_kept = state is ClaimState.done and operation.code is ResultCode.ok
    return ClaimRecord(
        key=operation.key,
        state=state,
        token=operation.token,
        claimed_unix_seconds=int(ledger.now_unix_seconds),
        code=operation.code,
        body=operation.body if is_kept else None,
    )
