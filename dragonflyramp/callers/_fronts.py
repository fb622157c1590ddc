"""Accept the requests of callers, from any front end."""

import asyncio

from loguru import logger
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dragonflyramp.callers._admission import Admission, Stopping
from dragonflyramp.callers._background import BackgroundTasks
from dragonflyramp.callers._parts import FrontParts, compose_searches
from dragonflyramp.callers._quarantine import Quarantine
from dragonflyramp.callers._requests import (
    Refusal,
    SearchAnswer,
    SearchRequest,
    SubmitRequest,
)
from dragonflyramp.callers._suspects import Suspects
from dragonflyramp.metrics import counters
from dragonflyramp.models import Service
from dragonflyramp.results import ResultCode


class Front:
    """Run searches and submits, and tell whether that is possible."""

    def __init__(self, parts: FrontParts) -> None:
        """Compose the front; nothing runs before the first request."""
        settings = parts.settings
        self.parts = parts
        self.quarantine = Quarantine(settings.quarantine)
        self._stopping = Stopping(settings.notice_seconds)
        self._background = BackgroundTasks()
        self._searches = compose_searches(
            parts, Suspects(self.quarantine), self._background
        )
        self._search_admission = Admission(
            settings.max_searches, self._stopping
        )

    async def search(
        self, request: SearchRequest
    ) -> Result[SearchAnswer, Refusal]:
        """Run one search; cancelling the call cancels the search."""
        admitted = self._admit(request, self._search_admission)
        if not is_successful(admitted):
            return _refuse(admitted.failure())
        service = admitted.unwrap()
        with self._search_admission.enter():
            found = await self._searches.search(request, service)
        return found.lash(_count)

    def is_ready(self, now_seconds: float) -> bool:
        """Tell whether a load balancer should send requests here."""
        return (
            not self._stopping.is_announced()
            and self._unready_code(now_seconds) is None
            and bool(self.parts.links.reports())
        )

    async def drain(self, now_seconds: float) -> None:
        """Stop accepting after the notice time and wait for the rest."""
        logger.info('draining: not ready, accepting for the notice time')
        self._stopping.start(now_seconds)
        while not self._stopping.refuses(self.parts.clock()):
            left = self._stopping.refuses_from() - self.parts.clock()
            await asyncio.sleep(left)
        await self._search_admission.wait_idle()
        logger.info('drained: no request is in flight')

    def _admit(
        self, request: SearchRequest | SubmitRequest, admission: Admission
    ) -> Result[Service, ResultCode]:
        now_seconds = self.parts.clock()
        code = admission.refusal(now_seconds)
        code = code or self._unready_code(now_seconds)
        if code:
            return Failure(code)
        configuration = self.parts.source.current
        service = configuration and configuration.services.get(request.service)
        if not service:
            return Failure(ResultCode.unknown_service)
        if request.deadline_ms < 1:
            return Failure(ResultCode.bad_deadline)
        return Success(service)

    def _unready_code(self, now_seconds: float) -> ResultCode | None:
        if self.parts.source.current is None:
            return ResultCode.no_configuration
        if self.parts.source.is_isolated(now_seconds):
            return ResultCode.isolated
        return None


def _refuse(code: ResultCode) -> Failure[Refusal]:
    return _count(Refusal(code))


def _count(refusal: Refusal) -> Failure[Refusal]:
    counters.add('refusals', refusal.code.name)
    return Failure(refusal)
