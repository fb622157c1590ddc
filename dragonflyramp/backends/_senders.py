"""Send jobs over one connection, with a second try when it is silent."""

import asyncio
import math
from collections.abc import Callable

import attrs

from dragonflyramp.backends._admissions import Admission, Permit
from dragonflyramp.backends._clients import (
    BackendClient,
    Reply,
    SearchCall,
    StatusFailure,
    SubmitCall,
)
from dragonflyramp.backends._contexts import TierContext
from dragonflyramp.backends._jobs import Job, Send
from dragonflyramp.backends._latencies import RequestKind
from dragonflyramp.backends._replicas import ReplicaState
from dragonflyramp.backends._statuses import StatusReader
from dragonflyramp.metrics import counters
from dragonflyramp.results import ResultCode

_MS_PER_SECOND = 1000
_NOT_OPENED = Reply(code=ResultCode.no_replica, sent=False)
_SILENT = Reply(code=ResultCode.connection_silent)
_TOO_LATE = Reply(code=ResultCode.deadline_exceeded)

#: Gives a send back that must not start now.
NOT_PERMITTED = Reply(code=ResultCode.no_lease, sent=False)


class Sender:
    """Send jobs over one client, which it opens and closes."""

    def __init__(
        self, client: BackendClient, admission: Admission, context: TierContext
    ) -> None:
        """Open nothing yet."""
        self._client = client
        self._admission = admission
        self._context = context
        self._reader = StatusReader(client, context)
        self._used_seconds = -math.inf

    async def send(self, send: Send) -> Reply:
        """Send a job; at most once when it must not be repeated.

        A read on a silent connection is sent a second time on a fresh one,
        which tells a silent connection from a dead server. A request that
        met a lost connection was not sent, so it may be sent.
        """
        is_submit = send.job.kind is RequestKind.submit
        if is_submit:
            await self._drop_unless_recent()
        reply = await self._attempt(send, again=False)
        if reply.code is ResultCode.connection_reset and not reply.sent:
            await self.aclose()
            reply = await self._attempt(send, again=False)
        if reply.code is ResultCode.connection_silent and not is_submit:
            counters.add('silent_connections', send.purpose.name)
            second = await self._attempt(send, again=True)
            reply = second if second.sent else reply
        self._used_seconds = self._context.clock()
        return reply

    async def aclose(self) -> None:
        """Close the connection, which cancels what runs on it."""
        await self._client.close()

    async def _drop_unless_recent(self) -> None:
        idle_seconds = self._context.clock() - self._used_seconds
        if idle_seconds > self._context.settings.submit_recent_seconds:
            await self.aclose()

    async def _attempt(self, send: Send, *, again: bool) -> Reply:
        if not self._client.is_open() and not await self._open(send.replica):
            return _NOT_OPENED
        now_seconds = self._context.clock()
        permit = self._admission.permit(send, now_seconds, again=again)
        if permit is None:
            return NOT_PERMITTED
        counters.add(
            'sends', 'fresh_connection' if again else send.purpose.name
        )
        send.called_seconds = now_seconds
        send.blame_after_seconds = permit.blame_after_seconds
        return await self._call(send, permit, now_seconds)

    async def _open(self, replica: ReplicaState) -> bool:
        """Open a connection by reading the status of the server.

        The server may have restarted since the last connection, and then it
        must be known as cold before it gets any work. When the status cannot
        tell the instance, the server counts as cold.
        """
        limit_seconds = self._context.settings.open_timeout_seconds
        failure = await self._reader.read(replica, limit_seconds)
        observer = self._context.observer
        now_seconds = self._context.clock()
        counters.add('connections', 'open' if failure is None else 'failed')
        if failure is StatusFailure.bad_reply:
            observer.turn_cold(replica, 'unknown_instance', now_seconds)
        elif failure is StatusFailure.lost:
            observer.note_failed_open(replica, now_seconds)
        return self._client.is_open()

    async def _call(
        self, send: Send, permit: Permit, now_seconds: float
    ) -> Reply:
        job = send.job
        left_seconds = permit.deadline_seconds - now_seconds
        limit_seconds = left_seconds
        if job.kind is RequestKind.search:
            limit_seconds = min(left_seconds, permit.silence_seconds)
        send.due_seconds = now_seconds + limit_seconds
        outgoing = _Outgoing(
            job=job,
            left_seconds=left_seconds,
            is_allowed=lambda: _is_allowed(
                self._context, self._admission, send, permit
            ),
        )
        try:
            async with asyncio.timeout(limit_seconds):
                return await _post(self._client, outgoing)
        except TimeoutError:
            await self.aclose()
        if send.due_seconds < job.deadline_seconds:
            return _SILENT
        return _TOO_LATE


def _is_allowed(
    context: TierContext, admission: Admission, send: Send, permit: Permit
) -> bool:
    """Tell whether a send that was permitted may still start.

    The deadline of a send to a cold replica ends before the lease.
    """
    now_seconds = context.clock()
    if context.source.is_isolated(now_seconds):
        return False
    is_due = now_seconds < permit.deadline_seconds
    return is_due and admission.is_available(send.replica, now_seconds)


@attrs.frozen(kw_only=True)
class _Outgoing:
    """Hold what a request is made of."""

    job: Job
    left_seconds: float
    is_allowed: Callable[[], bool]


async def _post(client: BackendClient, outgoing: _Outgoing) -> Reply:
    job = outgoing.job
    deadline_ms = max(1, int(outgoing.left_seconds * _MS_PER_SECOND))
    if job.kind is RequestKind.submit:
        return await client.submit(
            SubmitCall(
                idempotency_key=job.idempotency_key,
                deadline_ms=deadline_ms,
                attempt_id=job.attempt_id,
                request_id=job.request_id,
                body=job.body,
                is_allowed=outgoing.is_allowed,
            )
        )
    return await client.search(
        SearchCall(
            snapshot_id=job.snapshot_id,
            deadline_ms=deadline_ms,
            attempt_id=job.attempt_id,
            request_id=job.request_id,
            body=job.body,
            is_allowed=outgoing.is_allowed,
        )
    )
