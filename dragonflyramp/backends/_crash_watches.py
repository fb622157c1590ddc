"""Watch the attempts at one request for replicas that end."""

import attrs

from dragonflyramp.backends._attempts import Attempt
from dragonflyramp.backends._crash_detectors import Crash, CrashDetector
from dragonflyramp.backends._trial_locks import HeldTrialLock
from dragonflyramp.fingerprints import compute_fingerprint
from dragonflyramp.messages import Request
from dragonflyramp.suspects import NO_SUSPICION, Suspicion


@attrs.define(eq=False, kw_only=True)
class CrashWatch:
    """Watch one request of a caller."""

    detector: CrashDetector
    request: Request
    #: Tenant of the caller; one does not see what another's requests did.
    tenant_name: str = ''
    #: What this daemon knew of the request when it was sent.
    suspicion: Suspicion = NO_SUSPICION
    #: Whether the request is suspect and is sent to one replica only, to find
    #: out whether it ends replicas.
    is_trial: bool = False
    #: End of a replica while it ran the request, the last of several.
    last_crash: Crash | None = None
    #: Whether the request was sent again after an end.
    was_retried: bool = False
    #: Whether a replica has answered the request of a trial, or a retry after
    #: an end.
    is_answered: bool = False
    _fingerprint: str = ''

    @property
    def fingerprint(self) -> str:
        """Return the fingerprint of the request, computed on first use."""
        if not self._fingerprint:
            self._fingerprint = compute_fingerprint(
                self.request, self.tenant_name
            )
        return self._fingerprint

    @property
    def allows_hedges(self) -> bool:
        """Return whether the request may run on several replicas at a time."""
        return not self.is_trial and self.last_crash is None

    def record_retry(self) -> None:
        """Record that the request was sent again, perhaps after an end."""
        self.was_retried = self.last_crash is not None

    def finish(self) -> None:
        """Tell the other daemons of an end that no retry has cleared."""
        if self.last_crash is not None:
            # A retry that ends a replica, too, makes a second round.
            self.detector.share_first_crash(
                self.last_crash, is_recorded=not self.was_retried
            )


@attrs.define(eq=False)
class CrashRetries:
    """Decide on the retries of one fetch after ends of replicas.

    Of all fetches of a request on this daemon, one at a time sends it again.
    """

    _watch: CrashWatch
    _service: str
    #: What this daemon knew when the last attempt was sent.
    _known: Suspicion
    _has_crashed: bool = False
    _held_lock: HeldTrialLock | None = None
    #: Lost attempts whose replicas are not checked yet.
    _lost: list[Attempt] = attrs.field(factory=list)

    def record_lost(self, attempt: Attempt) -> None:
        """Record an attempt whose connection closed before its reply."""
        self._lost.append(attempt)

    async def allows_next(
        self, *, needs_retry: bool, deadline_at_seconds: float
    ) -> bool:
        """Return whether the fetch may go on after attempts were lost.

        Without other attempts in flight, it needs a retry to go on, and may
        have to wait for that of another fetch, until the deadline at most.
        """
        has_lost = bool(self._lost)
        while self._lost:
            await self._check_replica(self._lost[-1])
            self._lost.pop()
        if has_lost and self._watch.is_trial:
            # A trial is one attempt, whatever the check has shown.
            return False
        if not (self._has_crashed and needs_retry):
            return True
        detector = self._watch.detector
        if not detector.is_informed(detector.clock()):
            return False
        remaining_seconds = deadline_at_seconds - detector.clock()
        if self._held_lock is None:
            self._held_lock = await detector.trial_locks.try_acquire(
                self._watch.fingerprint, remaining_seconds
            )
        return self._held_lock is not None and self._allows_retry(
            detector.suspects.table.find(self._watch.fingerprint)
        )

    def record_reply(self, now_seconds: float, *, is_success: bool) -> None:
        """Record a reply of a replica that ran the request."""
        if not (self._has_crashed or self._watch.is_trial):
            return
        self._watch.is_answered = True
        if is_success:
            self._watch.detector.suspects.record_success(
                self._watch.fingerprint, now_seconds
            )

    def remember_unanswered(self, attempt: Attempt, now_seconds: float) -> None:
        """Remember an attempt that was given up without a reply."""
        if attempt.exchange.is_written:
            self._watch.detector.remember_unanswered(
                attempt,
                _create_crash(self._watch, self._service, self._known, attempt),
                now_seconds,
            )

    def release(self) -> None:
        """Let the other fetches of the request go on."""
        while self._lost:
            # The fetch was cancelled before its replica was checked.
            self.remember_unanswered(
                self._lost.pop(), self._watch.detector.clock()
            )
        if self._held_lock is not None:
            self._held_lock.release()
            self._held_lock = None

    async def _check_replica(self, attempt: Attempt) -> None:
        detector = self._watch.detector
        crash = _create_crash(self._watch, self._service, self._known, attempt)
        if await detector.has_ended(attempt.replica.entry.address):
            self._has_crashed = True
            self._watch.last_crash = crash
            detector.record_crash(crash, detector.clock())
        else:
            detector.remember_unanswered(attempt, crash, detector.clock())

    def _allows_retry(self, current: Suspicion) -> bool:
        """Decide after the retries of other fetches, if there were any."""
        if not current.crash_rounds:
            # Another fetch was answered.
            self.release()
        self._known = current
        return current.crash_rounds <= 1


def _create_crash(
    watch: CrashWatch, service: str, known: Suspicion, attempt: Attempt
) -> Crash:
    """Return the end of the replica of an attempt."""
    return Crash(
        fingerprint=watch.fingerprint,
        suspicion=known.with_next_round(service, watch.request.request_id),
        replica_id=attempt.exchange.replica_id,
        software_version=attempt.replica.entry.software_version,
    )
