"""Keep what replicas said in their replies about further requests.

A replica that leaves gets no new requests until it starts again; one that asked
for a pause gets none before the pause ends. Leaving replicas are also reported
to other daemons. A pause is not, because a replica asks each daemon for its
own.
"""

import math
from collections.abc import Callable, Mapping
from types import MappingProxyType

import attrs

from dragonflyramp.replicas import ReplicaEntry

#: A replica may ask for a pause in error; a longer one ends after this time.
_MAX_PAUSE_SECONDS = 300
#: Notices of replicas that are no longer listed expire after this time. An
#: entry that was lost in an outage of the store may return within it.
_UNLISTED_TTL_SECONDS = 120
#: Other daemons may report replicas that this one does not know. Beyond this
#: count, the oldest notice is dropped.
_MAX_NOTICES = 16384


@attrs.define(kw_only=True)
class _Notice:
    """What one process of a replica said."""

    start_time_ms: int
    #: Monotonic time of the notice, or at which the replica was last listed.
    seen_at_seconds: float
    #: Monotonic time at which this daemon learned that the replica leaves.
    leaving_at_seconds: float | None = None
    paused_until_seconds: float = -math.inf


def _ignore_notice(replica_id: str) -> None:
    """Do nothing, for notices without anybody who acts on them."""


@attrs.define(eq=False)
class ReplicaNotices:
    """Notices by replica id; those of an earlier process are replaced."""

    #: Called with the id of a replica that gets no new requests from now on.
    on_notice: Callable[[str], None] = _ignore_notice
    by_id: dict[str, _Notice] = attrs.field(factory=dict)

    def record_leaving(
        self, replica_id: str, start_time_ms: int, now_seconds: float
    ) -> bool:
        """Record that a replica leaves; return whether this is news."""
        notice = self._notice(replica_id, start_time_ms, now_seconds)
        if notice is None or notice.leaving_at_seconds is not None:
            return False
        notice.leaving_at_seconds = now_seconds
        self.on_notice(replica_id)
        return True

    def record_pause(
        self,
        replica_id: str,
        start_time_ms: int,
        pause_seconds: float,
        now_seconds: float,
    ) -> None:
        """Record that a replica wants no requests for some seconds."""
        notice = self._notice(replica_id, start_time_ms, now_seconds)
        if notice is None:
            return
        notice.paused_until_seconds = max(
            notice.paused_until_seconds,
            now_seconds + min(pause_seconds, _MAX_PAUSE_SECONDS),
        )
        self.on_notice(replica_id)

    def record_reported(
        self, leaving: Mapping[str, int], now_seconds: float
    ) -> None:
        """Record leaving replicas, as start times by id, of another daemon."""
        for replica_id, start_time_ms in leaving.items():
            self.record_leaving(replica_id, start_time_ms, now_seconds)

    def resumes_at_seconds(self, entry: ReplicaEntry) -> float:
        """Return when a replica takes requests again: infinity if it leaves.

        The result is not later than the present time if it takes them now.
        """
        notice = self.by_id.get(entry.replica_id)
        if notice is None or notice.start_time_ms != entry.start_time_ms:
            return -math.inf
        if notice.leaving_at_seconds is not None:
            return math.inf
        return notice.paused_until_seconds

    def leaving_since(self, since_seconds: float) -> dict[str, int]:
        """Return start times by id of leaving replicas learned since then."""
        return {
            replica_id: notice.start_time_ms
            for replica_id, notice in self.by_id.items()
            if notice.leaving_at_seconds is not None
            and notice.leaving_at_seconds >= since_seconds
        }

    def expire(
        self, listed: Mapping[str, ReplicaEntry], now_seconds: float
    ) -> None:
        """Drop notices of processes that ended; `listed` is by replica id."""
        for replica_id, notice in tuple(self.by_id.items()):
            entry = listed.get(replica_id)
            if entry is None:
                unlisted_seconds = now_seconds - notice.seen_at_seconds
                is_expired = unlisted_seconds > _UNLISTED_TTL_SECONDS
            else:
                is_expired = entry.start_time_ms > notice.start_time_ms
                notice.seen_at_seconds = now_seconds
            if is_expired:
                self.by_id.pop(replica_id)

    def _notice(
        self, replica_id: str, start_time_ms: int, now_seconds: float
    ) -> _Notice | None:
        """Return the notice of a process; None if it has been replaced."""
        notice = self.by_id.get(replica_id)
        if notice is not None and notice.start_time_ms > start_time_ms:
            return None
        if notice is None or notice.start_time_ms < start_time_ms:
            notice = _Notice(
                start_time_ms=start_time_ms, seen_at_seconds=now_seconds
            )
            self.by_id.pop(replica_id, None)
            self.by_id[replica_id] = notice
        if len(self.by_id) > _MAX_NOTICES:
            self.by_id.pop(next(iter(self.by_id)))
        return notice


#: Start times of leaving replicas by replica id.
LeavingReplicas = Mapping[str, int]
NO_LEAVING_REPLICAS: LeavingReplicas = MappingProxyType({})
