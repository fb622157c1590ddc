"""Act on what replicas say in their replies about further requests."""

import math
from collections.abc import Callable, Mapping

import attrs
from loguru import logger

from dragonflyramp.backends._replicas import Replica
from dragonflyramp.messages import Reply
from dragonflyramp.metrics import counters
from dragonflyramp.replica_notices import ReplicaNotices
from dragonflyramp.replicas import ReplicaEntry


@attrs.define(eq=False)
class ReplyNoticeRecorder:
    """Record notices in replies, and withdraw requests that they concern."""

    #: All known replicas by id.
    _replicas: Mapping[str, Replica]
    #: Called with a service whose requests may have to look for a replica anew.
    _on_service_change: Callable[[str], None]
    notices: ReplicaNotices = attrs.field(init=False)

    def record_reply(
        self, entry: ReplicaEntry, reply: Reply, now_seconds: float
    ) -> None:
        """Record the notices in a reply on a connection to a replica.

        `entry` is that with which the connection was created.
        """
        if reply.is_leaving:
            for leaving in self._senders(entry, reply):
                self.notices.record_leaving(
                    leaving.replica_id, leaving.start_time_ms, now_seconds
                )
        if reply.pause_seconds:
            counters.add('replica_notices', 'pause')
            self.notices.record_pause(
                entry.replica_id,
                entry.start_time_ms,
                reply.pause_seconds,
                now_seconds,
            )

    def _senders(
        self, entry: ReplicaEntry, reply: Reply
    ) -> tuple[ReplicaEntry, ...]:
        """Return the replicas that may have sent a reply.

        A misdirected reply comes from whichever replica has the address now.
        """
        if not reply.is_misdirected:
            return (entry,)
        others = (
            replica.entry
            for replica in self._replicas.values()
            if replica.entry.address == entry.address
        )
        return (entry, *others)

    def _withdraw_requests(self, replica_id: str) -> None:
        """Withdraw what is not sent to a replica that takes no requests."""
        replica = self._replicas.get(replica_id)
        if replica is None:
            return
        if self.notices.resumes_at_seconds(replica.entry) == math.inf:
            counters.add('replica_notices', 'leaving')
            logger.bind(replica=replica_id, service=replica.entry.service).info(
                'replica leaves'
            )
            replica.connections.retire()
        replica.withdraw_unwritten()
        self._on_service_change(replica.entry.service)

    @notices.default
    def _create_notices(self) -> ReplicaNotices:
        return ReplicaNotices(self._withdraw_requests)
