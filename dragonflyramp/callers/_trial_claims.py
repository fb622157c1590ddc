"""Claim trials of suspect requests, so that one front has one at a time."""

import asyncio
import contextlib
import math
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from dragonflyramp.backends import CrashDetector
from dragonflyramp.callers._answers import (
    Answer,
    Refusal,
    RelayedAnswer,
    RelayedFailure,
)
from dragonflyramp.runtime import unix_ms
from dragonflyramp.suspects import (
    MAX_CRASH_ROUNDS,
    ClaimOutcome,
    LocalSuspectRecords,
    SuspectRecords,
    Suspicion,
)

#: Retry delay for a caller whose request another one tries now.
TRIAL_RETRY_AFTER_SECONDS = 1
#: Retry delay for a caller whose request is not sent any more.
_MAX_RETRY_AFTER_SECONDS = 900
#: Timeout of a claim, which normally takes a few milliseconds.
_CLAIM_TIMEOUT_SECONDS = 0.5


def _no_versions(service: str) -> frozenset[str]:
    """Return no versions, for fronts that do not know them."""
    return frozenset()


@attrs.define(eq=False, kw_only=True)
class TrialClaims:
    """Claim trials, and record their outcomes."""

    detector: CrashDetector
    records: SuspectRecords = attrs.field(factory=LocalSuspectRecords)
    #: Returns the software versions of the replicas of a service.
    software_versions: Callable[[str], frozenset[str]] = _no_versions
    #: Returns the Unix time in ms.
    wall_clock_ms: Callable[[], int] = unix_ms

    def is_tried(self, fingerprint: str) -> bool:
        """Return whether a front may be trying the request."""
        record = self.records.find(fingerprint)
        return record is not None and record.is_tried(self.wall_clock_ms())

    def delay_seconds(self, fingerprint: str, suspicion: Suspicion) -> float:
        """Return the time until a trial may be claimed; 0 for now."""
        record = self.records.find(fingerprint)
        if record is None:
            is_limit_reached = suspicion.crash_rounds >= MAX_CRASH_ROUNDS
            return _MAX_RETRY_AFTER_SECONDS if is_limit_reached else 0
        if suspicion.order > record.suspicion.order:
            record = attrs.evolve(record, suspicion=suspicion)
        now_ms = self.wall_clock_ms()
        if record.is_tried(now_ms):
            return TRIAL_RETRY_AFTER_SECONDS
        delay_ms = record.trial_delay_ms(
            self.software_versions(suspicion.service), now_ms
        )
        return math.ceil(min(_MAX_RETRY_AFTER_SECONDS, delay_ms / 1000))

    async def claim(
        self, fingerprint: str, suspicion: Suspicion
    ) -> ClaimOutcome:
        """Claim a trial, which one front gets at a time."""
        versions = self.software_versions(suspicion.service)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CLAIM_TIMEOUT_SECONDS):
                return await self.records.claim_trial(
                    fingerprint, suspicion, min(versions, default='')
                )
        return ClaimOutcome.unavailable

    def settle(
        self, fingerprint: str, suspicion: Suspicion, answer: Answer
    ) -> None:
        """Record the outcome of a claimed trial.

        The claim stays if the outcome is unknown, as after a timeout or the end
        of this process: then no front tries the request until a trial is due.
        """
        current = self.detector.suspects.table.find(fingerprint)
        has_crashed = current.order > suspicion.order
        if not current.crash_rounds:
            self._start(self.records.remove(fingerprint))
        elif has_crashed or _is_harmless(answer):
            self._start(self.records.end_trial(fingerprint, current))

    def record_seen(self, fingerprint: str) -> None:
        """Keep the record of a request that was refused."""
        self._start(self.records.record_seen(fingerprint))

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self.detector.tasks.start(coroutine, 'suspect_record')


def _is_harmless(answer: Answer) -> bool:
    """Return whether a trial ended no replica.

    It was not run, or a replica has answered it with a failure.
    """
    if isinstance(answer, Refusal):
        return not answer.may_have_run
    return isinstance(answer, (RelayedAnswer, RelayedFailure))
