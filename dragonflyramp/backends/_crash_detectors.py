"""Detect replicas whose process ended while it ran a request."""

import asyncio
import collections
from collections.abc import Callable

import attrs
from loguru import logger

from dragonflyramp.backends._attempts import Attempt
from dragonflyramp.backends._probes import (
    ConnectProbe,
    ProbeOutcome,
    ReplicaProbe,
)
from dragonflyramp.backends._trial_locks import TrialLocks
from dragonflyramp.metrics import counters
from dragonflyramp.replicas import ReplicaEntry
from dragonflyramp.runtime import TaskSet
from dragonflyramp.suspects import CrashSuspects, Suspicion

#: How long an attempt without a reply counts as the cause if its replica turns
#: out to have ended. Entries are updated about every second, and removed after
#: some seconds of silence.
_UNANSWERED_TTL_SECONDS = 20
#: Limit on the attempts without a reply that are remembered.
_MAX_UNANSWERED = 256


@attrs.frozen(kw_only=True)
class Crash:
    """End of a replica during an attempt at a request."""

    fingerprint: str
    #: Suspicion that follows from it.
    suspicion: Suspicion
    replica_id: str
    software_version: str = ''


@attrs.frozen
class _UnansweredAttempt:
    crash: Crash
    start_time_ms: int
    ended_at_seconds: float


def _ignore_crash(crash: Crash) -> None:
    """Do nothing, for fronts without a store."""


@attrs.define(eq=False, kw_only=True)
class CrashDetector:
    """Detect ends of replicas, and record the requests that they ran."""

    tasks: TaskSet
    #: Returns the monotonic time in seconds.
    clock: Callable[[], float]
    suspects: CrashSuspects = attrs.field(factory=CrashSuspects)
    trial_locks: TrialLocks = attrs.field(factory=TrialLocks)
    probe: ReplicaProbe = attrs.field(factory=ConnectProbe)
    #: Returns whether this daemon hears from the store or from other daemons.
    is_informed: Callable[[float], bool] = lambda now_seconds: True
    #: Called with each crash of which the other daemons are told.
    on_crash: Callable[[Crash], None] = _ignore_crash
    _unanswered: collections.deque[_UnansweredAttempt] = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_UNANSWERED)
    )
    _probes: dict[str, asyncio.Task[object]] = attrs.field(factory=dict)

    async def has_ended(self, address: str) -> bool:
        """Return whether nothing listens at the address of a replica.

        Attempts that were lost together share one check. Cancelling this
        coroutine does not cancel the check.
        """
        task = self._probes.get(address)
        if task is None:
            task = self.tasks.start(self.probe(address), 'probe')
            self._probes[address] = task
            task.add_done_callback(lambda _: self._probes.pop(address))
        outcome = await asyncio.shield(task)
        assert isinstance(outcome, ProbeOutcome)
        counters.add('replica_probes', outcome.value)
        return outcome is ProbeOutcome.refused

    def record_crash(self, crash: Crash, now_seconds: float) -> None:
        """Record that a replica ended while it ran a request."""
        counters.add('suspect_requests', 'crash')
        logger.bind(
            fingerprint=crash.fingerprint,
            request=crash.suspicion.request_id,
            service=crash.suspicion.service,
            ended_replica=crash.replica_id,
            rounds=crash.suspicion.crash_rounds,
        ).warning('replica ended while it ran a request')
        if self.suspects.record_crash(
            crash.fingerprint, crash.suspicion, now_seconds
        ):
            self.on_crash(crash)

    def share_first_crash(self, crash: Crash, *, is_recorded: bool) -> None:
        """Tell the other daemons of a first round that no retry has cleared.

        A record in the store costs calls, and reaches all daemons.
        """
        current = self.suspects.table.find(crash.fingerprint)
        is_first_round = crash.suspicion.crash_rounds == 1
        if is_first_round and current.order == crash.suspicion.order:
            self.suspects.share(crash.fingerprint)
            if is_recorded:
                self.on_crash(crash)

    def remember_unanswered(
        self, attempt: Attempt, crash: Crash, now_seconds: float
    ) -> None:
        """Remember an attempt without a reply, whose replica may have ended."""
        self._unanswered.append(
            _UnansweredAttempt(
                crash, attempt.replica.entry.start_time_ms, now_seconds
            )
        )

    def record_process_end(
        self, entry: ReplicaEntry, now_seconds: float
    ) -> None:
        """Record that the process of a replica has ended or was replaced."""
        for unanswered in tuple(self._unanswered):
            is_recent = (
                now_seconds - unanswered.ended_at_seconds
                < _UNANSWERED_TTL_SECONDS
            )
            is_same_process = (
                unanswered.crash.replica_id == entry.replica_id
                and unanswered.start_time_ms == entry.start_time_ms
            )
            if is_same_process:
                self._unanswered.remove(unanswered)
            if is_same_process and is_recent:
                self.record_crash(unanswered.crash, now_seconds)
                self.share_first_crash(unanswered.crash, is_recorded=True)
