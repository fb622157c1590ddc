"""Decide whether a request that may end replicas is sent."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import attrs
from loguru import logger

from dragonflyramp.backends import CrashDetector, RequestContext
from dragonflyramp.callers._answers import Answer, Refusal
from dragonflyramp.callers._trial_claims import (
    TRIAL_RETRY_AFTER_SECONDS,
    TrialClaims,
)
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode
from dragonflyramp.suspects import (
    MAX_CRASH_ROUNDS,
    ClaimOutcome,
    Suspicion,
)

#: Maximum wait for the outcome of a trial on this daemon, as a share of the
#: latency target.
_TRIAL_WAIT_SHARE = 0.5

#: Sends a request and returns the answer.
Execute = Callable[[RequestContext], Awaitable[Answer]]


def _create_claims(guard: 'SuspectGuard') -> TrialClaims:
    return TrialClaims(detector=guard.detector)


@attrs.define(eq=False, kw_only=True)
class SuspectGuard:
    """Try suspect requests one at a time, and refuse those that end replicas.

    A request that is not suspect is executed without any check.
    """

    detector: CrashDetector
    claims: TrialClaims = attrs.field(
        default=attrs.Factory(_create_claims, takes_self=True)
    )

    async def run(self, context: RequestContext, execute: Execute) -> Answer:
        """Execute a request, or refuse it with `crash_suspect`."""
        fingerprint = ''
        if self.detector.suspects.table:
            fingerprint = context.crash_watch.fingerprint
        if not self.detector.suspects.table.find(fingerprint).crash_rounds:
            return await self._execute(context, execute)
        wait_seconds = context.route.target_ms * _TRIAL_WAIT_SHARE / 1000
        held_lock = await self.detector.trial_locks.try_acquire(
            fingerprint, wait_seconds
        )
        if held_lock is None:
            return self._refuse(context, TRIAL_RETRY_AFTER_SECONDS)
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(held_lock.release)
            # Another request may have changed it in the meantime.
            suspicion = self.detector.suspects.table.find(fingerprint)
            if suspicion.crash_rounds:
                answer = await self._try(context, suspicion, execute)
                if answer is not None:
                    return answer
                if not await self._is_cleared(
                    fingerprint, suspicion, wait_seconds
                ):
                    return self._refuse(context, TRIAL_RETRY_AFTER_SECONDS)
        return await self._execute(context, execute)

    async def _try(
        self, context: RequestContext, suspicion: Suspicion, execute: Execute
    ) -> Answer | None:
        """Try a suspect request, or refuse it.

        Return None in the first round if another front tries it: a popular
        request is cleared within a moment.
        """
        fingerprint = context.crash_watch.fingerprint
        is_first_round = suspicion.crash_rounds == 1
        if is_first_round and self.claims.is_tried(fingerprint):
            return None
        delay_seconds = self.claims.delay_seconds(fingerprint, suspicion)
        if delay_seconds:
            return self._refuse(context, delay_seconds)
        claim = await self.claims.claim(fingerprint, suspicion)
        if is_first_round and claim is ClaimOutcome.taken:
            return None
        # Without the store, each front that hears of others tries it once.
        is_tried_unclaimed = (
            is_first_round
            and claim is ClaimOutcome.unavailable
            and self.detector.is_informed(self.detector.clock())
        )
        if claim is not ClaimOutcome.granted and not is_tried_unclaimed:
            return self._refuse(context, TRIAL_RETRY_AFTER_SECONDS)
        answer = await self._execute_trial(context, suspicion, execute)
        self.claims.settle(fingerprint, suspicion, answer)
        return answer

    async def _is_cleared(
        self, fingerprint: str, suspicion: Suspicion, wait_seconds: float
    ) -> bool:
        """Wait for the outcome of a trial of another front."""
        suspects = self.detector.suspects
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_seconds):
                while suspects.table.find(fingerprint) == suspicion:
                    await suspects.changes.wait()
        return not suspects.table.find(fingerprint).crash_rounds

    async def _execute_trial(
        self, context: RequestContext, suspicion: Suspicion, execute: Execute
    ) -> Answer:
        counters.add('suspect_requests', 'trial')
        trial = attrs.evolve(
            context,
            crash_watch=attrs.evolve(
                context.crash_watch, suspicion=suspicion, is_trial=True
            ),
        )
        logger.bind(
            request=context.request.request_id,
            fingerprint=trial.crash_watch.fingerprint,
            rounds=suspicion.crash_rounds,
        ).info('trial of a suspect request')
        return await self._execute(trial, execute)

    async def _execute(
        self, context: RequestContext, execute: Execute
    ) -> Answer:
        with contextlib.ExitStack() as cleanup:
            cleanup.callback(context.crash_watch.finish)
            return await execute(context)

    def _refuse(
        self, context: RequestContext, retry_after_seconds: float
    ) -> Refusal:
        fingerprint = context.crash_watch.fingerprint
        suspicion = self.detector.suspects.table.find(fingerprint)
        self.detector.suspects.table.touch(fingerprint, self.detector.clock())
        is_limit_reached = suspicion.crash_rounds >= MAX_CRASH_ROUNDS
        counters.add('refusals', ResultCode.crash_suspect.name)
        counters.add(
            'suspect_requests',
            'refused' if is_limit_reached else 'refused_during_trial',
        )
        logger.bind(
            request=context.request.request_id,
            tenant=context.tenant_name,
            code=ResultCode.crash_suspect.name,
            fingerprint=fingerprint,
            service=suspicion.service,
            rounds=suspicion.crash_rounds,
            last_crash=suspicion.request_id,
        ).info('request refused')
        if is_limit_reached:
            self.claims.record_seen(fingerprint)
        return Refusal(
            code=ResultCode.crash_suspect,
            retry_after_seconds=retry_after_seconds,
        )
