"""Accept the requests of callers, from any front end."""

import asyncio
import contextlib

from loguru import logger
from returns.pipeline import is_successful
from returns.result import Failure, Result

from dragonflyramp.callers._admission import Admission, Stopping
from dragonflyramp.callers._background import BackgroundTasks
from dragonflyramp.callers._checks import RequestChecks
from dragonflyramp.callers._parts import (
    FrontParts,
    compose_searches,
    compose_submits,
)
from dragonflyramp.callers._requests import (
    Refusal,
    SearchAnswer,
    SearchRequest,
    SubmitAnswer,
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
        self.quarantine = parts.quarantine
        self._stopping = Stopping(settings.notice_seconds)
        self._checks = RequestChecks(parts.source, parts.clock)
        self._background = BackgroundTasks()
        suspects = Suspects(self.quarantine)
        self._searches = compose_searches(parts, suspects, self._background)
        self._submits = compose_submits(parts, suspects, self._background)
        self._search_admission = Admission(
            settings.max_searches, self._stopping
        )
        self._submit_admission = Admission(settings.max_submits, self._stopping)

    async def search(
        self, request: SearchRequest
    ) -> Result[SearchAnswer, Refusal]:
        """Run one search; cancelling the call cancels the search."""
        checked = self._checks.check(request, self._search_admission)
        if not is_successful(checked):
            return _refuse(checked.failure())
        service = checked.unwrap()
        with self._search_admission.enter():
            found = await self._searches.search(request, service)
        return found.lash(_count)

    async def submit(
        self, request: SubmitRequest
    ) -> Result[SubmitAnswer, Refusal]:
        """Run one submit; it goes on to its end if the call is cancelled."""
        checked = self._checks.check_submit(request, self._submit_admission)
        if not is_successful(checked):
            return _refuse(checked.failure())
        with contextlib.ExitStack() as stack:
            stack.enter_context(self._submit_admission.enter())
            running = self._run_submit(
                request, checked.unwrap(), stack.pop_all()
            )
        return await asyncio.shield(self._background.start(running))

    def is_ready(self, now_seconds: float) -> bool:
        """Tell whether a load balancer should send requests here."""
        return (
            not self._stopping.is_announced()
            and self._checks.unready(now_seconds) is None
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
        await self._submit_admission.wait_idle()
        await self._background.wait_idle(
            self.parts.settings.settle_notice_seconds
        )
        logger.info('drained: no request is in flight')

    async def _run_submit(
        self,
        request: SubmitRequest,
        service: Service,
        entered: contextlib.ExitStack,
    ) -> Result[SubmitAnswer, Refusal]:
        with entered:
            found = await self._submits.submit(request, service)
        return found.lash(_count)


def _refuse(code: ResultCode) -> Failure[Refusal]:
    return _count(Refusal(code))


def _count(refusal: Refusal) -> Failure[Refusal]:
    counters.add('refusals', refusal.code.name)
    return Failure(refusal)
