"""Limit the requests to cold replicas."""

import attrs

from dragonflyramp.backends._limits import Peers, cold_request_limit
from dragonflyramp.backends._replicas import Replica
from dragonflyramp.routes import ServicePolicy

#: Window over which the request rate to a cold replica is measured.
_COLD_RATE_WINDOW_SECONDS = 1


@attrs.define(eq=False, kw_only=True)
class ColdReplicaLimiter:
    """Limit the rate of requests from this daemon to each cold replica.

    Each daemon uses only its share of the rate, so all daemons together stay
    within it.
    """

    #: Requests per second in addition to the configured rate.
    slack: float = 0
    #: Allowed multiple of the configured rate.
    overshoot: float = 1
    #: Monotonic send times by replica id.
    _send_times: dict[str, list[float]] = attrs.field(factory=dict)

    def record_send(self, replica: Replica, now_seconds: float) -> None:
        """Count a request to a cold replica."""
        send_times = self._send_times.setdefault(replica.entry.replica_id, [])
        send_times.append(now_seconds)
        while now_seconds - send_times[0] >= _COLD_RATE_WINDOW_SECONDS:
            send_times.pop(0)

    def allows(
        self,
        replica: Replica,
        policy: ServicePolicy,
        peers: Peers,
        now_seconds: float,
    ) -> bool:
        """Return whether the replica may receive another request now."""
        is_cold = replica.is_cold(now_seconds)
        if not is_cold or not policy.cold_requests_per_second:
            return True
        total_per_second = (
            policy.cold_requests_per_second * self.overshoot + self.slack
        )
        recent_times = [
            sent_at_seconds
            for sent_at_seconds in self._send_times.get(
                replica.entry.replica_id, ()
            )
            if now_seconds - sent_at_seconds < _COLD_RATE_WINDOW_SECONDS
        ]
        self._send_times[replica.entry.replica_id] = recent_times
        replica_id = replica.entry.replica_id
        limit = cold_request_limit(
            total_per_second, peers.daemon_count(), peers.rank(replica_id)
        )
        return len(recent_times) < limit

    def discard(self, replica: Replica) -> None:
        """Discard the counts of a removed replica."""
        self._send_times.pop(replica.entry.replica_id, None)
