"""Admit requests by priority while capacity is short."""

import contextlib
import random
from collections.abc import Callable

import attrs
from loguru import logger

from dragonflyramp.admission._contentions import Contentions, FastLatency
from dragonflyramp.admission._policies import AdmissionPolicy, Rejection
from dragonflyramp.admission._rejection_limits import RejectionLimiter
from dragonflyramp.admission._service_loads import ServiceLoads
from dragonflyramp.admission._shortages import Shortage, ShortageAssessor
from dragonflyramp.admission._tenant_shares import TenantShares
from dragonflyramp.admission._waiting_requests import WaitingRequests
from dragonflyramp.backends import RequestContext
from dragonflyramp.messages import Load
from dragonflyramp.metrics import counters, latencies


@attrs.define(eq=False)
class PriorityAdmission(AdmissionPolicy):
    """Hold back less urgent requests while replicas report waiting ones."""

    #: Returns the monotonic time in seconds.
    _clock: Callable[[], float]
    _rng: random.Random
    _assessor: ShortageAssessor
    _waiting: WaitingRequests
    _limiter: RejectionLimiter = attrs.field(factory=RejectionLimiter)

    async def admit(
        self,
        context: RequestContext,
        cleanup: contextlib.ExitStack,
        now_seconds: float,
    ) -> Rejection | None:
        """Return None at once unless replicas report waiting requests."""
        is_short = (
            self._assessor.loads.may_be_short(now_seconds)
            and self._assessor.contentions.is_contended(context)
            and not self._assessor.has_capacity(context, now_seconds)
        )
        if not is_short:
            self._record_admission(context, now_seconds)
            return None
        reason = await self._wait(context, now_seconds)
        now_seconds = self._clock()
        if reason is None or not self._may_reject(context, reason):
            self._record_admission(context, now_seconds)
            return None
        shortage = self._assessor.assess(context, now_seconds)
        rejection = Rejection(
            retry_after_seconds=shortage.retry_after_seconds(self._rng),
            reason=reason,
        )
        _log(context, shortage, rejection)
        return rejection

    def record_load(
        self, service: str, load: Load, work_ms: float, now_seconds: float
    ) -> None:
        """Record the load that a replica of a service reports."""
        self._assessor.loads.record(service, load, work_ms, now_seconds)
        self._waiting.wake_soon()

    def stop_waiting(self) -> None:
        """Reject the requests that wait; let none wait from now on."""
        self._waiting.stop()

    async def _wait(
        self, context: RequestContext, now_seconds: float
    ) -> str | None:
        """Wait for capacity; return why there is none, or None."""
        shortage = self._assessor.assess(context, now_seconds)
        reason = _immediate_reason(shortage, self._waiting)
        if reason is not None:
            return reason
        has_capacity = await self._waiting.wait(
            context, shortage.max_wait_ms / _MS_PER_SECOND
        )
        waited_seconds = self._clock() - now_seconds
        latencies.record('admission_waits', waited_seconds * _MS_PER_SECOND)
        if has_capacity:
            return None
        return _STOPPING if self._waiting.is_stopped else _WAITED

    def _may_reject(self, context: RequestContext, reason: str) -> bool:
        if reason in {_DEADLINE, _STOPPING}:
            return True
        if self._limiter.try_reject(_kind(context)):
            return True
        counters.add('admission_overrides', reason)
        return False

    def _record_admission(
        self, context: RequestContext, now_seconds: float
    ) -> None:
        self._assessor.shares.record(context.tenant, now_seconds)
        self._limiter.record_admission(_kind(context))


def create_priority_admission(
    clock: Callable[[], float], rng: random.Random, fast_latency: FastLatency
) -> PriorityAdmission:
    """Create a policy; its `record_load` gets the load of replicas."""
    assessor = ShortageAssessor(
        contentions=Contentions(fast_latency),
        loads=ServiceLoads(),
        shares=TenantShares(),
    )
    waiting = WaitingRequests(assessor.order, assessor.has_capacity, clock)
    return PriorityAdmission(clock, rng, assessor, waiting)


def _immediate_reason(
    shortage: Shortage, waiting: WaitingRequests
) -> str | None:
    """Return why a request is rejected without waiting, or None."""
    if shortage.misses_deadline:
        return _DEADLINE
    if waiting.is_stopped:
        return _STOPPING
    if not shortage.may_end:
        return _LATE
    return _QUEUE_FULL if waiting.is_full else None


def _log(
    context: RequestContext, shortage: Shortage, rejection: Rejection
) -> None:
    inputs = {
        name: round(number, 1) for name, number in _fields(shortage).items()
    }
    logger.bind(
        request=context.request.request_id,
        route=context.route.name,
        tenant=context.tenant_name,
        priority=context.priority,
        reason=rejection.reason,
        retry_after_seconds=rejection.retry_after_seconds,
        **inputs,
    ).info('request not admitted')


def _fields(shortage: Shortage) -> dict[str, float]:
    return attrs.asdict(shortage)


def _kind(context: RequestContext) -> tuple[str, str]:
    return (context.route.name, context.tenant_name or '')


_MS_PER_SECOND = 1000
#: Reasons of rejections, as written to logs and metrics.
_DEADLINE = 'deadline'
_LATE = 'late'
_QUEUE_FULL = 'queue_full'
_STOPPING = 'stopping'
_WAITED = 'waited'
