"""Run one submit end to end: claim, send once, record the outcome."""

import asyncio
import random
from collections.abc import Callable

import attrs
from loguru import logger
from returns.result import Failure, Result, Success

from dragonflyramp.callers._claim_records import ClaimKey, claim_key
from dragonflyramp.callers._claims import Claims
from dragonflyramp.callers._outcomes import ASK_NEXT
from dragonflyramp.callers._planning import (
    DeadlineSplit,
    Planner,
    split_deadline,
)
from dragonflyramp.callers._quarantine import fingerprint_of
from dragonflyramp.callers._requests import (
    Refusal,
    SubmitAnswer,
    SubmitRequest,
)
from dragonflyramp.callers._settings import DeadlineSettings
from dragonflyramp.callers._suspects import Suspects
from dragonflyramp.callers._suspicions import Exposure
from dragonflyramp.members import RelayLinks
from dragonflyramp.messages import Submit, SubmitOutcome
from dragonflyramp.metrics import counters
from dragonflyramp.models import MemberId, Service
from dragonflyramp.results import ResultCode, RunState

_SUBMIT_ID_BYTES = 16

Submitted = Result[SubmitAnswer, Refusal]


@attrs.frozen(kw_only=True)
class _Job:
    request: SubmitRequest
    key: ClaimKey
    submit_id: str
    fingerprint: str
    split: DeadlineSplit
    answer_by_seconds: float

    def claim_until(self, share: float) -> float:
        """Return until when the claim may take, to leave time to send."""
        received = self.request.received_seconds
        return received + (self.split.gather_until_seconds - received) * share


@attrs.define(kw_only=True, eq=False)
class Submits:
    """Run submits; each claim allows at most one send."""

    links: RelayLinks
    planner: Planner
    suspects: Suspects
    claims: Claims
    settings: DeadlineSettings
    clock: Callable[[], float]
    rng: random.Random

    async def submit(
        self, request: SubmitRequest, service: Service
    ) -> Submitted:
        """Answer with the outcome or a recorded one, or refuse.

        It must run to its end even if the caller goes away.
        """
        if not self.planner.candidates(service.name):
            return Failure(Refusal(ResultCode.no_relay))
        job = self._job(request, service)
        until_seconds = job.claim_until(self.settings.claim_share)
        reply = await self.claims.claim(job.key, job.submit_id, until_seconds)
        if reply.code is not ResultCode.ok:
            return _answer(request, reply.code, reply.body)
        outcome = await self._run_claimed(job)
        await self.claims.settle(
            job.key, job.submit_id, outcome, job.answer_by_seconds
        )
        return _answer(request, outcome.code, outcome.body)

    async def _run_claimed(self, job: _Job) -> SubmitOutcome:
        """Send a claimed request once, unless that is refused."""
        now_seconds = self.clock()
        relay_ids = self.planner.candidates(job.request.service)
        refusal = self._refusal(job, now_seconds)
        if refusal is None and not relay_ids:
            refusal = ResultCode.no_relay
        if refusal:
            return SubmitOutcome(
                submit_id=job.submit_id, code=refusal, body=b''
            )
        # No await lies between the checks above and the send.
        outcome = await self._send(job, relay_ids[0], now_seconds)
        if _is_untaken(outcome):
            outcome = await self._send_to_next(job, relay_ids[0], outcome)
        exposure = _exposure(job, now_seconds)
        if outcome.code is ResultCode.connection_reset:
            self.suspects.crash(exposure, self.clock())
        elif outcome.code is ResultCode.ok:
            self.suspects.complete(exposure, self.clock())
        return outcome

    async def _send_to_next(
        self, job: _Job, asked: MemberId, outcome: SubmitOutcome
    ) -> SubmitOutcome:
        """Ask the next relay, once, after one that sent nothing itself."""
        now_seconds = self.clock()
        candidates = self.planner.candidates(job.request.service)
        others = [relay_id for relay_id in candidates if relay_id != asked]
        if not others or self._refusal(job, now_seconds):
            return outcome
        counters.add('resends', outcome.code.name)
        return await self._send(job, others[0], now_seconds)

    def _refusal(self, job: _Job, now_seconds: float) -> ResultCode | None:
        if not job.split.remaining_ms(now_seconds):
            # The claim came too late, for example after a pause.
            return ResultCode.claim_failed
        quarantine = self.suspects.quarantine
        if quarantine.contains(job.fingerprint, now_seconds):
            return ResultCode.quarantined
        return None

    async def _send(
        self, job: _Job, relay_id: MemberId, now_seconds: float
    ) -> SubmitOutcome:
        counters.add('submits', 'sent')
        left_seconds = job.split.gather_until_seconds - now_seconds
        submit = Submit(
            submit_id=job.submit_id,
            request_id=job.request.request_id,
            service=job.request.service,
            idempotency_key=job.request.idempotency_key,
            remaining_ms=job.split.remaining_ms(now_seconds),
            body=job.request.body,
            fingerprint=job.fingerprint,
        )
        try:
            async with asyncio.timeout(left_seconds):
                return await self.links.send_submit(relay_id, submit)
        except TimeoutError:
            return _unknown(job)
        except Exception:
            # It may have been sent, and the claim has to be settled.
            logger.exception('the send of a submit failed')
            return _unknown(job)

    def _job(self, request: SubmitRequest, service: Service) -> _Job:
        deadline_ms = min(request.deadline_ms, service.deadline_ms)
        received_seconds = request.received_seconds
        return _Job(
            request=request,
            key=claim_key(
                request.service, request.idempotency_key, request.body
            ),
            submit_id=self.rng.randbytes(_SUBMIT_ID_BYTES).hex(),
            fingerprint=fingerprint_of(service.name, request.body),
            split=split_deadline(received_seconds, deadline_ms, self.settings),
            answer_by_seconds=received_seconds + deadline_ms / 1000,
        )


def _is_untaken(outcome: SubmitOutcome) -> bool:
    """Tell whether a relay refused a submit that another one may take.

    A slice that moves while a submit is on its way costs no refusal then.
    """
    is_not_run = outcome.code.meaning.run is RunState.not_run
    return is_not_run and outcome.code in ASK_NEXT


def _unknown(job: _Job) -> SubmitOutcome:
    return SubmitOutcome(
        submit_id=job.submit_id, code=ResultCode.outcome_unknown, body=b''
    )


def _exposure(job: _Job, sent_seconds: float) -> Exposure:
    return Exposure(
        fingerprint=job.fingerprint,
        shard=job.request.service,
        attempt_id=job.submit_id,
        sent_seconds=sent_seconds,
        until_seconds=job.split.gather_until_seconds,
    )


def _answer(request: SubmitRequest, code: ResultCode, body: bytes) -> Submitted:
    if code.meaning.run is not RunState.run:
        return Failure(Refusal(code))
    return Success(
        SubmitAnswer(request_id=request.request_id, code=code, body=body)
    )
