"""Decide, immediately before each send, whether it is allowed."""

import math

import attrs

from dragonflyramp.backends._contexts import ShardTerms, TierContext
from dragonflyramp.backends._jobs import Send
from dragonflyramp.backends._latencies import USUAL_QUANTILE, LatencyWindow
from dragonflyramp.backends._lease_rights import (
    LeaseRights,
    Ownership,
    lease_rights,
)
from dragonflyramp.backends._replicas import ReplicaState
from dragonflyramp.backends._settings import BackendSettings
from dragonflyramp.models import LeaseState, SliceId


@attrs.frozen(kw_only=True)
class Permit:
    """Allow one send until a time.

    The connection counts as silent after `silence_seconds`; a replica that
    gave no answer for `blame_after_seconds` is to blame.
    """

    deadline_seconds: float
    silence_seconds: float
    blame_after_seconds: float


class Admission:
    """Apply lease, ramp and leaving state to the replicas of one shard."""

    def __init__(self, context: TierContext, terms: ShardTerms) -> None:
        """Start without a lease."""
        self._context = context
        self._terms = terms
        self._held: tuple[SliceId, int] | None = None
        self._cold_from_seconds = math.inf

    def lease_rights(self, now_seconds: float) -> LeaseRights:
        """Read the lease of the shard's slice."""
        lease_table = self._context.lease_table
        settings = self._context.settings
        lease = lease_table.lease(self._terms.slice_id, now_seconds)
        held = (lease.slice_id, lease.epoch)
        if lease.state is LeaseState.held and held != self._held:
            self._held = held
            self._cold_from_seconds = now_seconds + settings.cold_pause_seconds
        ownership = Ownership(
            gained_number=self._terms.gained_number,
            settled_number=lease_table.settled_number(now_seconds),
        )
        return lease_rights(
            lease,
            ownership,
            margin_seconds=settings.lease_margin_seconds,
            now_seconds=now_seconds,
        )

    def limit(
        self, replica: ReplicaState, current: LeaseRights, now_seconds: float
    ) -> int:
        """Give how many requests may run on a replica; 0 for none."""
        if not self.is_available(replica, now_seconds):
            return 0
        slots = self._terms.service.slots
        return min(
            self._context.policies.ramp.limit(replica.ramp, now_seconds),
            current.slots(slots, warm=replica.is_warm),
        )

    def is_available(self, replica: ReplicaState, now_seconds: float) -> bool:
        """Tell whether a replica stays and replies, whatever its lease."""
        if self._context.observer.is_silent(replica, now_seconds):
            return False
        leaving = self._context.policies.leaving
        return not leaving.is_leaving(replica.leaving)

    def free_from_seconds(self, replica: ReplicaState) -> float:
        """Give the time from which the ramp's rate allows a start."""
        if replica.is_warm:
            return replica.ramp.next_start_seconds
        return max(replica.ramp.next_start_seconds, self._cold_from_seconds)

    def permit(
        self, send: Send, now_seconds: float, *, again: bool
    ) -> Permit | None:
        """Allow a send that starts now; None when it must not start.

        The first send was checked against the rate when it was handed out, a
        second one on the same replica is an extra send.
        """
        replica = send.replica
        if self._context.source.is_isolated(now_seconds):
            return None
        current = self.lease_rights(now_seconds)
        if replica.running > self.limit(replica, current, now_seconds):
            return None
        if again and not self._allows_again(replica, now_seconds):
            return None
        deadline_seconds = send.job.deadline_seconds
        if not replica.is_warm:
            deadline_seconds = min(deadline_seconds, current.until_seconds)
        if deadline_seconds <= now_seconds:
            return None
        self._context.policies.ramp.note_start(replica.ramp, now_seconds)
        latency = self._terms.latencies[send.job.kind]
        return make_permit(
            self._context.settings,
            latency.window,
            warm=replica.is_warm,
            deadline_seconds=deadline_seconds,
            now_seconds=now_seconds,
        )

    def _allows_again(self, replica: ReplicaState, now_seconds: float) -> bool:
        if now_seconds < self.free_from_seconds(replica):
            return False
        return self._terms.retry_budget.spend()


def make_permit(
    settings: BackendSettings,
    latencies: LatencyWindow,
    *,
    warm: bool,
    deadline_seconds: float,
    now_seconds: float,
) -> Permit:
    """Derive the silence time from the service's latency.

    It stays well below the deadline, but above the service's usual latency,
    so that a short deadline of a caller does not close good connections.
    """
    factor = settings.silence_factor
    fraction = settings.silence_deadline_fraction
    if not warm:
        factor = settings.cold_silence_factor
        fraction = settings.cold_silence_deadline_fraction
    usual_seconds = latencies.quantile(USUAL_QUANTILE)
    if usual_seconds is None:
        usual_seconds = settings.silence_unknown_seconds / factor
    blame_after_seconds = max(
        factor * usual_seconds, settings.silence_floor_seconds
    )
    share_seconds = fraction * (deadline_seconds - now_seconds)
    return Permit(
        deadline_seconds=deadline_seconds,
        silence_seconds=min(
            blame_after_seconds, max(share_seconds, 2 * usual_seconds)
        ),
        blame_after_seconds=blame_after_seconds,
    )
