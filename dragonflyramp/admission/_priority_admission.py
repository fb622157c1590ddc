"""Admit requests by priority while capacity is short."""

import contextlib
import random
from collections.abc import Callable

import attrs
from loguru import logger

from dragonflyramp.admission._contentions import Contentions
from dragonflyramp.admission._policies import AdmissionPolicy, Rejection
from dragonflyramp.admission._service_loads import ServiceLoads
from dragonflyramp.admission._shortages import Shortage, ShortageAssessor
from dragonflyramp.admission._tenant_shares import TenantShares
from dragonflyramp.admission._waiting_requests import WaitingRequests
from dragonflyramp.backends import BackendClient, RequestContext
from dragonflyramp.messages import Load
from dragonflyramp.metrics import counters, latencies
from dragonflyramp.replicas import ReplicaEntry

#: Share of the requests without capacity that are sent nevertheless, unless
#: they cannot meet their deadline. Each kind and tenant is served at least a
#: quarter as often as all if four in five of all are served, and more often if
#: callers come back.
_MIN_ADMITTED_SHARE = 0.2


@attrs.define(eq=False)
class PriorityAdmission(AdmissionPolicy):
    """Hold back less urgent requests while replicas report waiting ones."""

    #: Returns the monotonic time in seconds.
    _clock: Callable[[], float]
    _rng: random.Random
    _assessor: ShortageAssessor
    _waiting: WaitingRequests

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
            self._assessor.shares.record(context.tenant, now_seconds)
            return None
        reason = await self._wait(context, now_seconds)
        now_seconds = self._clock()
        if reason is None or not self._may_reject(reason):
            self._assessor.shares.record(context.tenant, now_seconds)
            return None
        shortage = self._assessor.assess(context, now_seconds)
        rejection = Rejection(
            retry_after_seconds=shortage.retry_after_seconds(self._rng),
            reason=reason,
        )
        _log(context, shortage, rejection)
        return rejection

    def record_load(
        self,
        entry: ReplicaEntry,
        load: Load,
        work_ms: float,
        now_seconds: float,
    ) -> None:
        """Record the load that a replica reports."""
        self._assessor.loads.record(entry.service, load, work_ms, now_seconds)
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

    def _may_reject(self, reason: str) -> bool:
        if reason in {_DEADLINE, _STOPPING}:
            return True
        if self._rng.random() >= _MIN_ADMITTED_SHARE:
            return True
        counters.add('admission_overrides', reason)
        return False


def create_priority_admission(
    backend_client: BackendClient, rng: random.Random
) -> PriorityAdmission:
    """Create a policy that learns the load of replicas from a client."""
    assessor = ShortageAssessor(
        contentions=Contentions(backend_client.latencies.fast_ms),
        loads=ServiceLoads(),
        shares=TenantShares(),
    )
    clock = backend_client.clock
    admission = PriorityAdmission(
        clock,
        rng,
        assessor,
        WaitingRequests(assessor.order, assessor.has_capacity, clock),
    )
    backend_client.recorder.on_load = admission.record_load
    return admission


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


_MS_PER_SECOND = 1000
#: Reasons of rejections, as written to logs and metrics.
_DEADLINE = 'deadline'
_LATE = 'late'
_QUEUE_FULL = 'queue_full'
_STOPPING = 'stopping'
_WAITED = 'waited'
